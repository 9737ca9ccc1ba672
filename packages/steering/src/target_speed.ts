/**
 * Recognizes the targets that respond far more slowly than others of their service, so that few requests are sent to them.
 *
 * Answers the load of a service of which a few targets become slow: their queues grow until each request that is sent
 * there misses its deadline, although the other targets have room. Response times count only for objects that the target
 * has handled before, since a first request for an object takes longer at any target.
 *
 * @module
 */
import type { RegisteredTarget } from './target_registry.ts'

/** The time that a target took to respond. */
export interface TimedResponse {
  /** Identifies the kind of request, such as the name of its route. */
  kind: string
  /** Object that the request concerns; `undefined` if it concerns none. */
  objectKey: string | undefined
  /** Time from the dispatch of the request to the response head, in milliseconds. */
  elapsedMs: number
}

/** Options of {@linkcode TargetSpeeds.isAvoided}. */
export interface IsAvoidedOptions {
  /** Lists all targets of the service. */
  listTargets: () => readonly RegisteredTarget[]
  /** Returns the number of instances that share the targets. */
  getInstanceCount: () => number
  /** Monotonic time, in milliseconds. */
  nowMs: number
}

/** The observed speeds of targets. */
export interface TargetSpeeds {
  /** Records a response. */
  recordResponse (entry: RegisteredTarget, response: TimedResponse): void
  /** Records that a request has ended without a response. */
  recordTimeout (entry: RegisteredTarget, response: TimedResponse): void
  /** Returns whether a target is slow and no request is due that shows whether it still is. Always `false` if many targets of the service are slow. */
  isAvoided (entry: RegisteredTarget, options: IsAvoidedOptions): boolean
  /** Returns whether a target has responded to a request for an object from this instance. */
  hasHandled (entry: RegisteredTarget, objectKey: string): boolean
}

interface TargetSpeed {
  /** Moving average of the response times, in multiples of the usual one. */
  slowness: number
  /** Moving average of the response times, in milliseconds. */
  meanMs: number
  /** Objects that the target has handled for this instance. */
  objects: Set<string>
}

/** Multiple of the usual response time from which a target is slow; a full queue at a target of the usual speed takes less. */
const slowLimit = 5
/** Limit of the multiple that a single response counts for. */
const maxMultiple = 10
/** Share of the slow targets of a service above which none is avoided: the others would lack room. */
const maxSlowShare = 0.4
/** Minimum and maximum time between two requests to a slow target, in milliseconds. */
const minProbeIntervalMs = 1_000
const maxProbeIntervalMs = 10_000
/** Share of the slots of a slow target that the requests of all instances take together while it is avoided. */
const probedSlotShare = 0.2
/** Weights of the latest response in the moving averages: of a slower one, and of a faster one, since a target that has recovered gets few requests. */
const slowerWeight = 0.3
const fasterWeight = 0.6
/** Quantile of the response times that counts as usual; slow targets take part in it, so it lies below the median. */
const usualQuantile = 0.3
/** Change of the usual response time per response, as a share. */
const usualStep = 0.05
/** Lower limit of the usual response time, in milliseconds. */
const minUsualMs = 1
/** Maximum number of objects that are remembered for a target. */
const maxObjects = 1_000

/**
 * Creates speeds without observations.
 *
 * @returns The speeds
 */
export function createTargetSpeeds (): TargetSpeeds {
  const speeds = new WeakMap<RegisteredTarget, TargetSpeed>()
  /** Usual response times in milliseconds, by kind of request and region of the target. */
  const usualMs = new Map<string, number>()

  const isSlow = (entry: RegisteredTarget): boolean => (speeds.get(entry)?.slowness ?? 0) >= slowLimit

  function getSpeed (entry: RegisteredTarget): TargetSpeed {
    const speed = speeds.get(entry) ?? { slowness: 1, meanMs: 0, objects: new Set() }
    speeds.set(entry, speed)
    return speed
  }

  function updateUsual (key: string, elapsedMs: number): number {
    const before = Math.max(minUsualMs, usualMs.get(key) ?? elapsedMs)
    const after = before * (elapsedMs < before ? 1 - usualStep * (1 - usualQuantile) : 1 + usualStep * usualQuantile)
    usualMs.set(key, after)
    return after
  }

  function updateSpeed (speed: TargetSpeed, { usual, elapsedMs }: { usual: number, elapsedMs: number }): void {
    const multiple = Math.min(maxMultiple, elapsedMs / usual)
    speed.slowness += (multiple - speed.slowness) * (multiple > speed.slowness ? slowerWeight : fasterWeight)
    speed.meanMs += (elapsedMs - speed.meanMs) * (speed.meanMs === 0 ? 1 : slowerWeight)
  }

  const formatKey = (entry: RegisteredTarget, kind: string): string => `${kind}\u0000${entry.region}`

  return {
    hasHandled: (entry, objectKey) => speeds.get(entry)?.objects.has(objectKey) === true,
    recordResponse (entry, { kind, objectKey = '', elapsedMs }) {
      const speed = getSpeed(entry)
      const wasHandled = objectKey === '' || speed.objects.has(objectKey)
      if (!wasHandled && speed.objects.size < maxObjects) speed.objects.add(objectKey)
      if (wasHandled) updateSpeed(speed, { usual: updateUsual(formatKey(entry, kind), elapsedMs), elapsedMs })
    },
    recordTimeout (entry, { kind, elapsedMs }) {
      const speed = getSpeed(entry)
      const usual = usualMs.get(formatKey(entry, kind))
      // A caller that left early shows only that the response would have taken longer.
      if (usual !== undefined && elapsedMs / usual > speed.slowness) updateSpeed(speed, { usual, elapsedMs })
    },
    isAvoided (entry, { listTargets, getInstanceCount, nowMs }) {
      if (!isSlow(entry)) return false
      const targets = listTargets()
      if (targets.filter(isSlow).length > maxSlowShare * targets.length) return false
      const probeIntervalMs = getSpeed(entry).meanMs * getInstanceCount() / (probedSlotShare * entry.target.slots)
      return nowMs - entry.lastRequestAtMs < Math.min(maxProbeIntervalMs, Math.max(minProbeIntervalMs, probeIntervalMs))
    }
  }
}
