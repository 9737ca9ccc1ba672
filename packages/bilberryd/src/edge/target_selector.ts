/**
 * Selects the target for an attempt from the replicated state of the instance.
 *
 * @module
 */
import type { KnownInstance, RateContender, RegisteredTarget, EntrySettings, RoutedRequest, TargetSpeeds } from '@bilberryworks/steering'
import type { EntryState } from './entry_state.ts'
import type { ReachMonitor } from './reach_monitor.ts'
import { formatReachGroup, selectTarget, minColdIntervalMs, computeCapacity, computeRateReadyMs, findPauseEndMs, isColdSender, isContactPending, isReturnExpected, isServedInRegion, isTargetCold, isTargetLeaving, isTargetUsable, listServingTargets, rankByRegion, rankTargets, recordRateRequest } from '@bilberryworks/steering'

/** Selects targets. */
export interface TargetSelector {
  /** Selects a target with a free slot for a request among those that match; `undefined` if the request has to wait. */
  findTarget (request: RoutedRequest, matches?: (entry: RegisteredTarget) => boolean): RegisteredTarget | undefined
  /** Returns whether a selected target is still registered, wants requests, and is neither leaving nor in an evacuated failure domain. */
  isSelectable (entry: RegisteredTarget): boolean
  /** Returns the monotonic time in milliseconds at which an available target to which the request was not dispatched before accepts requests again; `-Infinity` if one does already. */
  findAcceptTimeMs (request: RoutedRequest): number
  /** Returns whether this instance is to send the request to a target itself: it reaches an available one to which the request was not dispatched before, or no instance reaches any and the end of the outage may be expected while the request waits. */
  hasPath (request: RoutedRequest & { expiresAtMs: number }): boolean
  /** Returns whether connections to each group of available targets have failed since one was established. */
  isPathDoubtful (request: RoutedRequest): boolean
  /** Lists the keys of the groups of available targets, whether the request was dispatched to them before or not. */
  listGroups (request: RoutedRequest): string[]
  /** Returns whether there is an available target, among those that match, to which the request was not dispatched before, regardless of free slots. */
  hasUntriedTarget (request: RoutedRequest, matches?: (entry: RegisteredTarget) => boolean): boolean
  /** Computes this instance's share of the slots of a service, and the mean time that a request holds a slot, in milliseconds. */
  measureCapacity (service: string): { slots: number, holdMs: number }
}

/** Options of {@linkcode createTargetSelector}. */
export interface CreateTargetSelectorOptions {
  /** Settings of the instance. */
  settings: EntrySettings
  /** Replicated configuration and target registry. */
  state: EntryState
  /** Network paths to targets. */
  reach: Pick<ReachMonitor, 'hasLost' | 'isReached' | 'isReachedByPeers' | 'getFailingSinceMs' | 'isDoubtful'>
  /** Observed speeds of the targets. */
  speeds: Pick<TargetSpeeds, 'isAvoided' | 'hasHandled'>
  /** Returns the names of the live instances, including this one. */
  listInstances: () => string[]
  /** Lists the other known instances, live or not. */
  listKnownInstances: () => KnownInstance[]
  /** Returns whether this instance has learnt of the others since it started. */
  isMembershipKnown: () => boolean
  /** Lists the other known instances, live or not, and whether each claims a part of the rate of a target. */
  listContenders: (targetId: string) => RateContender[]
  /** Returns the share of the objects of callers in this instance's region that targets in the region serve; `undefined` if targets are to be chosen in all regions alike. */
  getRegionShare: (service: string) => number | undefined
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Maximum number of cached rankings: enough for several per object and service in a typical deployment. */
const maxCachedRankings = 4_000

/**
 * Creates a target selector.
 *
 * @param options Settings, state and live instances
 * @returns The selector
 */
export function createTargetSelector (options: CreateTargetSelectorOptions): TargetSelector {
  const { settings, state, reach, getNowMs } = options
  const { bounds } = settings
  const rankings = new Map<string, RegisteredTarget[]>()
  let rankingsRevision = -1

  function isAvailable (entry: RegisteredTarget): boolean {
    return !isTargetLeaving(entry) && !state.isEvacuated(entry.target.failureDomain)
  }

  /** Lists the targets of a service that are neither shutting down nor in an evacuated failure domain. */
  function listAvailable (service: string): RegisteredTarget[] {
    return state.targets.list(service).filter(isAvailable)
  }

  function rankForRequest (request: RoutedRequest): RegisteredTarget[] {
    if (rankingsRevision !== state.getRevision() || rankings.size > maxCachedRankings) {
      rankings.clear()
      rankingsRevision = state.getRevision()
    }
    const share = options.getRegionShare(request.service)
    const isOwnFirst = share === undefined ? undefined : isServedInRegion(request.objectKey ?? '', share)
    const key = `${request.service}\u0000${request.homeRegions.join(',')}\u0000${isOwnFirst}\u0000${request.objectKey ?? ''}`
    let ranked = rankings.get(key)
    if (ranked === undefined) {
      const { homeRegions } = request
      const available = listAvailable(request.service).filter(({ region }) => homeRegions.length === 0 || homeRegions.includes(region))
      ranked = rankTargets(request.objectKey ?? '', available)
      if (isOwnFirst !== undefined) ranked = rankByRegion(ranked, { region: settings.region, isOwnFirst })
      rankings.set(key, ranked)
    }
    return ranked
  }

  /** Returns whether a request now would exceed this instance's part of the rate that the target accepts. */
  function isAboveRate (entry: RegisteredTarget, nowMs: number): boolean {
    const { target, rate, rateClaim: claim, lastRequestAtMs } = entry
    if (rate.perSecond === undefined) return false
    recordRateRequest(claim, nowMs)
    return nowMs < computeRateReadyMs(rate, { targetId: target.id, instance: settings.instance, contenders: options.listContenders(target.id), claim, lastRequestAtMs })
  }

  function isUsable (entry: RegisteredTarget, nowMs: number): boolean {
    if (!isTargetUsable(entry, nowMs) || isAboveRate(entry, nowMs)) return false
    if (!state.isStoreReachable() && isContactPending(entry, nowMs)) return false
    if (!isTargetCold(entry, nowMs)) return true
    const perSecond = state.getConfig()?.services.get(entry.target.service)?.coldRequestsPerSecond ?? 0
    const pace = { perSecond, mostInSecond: perSecond * bounds.coldOver + bounds.coldSlack }
    return nowMs - entry.lastColdRequestAtMs >= minColdIntervalMs && options.isMembershipKnown() && isColdSender(settings.instance, options.listKnownInstances(), { targetId: entry.target.id, pace })
  }

  function isAvoided (entry: RegisteredTarget, nowMs: number): boolean {
    return options.speeds.isAvoided(entry, { listTargets: () => state.targets.list(entry.target.service), getInstanceCount: () => options.listInstances().length, nowMs })
  }

  /** Returns whether this instance reaches an available target to which a request was not dispatched before. */
  function hasReachedTarget (request: RoutedRequest): boolean {
    return rankForRequest(request).some(entry => !request.tried.has(entry.target.id) && reach.isReached(entry))
  }

  return {
    findTarget (request, matches = () => true) {
      const nowMs = getNowMs()
      // If no instance reaches any of the targets, all of them are tried.
      const mayTry = reach.hasLost() && hasReachedTarget(request) ? reach.isReached : () => true
      return selectTarget(request, { ranked: rankForRequest(request), isUsable: entry => mayTry(entry) && isUsable(entry, nowMs) && matches(entry), isAvoided: entry => isAvoided(entry, nowMs), hasHandled: entry => options.speeds.hasHandled(entry, request.objectKey ?? ''), region: settings.region, nowMs })
    },
    measureCapacity (service) {
      const nowMs = getNowMs()
      return computeCapacity(listServingTargets(listAvailable(service), nowMs), { instances: options.listInstances().length, nowMs })
    },
    isSelectable: entry => state.targets.find(entry.target.id) === entry && isAvailable(entry) && entry.pausedUntilMs <= getNowMs(),
    findAcceptTimeMs: request => findPauseEndMs(rankForRequest(request), { tried: request.tried, nowMs: getNowMs() }),
    hasPath (request) {
      if (hasReachedTarget(request)) return true
      const ranked = rankForRequest(request)
      if (ranked.some(reach.isReachedByPeers)) return false
      const nowMs = getNowMs()
      const lostAtMs = ranked.reduce((latestMs, entry) => Math.max(latestMs, reach.getFailingSinceMs(entry)), -Infinity)
      return ranked.length === 0 || isReturnExpected(nowMs - lostAtMs, request.expiresAtMs - nowMs)
    },
    isPathDoubtful: request => rankForRequest(request).every(reach.isDoubtful),
    listGroups: request => [...new Set(rankForRequest(request).map(({ target }) => formatReachGroup(target)))],
    hasUntriedTarget: (request, matches = () => true) => rankForRequest(request).some(entry => !request.tried.has(entry.target.id) && matches(entry))
  }
}
