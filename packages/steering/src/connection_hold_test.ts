import test from 'ava'
import fc from 'fast-check'
import { createConnectionHold } from './connection_hold.ts'
import { FailureSide } from './failure_side.ts'

const { Local, LocalAddress, Path, Remote } = FailureSide

for (const [side, isHeld, isOtherHeld] of [[Local, true, true], [LocalAddress, true, false], [Path, false, false], [Remote, false, false]] as const) {
  test(`a failure on the side "${side}" holds back: ${isHeld ? 'the address' : 'nothing'}${isOtherHeld ? ' and all others' : ''}`, t => {
    const hold = createConnectionHold({ getRandom: () => 0.5 })
    hold.recordFailure('a', side, 0)
    t.deepEqual([hold.isHeld('a', 1), hold.isHeld('b', 1), hold.isActive(1)], [isHeld, isOtherHeld, isHeld])
    t.false(hold.isHeld('a', 100))
  })
}

test('connections that are refused together lengthen the hold once, and one that is established ends it', t => {
  const hold = createConnectionHold({ getRandom: () => 0 })
  for (let count = 0; count < 30; count++) hold.recordFailure('a', Local, 0)
  t.deepEqual([9, 10].map(nowMs => hold.isHeld('a', nowMs)), [true, false])
  t.deepEqual([hold.take('a', 10), hold.take('b', 11)], [true, false])
  hold.recordFailure('a', Local, 12)
  t.deepEqual([31, 32].map(nowMs => hold.isHeld('a', nowMs)), [true, false])
  hold.recordEstablished('a', 33)
  t.false(hold.isActive(33))
  t.deepEqual([hold.take('a', 33), hold.take('b', 33)], [true, true])
})

test('a host that refuses all connections is asked a limited number of times in a second', t => {
  fc.assert(fc.property(fc.array(fc.tuple(fc.integer({ min: 0, max: 20 }), fc.integer({ min: 0, max: 5 }), fc.boolean()), { minLength: 200, maxLength: 400 }), steps => {
    const hold = createConnectionHold({ getRandom: () => 0 })
    const takenMs: number[] = []
    let nowMs = 0
    for (const [pauseMs, address, isDelayed] of steps) {
      nowMs += pauseMs
      if (!hold.take(`t${address}`, nowMs)) continue
      takenMs.push(nowMs)
      if (isDelayed) nowMs++
      hold.recordFailure(`t${address}`, Local, nowMs)
    }
    for (const atMs of takenMs.slice(8)) t.true(takenMs.filter(other => other >= atMs && other < atMs + 1_000).length <= 6)
  }))
})
