import fc from 'fast-check'
import test from 'ava'
import { createRetryWindow, isPassingListenFault } from './retry_window.ts'

const seed = 20261205

test('attempts are paced, go on to the end of the window, and end there', t => {
  const random = fc.double({ min: 0, max: 1, maxExcluded: true, noNaN: true })
  fc.assert(fc.property(fc.integer({ min: 1, max: 60_000 }), random, fc.double({ min: 0, max: 50, noNaN: true }), (limitMs, draw, attemptMs) => {
    const window = createRetryWindow({ limitMs, getRandom: () => draw })
    let [elapsedMs, attempts] = [attemptMs, 1]
    for (let delayMs = window.planRetry(elapsedMs); delayMs !== undefined; delayMs = window.planRetry(elapsedMs)) {
      if (delayMs <= 0 || delayMs > 1_000) return false
      elapsedMs += delayMs + attemptMs
      attempts++
    }
    return elapsedMs >= limitMs && elapsedMs <= limitMs + 1 + attemptMs && attempts <= 8 + limitMs / 500
  }), { seed, numRuns: 2_000 })
  t.pass()
})

test('a window without an end is kept at the longest backoff', t => {
  const window = createRetryWindow({ limitMs: Infinity, getRandom: () => 0.5 })
  for (let attempts = 0; attempts < 2_000; attempts++) t.true(window.planRetry(attempts * 1_000)! <= 750)
})

for (const [code, isPassing] of [['EADDRINUSE', true], ['EADDRNOTAVAIL', true], ['EMFILE', true], ['ENFILE', true], ['ENOBUFS', true], ['ENOMEM', true], ['EACCES', false], ['EINVAL', false], [undefined, false]] as const) {
  test(`listening is ${isPassing ? '' : 'not '}tried again after ${code}`, t => {
    t.is(isPassingListenFault(code), isPassing)
  })
}
