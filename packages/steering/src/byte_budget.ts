/**
 * A budget of bytes over time, by which control traffic stays bounded.
 *
 * @module
 */

/** Bounds of a byte budget. */
export interface ByteBudgetOptions {
  /** Bytes that may be spent each second in the long run. */
  bytesPerSecond: number
  /** Most bytes that may be spent at once after a pause. */
  burstBytes: number
}

/** A budget of bytes over time. */
export interface ByteBudget {
  /** Whether anything may be spent now; a message whose size is not yet known may then be sent. */
  hasLeft (nowMs: number): boolean
  /** Charges bytes that were spent; the budget may go below zero by one message. */
  charge (bytes: number, nowMs: number): void
}

/**
 * Creates a full budget.
 *
 * What a message overdraws is paid back before the next one, so that the mean keeps to the rate.
 *
 * @param options The bounds
 * @param nowMs Monotonic time, in milliseconds
 * @returns The budget
 */
export function createByteBudget (options: ByteBudgetOptions, nowMs: number): ByteBudget {
  let left = options.burstBytes
  let filledAtMs = nowMs

  function refresh (atMs: number): void {
    left = Math.min(options.burstBytes, left + Math.max(0, atMs - filledAtMs) * options.bytesPerSecond / 1000)
    filledAtMs = Math.max(filledAtMs, atMs)
  }

  return {
    hasLeft (atMs) {
      refresh(atMs)
      return left > 0
    },
    charge (bytes, atMs) {
      refresh(atMs)
      left -= bytes
    }
  }
}
