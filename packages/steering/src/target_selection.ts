/**
 * The choice of the target for a request: few targets an object, so that its state stays warm there.
 *
 * Answers the load at which more work arrives than slots exist for cold objects: sending an object elsewhere when its
 * targets are full makes its work longer there, which fills more targets. So a request waits, or is refused, rather
 * than warm a further target.
 *
 * @module
 */
import type { RegisteredTarget } from './target_registry.ts'
import { computeHash } from './rendezvous.ts'
import { computeTargetLoad } from './target_registry.ts'

/** A request that needs a target. */
export interface RoutedRequest {
  /** Identifies the attempt. */
  attemptId: string
  /** Service that it is for. */
  service: string
  /** Object that it concerns, where the route keeps objects on the same targets. */
  objectKey: string | undefined
  /** Regions that it may be served in; empty where all may. */
  homeRegions: string[]
  /** Targets that it was sent to before. */
  tried: ReadonlySet<string>
}

/** What a target is chosen from. */
export interface SelectTargetOptions {
  /** Targets in the object's order, best first. */
  ranked: readonly RegisteredTarget[]
  /** Tells whether a target may be sent a request now: neither out of reach, nor cold beyond its pace. */
  isUsable: (entry: RegisteredTarget) => boolean
  /** Region of the instance, whose targets cost no bytes between regions. */
  region: string
  /** Monotonic time, in milliseconds. */
  nowMs: number
}

/** Targets on which an object is kept warm: one, and one for when that is full. */
const targetsPerObject = 2
/** Requests beyond its slots that the object's first target is given: one waits there while the last answer is on its way. */
const firstTargetQueueLength = 1
/** Requests beyond its slots that the object's other target is given. */
const otherTargetQueueLength = 0

/**
 * Ranks the targets for an object by rendezvous hashing, the same way on each instance.
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
 * Chooses the target for a request.
 *
 * @param request The request
 * @param options The targets in the object's order, and what is known of them
 * @returns The target, or `undefined` where the request has to wait
 */
export function selectTarget (request: RoutedRequest, options: SelectTargetOptions): RegisteredTarget | undefined {
  return request.objectKey === undefined ? selectLeastLoadedTarget(request, options) : selectWarmTarget(request, options)
}

function selectWarmTarget (request: RoutedRequest, options: SelectTargetOptions): RegisteredTarget | undefined {
  const { nowMs } = options
  for (const [index, entry] of listWarmTargets(request, options).entries()) {
    const queue = index === 0 ? firstTargetQueueLength : otherTargetQueueLength
    if (computeTargetLoad(entry, nowMs) < entry.target.slots + queue) return entry
  }
  return undefined
}

/** Lists the targets on which the object is kept warm, one in the instance's own region first. */
function listWarmTargets (request: RoutedRequest, { ranked, isUsable, region }: SelectTargetOptions): RegisteredTarget[] {
  const own: RegisteredTarget[] = []
  for (const entry of ranked) {
    if (request.tried.has(entry.target.id) || !isUsable(entry)) continue
    own.push(entry)
    if (own.length === targetsPerObject) break
  }
  const near = own.findIndex(entry => entry.region === region)
  if (near > 0) own.unshift(...own.splice(near, 1))
  return own
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
