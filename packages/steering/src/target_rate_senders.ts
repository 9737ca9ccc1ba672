/**
 * Divides the request rate that a target accepts among the instances that have requests for it.
 *
 * Answers the load of many instances that each hold a few objects of one target: their requests, each one well spaced, must
 * not add up to a burst at the target, whichever instances have them.
 *
 * An instance with requests for the target claims a part of the rate in its heartbeats, and sends once its peers have had
 * the time to learn of the claim. Of the claimants the first few by rendezvous hashing send. A peer that was not heard of
 * recently counts as a claimant, so instances that see different peers send less, not more: any view in which each
 * other sender is known as an instance leads to no more than {@linkcode computeMaxSenders} senders.
 *
 * @module
 */
import type { TargetRate } from './target_rate.ts'
import { computeHash } from './rendezvous.ts'

/** What this instance knows of the claim of another instance. */
export interface RateContender {
  /** Name of the instance. */
  instance: string
  /** Whether the instance claims a part of the rate, or may do so because its last heartbeat is too old. */
  mayClaim: boolean
}

/** Claim of this instance on a part of the rate of a target. */
export interface RateClaim {
  /** Monotonic time since which this instance has claimed a part of the rate, in milliseconds. */
  sinceMs: number
  /** Monotonic time of the last request that the target was considered for, in milliseconds. */
  requestedAtMs: number
}

/** Options of {@linkcode computeRateReadyMs}. */
export interface ComputeRateReadyOptions {
  /** Identifier of the target. */
  targetId: string
  /** Name of this instance. */
  instance: string
  /** The other instances, live or not. */
  contenders: readonly RateContender[]
  /** Claim of this instance. */
  claim: RateClaim
  /** Monotonic time of the last request of this instance to the target, in milliseconds. */
  lastRequestAtMs: number
}

/** Time from the start of a claim until the instance sends, in milliseconds: the age from which a heartbeat no longer proves that a peer claims nothing, and the delay of a heartbeat. */
export const claimNoticeMs = 4_000
/** Age from which a heartbeat no longer proves that the peer claims nothing, in milliseconds: two heartbeats between regions less the delay of one. */
export const claimProofMs = 3_500
/** Time without requests after which an instance drops its claim, in milliseconds. */
const claimLifetimeMs = 10_000
/** Senders beyond one for each request per second. Each sender may send a request at any moment, so their number bounds the burst at the target. */
const additionalSenders = 3
/** Share of the rate for the senders if there are other instances; the rest is for the requests by which these learn that the rate has changed. */
const senderShare = 0.9
/** Rate that is assumed at least, in requests per second, since an instance learns by a response that the rate has changed. */
const minPerSecond = 0.05
/** Time since a rate was last named, in milliseconds, after which the first of the instances that do not send asks the target again by a request. */
const probeAfterMs = 15_000
/** Further time for each next instance, in milliseconds: the window of a burst, so that at most two of them ask in one, also if no instance hears of the others. */
const probeStaggerMs = 4_000
const msPerSecond = 1_000

/**
 * Creates the state of an instance that claims nothing.
 *
 * @returns The claim
 */
export function createRateClaim (): RateClaim {
  return { sinceMs: Infinity, requestedAtMs: -Infinity }
}

/**
 * Records that an instance has a request for a target that names a rate, which starts or extends its claim.
 *
 * @param claim The claim, which is modified
 * @param nowMs Monotonic time, in milliseconds
 */
export function recordRateRequest (claim: RateClaim, nowMs: number): void {
  if (!isRateClaimed(claim, nowMs)) claim.sinceMs = nowMs
  claim.requestedAtMs = nowMs
}

/**
 * Returns whether an instance claims a part of the rate of a target.
 *
 * @param claim The claim
 * @param nowMs Monotonic time, in milliseconds
 * @returns Whether its heartbeats must state the claim
 */
export function isRateClaimed (claim: RateClaim, nowMs: number): boolean {
  return nowMs - claim.requestedAtMs < claimLifetimeMs
}

/**
 * Computes the largest number of instances that send to a target at the same time.
 *
 * @param perSecond Rate that the target accepts, in requests per second
 * @returns Number of instances; together they send at most this number and the rate of a window in any window
 */
export function computeMaxSenders (perSecond: number): number {
  return Math.floor(Math.max(minPerSecond, perSecond)) + additionalSenders
}

/**
 * Computes when this instance may send its next request to a target that names a rate.
 *
 * An instance that is not among the senders still asks the target now and then by a request, one instance after the
 * other, if no instance has been told the rate for some time.
 *
 * @param rate What is known of the rate, which is in force
 * @param options The target, the instances and their claims
 * @returns Monotonic time, in milliseconds
 */
export function computeRateReadyMs (rate: TargetRate, options: ComputeRateReadyOptions): number {
  const { targetId, instance, contenders, claim, lastRequestAtMs } = options
  const perSecond = Math.max(minPerSecond, rate.perSecond!)
  const ownHash = computeHash(`${instance}\u0000${targetId}`)
  let claimants = 1
  let claimantsBefore = 0
  let contendersBefore = 0
  for (const contender of contenders) {
    const hash = computeHash(`${contender.instance}\u0000${targetId}`)
    const isBefore = hash > ownHash || (hash === ownHash && contender.instance < instance)
    if (isBefore) contendersBefore++
    if (!contender.mayClaim) continue
    claimants++
    if (isBefore) claimantsBefore++
  }
  const maxSenders = computeMaxSenders(perSecond)
  if (claimantsBefore >= maxSenders) {
    return Math.max(rate.namedAtMs + probeAfterMs + contendersBefore * probeStaggerMs, lastRequestAtMs + probeAfterMs + contenders.length * probeStaggerMs)
  }
  const share = contenders.length < maxSenders ? 1 : senderShare
  const intervalMs = Math.min(claimants, maxSenders) / (perSecond * share) * msPerSecond
  return Math.max(claim.sinceMs + claimNoticeMs, lastRequestAtMs + intervalMs)
}
