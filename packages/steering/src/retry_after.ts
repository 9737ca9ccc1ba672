/**
 * When refused callers may try again: spread over the time that the refused work takes.
 *
 * @module
 */

/** Counts refusals and computes when to try again. */
export interface RetryPacer {
  /** Counts a refusal and returns the milliseconds after which its caller may try again, jittered. */
  record (state: RetryPacerState): number
}

/** What the time until a later try follows from. */
export interface RetryPacerState {
  /** Monotonic time, in milliseconds. */
  nowMs: number
  /** Slots that may be used; 0 where there is none. */
  slots: number
  /** Requests that wait. */
  queued: number
  /** Mean time that a request holds a slot, in milliseconds. */
  holdMs: number
}

const minRetryAfterMs = 200
const maxRetryAfterMs = 30_000
const noSlotsRetryAfterMs = 1_000
/** Time over which refusals are forgotten, in milliseconds. */
const refusalMemoryMs = 5_000
/** The shortest time as a share of the mean; the longest is as far above it. */
const jitterFloor = 0.5

/**
 * Creates the count of refusals of one queue.
 *
 * @param getRandom Returns a random number in [0, 1)
 * @returns The count
 */
export function createRetryPacer (getRandom: () => number): RetryPacer {
  let refusedLately = 0
  let refusedAtMs = 0
  return {
    record ({ nowMs, slots, queued, holdMs }) {
      refusedLately = refusedLately * Math.exp((refusedAtMs - nowMs) / refusalMemoryMs) + 1
      refusedAtMs = nowMs
      const backlogMs = slots <= 0 ? noSlotsRetryAfterMs : (queued + refusedLately) * holdMs / slots
      const meanMs = Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, backlogMs))
      return Math.round(meanMs * (jitterFloor + getRandom()))
    }
  }
}
