/**
 * Collects bytes in one block that grows, so that many short parts take no more memory than a long one.
 *
 * @module
 */

/** Collects bytes. */
export interface ByteCollector {
  /** Appends a copy of bytes. */
  append (bytes: Buffer): void
  /** Returns the number of bytes that were appended and not taken. */
  count (): number
  /** Takes the bytes, after which the collector is empty. */
  take (): Buffer
}

const minBlockBytes = 256
const emptyBuffer = Buffer.alloc(0)

/**
 * Creates an empty collector.
 *
 * @returns The collector, whose block has at most twice the size of the bytes that it holds, or 256 bytes
 */
export function createByteCollector (): ByteCollector {
  let block = emptyBuffer
  let length = 0
  return {
    append (bytes) {
      const newLength = length + bytes.length
      if (block.length < newLength) {
        const larger = Buffer.allocUnsafeSlow(Math.max(minBlockBytes, newLength, 2 * length))
        block.copy(larger, 0, 0, length)
        block = larger
      }
      bytes.copy(block, length)
      length = newLength
    },
    count: () => length,
    take () {
      const bytes = block.subarray(0, length)
      block = emptyBuffer
      length = 0
      return bytes
    }
  }
}
