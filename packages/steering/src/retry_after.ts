/**
 * Computes when refused callers may retry, so that retries spread over the time that the backlog takes to process.
 *
 * @module
 */

/** Counts refusals and computes when refused callers may retry. */
export interface RetryPacer {
  /** Counts a refusal and returns the milliseconds after which its caller may retry, with jitter. */
  record (state: RetryPacerState): number
}

/** State of the queue that refused a request. */
export interface RetryPacerState {
  /** Monotonic time, in milliseconds. */
  nowMs: number
  /** Usable slots; 0 if there are none. */
  slots: number
  /** Number of waiting requests. */
  queued: number
  /** Mean time for which a request holds a slot, in milliseconds. */
  holdMs: number
}

const minRetryAfterMs = 200
const maxRetryAfterMs = 30_000
const noSlotsRetryAfterMs = 1_000
/** Time constant of the exponential decay of the refusal count, in milliseconds. */
const refusalDecayMs = 5_000
/** Shortest delay as a fraction of the mean; the random part adds 0 to 1 times the mean. */
const minJitterFactor = 0.5
/** Mean delay after a refusal by a target with free slots, in milliseconds: about the time in which a caller opens a connection. */
const roomRetryAfterMs = 50
/** Longest time after the end of a pause at which a refused caller may retry, as a share of the pause. */
const pauseSpread = 0.5

/**
 * Creates the retry pacer of one queue.
 *
 * @param getRandom Returns a random number in [0, 1)
 * @returns The retry pacer
 */
export function createRetryPacer (getRandom: () => number): RetryPacer {
  let recentRefusals = 0
  let lastRefusedAtMs = 0
  return {
    record ({ nowMs, slots, queued, holdMs }) {
      recentRefusals = recentRefusals * Math.exp((lastRefusedAtMs - nowMs) / refusalDecayMs) + 1
      lastRefusedAtMs = nowMs
      const backlogMs = slots <= 0 ? noSlotsRetryAfterMs : (queued + recentRefusals) * holdMs / slots
      const meanMs = Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, backlogMs))
      return Math.round(meanMs * (minJitterFactor + getRandom()))
    }
  }
}

/**
 * Computes when a caller may retry that was refused since all targets want no requests for a known time.
 *
 * @param pauseMs Time until the first target accepts requests again, in milliseconds
 * @param getRandom Returns a random number in [0, 1)
 * @returns Time in milliseconds, never shorter than the pause; callers that were refused together return one after the other
 */
export function computePauseRetryAfterMs (pauseMs: number, getRandom: () => number): number {
  return Math.round(Math.max(minRetryAfterMs, pauseMs) * (1 + getRandom() * pauseSpread))
}

/**
 * Computes when a caller may retry that was refused by a target although it had free slots, as by one that fails part of its
 * requests.
 *
 * Answers the load of a service whose targets refuse requests at random: there is no backlog to wait for, and a caller that
 * returns soon may still be served within its objective.
 *
 * @param getRandom Returns a random number in [0, 1)
 * @returns Time in milliseconds, with jitter
 */
export function computeRoomRetryAfterMs (getRandom: () => number): number {
  return Math.round(roomRetryAfterMs * (minJitterFactor + getRandom()))
}
