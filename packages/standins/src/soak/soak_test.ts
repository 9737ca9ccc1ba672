import type { SoakSabotage } from './soak_callers.ts'
import type { SoakPlan } from './soak_plan.ts'
import { mkdtemp } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test from 'ava'
import { runSoak } from './run_soak.ts'
import { SoakRequestKind } from './soak_callers.ts'
import { listSoakBreaches } from './soak_checks.ts'
import { createSoakPlan, SoakFault } from './soak_plan.ts'

const instances = 4
const seed = 20_261_204
const durationMs = 30_000

const noSabotage: SoakSabotage = { addCopies: instance => [instance], changeCall: () => {} }

/** One instance without a path to targets, and nothing else. */
const cutPlan: SoakPlan = { seed: 1, instances: 2, durationMs: 14_000, calmMs: 3_000, events: [{ atMs: 500, durationMs: 10_000, fault: SoakFault.PathReset, instances: [0], target: 0 }] }
const quietPlan: SoakPlan = { seed: 2, instances: 2, durationMs: 4_000, calmMs: 1_000, events: [] }
const calmPlan: SoakPlan = { ...quietPlan, durationMs: 9_000, calmMs: 8_000 }
const drainPlan: SoakPlan = { ...quietPlan, durationMs: 12_000, events: [{ atMs: 500, durationMs: 0, fault: SoakFault.DrainTarget, instances: [], target: 0 }] }
const stopPlan: SoakPlan = { ...quietPlan, durationMs: 14_000, events: [{ atMs: 6_000, durationMs: 0, fault: SoakFault.StopInSeries, instances: [0], target: 0, signals: [{ afterMs: 300, signal: 'SIGTERM', pauseMs: 0 }, { afterMs: 600, signal: 'SIGINT', pauseMs: 0 }] }] }

async function createFolder (): Promise<string> {
  return mkdtemp(join(tmpdir(), 'soak-test-'))
}

test.serial('real instances keep the promises under a series of faults', async t => {
  const record = await runSoak({ plan: createSoakPlan({ seed, instances, durationMs }), folder: await createFolder() })
  t.deepEqual(listSoakBreaches(record), [])
  t.true(record.calls.length > 500)
})

for (const [index, [title, rule, plan, options]] of ([
  ['sends unsafe requests to two instances', 'TWICE', quietPlan, { sabotage: { ...noSabotage, addCopies: (instance, all) => [instance, ...all.filter(other => other !== instance).slice(0, 1)] } }],
  ['refuses requests that have run', 'REFUSED', quietPlan, { sabotage: { ...noSabotage, changeCall (call) { if (call.kind !== SoakRequestKind.Safe) call.status = 503 } } }],
  ['gives callers the response to another request', 'MIXED', quietPlan, { sabotage: { ...noSabotage, changeCall (call) { call.headers = { ...call.headers, 'x-request-id': 'other' } } } }],
  ['sends no request through other instances', 'RECOVER', cutPlan, { flags: ['--relay=off'] }],
  ['serves few callers in the calm at the end', 'RECOVER', calmPlan, { sabotage: { ...noSabotage, changeCall (call) { call.status = undefined } } }],
  ['knows of no leaving target', 'DRAIN', drainPlan, { isDrainHidden: true }],
  ['gives no response to requests that ran', 'LOST', quietPlan, { sabotage: { ...noSabotage, changeCall (call) { if (call.kind === SoakRequestKind.Unsafe) call.status = undefined } } }],
  ['loses requests in a stop that gets further signals', 'LOST', stopPlan, { sabotage: { ...noSabotage, changeCall (call) { if (call.kind === SoakRequestKind.Slow) call.status = undefined } } }]
] as Array<[string, string, SoakPlan, { sabotage?: SoakSabotage, flags?: string[], isDrainHidden?: boolean }]>).entries()) {
  test(`the soak notices a fleet that ${title}`, async t => {
    const record = await runSoak({ plan, folder: await createFolder(), site: index, ...options })
    const breaches = listSoakBreaches(record)
    t.true(breaches.some(breach => breach.startsWith(rule)), breaches.join('; '))
  })
}
