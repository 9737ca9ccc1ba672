/**
 * Simulates a site under a load, and reports the outcomes that its callers see.
 *
 * @module
 */
import type { EmulatedInstance, LocatedTarget } from './emulated_instance.ts'
import type { TargetSelectionPolicy } from './policies.ts'
import type { RegionRoom } from '@bilberryworks/steering'
import type { RequestKind, LoadProfile, SiteConfig } from './site_plan.ts'
import { createRegionShare } from '@bilberryworks/steering'
import { createRandom, createVirtualClock } from '../bench_clock.ts'
import { AttemptOutcome, createEmulatedInstance } from './emulated_instance.ts'
import { createEmulatedTarget } from './emulated_target.ts'

/** Outcomes that the callers of a simulated site saw. */
export interface SimulationResult {
  /** Number of requests of callers. Retries of a caller do not count as further requests. */
  requests: number
  /** Share of requests answered within their latency objective. */
  withinObjective: number
  /** Share of requests answered after their latency objective. */
  late: number
  /** Share of requests whose last retry was refused. */
  refused: number
  /** Share of requests that timed out after they had been sent to a target. */
  timedOut: number
  /** Utility of all responses, as a share of the utility if every request were answered within its objective. */
  utility: number
  /** Share of requests answered within their objective, by second of arrival; 1 in a second without requests. */
  withinObjectiveBySecond: number[]
  /** Lowest utility of the requests that arrived within any two consecutive seconds, as a share of their maximum utility. */
  worstWindowUtility: number
  /** Number of times that a request started on a target that had not cached its object, divided by the number of requests. */
  cold: number
  /** Share of the requests sent to targets that went to another region. */
  crossRegion: number
}

/** Options of {@linkcode simulateSite}. */
export interface SimulateSiteOptions {
  /** Size and request kinds of the site. */
  site: SiteConfig
  /** Load over time. */
  load: LoadProfile
  /** Policy that selects the targets. */
  policy: TargetSelectionPolicy
  /** Seed of the random source. */
  seed: number
  /** Targets that become slow for some time; none by default. */
  slowSpell?: SlowSpell
}

/** A time in which some targets are slow. */
export interface SlowSpell {
  /** Number of slow targets. */
  targets: number
  /** Factor on their service times. */
  factor: number
  /** Start and end, in seconds from the start of the load. */
  seconds: [from: number, to: number]
}

/** Factor on the utility of a response that misses its objective. */
const lateUtilityFactor = 0.2
/** Number of times that a caller retries a refused request. */
const maxRetries = 1
const msPerSecond = 1_000
/** Interval at which instances learn each other's demand, and time constant of its smoothing, in milliseconds. */
const heartbeatIntervalMs = 1_000
const demandSmoothingMs = 5_000
const windowSeconds = 2

interface SecondTotals {
  requests: number
  withinObjective: number
  utility: number
  maxUtility: number
}

/**
 * Simulates a site under a load. The same seed gives the same result.
 *
 * @param options The site, its load, the policy and the seed
 * @returns The outcomes that the callers saw
 */
export function simulateSite (options: SimulateSiteOptions): SimulationResult {
  const { site, load, policy } = options
  const getRandom = createRandom(options.seed)
  const clock = createVirtualClock()
  const targets = new Map<string, LocatedTarget>()
  const regions = Object.keys(site.targetsByRegion)
  for (const [region, count] of Object.entries(site.targetsByRegion)) {
    for (let index = 0; index < count; index++) targets.set(`${region}-${index}`, { region, target: createEmulatedTarget({ slots: site.slots, queueLimit: site.targetQueueLimit, coldServiceTimeFactor: site.coldServiceTimeFactor, clock, getRandom }) })
  }
  const regionShares = new Map(regions.map(region => [region, createRegionShare(region)]))
  const instances: EmulatedInstance[] = Array.from({ length: site.instances }, (_, index) => {
    const region = regions[index % regions.length]!
    return createEmulatedInstance({ region, getRegionShare: regionShares.get(region)!.get, targets, slots: site.slots, instances: site.instances, sameRegionLatencyMs: site.sameRegionLatencyMs, crossRegionLatencyMs: site.crossRegionLatencyMs, policy, clock, getRandom })
  })

  const demandByRegion = new Map(regions.map(region => [region, 0]))

  /** Smooths the demand of each region and advances its share, as the instances do by their heartbeats. */
  function advanceRegionShares (): void {
    const rooms = new Map<string, RegionRoom>()
    for (const [regionIndex, region] of regions.entries()) {
      const requests = instances.filter((_, index) => index % regions.length === regionIndex).reduce((sum, instance) => sum + instance.countRequests(), 0)
      const before = demandByRegion.get(region)!
      demandByRegion.set(region, before + (requests - before) * heartbeatIntervalMs / demandSmoothingMs)
      rooms.set(region, { targets: site.targetsByRegion[region]!, slots: site.targetsByRegion[region]! * site.slots, demand: demandByRegion.get(region)! })
    }
    for (const share of regionShares.values()) share.advance(rooms, clock.getNowMs())
    if (clock.getNowMs() < load.durationSeconds * msPerSecond) clock.schedule(heartbeatIntervalMs, advanceRegionShares)
  }

  /** Chooses a random instance in the region of the object's callers; all callers of an object are in one region. */
  function chooseInstance (objectIndex: number): EmulatedInstance {
    const localInstances = instances.filter((_, index) => index % regions.length === objectIndex % regions.length)
    return localInstances[Math.floor(getRandom() * localInstances.length)]!
  }
  const seconds: SecondTotals[] = Array.from({ length: load.durationSeconds }, () => ({ requests: 0, withinObjective: 0, utility: 0, maxUtility: 0 }))
  const outcomeCounts = { withinObjective: 0, late: 0, refused: 0, timedOut: 0 }
  let attemptCount = 0

  function sendRequest (requestKind: RequestKind, second: SecondTotals, request: { objectIndex: number, firstSentAtMs: number, retries: number }): void {
    const { objectIndex, firstSentAtMs } = request
    const nowMs = clock.getNowMs()
    chooseInstance(objectIndex).submit({
      attemptId: `a${attemptCount++}`,
      service: 's',
      kind: requestKind.name,
      objectKey: `o${objectIndex}`,
      homeRegions: [],
      priority: requestKind.priority,
      arrivedAtMs: nowMs,
      expiresAtMs: nowMs,
      warmServiceTimeMs: requestKind.warmServiceTimeMs,
      deadlineAtMs: nowMs + requestKind.timeoutMs,
      tried: new Set(),
      onEnd (outcome, retryAfterMs) {
        if (outcome === AttemptOutcome.Answered) {
          const isWithinObjective = clock.getNowMs() - firstSentAtMs <= requestKind.objectiveMs
          outcomeCounts[isWithinObjective ? 'withinObjective' : 'late']++
          if (isWithinObjective) second.withinObjective++
          second.utility += requestKind.utility * (isWithinObjective ? 1 : lateUtilityFactor)
        } else if (outcome === AttemptOutcome.TimedOut) outcomeCounts.timedOut++
        else if (request.retries < maxRetries) clock.schedule(retryAfterMs, () => sendRequest(requestKind, second, { ...request, retries: request.retries + 1 }))
        else outcomeCounts.refused++
      }
    })
  }

  function scheduleNextArrival (requestKind: RequestKind): void {
    const arrivalsPerSecond = requestKind.requestsPerSecond * load.getLoadFactor(clock.getNowMs() / msPerSecond)
    clock.schedule(-Math.log(1 - getRandom()) / arrivalsPerSecond * msPerSecond, () => {
      const second = seconds[Math.floor(clock.getNowMs() / msPerSecond)]
      if (second === undefined) return
      second.requests++
      second.maxUtility += requestKind.utility
      // Squaring a uniform random number favours values near 0, so objects with a low index are requested more often.
      const objectIndex = Math.floor(getRandom() ** 2 * site.objectCount)
      sendRequest(requestKind, second, { objectIndex, firstSentAtMs: clock.getNowMs(), retries: 0 })
      scheduleNextArrival(requestKind)
    })
  }

  if (options.slowSpell !== undefined) {
    const { targets: count, factor, seconds: [from, to] } = options.slowSpell
    const slowTargets = [...targets.values()].filter((_, index) => index % Math.ceil(targets.size / count) === 0)
    for (const [second, nextFactor] of [[from, factor], [to, 1]] as const) {
      clock.schedule(second * msPerSecond, () => {
        for (const { target } of slowTargets) target.setServiceTimeFactor(nextFactor)
      })
    }
  }
  advanceRegionShares()
  for (const requestKind of site.requestKinds) scheduleNextArrival(requestKind)
  const longestTimeoutMs = Math.max(...site.requestKinds.map(requestKind => requestKind.timeoutMs))
  clock.advance(load.durationSeconds * msPerSecond + 20 * longestTimeoutMs)
  const requests = seconds.reduce((sum, second) => sum + second.requests, 0)
  const maxUtility = seconds.reduce((sum, second) => sum + second.maxUtility, 0)
  const sent = instances.map(instance => instance.countSent())
  const computeShare = (count: number): number => count / requests
  return {
    requests,
    withinObjective: computeShare(outcomeCounts.withinObjective),
    late: computeShare(outcomeCounts.late),
    refused: computeShare(outcomeCounts.refused),
    timedOut: computeShare(outcomeCounts.timedOut),
    utility: seconds.reduce((sum, second) => sum + second.utility, 0) / maxUtility,
    withinObjectiveBySecond: seconds.map(second => second.requests === 0 ? 1 : second.withinObjective / second.requests),
    worstWindowUtility: findWorstWindowUtility(seconds),
    crossRegion: sent.reduce((sum, each) => sum + each.crossRegion, 0) / Math.max(1, sent.reduce((sum, each) => sum + each.all, 0)),
    cold: computeShare([...targets.values()].reduce((sum, { target }) => sum + target.countColdRuns(), 0))
  }
}

function findWorstWindowUtility (seconds: SecondTotals[]): number {
  const windows = seconds.slice(windowSeconds - 1).map((_, index) => {
    const window = seconds.slice(index, index + windowSeconds)
    return window.reduce((sum, part) => sum + part.utility, 0) / Math.max(1, window.reduce((sum, part) => sum + part.maxUtility, 0))
  })
  return Math.min(...windows)
}
