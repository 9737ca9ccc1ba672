import test from 'ava'
import { createRetryPacer } from './retry_after.ts'

const queue = { nowMs: 0, slots: 3, holdMs: 300 }

/** Returns the mean time after which each of a burst of refused callers may retry, in milliseconds. */
function computeMeanMs (calls: number): number {
  const pacer = createRetryPacer(() => 0.5)
  const timesMs = Array.from({ length: calls }, (_, index) => pacer.record({ ...queue, queued: calls - index - 1 }))
  return timesMs.reduce((sum, timeMs) => sum + timeMs, 0) / calls
}

test('tells refused callers to come back later the more of them there are', t => {
  const [few, many] = [computeMeanMs(6), computeMeanMs(56)]
  t.true(many > 2 * few, JSON.stringify({ few, many }))
})

test('spreads the callers of one burst over the time that their backlog takes', t => {
  let index = 0
  const pacer = createRetryPacer(() => index++ % 10 / 10)
  const timesMs = Array.from({ length: 60 }, () => pacer.record({ ...queue, queued: 0 }))
  const backlogMs = 60 * queue.holdMs / queue.slots
  t.true(Math.max(...timesMs) >= backlogMs, String(Math.max(...timesMs)))
  t.true(Math.max(...timesMs) <= 2 * backlogMs)
  t.true(new Set(timesMs.map(timeMs => Math.floor(timeMs / 1_000))).size >= 5)
})

test('tells callers to come back after a second while there are no slots', t => {
  t.is(createRetryPacer(() => 0.5).record({ ...queue, slots: 0, queued: 100 }), 1_000)
})
