import type { AcceptedDocument } from './document.ts'
import type { PlanShiftOptions } from './shift.ts'
import type { RegionWeights, WeightRamp } from './weight_ramp.ts'
import test from 'ava'
import fc from 'fast-check'
import { Objective } from './outcomes.ts'
import { planShift, ShiftState } from './shift.ts'
import { computeMovedShare, computeShares, moveWeights, advanceWeights } from './weight_ramp.ts'

const seed = Number(process.env['FC_SEED'] ?? 4)
const tolerance = 1e-9

function createAccepted (regionWeights: RegionWeights, shiftCap = 0.1, revision = 2): AcceptedDocument {
  const limits = { maxBodyBytes: 1, maxUploadBytes: 1, maxQueued: 1 }
  const document = { service: 'api', ownerTeam: 'a', regionWeights, shiftCap, shiftStepMs: 1_000, leavingTargets: [], classes: [], objective: Objective.Headroom, limits }
  return { revision, document, acceptedAtMs: 0, author: 'n', submissionId: 's' }
}

function createOptions (overrides: Partial<PlanShiftOptions>): PlanShiftOptions {
  const row = { service: 'api', documentRevision: 2, step: 4, weights: { a: 0.5, b: 0.5 } }
  return { row, accepted: createAccepted({ a: 1, b: 0 }), seenAtMs: 0, nowMs: 1_000, isPlatformReachable: true, hasCapacity: () => true, ...overrides }
}

const cases: Array<[name: string, change: Partial<PlanShiftOptions>, state: ShiftState, weights?: RegionWeights]> = [
  ['due after a full step', {}, ShiftState.Due, { a: 0.6, b: 0.4 }],
  ['step still running', { nowMs: 999 }, ShiftState.StepRunning],
  ['clock before the time at which the row was seen', { nowMs: -5_000 }, ShiftState.StepRunning],
  ['platform unreachable', { isPlatformReachable: false }, ShiftState.PlatformOut],
  ['no capacity', { hasCapacity: () => false }, ShiftState.NoCapacity],
  ['cap 0', { accepted: createAccepted({ a: 1 }, 0) }, ShiftState.CapZero],
  ['cap not a number', { accepted: createAccepted({ a: 1 }, NaN) }, ShiftState.CapZero],
  ['cap 1', { accepted: createAccepted({ a: 1 }, 1) }, ShiftState.Due, { a: 1 }],
  ['settled', { accepted: createAccepted({ a: 3, b: 3 }) }, ShiftState.Settled],
  ['weights differ only by rounding', { accepted: createAccepted({ a: 0.1 + 0.2, b: 0.3 }) }, ShiftState.Settled],
  ['no positive weight', { accepted: createAccepted({ a: 0 }) }, ShiftState.Settled],
  ['document older than that of the row', { accepted: createAccepted({ a: 1 }, 0.1, 1) }, ShiftState.DocumentBehind],
  ['one region added and one removed', { accepted: createAccepted({ a: 1, c: 1 }) }, ShiftState.Due, { a: 0.5, b: 0.431, c: 0.069 }]
]

for (const [name, change, state, weights] of cases) {
  test(`plans a shift: ${name}`, t => {
    const plan = planShift(createOptions(change))
    t.is(plan.state, state)
    t.is(plan.next === undefined, weights === undefined)
    if (plan.next !== undefined) t.true(computeMovedShare(plan.next.weights, weights!) < 0.002, JSON.stringify(plan.next))
  })
}

test('moves exactly the capped share of callers in a step of three regions', t => {
  const { row, accepted } = createOptions({ accepted: createAccepted({ a: 1, c: 1 }) })
  const { next } = planShift(createOptions({ row, accepted }))
  t.true(Math.abs(computeMovedShare(row.weights, next!.weights) - 0.1) < tolerance)
})

test('checks the capacity for the next step, not for the desired weights', t => {
  planShift(createOptions({
    hasCapacity (_service, { from, to }) {
      t.true(Math.abs(computeMovedShare(from, to) - 0.1) < tolerance)
      return true
    }
  }))
})

const rawWeights = fc.dictionary(fc.constantFrom('a', 'b', 'c', 'd'), fc.oneof(fc.double({ min: -1, max: 1e300 }), fc.constantFrom(NaN, Infinity, 0, 1e308, 5e-324)), { noNullPrototype: true })

test('computes shares that add up to 1 or are empty for any weights', t => {
  fc.assert(fc.property(rawWeights, weights => {
    const values = Object.values(computeShares(weights))
    const sum = values.reduce((total, value) => total + value, 0)
    t.true(values.length === 0 || Math.abs(sum - 1) < tolerance)
    t.true(values.every(value => value >= 0))
  }), { seed })
})

test('moves at most the allowed share and keeps the sum of weights at 1', t => {
  fc.assert(fc.property(rawWeights, rawWeights, fc.double({ min: 0, max: 1, noNaN: true }), (before, after, maxShare) => {
    const [from, desired] = [computeShares(before), computeShares(after)]
    if (Object.keys(from).length === 0 || Object.keys(desired).length === 0) return
    const moved = moveWeights(from, desired, { maxShare })
    t.true(computeMovedShare(from, moved) <= maxShare + tolerance)
    t.true(Math.abs(Object.values(moved).reduce((total, value) => total + value, 0) - 1) < tolerance)
  }), { seed })
})

test('never moves more than the cap in any window of one step', t => {
  const update = fc.record({ waitMs: fc.integer({ min: 0, max: 700 }), weights: rawWeights })
  fc.assert(fc.property(fc.array(update, { minLength: 2, maxLength: 30 }), fc.double({ min: 0.01, max: 1, noNaN: true }), (updates, cap) => {
    let ramp: WeightRamp = { applied: { a: 1 }, moves: [] }
    let nowMs = 0
    const moves: Array<{ atMs: number, share: number }> = []
    for (const { waitMs, weights } of updates) {
      nowMs += waitMs
      const next = advanceWeights(ramp, computeShares(weights), { cap, stepMs: 1_000, nowMs })
      moves.push({ atMs: nowMs, share: computeMovedShare(ramp.applied, next.applied) })
      ramp = next
    }
    for (const { atMs } of moves) {
      const share = moves.filter(move => move.atMs > atMs - 1_000 && move.atMs <= atMs).reduce((sum, move) => sum + move.share, 0)
      t.true(share <= cap + tolerance, `${share} of ${cap}`)
    }
  }), { seed })
})
