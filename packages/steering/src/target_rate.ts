/**
 * What an instance knows of the request rate that a target accepts, from the target's responses and from peers.
 *
 * Statements of a target may arrive in another order than it made them: responses come over several connections, and
 * news from peers takes time. A rate that is believed to have ended leads to many requests within a round trip, so a rate
 * ends only by responses that the target is known to have sent after it last named the rate.
 *
 * @module
 */

/** What an instance knows of the rate that a target accepts from all instances together. */
export interface TargetRate {
  /** Rate in force, in requests per second; `undefined` if there is none. */
  perSecond: number | undefined
  /** Monotonic time at which the target last named a rate, in milliseconds; `-Infinity` if never. */
  namedAtMs: number
  /** Monotonic time at which the target is known to have named none after having named one, in milliseconds; `-Infinity` if never. */
  endedAtMs: number
  /** Consecutive responses without a rate to requests that were dispatched after a rate was last named. */
  unnamedResponses: number
}

/** A statement of a target that a peer received. */
export interface PeerRateStatement {
  /** Rate that the target named, in requests per second; `undefined` if the rate has ended. */
  perSecond: number | undefined
  /** Monotonic time of the statement, in milliseconds: the arrival of the news less its age, which is late by the time that the news took. */
  atMs: number
}

/** Number of consecutive responses without a rate that end it: one of them may be an exception, as a response that another program at the target made. */
const responsesToEnd = 2
/** Time that news of peers may take, in milliseconds: heartbeats are sent every two seconds between regions, and may wait on a slow link. */
const newsDelayMs = 3_000
/** Difference from which a naming that a peer received counts as another one, in milliseconds: more than the delays of two heartbeats differ. */
const sameNamingMs = 500

/**
 * Creates the state of a target that has named no rate.
 *
 * @returns The state
 */
export function createTargetRate (): TargetRate {
  return { perSecond: undefined, namedAtMs: -Infinity, endedAtMs: -Infinity, unnamedResponses: 0 }
}

/**
 * Records that a target named a rate in a response to this instance.
 *
 * @param rate What is known, which is modified
 * @param perSecond The rate, in requests per second
 * @param nowMs Monotonic time, in milliseconds
 */
export function recordNamedRate (rate: TargetRate, perSecond: number, nowMs: number): void {
  rate.perSecond = perSecond
  rate.namedAtMs = nowMs
  rate.unnamedResponses = 0
}

/**
 * Records a response that names no rate.
 *
 * @param rate What is known, which is modified
 * @param dispatchedAtMs Monotonic time at which the request was dispatched, in milliseconds
 * @returns Whether the rate has ended by this response
 */
export function recordUnnamedResponse (rate: TargetRate, dispatchedAtMs: number): boolean {
  if (rate.perSecond === undefined || dispatchedAtMs < rate.namedAtMs) return false
  rate.unnamedResponses++
  if (rate.unnamedResponses < responsesToEnd) return false
  dropRate(rate, dispatchedAtMs)
  return true
}

/**
 * Merges a statement that a peer received.
 *
 * A naming wins unless it is certainly older than the end that is known; an end only if it is certainly newer than the last naming.
 *
 * @param rate What is known, which is modified
 * @param statement The statement
 * @returns Whether the rate in force has changed
 */
export function mergePeerRate (rate: TargetRate, { perSecond, atMs }: PeerRateStatement): boolean {
  const before = rate.perSecond
  if (perSecond === undefined) {
    if (before === undefined || atMs - newsDelayMs <= rate.namedAtMs) return false
    dropRate(rate, atMs - newsDelayMs)
    return true
  }
  if (atMs < rate.endedAtMs || (before !== undefined && atMs < rate.namedAtMs + sameNamingMs)) return false
  recordNamedRate(rate, perSecond, Math.max(atMs, rate.namedAtMs))
  return rate.perSecond !== before
}

function dropRate (rate: TargetRate, atMs: number): void {
  rate.perSecond = undefined
  rate.endedAtMs = Math.max(rate.endedAtMs, atMs)
  rate.unnamedResponses = 0
}
