/**
 * Plays a load on a site, and records what its callers get.
 *
 * @module
 */
import type { EmulatedInstance, LocatedTarget } from './emulated_instance.ts'
import type { TargetSelectionPolicy } from './policies.ts'
import type { RequestKind, LoadProfile, SiteConfig } from './site_config.ts'
import { createRandom, createVirtualClock } from '../bench_clock.ts'
import { AttemptOutcome, createEmulatedInstance } from './emulated_instance.ts'
import { createEmulatedTarget } from './emulated_target.ts'

/** What the callers of a play got. */
export interface SimulationResult {
  /** Requests of callers. */
  requests: number
  /** Share of them answered within their objective. */
  withinObjective: number
  /** Share answered later. */
  late: number
  /** Share refused at the last. */
  refused: number
  /** Share that timed out at a target. */
  timedOut: number
  /** Worth gained, as a share of what could be gained. */
  utility: number
  /** Share in aim by second of their arrival. */
  withinObjectiveBySecond: number[]
  /** Lowest worth of two seconds in a row, as a share. */
  worstWindowUtility: number
  /** Runs for which a target was cold, as a share of the requests. */
  cold: number
}

/** What is played. */
export interface SimulateSiteOptions {
  /** The site. */
  site: SiteConfig
  /** The load. */
  load: LoadProfile
  /** How requests are placed. */
  policy: TargetSelectionPolicy
  /** Seed of all that is random. */
  seed: number
}

/** Worth of an answer behind its objective, as a share. */
const lateUtilityFactor = 0.2
/** Times that a caller comes back after a refusal. */
const maxRetries = 1
const msPerSecond = 1_000
const windowSeconds = 2

interface SecondTotals {
  requests: number
  withinObjective: number
  utility: number
  maxUtility: number
}

/**
 * Plays a load.
 *
 * @param options What is played
 * @returns What the callers got
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
  const instances: EmulatedInstance[] = Array.from({ length: site.instances }, (_, index) => {
    const region = regions[index % regions.length]!
    return createEmulatedInstance({ region, targets, slots: site.slots, instances: site.instances, sameRegionLatencyMs: site.sameRegionLatencyMs, crossRegionLatencyMs: site.crossRegionLatencyMs, policy, clock, getRandom })
  })

  /** Callers of an object are in one region, and use the instances there. */
  function chooseInstance (objectIndex: number): EmulatedInstance {
    const localInstances = instances.filter((_, index) => index % regions.length === objectIndex % regions.length)
    return localInstances[Math.floor(getRandom() * localInstances.length)]!
  }
  const seconds: SecondTotals[] = Array.from({ length: load.durationSeconds }, () => ({ requests: 0, withinObjective: 0, utility: 0, maxUtility: 0 }))
  const outcomeCounts = { withinObjective: 0, late: 0, refused: 0, timedOut: 0 }
  let attemptCount = 0

  function sendRequest (requestKind: RequestKind, second: SecondTotals, request: { object: number, firstSentAtMs: number, retries: number }): void {
    const { object: objectIndex, firstSentAtMs } = request
    const nowMs = clock.getNowMs()
    chooseInstance(objectIndex).submit({
      attemptId: `a${attemptCount++}`,
      service: 's',
      objectKey: `o${objectIndex}`,
      homeRegions: [],
      priority: requestKind.priority,
      arrivedAtMs: nowMs,
      refuseAtMs: nowMs,
      warmServiceTimeMs: requestKind.warmServiceTimeMs,
      deadlineAtMs: nowMs + requestKind.timeoutMs,
      tried: new Set(),
      onEnd (end, retryAfterMs) {
        if (end === AttemptOutcome.Answered) {
          const isWithinObjective = clock.getNowMs() - firstSentAtMs <= requestKind.objectiveMs
          outcomeCounts[isWithinObjective ? 'withinObjective' : 'late']++
          if (isWithinObjective) second.withinObjective++
          second.utility += requestKind.utility * (isWithinObjective ? 1 : lateUtilityFactor)
        } else if (end === AttemptOutcome.TimedOut) outcomeCounts.timedOut++
        else if (request.retries < maxRetries) clock.schedule(retryAfterMs, () => sendRequest(requestKind, second, { ...request, retries: request.retries + 1 }))
        else outcomeCounts.refused++
      }
    })
  }

  function scheduleArrivals (requestKind: RequestKind): void {
    const requestsPerSecond = requestKind.perSecond * load.getLoadFactor(clock.getNowMs() / msPerSecond)
    clock.schedule(-Math.log(1 - getRandom()) / requestsPerSecond * msPerSecond, () => {
      const second = seconds[Math.floor(clock.getNowMs() / msPerSecond)]
      if (second === undefined) return
      second.requests++
      second.maxUtility += requestKind.utility
      // Popularity falls with the rank of an object: the square of an even number lies near 0 more often.
      const objectIndex = Math.floor(getRandom() ** 2 * site.objectCount)
      sendRequest(requestKind, second, { object: objectIndex, firstSentAtMs: clock.getNowMs(), retries: 0 })
      scheduleArrivals(requestKind)
    })
  }

  for (const requestKind of site.requestKinds) scheduleArrivals(requestKind)
  const longestTimeoutMs = Math.max(...site.requestKinds.map(requestKind => requestKind.timeoutMs))
  clock.advance(load.durationSeconds * msPerSecond + 20 * longestTimeoutMs)
  const requests = seconds.reduce((sum, second) => sum + second.requests, 0)
  const maxUtility = seconds.reduce((sum, second) => sum + second.maxUtility, 0)
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
