import test from 'ava'
import fc from 'fast-check'
import { createFleetRetryBudget } from './fleet_retry_budget.ts'

const seed = 20261203
const ratio = 0.2
const slack = 56
const windowMs = 10_000

test('keeps the retries of all instances together within the budget in any window', t => {
  t.log(`seed ${seed}`)
  const event = fc.record({ instance: fc.nat(6), gapMs: fc.integer({ min: 0, max: 40 }), isRetry: fc.boolean() })
  t.notThrows(() => fc.assert(fc.property(fc.array(event, { minLength: 200, maxLength: 2_000 }), events => {
    const budgets = Array.from({ length: 7 }, () => createFleetRetryBudget({ ratio, slack, windowMs, getInstanceCount: () => 7 }))
    const requests: number[] = []
    const retries: number[] = []
    let nowMs = 0
    for (const { instance, gapMs, isRetry } of events) {
      nowMs += gapMs
      if (!isRetry) {
        budgets[instance]!.recordRequest(nowMs)
        requests.push(nowMs)
      } else if (budgets[instance]!.take(nowMs)) retries.push(nowMs)
    }
    return retries.every((atMs, index) => {
      const retryCount = index + 1 - retries.findIndex(other => other > atMs - windowMs)
      // A retry may result from a request up to one window length before it, so the requests of two windows count.
      const requestCount = requests.filter(other => other <= atMs && other > atMs - 2 * windowMs).length
      return retryCount <= ratio * requestCount + slack
    })
  }), { seed, numRuns: 50 }))
})

test('allows retries from the slack before any request', t => {
  const budget = createFleetRetryBudget({ ratio, slack, windowMs, getInstanceCount: () => 7 })
  let taken = 0
  while (budget.take(0)) taken++
  t.is(taken, 4)
})

// All targets refuse 45 % of their requests for some seconds: two of five such requests may be retried.
test('retries nearly a fifth of the requests while targets refuse many', t => {
  const budget = createFleetRetryBudget({ ratio, slack, windowMs, getInstanceCount: () => 7 })
  let retried = 0
  const requests = 400
  for (let request = 0; request < requests; request++) {
    budget.recordRequest(request * 20)
    if (request % 20 < 9 && budget.take(request * 20)) retried++
  }
  t.true(retried >= 0.17 * requests, `${retried} of ${requests} requests were retried`)
})

test('counts a request only within the window', t => {
  const budget = createFleetRetryBudget({ ratio, slack: 0, windowMs, getInstanceCount: () => 1 })
  for (let count = 0; count < 100; count++) budget.recordRequest(0)
  t.true(budget.take(5_000))
  t.false(budget.take(12_000))
})

for (const instances of [77, 300]) {
  test(`keeps the retries of ${instances} instances within the budget while each restarts once and some are cut off from the others`, t => {
    t.log(`seed ${seed}`)
    const fleetSlack = 430
    const event = fc.record({ instance: fc.nat(instances - 1), gapMs: fc.integer({ min: 0, max: 6 }), kind: fc.constantFrom('request', 'retry', 'retry', 'restart') })
    t.notThrows(() => fc.assert(fc.property(fc.array(event, { minLength: 1_000, maxLength: 4_000 }), fc.nat({ max: 20 }), (events, cutOff) => {
      // An instance that is cut off keeps the largest number of instances that it has seen.
      const createBudget = (): ReturnType<typeof createFleetRetryBudget> => createFleetRetryBudget({ ratio, slack: fleetSlack, windowMs, getInstanceCount: () => instances })
      const budgets = Array.from({ length: instances }, createBudget)
      const restarted = new Set<number>()
      const requests: number[] = []
      const retries: number[] = []
      let nowMs = 0
      for (const { instance, gapMs, kind } of events) {
        nowMs += gapMs
        if (kind === 'restart') {
          if (instance >= cutOff && !restarted.has(instance)) budgets[instance] = createBudget()
          restarted.add(instance)
        } else if (kind === 'request') {
          budgets[instance]!.recordRequest(nowMs)
          requests.push(nowMs)
        } else if (budgets[instance]!.take(nowMs)) retries.push(nowMs)
      }
      let first = 0
      return retries.every((atMs, index) => {
        while (retries[first]! <= atMs - windowMs) first++
        const requestCount = requests.filter(other => other <= atMs && other > atMs - 2 * windowMs).length
        return index + 1 - first <= ratio * requestCount + fleetSlack
      })
    }), { seed, numRuns: 20 }))
  })
}
