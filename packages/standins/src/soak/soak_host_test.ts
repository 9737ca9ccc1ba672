import type { RunSoakOptions } from './run_soak.ts'
import type { SoakPlan } from './soak_plan.ts'
import { mkdtemp } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test from 'ava'
import { runSoak } from './run_soak.ts'
import { listSoakBreaches } from './soak_checks.ts'
import { hostPlans } from './soak_host_plans.ts'
import { createSoakPlan, SoakFaultSet } from './soak_plan.ts'
import { SoakScale } from './soak_site.ts'

const seed = 20_261_277
const instances = 4
const durationMs = 30_000

async function listBreaches (options: Omit<RunSoakOptions, 'folder'>): Promise<string[]> {
  return listSoakBreaches(await runSoak({ ...options, folder: await mkdtemp(join(tmpdir(), 'soak-test-')) }))
}

test.serial('real instances keep the promises under faults of their hosts among the others', async t => {
  t.deepEqual(await listBreaches({ plan: createSoakPlan({ seed, instances, durationMs, sets: [SoakFaultSet.Host] }) }), [])
})

for (const [index, [title, plan, scale = SoakScale.Small]] of ([
  ['the reader of its output leaves', hostPlans.output],
  ['its address is taken at its start', hostPlans.address],
  ['its settings file is written slowly at its start', hostPlans.settings],
  ['it has few descriptors', hostPlans.descriptors],
  ['it has few descriptors and many callers', hostPlans.descriptors, SoakScale.Full],
  ['its processor is capped', hostPlans.processor]
] as Array<[string, SoakPlan, SoakScale?]>).entries()) {
  test(`a real instance keeps the promises while ${title}`, async t => {
    t.deepEqual(await listBreaches({ plan, site: index, scale }), [])
  })
}
