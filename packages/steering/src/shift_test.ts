import type { AcceptedDocument } from './document.ts'
import type { PlanShiftOptions } from './shift.ts'
import type { RegionWeights, WeightRamp } from './weight_ramp.ts'
import test from 'ava'
import fc from 'fast-check'
import { Objective } from './outcomes.ts'
import { planShift, ShiftState } from './shift.ts'
import { computeMovedShare, computeShares, moveWeights, advanceWeights } from './weight_ramp.ts'

const seed = Number(process.env['FC_SEED'] ?? 4)
const dust = 1e-9

function createAccepted (regionWeights: RegionWeights, shiftCap = 0.1, revision = 2): AcceptedDocument {
  const limits = { maxBodyBytes: 1, maxUploadBytes: 1, maxQueued: 1 }
  const document = { service: 'api', ownerTeam: 'a', regionWeights, shiftCap, shiftStepMs: 1_000, leavingTargets: [], classes: [], objective: Objective.Headroom, limits }
  return { revision, document, acceptedAtMs: 0, author: 'n', submissionId: 's' }
}

function createOptions (change: Partial<PlanShiftOptions>): PlanShiftOptions {
  const row = { service: 'api', documentRevision: 2, step: 4, weights: { a: 0.5, b: 0.5 } }
  return { row, accepted: createAccepted({ a: 1, b: 0 }), seenAtMs: 0, nowMs: 1_000, isPlatformReachable: true, hasCapacity: () => true, ...change }
}

const cases: Array<[name: string, change: Partial<PlanShiftOptions>, state: ShiftState, weights?: RegionWeights]> = [
  ['due after a whole step', {}, ShiftState.Due, { a: 0.6, b: 0.4 }],
  ['step not over', { nowMs: 999 }, ShiftState.StepRunning],
  ['clock behind the sighting', { nowMs: -5_000 }, ShiftState.StepRunning],
  ['platform out', { isPlatformReachable: false }, ShiftState.PlatformOut],
  ['no capacity', { hasCapacity: () => false }, ShiftState.NoCapacity],
  ['cap 0', { accepted: createAccepted({ a: 1 }, 0) }, ShiftState.CapZero],
  ['cap not a number', { accepted: createAccepted({ a: 1 }, NaN) }, ShiftState.CapZero],
  ['cap 1', { accepted: createAccepted({ a: 1 }, 1) }, ShiftState.Due, { a: 1 }],
  ['settled', { accepted: createAccepted({ a: 3, b: 3 }) }, ShiftState.Settled],
  ['rounding apart', { accepted: createAccepted({ a: 0.1 + 0.2, b: 0.3 }) }, ShiftState.Settled],
  ['no weight at all', { accepted: createAccepted({ a: 0 }) }, ShiftState.Settled],
  ['document behind the row', { accepted: createAccepted({ a: 1 }, 0.1, 1) }, ShiftState.DocumentBehind],
  ['a region appears and one goes', { accepted: createAccepted({ a: 1, c: 1 }) }, ShiftState.Due, { a: 0.5, b: 0.431, c: 0.069 }]
]

for (const [name, change, state, weights] of cases) {
  test(`plan: ${name}`, t => {
    const plan = planShift(createOptions(change))
    t.is(plan.state, state)
    t.is(plan.next === undefined, weights === undefined)
    if (plan.next !== undefined) t.true(computeMovedShare(plan.next.weights, weights!) < 0.002, JSON.stringify(plan.next))
  })
}

test('a step of three regions moves the cap, counted in callers', t => {
  const { row, accepted } = createOptions({ accepted: createAccepted({ a: 1, c: 1 }) })
  const { next } = planShift(createOptions({ row, accepted }))
  t.true(Math.abs(computeMovedShare(row.weights, next!.weights) - 0.1) < dust)
})

test('capacity is asked for the step, not for the end', t => {
  planShift(createOptions({
    hasCapacity (_service, { from, to }) {
      t.true(Math.abs(computeMovedShare(from, to) - 0.1) < dust)
      return true
    }
  }))
})

const rawWeights = fc.dictionary(fc.constantFrom('a', 'b', 'c', 'd'), fc.oneof(fc.double({ min: -1, max: 1e300 }), fc.constantFrom(NaN, Infinity, 0, 1e308, 5e-324)), { noNullPrototype: true })

test('shares add up to 1 or are empty, whatever the weights', t => {
  fc.assert(fc.property(rawWeights, weights => {
    const values = Object.values(computeShares(weights))
    const sum = values.reduce((total, value) => total + value, 0)
    t.true(values.length === 0 || Math.abs(sum - 1) < dust)
    t.true(values.every(value => value >= 0))
  }), { seed })
})

test('a move takes at most its share and stays a distribution', t => {
  fc.assert(fc.property(rawWeights, rawWeights, fc.double({ min: 0, max: 1, noNaN: true }), (before, after, maxShare) => {
    const [from, desired] = [computeShares(before), computeShares(after)]
    if (Object.keys(from).length === 0 || Object.keys(desired).length === 0) return
    const moved = moveWeights(from, desired, { maxShare })
    t.true(computeMovedShare(from, moved) <= maxShare + dust)
    t.true(Math.abs(Object.values(moved).reduce((total, value) => total + value, 0) - 1) < dust)
  }), { seed })
})

test('a walk never moves more than the cap in any window of a step', t => {
  const turn = fc.record({ waitMs: fc.integer({ min: 0, max: 700 }), weights: rawWeights })
  fc.assert(fc.property(fc.array(turn, { minLength: 2, maxLength: 30 }), fc.double({ min: 0.01, max: 1, noNaN: true }), (turns, cap) => {
    let walk: WeightRamp = { applied: { a: 1 }, moves: [] }
    let nowMs = 0
    const moves: Array<{ atMs: number, share: number }> = []
    for (const { waitMs, weights } of turns) {
      nowMs += waitMs
      const next = advanceWeights(walk, computeShares(weights), { cap, stepMs: 1_000, nowMs })
      moves.push({ atMs: nowMs, share: computeMovedShare(walk.applied, next.applied) })
      walk = next
    }
    for (const { atMs } of moves) {
      const share = moves.filter(move => move.atMs > atMs - 1_000 && move.atMs <= atMs).reduce((sum, move) => sum + move.share, 0)
      t.true(share <= cap + dust, `${share} of ${cap}`)
    }
  }), { seed })
})
