import type { RunSoakOptions } from './run_soak.ts'
import type { SoakPlan } from './soak_plan.ts'
import { mkdtemp } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test from 'ava'
import { runSoak } from './run_soak.ts'
import { SoakRequestKind } from './soak_callers.ts'
import { listSoakBreaches } from './soak_checks.ts'
import { hostPlans } from './soak_host_plans.ts'

const lossSite = 7

/** Returns flags of Node.js that run a module before the program. */
function createNodeFlags (module: string): string[] {
  return ['--import', `data:text/javascript,${encodeURIComponent(module)}`]
}

async function listBreaches (options: Omit<RunSoakOptions, 'folder'>): Promise<string[]> {
  return listSoakBreaches(await runSoak({ ...options, folder: await mkdtemp(join(tmpdir(), 'soak-test-')) }))
}

for (const [index, [title, rule, plan, module]] of ([
  ['ends when it can not write a log line', 'ENDED', hostPlans.output, `
    setInterval(() => { process.stdout.write('\\n', error => { if (error) process.abort() }) }, 100).unref()
    process.stdout.on('error', () => {})`],
  ['ends when an address is taken', 'ENDED', hostPlans.address, `
    import { Server } from 'node:net'
    const { emit } = Server.prototype
    Server.prototype.emit = function (event, ...values) { return event === 'error' ? process.abort() : emit.call(this, event, ...values) }`],
  ['never listens on an address that was taken', 'RECOVER', hostPlans.address, `
    import { Server } from 'node:net'
    const { emit } = Server.prototype
    Server.prototype.emit = function (event, ...values) { return event === 'error' || emit.call(this, event, ...values) }`],
  ['ends when its settings are not whole', 'ENDED', hostPlans.settings, `
    import { readFileSync } from 'node:fs'
    JSON.parse(readFileSync(process.env.BILBERRYWORKS_CONFIG, 'utf8'))`],
  ['ends when no descriptor is left', 'ENDED', hostPlans.descriptors, `
    import { openSync } from 'node:fs'
    setInterval(() => { for (let count = 0; count < 40; count++) openSync('/dev/null') }, 1_000).unref()`],
  ['fails in a stop', 'ENDED', hostPlans.stop, `
    const { exit } = process
    process.exit = () => exit.call(process, 3)`],
  ['ends when it stands still for a moment', 'ENDED', hostPlans.processor, `
    let at = Infinity
    let gaps = 0
    setInterval(() => {
      if (performance.now() - at > 40 && ++gaps > 10) process.abort()
      at = performance.now()
    }, 2).unref()
    setInterval(() => { gaps = 0 }, 2_000).unref()`]
] as Array<[string, string, SoakPlan, string]>).entries()) {
  test(`the soak notices an instance that ${title}`, async t => {
    const breaches = await listBreaches({ plan, site: index, nodeFlags: createNodeFlags(module) })
    t.true(breaches.some(breach => breach.startsWith(rule)), breaches.join('; '))
  })
}

test('the soak notices instances that lose requests with few descriptors or a capped processor', async t => {
  const plan = { ...hostPlans.descriptors, events: [...hostPlans.descriptors.events, ...hostPlans.processor.events.map(event => ({ ...event, instances: [1] }))] }
  const breaches = await listBreaches({ plan, site: lossSite, sabotage: { addCopies: instance => [instance], changeCall (call) { if (call.kind === SoakRequestKind.Unsafe) call.status = undefined } } })
  for (const name of ['entry-0', 'entry-1']) t.true(breaches.some(breach => breach.startsWith('LOST') && breach.includes(name)), breaches.join('; '))
})
