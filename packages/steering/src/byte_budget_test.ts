import test from 'ava'
import fc from 'fast-check'
import { createByteBudget } from './byte_budget.ts'

const seed = 7
const bounds = { bytesPerSecond: 2_048, burstBytes: 10_000 }

test('spends at most the burst, the refilled bytes and one message', t => {
  const calls = fc.array(fc.record({ waitMs: fc.nat(3_000), bytes: fc.integer({ min: 1, max: 20_000 }) }), { minLength: 1, maxLength: 60 })
  fc.assert(fc.property(calls, list => {
    const budget = createByteBudget(bounds, 0)
    let nowMs = 0
    let spent = 0
    let largest = 0
    for (const { waitMs, bytes } of list) {
      nowMs += waitMs
      if (!budget.hasRemaining(nowMs)) continue
      budget.charge(bytes, nowMs)
      spent += bytes
      largest = Math.max(largest, bytes)
    }
    return spent <= bounds.burstBytes + nowMs * bounds.bytesPerSecond / 1000 + largest
  }), { seed })
  t.pass()
})

test('allows sending again once the deficit is refilled', t => {
  const budget = createByteBudget(bounds, 0)
  budget.charge(20_000, 0)
  t.deepEqual([4_000, 4_900].map(nowMs => budget.hasRemaining(nowMs)), [false, true])
})

test('refills nothing when the clock does not advance or runs backwards', t => {
  const budget = createByteBudget(bounds, 1_000)
  budget.charge(10_000, 1_000)
  t.deepEqual([1_000, 0].map(nowMs => budget.hasRemaining(nowMs)), [false, false])
})
