/**
 * Finds the target for an attempt from what the instance believes.
 *
 * @module
 */
import type { RegisteredTarget, EntrySettings, RoutedRequest } from '@bilberryworks/steering'
import type { EntryState } from './entry_state.ts'
import { selectTarget, coldGapMs, computeCapacity, isColdSender, isTargetUsable, rankTargets } from '@bilberryworks/steering'

/** Finds targets. */
export interface TargetSelector {
  /** Finds the target that has room for a request now. */
  findTarget (request: RoutedRequest): RegisteredTarget | undefined
  /** Tells whether any target may take the request, with room or without. */
  hasTarget (request: RoutedRequest): boolean
  /** Measures the slots of a service that fall to this instance, and the mean time that a request holds one, in milliseconds. */
  measureCapacity (service: string): { slots: number, holdMs: number }
}

/** Options of {@linkcode createTargetSelector}. */
export interface CreateTargetSelectorOptions {
  /** Settings of the instance. */
  settings: EntrySettings
  /** What the instance believes. */
  state: EntryState
  /** Names of the instances that are live, this one among them. */
  listInstances: () => string[]
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Most rankings that are kept: some for each object and service of today's deployments. */
const maxCachedRankings = 4_000

/**
 * Creates a placer.
 *
 * @param options What it decides from
 * @returns The placer
 */
export function createTargetSelector (options: CreateTargetSelectorOptions): TargetSelector {
  const { settings, state, getNowMs } = options
  const { bounds } = settings
  const rankings = new Map<string, RegisteredTarget[]>()
  let rankingsRevision = -1

  /** Lists the targets of a service that take new work. */
  function listAvailable (service: string): RegisteredTarget[] {
    return state.targets.list(service).filter(({ target }) => !target.leaving && !state.isEvacuated(target.failureDomain))
  }

  function rankForRequest (request: RoutedRequest): RegisteredTarget[] {
    if (rankingsRevision !== state.getRevision() || rankings.size > maxCachedRankings) {
      rankings.clear()
      rankingsRevision = state.getRevision()
    }
    const key = `${request.service}\u0000${request.homeRegions.join(',')}\u0000${request.objectKey ?? ''}`
    let ranked = rankings.get(key)
    if (ranked === undefined) {
      const { homeRegions } = request
      ranked = rankTargets(request.objectKey ?? '', listAvailable(request.service).filter(({ region }) => homeRegions.length === 0 || homeRegions.includes(region)))
      rankings.set(key, ranked)
    }
    return ranked
  }

  function isUsable (entry: RegisteredTarget, nowMs: number): boolean {
    if (!isTargetUsable(entry, nowMs)) return false
    if (entry.coldUntilMs <= nowMs) return true
    const perSecond = state.getConfig()?.services.get(entry.target.service)?.coldRequestsPerSecond ?? 0
    const pace = { perSecond, mostInSecond: perSecond * bounds.coldOver + bounds.coldSlack }
    return nowMs - entry.coldSentAtMs >= coldGapMs && isColdSender(settings.instance, options.listInstances(), { targetId: entry.target.id, pace })
  }

  return {
    findTarget (request) {
      const nowMs = getNowMs()
      return selectTarget(request, { ranked: rankForRequest(request), isUsable: entry => isUsable(entry, nowMs), region: settings.region, nowMs })
    },
    measureCapacity (service) {
      const nowMs = getNowMs()
      const usable = listAvailable(service).filter(entry => isTargetUsable(entry, nowMs))
      return computeCapacity(usable, { instances: options.listInstances().length, nowMs })
    },
    hasTarget: request => rankForRequest(request).some(entry => !request.tried.has(entry.target.id))
  }
}
