/**
 * Limits the rate of requests to a target in its cold start.
 *
 * The limit holds for the sum over all instances, without coordination messages between them.
 *
 * @module
 */
import { computeHash } from './rendezvous.ts'

/** Maximum request rate of a cold target, for all instances together. */
export interface ColdPace {
  /** Sustained rate, in requests per second. */
  perSecond: number
  /** Maximum number of requests within any one second. */
  mostInSecond: number
}

/** Share of `mostInSecond` that one set of senders may use, because two sets may send while instances differ in their lists of live instances. */
const plannedShare = 0.5
/** Minimum time between two requests of one instance to one cold target, in milliseconds: one second, to which `mostInSecond` applies, plus a margin for varying transit times. */
export const minColdIntervalMs = 1_200

/**
 * Returns whether an instance may send requests to a target while the target is cold.
 *
 * Rendezvous hashing selects the same few senders on all instances with the same list of live instances. Each sender
 * must leave {@linkcode minColdIntervalMs} between its requests.
 *
 * @param instance Name of the instance
 * @param instances Names of the live instances; may omit `instance`
 * @param options Identifier of the target and its maximum request rate
 * @returns Whether the instance may send
 */
export function isColdSender (instance: string, instances: Iterable<string>, options: { targetId: string, pace: ColdPace }): boolean {
  const { targetId, pace } = options
  const maxSenders = Math.max(1, Math.floor(Math.min(pace.perSecond, pace.mostInSecond * plannedShare)))
  const ownHash = computeHash(`${instance}\u0000${targetId}`)
  let rankedAbove = 0
  for (const other of instances) {
    if (other !== instance && computeHash(`${other}\u0000${targetId}`) > ownHash) rankedAbove++
    if (rankedAbove >= maxSenders) return false
  }
  return true
}
