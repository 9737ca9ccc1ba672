import test from 'ava'
import fc from 'fast-check'
import { createFleetRetryBudget } from './fleet_retry_budget.ts'

const seed = 20261203
const ratio = 0.2
const slack = 56
const windowMs = 10_000

test('holds in the sum over instances, in any window', t => {
  t.log(`seed ${seed}`)
  const event = fc.record({ instance: fc.nat(6), gapMs: fc.integer({ min: 0, max: 40 }), isRepeat: fc.boolean() })
  t.notThrows(() => fc.assert(fc.property(fc.array(event, { minLength: 200, maxLength: 2_000 }), events => {
    const budgets = Array.from({ length: 7 }, () => createFleetRetryBudget({ ratio, slack, windowMs, getInstances: () => 7 }))
    const requests: number[] = []
    const repeats: number[] = []
    let nowMs = 0
    for (const { instance, gapMs, isRepeat } of events) {
      nowMs += gapMs
      if (!isRepeat) {
        budgets[instance]!.recordRequest(nowMs)
        requests.push(nowMs)
      } else if (budgets[instance]!.take(nowMs)) repeats.push(nowMs)
    }
    return repeats.every((atMs, index) => {
      const within = index + 1 - repeats.findIndex(other => other > atMs - windowMs)
      // The window of the rule, or the one before it.
      const asked = requests.filter(other => other <= atMs && other > atMs - 2 * windowMs).length
      return within <= ratio * asked + slack
    })
  }), { seed, numRuns: 50 }))
})

test('allows a repeat before any request, from the slack', t => {
  const budget = createFleetRetryBudget({ ratio, slack, windowMs, getInstances: () => 7 })
  let taken = 0
  while (budget.take(0)) taken++
  t.is(taken, 4)
})

test('counts a request for a window only', t => {
  const budget = createFleetRetryBudget({ ratio, slack: 0, windowMs, getInstances: () => 1 })
  for (let count = 0; count < 100; count++) budget.recordRequest(0)
  t.true(budget.take(5_000))
  t.false(budget.take(12_000))
})
