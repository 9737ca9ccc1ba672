import type { Route } from './routing.ts'
import test from 'ava'
import fc from 'fast-check'
import { RouteKind } from './routing.ts'
import { createWeightedRoundRobin } from './weighted_round_robin.ts'

const seed = 20261203

function createRoute (weights: number[]): Route {
  return { name: 'r', host: 'h', pathPrefix: '/', kind: RouteKind.Safe, timeoutMs: 1, latencyObjectiveMs: 1, priority: 0, maxAttempts: 1, weightedServices: weights.map((weight, index) => ({ service: `s${index}`, weight })), hasAffinity: false, homeRegions: [] }
}

test('keeps each service within one request per other service of its weighted share', t => {
  t.log(`seed ${seed}`)
  t.notThrows(() => fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 100 }), { minLength: 2, maxLength: 4 }), weights => {
    const roundRobin = createWeightedRoundRobin(() => 0)
    const route = createRoute(weights)
    const total = weights.reduce((sum, weight) => sum + weight, 0)
    const counts = weights.map(() => 0)
    for (let sent = 1; sent <= 300; sent++) {
      const index = Number(roundRobin.choose(route).slice(1))
      counts[index] = counts[index]! + 1
      for (const [serviceIndex, weight] of weights.entries()) {
        if (Math.abs(counts[serviceIndex]! - sent * weight / total) > weights.length - 1) return false
      }
    }
    return true
  }), { seed }))
})

test('restarts when the weights change', t => {
  const roundRobin = createWeightedRoundRobin(() => 0)
  roundRobin.choose(createRoute([1, 1]))
  const counts: Record<string, number> = {}
  for (let sent = 0; sent < 100; sent++) {
    const service = roundRobin.choose(createRoute([9, 1]))
    counts[service] = (counts[service] ?? 0) + 1
  }
  t.deepEqual(counts, { s0: 90, s1: 10 })
})
