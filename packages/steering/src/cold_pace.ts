/**
 * Limits the rate of requests to a target in its cold start.
 *
 * The limit holds for the sum over all instances, without coordination messages between them: whichever instances each
 * of them takes for live, at most as many send to the target as may arrive there in a second, as long as they know the
 * same instances, live or not, and the times of transit differ by less than the margin of {@linkcode minColdIntervalMs}.
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

/** An instance of the fleet. */
export interface KnownInstance {
  /** Name of the instance. */
  instance: string
  /** Whether it is live, as far as the instance that asks knows. */
  isLive: boolean
}

/** Share of `mostInSecond` that one set of senders may use, because two sets may send while instances differ in their lists of live instances. */
const plannedShare = 0.5
/** Share of `mostInSecond` that all instances which may ever be senders may use, so that a few may be unknown to the others. */
const candidateShare = 0.9
/** Minimum time between two requests of one instance to one cold target, in milliseconds: one second, to which `mostInSecond` applies, plus a margin for varying transit times. */
export const minColdIntervalMs = 1_200

/**
 * Returns whether an instance may send requests to a target while the target is cold.
 *
 * Rendezvous hashing selects the same few senders on all instances with the same list of live instances, among
 * candidates that do not depend on which instances are live. Each sender must leave {@linkcode minColdIntervalMs} between
 * its requests.
 *
 * @param instance Name of the instance
 * @param others The other known instances, live or not
 * @param options Identifier of the target and its maximum request rate
 * @returns Whether the instance may send
 */
export function isColdSender (instance: string, others: Iterable<KnownInstance>, options: { targetId: string, pace: ColdPace }): boolean {
  const { targetId, pace } = options
  const maxSenders = Math.max(1, Math.floor(Math.min(pace.perSecond, pace.mostInSecond * plannedShare)))
  const maxCandidates = Math.max(1, Math.floor(pace.mostInSecond * candidateShare))
  const ownHash = computeHash(`${instance}\u0000${targetId}`)
  let rankedAbove = 0
  let liveAbove = 0
  for (const other of others) {
    if (other.instance === instance || computeHash(`${other.instance}\u0000${targetId}`) <= ownHash) continue
    rankedAbove++
    if (other.isLive) liveAbove++
    if (liveAbove >= maxSenders || rankedAbove >= maxCandidates) return false
  }
  return true
}
