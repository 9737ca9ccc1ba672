/**
 * Holds the received parts of a body in buffers about as large as what they hold.
 *
 * @module
 */

/** The received parts of a body. */
export interface BodyParts {
  /** Appends a part, which may be copied. */
  add (part: Buffer): void
  /** Returns the bytes received so far, in order. */
  list (): Buffer[]
}

/** Size from which a part is held as it was received, in bytes; beside it, the few hundred bytes that a `Buffer` itself takes count little. */
const minHeldBytes = 1_024
/** Size of the first block that smaller parts are copied to, in bytes. */
const minBlockBytes = 256
/** Size of the largest block, in bytes. */
const maxBlockBytes = 16_384

/**
 * Creates the parts of a body of which nothing has been received.
 *
 * Small parts are copied to blocks, the next one as large as all that was received before it, so that no more than that is held unused.
 *
 * @returns The parts
 */
export function createBodyParts (): BodyParts {
  /** Complete parts, and full blocks. */
  const full: Buffer[] = []
  let block: Buffer | undefined
  let usedBytes = 0
  let totalBytes = 0

  function closeBlock (): void {
    if (block !== undefined) full.push(block.subarray(0, usedBytes))
    block = undefined
  }

  return {
    add (part) {
      if (block === undefined || part.length > block.length - usedBytes) {
        closeBlock()
        if (part.length < minHeldBytes) {
          block = Buffer.allocUnsafe(Math.max(part.length, Math.min(maxBlockBytes, Math.max(minBlockBytes, totalBytes))))
          usedBytes = 0
        } else full.push(part)
      }
      if (block !== undefined) usedBytes += part.copy(block, usedBytes)
      totalBytes += part.length
    },
    list: () => block === undefined ? full : [...full, block.subarray(0, usedBytes)]
  }
}
