/**
 * A token bucket of bytes that bounds the rate of control traffic.
 *
 * @module
 */

/** Options of {@linkcode createByteBudget}. */
export interface ByteBudgetOptions {
  /** Refill rate, in bytes per second. */
  bytesPerSecond: number
  /** Capacity of the bucket, in bytes. */
  burstBytes: number
}

/** A token bucket of bytes, created by {@linkcode createByteBudget}. */
export interface ByteBudget {
  /** Returns whether any bytes remain; a message may be sent then, even if its size is not yet known. */
  hasRemaining (nowMs: number): boolean
  /** Deducts bytes that were sent; the remainder may become negative by at most one message. */
  charge (bytes: number, nowMs: number): void
}

/**
 * Creates a full token bucket.
 *
 * A message that overdraws the bucket delays the next one until the deficit is refilled, so the mean rate stays
 * within `bytesPerSecond`.
 *
 * @param options Rate and capacity
 * @param nowMs Current monotonic time, in milliseconds
 * @returns The full bucket
 */
export function createByteBudget (options: ByteBudgetOptions, nowMs: number): ByteBudget {
  let remainingBytes = options.burstBytes
  let refilledAtMs = nowMs

  function refill (atMs: number): void {
    remainingBytes = Math.min(options.burstBytes, remainingBytes + Math.max(0, atMs - refilledAtMs) * options.bytesPerSecond / 1000)
    refilledAtMs = Math.max(refilledAtMs, atMs)
  }

  return {
    hasRemaining (atMs) {
      refill(atMs)
      return remainingBytes > 0
    },
    charge (bytes, atMs) {
      refill(atMs)
      remainingBytes -= bytes
    }
  }
}
