import type { RegionPlan, RegionLoad } from './desired_weights.ts'
import test from 'ava'
import fc from 'fast-check'
import { emptyRegionPlan, planRegions, recoveryHoldMs } from './desired_weights.ts'
import { Objective } from './outcomes.ts'

const weights = { a: 1, b: 1, c: 1 }
type RegionLoads = Record<string, RegionLoad>

function createLoads (capacities: number[], demands: number[]): RegionLoads {
  return Object.fromEntries(['a', 'b', 'c'].map((region, index) => [region, { capacity: capacities[index]!, demand: demands[index]! }]))
}

function plan (regionLoads: RegionLoads, before: RegionPlan = emptyRegionPlan, options: { nowMs?: number, objective?: Objective } = {}): RegionPlan {
  return planRegions(before, { weights, regionLoads, objective: Objective.Headroom, nowMs: 0, ...options })
}

const round = (plan: RegionPlan): number[] => ['a', 'b', 'c'].map(region => Math.round((plan.weights[region] ?? 0) * 1000) / 1000)

const cases: Array<[string, number[], number[], number[]]> = [
  ['keeps equal weights without load', [20, 20, 20], [0, 0, 0], [0.333, 0.333, 0.333]],
  ['keeps equal weights for an equal load below the spill level', [20, 20, 20], [14, 14, 14], [0.333, 0.333, 0.333]],
  ['gives a failed region no weight', [0, 20, 20], [0, 4, 4], [0, 0.5, 0.5]],
  ['a smaller region spills its excess demand to the others', [10, 20, 20], [10, 10, 10], [0.217, 0.392, 0.392]],
  ['a region takes spilled demand only up to its usable slots', [10, 20, 40], [16, 16, 16], [0.135, 0.271, 0.594]],
  ['divides an overload of all regions by capacity', [10, 20, 30], [60, 60, 60], [0.167, 0.333, 0.5]],
  ['has no weights when all regions have failed', [0, 0, 0], [9, 9, 9], [0, 0, 0]]
]
for (const [name, capacities, demands, expected] of cases) {
  test(`plans regions: ${name}`, t => t.deepEqual(round(plan(createLoads(capacities, demands))), expected))
}

test('plans no weight for a region without a weight in force', t => {
  const regionLoads = createLoads([10, 10, 10], [30, 30, 0])
  const planned = planRegions(emptyRegionPlan, { weights: { a: 1, b: 1 }, regionLoads, objective: Objective.Latency, nowMs: 0 })
  t.deepEqual(Object.keys(planned.weights), ['a', 'b'])
})

test('gives a failed region weight again only after it has had capacity for the recovery time', t => {
  const up = createLoads([20, 20, 20], [0, 0, 0])
  let planned = plan(createLoads([0, 20, 20], [0, 0, 0]), plan(up))
  for (const [nowMs, share] of [[1, 0], [recoveryHoldMs - 1, 0], [recoveryHoldMs, 0.333]] as const) {
    planned = plan(up, planned, { nowMs })
    t.is(round(planned)[0], share)
  }
})

test('gives a region weight as soon as it has capacity for the first time', t => {
  const planned = plan(createLoads([0, 20, 20], [0, 0, 0]))
  t.is(round(planned)[0], 0)
  t.is(round(plan(createLoads([20, 20, 20], [0, 0, 0]), planned, { nowMs: 1 }))[0], 0.333)
})

test('a region spills until its demand is below the lower spill level', t => {
  const createUnequalLoads = (each: number): RegionLoads => createLoads([10, 20, 20], [each, each, each])
  const spilled = plan(createUnequalLoads(7.6))
  t.true(spilled.spillingRegions.has('a'))
  t.true(plan(createUnequalLoads(7), spilled).spillingRegions.has('a'))
  t.false(plan(createUnequalLoads(7)).spillingRegions.has('a'))
  t.false(plan(createUnequalLoads(6.4), spilled).spillingRegions.has('a'))
})

test('keeps the previous weights when the change would be small', t => {
  const before = plan(createLoads([10, 20, 20], [10, 10, 10]))
  t.is(plan(createLoads([10, 20, 20], [10.1, 10.1, 10.1]), before).weights, before.weights)
})

test('plans no more than the spill level for any region while the total demand fits', t => {
  const amounts = fc.array(fc.integer({ min: 0, max: 50 }), { minLength: 3, maxLength: 3 })
  fc.assert(fc.property(amounts, amounts, fc.constantFrom(...Object.values(Objective)), (capacities, demands, objective) => {
    const regionLoads = createLoads(capacities, demands)
    const planned = plan(regionLoads, emptyRegionPlan, { objective })
    const sum = Object.values(planned.weights).reduce((total, weight) => total + weight, 0)
    const capacity = capacities.reduce((total, each) => total + each, 0)
    const demand = demands.reduce((total, each) => total + each, 0)
    if (capacity === 0) return sum === 0
    const loads = ['a', 'b', 'c'].map((region, index) => (planned.weights[region] ?? 0) * demand / Math.max(capacities[index]!, 1e-9))
    const limit = objective === Objective.Headroom ? 0.75 : 0.9
    if (Math.abs(sum - 1) > 1e-9) return false
    return demand > 0.65 * capacity || Math.max(...loads) <= limit + 1e-6
  }), { seed: 20260612, numRuns: 1_000 })
  t.pass()
})
