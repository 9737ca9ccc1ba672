import type { RunSoakOptions } from './run_soak.ts'
import type { SoakEvent, SoakPlan } from './soak_plan.ts'
import { mkdtemp } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test from 'ava'
import { FaultyBytes } from '../faulty_senders.ts'
import { runSoak } from './run_soak.ts'
import { listSoakBreaches } from './soak_checks.ts'
import { createSoakPlan, SoakFault, SoakFaultSet } from './soak_plan.ts'

const seed = 20_261_219
const instances = 4
const durationMs = 30_000
const stopAtMs = 5_000
const sabotageSites = [6, 7] as const

function createPlan (fault: SoakFault, bytes: FaultyBytes, others: SoakEvent[] = []): SoakPlan {
  const isOfCallers = fault === SoakFault.FaultyCallers
  return { seed: 1, instances: 2, durationMs: 15_000, calmMs: 8_000, events: [{ atMs: 2_000, durationMs: 5_000, fault, instances: isOfCallers ? [0] : [], target: 0, bytes }, ...others] }
}

async function listBreaches (options: Omit<RunSoakOptions, 'folder'>): Promise<string[]> {
  return listSoakBreaches(await runSoak({ ...options, folder: await mkdtemp(join(tmpdir(), 'soak-test-')) }))
}

const trailersPlan = createPlan(SoakFault.FaultyTargets, FaultyBytes.Trailers)
const quietPlan = createPlan(SoakFault.FaultyCallers, FaultyBytes.HeaderFields)

test.serial('real instances keep the promises beside faulty targets and callers among other faults', async t => {
  t.deepEqual(await listBreaches({ plan: createSoakPlan({ seed, instances, durationMs, sets: [SoakFaultSet.Bytes] }) }), [])
})

for (const [index, [title, plan]] of ([
  ['targets send trailers without end', trailersPlan],
  ['targets send bodies in chunks of one byte', createPlan(SoakFault.FaultyTargets, FaultyBytes.SmallChunks)],
  ['callers send uploads in chunks of one byte', createPlan(SoakFault.FaultyCallers, FaultyBytes.SmallChunks)],
  ['callers pipeline requests without end while the instance stops', createPlan(SoakFault.FaultyCallers, FaultyBytes.Messages, [{ atMs: stopAtMs, durationMs: 0, fault: SoakFault.Stop, instances: [0], target: 0 }])]
] as Array<[string, SoakPlan]>).entries()) {
  test.serial(`real instances keep the promises while ${title}`, async t => {
    t.deepEqual(await listBreaches({ plan, site: index }), [])
  })
}

test('the soak notices instances that take more memory than they may', async t => {
  const module = 'globalThis.held = Buffer.alloc(400 * 1_048_576, 1)'
  const breaches = await listBreaches({ plan: quietPlan, site: sabotageSites[0], nodeFlags: ['--import', `data:text/javascript,${encodeURIComponent(module)}`] })
  t.true(breaches.some(breach => breach.startsWith('MEMORY')), breaches.join('; '))
})

test('the soak notices instances that serve few others beside faulty callers', async t => {
  let calls = 0
  const breaches = await listBreaches({ plan: quietPlan, site: sabotageSites[1], sabotage: { addCopies: instance => [instance], changeCall (call) { if (calls++ % 20 === 0) call.status = 503 } } })
  t.true(breaches.some(breach => breach.startsWith('SERVED')), breaches.join('; '))
})
