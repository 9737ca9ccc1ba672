import test from 'ava'
import { rankByRendezvous } from './rendezvous.ts'

const callers = Array.from({ length: 10_000 }, (_, index) => `caller-${index}`)

test('ranks every name of positive weight once', t => {
  t.deepEqual(rankByRendezvous('x', { a: 1, b: 2, c: 0 }).sort(), ['a', 'b'])
})

test('moves no more callers than the weights', t => {
  const before = { a: 0.5, b: 0.5 }
  const after = { a: 0.4, b: 0.6 }
  const moved = callers.filter(caller => rankByRendezvous(caller, before)[0] !== rankByRendezvous(caller, after)[0])
  t.true(moved.every(caller => rankByRendezvous(caller, after)[0] === 'b'))
  t.true(Math.abs(moved.length / callers.length - 0.1) < 0.01, `moved ${moved.length}`)
})
