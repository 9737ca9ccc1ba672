import type { RegionPlan, RegionSituation } from './desired_weights.ts'
import test from 'ava'
import fc from 'fast-check'
import { emptyPlan, planRegions, recoveryHoldMs } from './desired_weights.ts'
import { Objective } from './outcomes.ts'

const weights = { a: 1, b: 1, c: 1 }
type Situations = Record<string, RegionSituation>

function createSituations (capacities: number[], demands: number[]): Situations {
  return Object.fromEntries(['a', 'b', 'c'].map((region, index) => [region, { capacity: capacities[index]!, demand: demands[index]! }]))
}

function plan (situations: Situations, before: RegionPlan = emptyPlan, options: { nowMs?: number, objective?: Objective } = {}): RegionPlan {
  return planRegions(before, { weights, situations, objective: Objective.Headroom, nowMs: 0, ...options })
}

const round = (plan: RegionPlan): number[] => ['a', 'b', 'c'].map(region => Math.round((plan.weights[region] ?? 0) * 1000) / 1000)

const cases: Array<[string, number[], number[], number[]]> = [
  ['no load', [20, 20, 20], [0, 0, 0], [0.333, 0.333, 0.333]],
  ['even load below the level', [20, 20, 20], [14, 14, 14], [0.333, 0.333, 0.333]],
  ['a region has failed', [0, 20, 20], [0, 4, 4], [0, 0.5, 0.5]],
  ['a smaller region gives the rest to the others', [10, 20, 20], [10, 10, 10], [0.217, 0.392, 0.392]],
  ['others take only what they have room for', [10, 20, 40], [16, 16, 16], [0.135, 0.271, 0.594]],
  ['overload everywhere is shared by capacity', [10, 20, 30], [60, 60, 60], [0.167, 0.333, 0.5]],
  ['all have failed', [0, 0, 0], [9, 9, 9], [0, 0, 0]]
]
for (const [name, capacities, demands, expected] of cases) {
  test(`plans regions: ${name}`, t => t.deepEqual(round(plan(createSituations(capacities, demands))), expected))
}

test('sends nothing to a region without weight', t => {
  const situations = createSituations([10, 10, 10], [30, 30, 0])
  const planned = planRegions(emptyPlan, { weights: { a: 1, b: 1 }, situations, objective: Objective.Latency, nowMs: 0 })
  t.deepEqual(Object.keys(planned.weights), ['a', 'b'])
})

test('takes a region back only after it has had capacity for a while', t => {
  const up = createSituations([20, 20, 20], [0, 0, 0])
  let planned = plan(createSituations([0, 20, 20], [0, 0, 0]))
  for (const [nowMs, share] of [[1, 0], [recoveryHoldMs - 1, 0], [recoveryHoldMs, 0.333]] as const) {
    planned = plan(up, planned, { nowMs })
    t.is(round(planned)[0], share)
  }
})

test('keeps spilling until the demand is below the lower level', t => {
  const smaller = (each: number): Situations => createSituations([10, 20, 20], [each, each, each])
  const spilled = plan(smaller(7.6))
  t.true(spilled.spilling.has('a'))
  t.true(plan(smaller(7), spilled).spilling.has('a'))
  t.false(plan(smaller(7)).spilling.has('a'))
  t.false(plan(smaller(6.4), spilled).spilling.has('a'))
})

test('leaves the weights alone for a small change', t => {
  const before = plan(createSituations([10, 20, 20], [10, 10, 10]))
  t.is(plan(createSituations([10, 20, 20], [10.1, 10.1, 10.1]), before).weights, before.weights)
})

test('never plans more for a region than its level while the demand fits', t => {
  const amounts = fc.array(fc.integer({ min: 0, max: 50 }), { minLength: 3, maxLength: 3 })
  fc.assert(fc.property(amounts, amounts, fc.constantFrom(...Object.values(Objective)), (capacities, demands, objective) => {
    const situations = createSituations(capacities, demands)
    const planned = plan(situations, emptyPlan, { objective })
    const sum = Object.values(planned.weights).reduce((total, weight) => total + weight, 0)
    const capacity = capacities.reduce((total, each) => total + each, 0)
    const demand = demands.reduce((total, each) => total + each, 0)
    if (capacity === 0) return sum === 0
    const full = ['a', 'b', 'c'].map((region, index) => (planned.weights[region] ?? 0) * demand / Math.max(capacities[index]!, 1e-9))
    const limit = objective === Objective.Headroom ? 0.75 : 0.9
    if (Math.abs(sum - 1) > 1e-9) return false
    return demand > 0.65 * capacity || Math.max(...full) <= limit + 1e-6
  }), { seed: 20260612, numRuns: 1_000 })
  t.pass()
})
