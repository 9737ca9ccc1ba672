/**
 * Limits the memory that the bodies of waiting requests take together.
 *
 * @module
 */

/** Memory for bodies. */
export interface BufferAllowance {
  /** Records that bytes are buffered; returns whether more may be. */
  reserve (bytes: number): boolean
  /** Records that bytes are no longer buffered. */
  release (bytes: number): void
  /** Returns the number of buffered bytes. */
  getUsedBytes (): number
}

/**
 * Creates an allowance of which nothing is used.
 *
 * @param maxBytes Number of buffered bytes from which no more may be, in bytes; exceeded by at most one chunk of each body
 * @returns The allowance
 */
export function createBufferAllowance (maxBytes: number): BufferAllowance {
  let usedBytes = 0
  return {
    reserve (bytes) {
      usedBytes += bytes
      return usedBytes < maxBytes
    },
    release (bytes) { usedBytes -= bytes },
    getUsedBytes: () => usedBytes
  }
}
