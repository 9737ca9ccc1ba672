import fc from 'fast-check'
import test from 'ava'
import { createPollSchedule } from './poll_schedule.ts'

/** Time of a call with an immediate response over a new connection between regions, in milliseconds. */
const callMs = 230
const seed = 20261204

/** An outage that silences each call that is open or starts during it. */
interface Outage { startMs: number, endMs: number }

/** Plays calls on a virtual clock, with a pause after each response, and returns the start of the first one after the outage that gets a response. */
function findFirstCallAfter (outage: Outage, options: { stableMs: number, firstCallMs: number, pauseMs: number, getRandom: () => number }): number {
  const schedule = createPollSchedule(options)
  // Time since which the connection of the next call has been open; a call after a failure opens a new one.
  let connectedAtMs = options.firstCallMs
  for (let nowMs = options.firstCallMs; ;) {
    const { waitMs, timeoutMs } = schedule.planCall(nowMs - connectedAtMs)
    if (connectedAtMs >= outage.endMs) return nowMs
    const isAnswered = nowMs + waitMs + callMs <= outage.startMs
    if (isAnswered) {
      schedule.recordResponse()
      connectedAtMs = nowMs + waitMs + callMs
      nowMs = connectedAtMs + options.pauseMs
    } else {
      nowMs += timeoutMs + schedule.recordFailure()
      connectedAtMs = nowMs
    }
  }
}

test('reaches the store within the stability window after any outage', t => {
  const durations = fc.integer({ min: 1, max: 30_000 })
  fc.assert(fc.property(fc.constantFrom(3_000, 4_000, 5_000, 10_000), durations, durations, fc.integer({ min: 0, max: 10_000 }), fc.integer({ min: 0, max: 1_000 }), fc.double({ min: 0, max: 1, maxExcluded: true, noNaN: true }), (stableMs, startMs, durationMs, firstCallMs, pauseMs, random) => {
    const outage = { startMs, endMs: startMs + durationMs }
    const calledAtMs = findFirstCallAfter(outage, { stableMs, firstCallMs, pauseMs, getRandom: () => random })
    return firstCallMs > outage.endMs || calledAtMs + callMs <= outage.endMs + stableMs
  }), { seed, numRuns: 20_000 })
  t.pass()
})

test('waits for changes again after the first response', t => {
  const schedule = createPollSchedule({ stableMs: 4_000, getRandom: () => 0 })
  const { waitMs } = schedule.planCall(0)
  t.true(waitMs > 2_000)
  schedule.recordFailure()
  t.is(schedule.planCall(0).waitMs, 0)
  schedule.recordResponse()
  t.is(schedule.planCall(0).waitMs, waitMs)
})

test('gives a slow store more time with each failure, and backs off', t => {
  const schedule = createPollSchedule({ stableMs: 4_000, getRandom: () => 1 })
  const retriesMs = [1, 2, 3, 4, 5].map(() => schedule.recordFailure())
  t.deepEqual(retriesMs, [100, 200, 400, 600, 600])
  t.is(schedule.planCall(0).timeoutMs, 2_000)
})
