/**
 * Selects the target for a request: each object uses few targets, so that its state stays warm there.
 *
 * A request takes longer at a target where its object is cold. If an object's requests were sent to further targets
 * whenever its first ones are full, they would hold slots there for longer and fill those targets, too, until more work
 * arrives than the slots can process. So a request waits, or is refused, instead of warming up a further target.
 *
 * @module
 */
import type { RegisteredTarget } from './target_registry.ts'
import { computeHash } from './rendezvous.ts'
import { computeTargetLoad } from './target_registry.ts'

/** A request for which a target is selected. */
export interface RoutedRequest {
  /** Identifies the attempt. */
  attemptId: string
  /** Service that the request is for. */
  service: string
  /** Object that the request concerns; `undefined` if its route has no affinity. */
  objectKey: string | undefined
  /** Regions in which the request may be served; empty if any region may serve it. */
  homeRegions: string[]
  /** Targets that the request was dispatched to before. */
  tried: ReadonlySet<string>
}

/** Options of {@linkcode selectTarget}. */
export interface SelectTargetOptions {
  /** Targets as ranked for the object, best first. */
  ranked: readonly RegisteredTarget[]
  /** Returns whether a target may be sent a request now: it is reachable, and if cold, has not used up its request rate. */
  isUsable: (entry: RegisteredTarget) => boolean
  /** Returns whether a usable target is to get no request while another one is usable, since it is slow; none by default. */
  isAvoided?: (entry: RegisteredTarget) => boolean
  /** Returns whether a target has handled the request's object for this instance; `false` for all by default. */
  hasHandled?: (entry: RegisteredTarget) => boolean
  /** Region of this instance; requests to targets in it cause no traffic between regions. */
  region: string
  /** Monotonic time, in milliseconds. */
  nowMs: number
}

/** Mean number of requests per slot from which a target is busy: requests often wait there. */
const busyLoad = 0.8
const uint32Range = 0x1_0000_0000
/** Number of targets on which an object is kept warm: one, and another for when the first is full. */
const targetsPerObject = 2
/** Requests beyond its slots that an object's first target gets: one waits there while the previous response is in transit. */
const firstTargetQueueLength = 1
/** Requests beyond its slots that an object's other target gets. */
const otherTargetQueueLength = 0

/**
 * Ranks the targets for an object by rendezvous hashing, identically on each instance.
 *
 * @param key Identifies the object
 * @param targets The targets
 * @returns The targets, best first
 */
export function rankTargets (key: string, targets: readonly RegisteredTarget[]): RegisteredTarget[] {
  const scored = targets.map(entry => ({ entry, score: computeHash(`${entry.target.id}\u0000${key}`) }))
  scored.sort((a, b) => b.score - a.score || (a.entry.target.id < b.entry.target.id ? -1 : 1))
  return scored.map(item => item.entry)
}

/**
 * Selects the target for a request.
 *
 * @param request The request
 * @param options The ranked targets, and which of them are usable
 * @returns The target, or `undefined` if the request has to wait
 */
export function selectTarget (request: RoutedRequest, options: SelectTargetOptions): RegisteredTarget | undefined {
  const candidates = { ...options, isUsable: findUsable(request, options) }
  return request.objectKey === undefined ? selectLeastLoadedTarget(request, candidates) : selectWarmTarget(request, candidates)
}

/** Returns the condition for targets: that they are not avoided, unless all usable ones are. */
function findUsable (request: RoutedRequest, { ranked, isUsable, isAvoided }: SelectTargetOptions): (entry: RegisteredTarget) => boolean {
  if (isAvoided === undefined) return isUsable
  const isPreferred = (entry: RegisteredTarget): boolean => !isAvoided(entry) && isUsable(entry)
  return ranked.some(entry => !request.tried.has(entry.target.id) && isPreferred(entry)) ? isPreferred : isUsable
}

function selectWarmTarget (request: RoutedRequest, options: SelectTargetOptions): RegisteredTarget | undefined {
  const { nowMs } = options
  for (const [index, entry] of listWarmTargets(request, options).entries()) {
    const queueLength = index === 0 ? firstTargetQueueLength : otherTargetQueueLength
    if (computeTargetLoad(entry, nowMs) < entry.target.slots + queueLength) return entry
  }
  return undefined
}

/** Lists the targets on which the object is kept warm, with one in this instance's region first. */
function listWarmTargets (request: RoutedRequest, { ranked, isUsable, hasHandled, region }: SelectTargetOptions): RegisteredTarget[] {
  const warmTargets: RegisteredTarget[] = []
  for (const entry of ranked) {
    if (request.tried.has(entry.target.id) || !isUsable(entry)) continue
    warmTargets.push(entry)
    if (warmTargets.length === targetsPerObject) break
  }
  const nearIndex = warmTargets.findIndex(entry => entry.region === region)
  if (nearIndex > 0) warmTargets.unshift(...warmTargets.splice(nearIndex, 1))
  const [first, second] = warmTargets
  const mayStartWithSecond = first !== undefined && second !== undefined && hasHandled?.(second) === true
  if (mayStartWithSecond && computeHash(request.attemptId) / uint32Range < computeSecondShare(first, second)) warmTargets.reverse()
  return warmTargets
}

/**
 * Computes the share of an object's requests that its second target is to get first, so that both are loaded alike.
 *
 * Rendezvous hashing gives some targets more than twice the mean load. The share is 0 while the first target has room.
 */
function computeSecondShare (first: RegisteredTarget, second: RegisteredTarget): number {
  return first.meanLoad < busyLoad ? 0 : Math.max(0, 1 - second.meanLoad / first.meanLoad)
}

function selectLeastLoadedTarget (request: RoutedRequest, { ranked, isUsable, nowMs }: SelectTargetOptions): RegisteredTarget | undefined {
  let best: RegisteredTarget | undefined
  let bestLoad = Infinity
  for (const entry of ranked) {
    if (request.tried.has(entry.target.id) || !isUsable(entry)) continue
    const load = computeTargetLoad(entry, nowMs) / entry.target.slots
    if (load < 1 && load < bestLoad) {
      best = entry
      bestLoad = load
    }
  }
  return best
}
