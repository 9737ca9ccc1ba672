import type { ComputeRateReadyOptions } from './target_rate_senders.ts'
import test from 'ava'
import { computeHash } from './rendezvous.ts'
import { createTargetRate, recordNamedRate } from './target_rate.ts'
import { claimNoticeMs, computeRateReadyMs, createRateClaim, isRateClaimed, recordRateRequest } from './target_rate_senders.ts'

const seed = 20261204
const windowMs = 4_000
const durationMs = 60_000

interface SendingOptions {
  targetId: string
  perSecond: number
  getRandom: () => number
}

const listNames = (instances: number): string[] => Array.from({ length: instances }, (_, index) => `entry-${index}`)

/** Creates the options of an instance; all instances claim a part of the rate unless the claimants are given. */
function createOptions (instance: string, names: string[], { targetId, claimants = names }: { targetId: string, claimants?: string[] }): Omit<ComputeRateReadyOptions, 'lastRequestAtMs'> {
  const contenders = names.filter(name => name !== instance).map(name => ({ instance: name, mayClaim: claimants.includes(name) }))
  return { targetId, instance, contenders, claim: { sinceMs: -Infinity, requestedAtMs: 0 } }
}

/** Simulates instances that always have a request for the target, know the same naming of its rate, and hear of no other; lists the times of all requests. */
function simulateSending (instances: number, options: SendingOptions): number[] {
  const names = listNames(instances)
  const times: number[] = []
  for (const name of names) {
    const rate = createTargetRate()
    recordNamedRate(rate, options.perSecond, 0)
    const readyOptions = createOptions(name, names, options)
    const intervalMs = computeRateReadyMs(rate, { ...readyOptions, lastRequestAtMs: 0 })
    for (let lastRequestAtMs = (options.getRandom() - 1) * intervalMs; ;) {
      lastRequestAtMs = computeRateReadyMs(rate, { ...readyOptions, lastRequestAtMs })
      if (lastRequestAtMs >= durationMs) break
      times.push(lastRequestAtMs)
    }
  }
  return times.sort((a, b) => a - b)
}

function countMostInWindow (times: number[]): number {
  let most = 0
  for (let first = 0, last = 0; last < times.length; last++) {
    while (times[last]! - times[first]! >= windowMs) first++
    most = Math.max(most, last - first + 1)
  }
  return most
}

function createRandom (run: number): () => number {
  let draws = 0
  return () => computeHash(`${seed} ${run} ${draws++}`) / 2 ** 32
}

test('instances together keep to the rate of a target, with the burst that it tolerates', t => {
  for (const instances of [1, 7, 26, 77]) {
    for (const perSecond of [0, 0.3, 1.2, 5, 20]) {
      for (let run = 0; run < 100; run++) {
        const most = countMostInWindow(simulateSending(instances, { targetId: `t${run}`, perSecond, getRandom: createRandom(run) }))
        t.true(most <= 1.5 * perSecond * windowMs / 1_000 + 5, `${instances} instances, ${perSecond} a second, run ${run}: ${most}`)
      }
    }
  }
})

test('senders together keep to the rate of a target at any offsets of their requests', t => {
  for (const instances of [7, 26, 77, 300]) {
    for (const perSecond of [0, 0.3, 1.2, 5, 20]) {
      const names = listNames(instances)
      const rate = createTargetRate()
      recordNamedRate(rate, perSecond, 0)
      const intervals = names.map(name => computeRateReadyMs(rate, { ...createOptions(name, names, { targetId: 't' }), lastRequestAtMs: 0 })).toSorted((a, b) => a - b)
      const senders = intervals.filter(intervalMs => intervalMs === intervals[0])
      const mostOfSenders = senders.reduce((sum, intervalMs) => sum + Math.floor(windowMs / intervalMs) + 1, 0)
      t.true(mostOfSenders <= 1.5 * perSecond * windowMs / 1_000 + 5, `${instances} instances, ${perSecond} a second: ${mostOfSenders}`)
    }
  }
})

test('uses most of the rate of a target, whichever instances have requests for it', t => {
  for (const [instances, requesting, perSecond] of [[7, 7, 1.2], [26, 26, 1.2], [77, 77, 1.2], [77, 77, 20], [77, 1, 1.2], [77, 3, 1.2], [29, 5, 6]] as const) {
    const names = listNames(instances)
    const claimants = names.slice(-requesting)
    const rate = createTargetRate()
    recordNamedRate(rate, perSecond, 0)
    const sent = claimants.reduce((sum, name) => {
      const readyOptions = createOptions(name, names, { targetId: 't', claimants })
      return sum + 1_000 / computeRateReadyMs(rate, { ...readyOptions, lastRequestAtMs: 0 })
    }, 0)
    t.true(sent > 0.8 * perSecond && sent < 1.3 * perSecond, `${requesting} of ${instances} instances send ${sent} of ${perSecond} requests a second`)
  }
})

test('each instance sends a request to a target with a low rate again within minutes', t => {
  const names = listNames(77)
  const rate = createTargetRate()
  recordNamedRate(rate, 1.2, 0)
  for (const name of names) t.true(computeRateReadyMs(rate, { ...createOptions(name, names, { targetId: 't' }), lastRequestAtMs: 0 }) < 1_000_000)
})

test('sends only once its peers have had the time to learn of its claim', t => {
  const claim = createRateClaim()
  t.false(isRateClaimed(claim, 0))
  recordRateRequest(claim, 1_000)
  const rate = createTargetRate()
  recordNamedRate(rate, 20, 0)
  const options = { ...createOptions('entry-0', listNames(2), { targetId: 't' }), claim, lastRequestAtMs: 0 }
  t.is(computeRateReadyMs(rate, options), 1_000 + claimNoticeMs)
  recordRateRequest(claim, 9_000)
  t.is(computeRateReadyMs(rate, options), 1_000 + claimNoticeMs)
  recordRateRequest(claim, 60_000)
  t.is(computeRateReadyMs(rate, options), 60_000 + claimNoticeMs)
})
