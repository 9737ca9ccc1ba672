/**
 * Divides the request rate that a target names among the instances, without coordination messages between them.
 *
 * Answers the load of many instances that each hold a few objects of one target: their requests, each one well spaced, must
 * not add up to a burst at the target.
 *
 * @module
 */
import { computeHash } from './rendezvous.ts'

/** Options of {@linkcode computeRateIntervalMs}. */
export interface ComputeRateIntervalOptions {
  /** Identifier of the target. */
  targetId: string
  /** Rate that the target accepts from all instances together, in requests per second. */
  perSecond: number
}

/** Senders beyond one for each request per second. Each sender may send a request at any moment, so their number bounds the burst at the target. */
const additionalSenders = 3
/** Share of the rate for the senders if there are other instances; the rest is for the requests by which these learn that the rate has changed. */
const senderShare = 0.9
/** Rate that is assumed at least, in requests per second, since an instance learns by a response that the rate has changed. */
const minPerSecond = 0.05
const hashRange = 2 ** 32
const msPerSecond = 1_000

/**
 * Returns the minimum time between two requests of an instance to a target that has named a rate.
 *
 * Rendezvous hashing selects the same few senders on all instances with the same list of live instances. The other
 * instances send rarely, at intervals that differ between them.
 *
 * @param instance Name of the instance
 * @param instances Names of the live instances; may omit `instance`
 * @param options Identifier of the target and its rate
 * @returns Time in milliseconds
 */
export function computeRateIntervalMs (instance: string, instances: Iterable<string>, options: ComputeRateIntervalOptions): number {
  const perSecond = Math.max(minPerSecond, options.perSecond)
  const maxSenders = Math.floor(perSecond) + additionalSenders
  const ownHash = computeHash(`${instance}\u0000${options.targetId}`)
  let count = 1
  let rankedAbove = 0
  for (const other of instances) {
    if (other === instance) continue
    count++
    if (computeHash(`${other}\u0000${options.targetId}`) > ownHash) rankedAbove++
  }
  if (count <= maxSenders) return count / perSecond * msPerSecond
  if (rankedAbove < maxSenders) return maxSenders / (perSecond * senderShare) * msPerSecond
  const spread = 0.5 + ownHash / hashRange
  return (count - maxSenders) / (perSecond * (1 - senderShare)) * spread * msPerSecond
}
