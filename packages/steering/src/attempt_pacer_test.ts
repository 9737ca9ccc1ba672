import test from 'ava'
import fc from 'fast-check'
import { createAttemptPacer } from './attempt_pacer.ts'

test('no series of attempts exceeds the limits of an address or of the instance', t => {
  const [perSecond, totalPerSecond] = [4, 10]
  fc.assert(fc.property(fc.array(fc.tuple(fc.integer({ min: 0, max: 300 }), fc.integer({ min: 0, max: 5 })), { maxLength: 300 }), steps => {
    const pacer = createAttemptPacer({ perSecond, totalPerSecond })
    const taken: Array<{ key: string, atMs: number }> = []
    let nowMs = 0
    for (const [pauseMs, address] of steps) {
      nowMs += pauseMs
      if (pacer.take(`t${address}`, nowMs)) taken.push({ key: `t${address}`, atMs: nowMs })
    }
    for (const { key, atMs } of taken) {
      const inSecond = taken.filter(other => other.atMs >= atMs && other.atMs < atMs + 1_000)
      t.true(inSecond.length <= 2 * totalPerSecond)
      t.true(inSecond.filter(other => other.key === key).length <= 2 * perSecond)
    }
  }))
})

test('an address without attempts may be tried at once, whatever others have used', t => {
  const pacer = createAttemptPacer({ perSecond: 2, totalPerSecond: 100 })
  t.deepEqual([0, 0, 0, 400, 500].map(nowMs => pacer.take('a', nowMs)), [true, true, false, false, true])
  t.true(pacer.take('b', 500))
})
