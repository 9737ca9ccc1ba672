/**
 * Collects bytes in blocks, so that what is held is what is counted, however short the parts are in which the bytes arrive.
 *
 * @module
 */

/** Bytes that were collected. */
export interface ByteBlocks {
  /** Copies a part, which is not retained. */
  add (part: Uint8Array): void
  /** Returns the number of bytes collected. */
  getLength (): number
  /** Joins the blocks; nothing may be added later. */
  join (): Buffer
  /** Releases the blocks. */
  drop (): void
}

const minBlockBytes = 1_024
const maxBlockBytes = 65_536

/**
 * Creates an empty collection.
 *
 * The blocks take at most twice the bytes that were collected, and `minBlockBytes`.
 *
 * @returns The collection
 */
export function createByteBlocks (): ByteBlocks {
  /** All blocks but the last one are full. */
  let blocks: Buffer[] = []
  let used = 0
  let length = 0

  /** Adds a block as large as all that was collected, within limits, unless the part is larger. */
  function addBlock (bytes: number): Buffer {
    const block = Buffer.allocUnsafeSlow(Math.min(maxBlockBytes, Math.max(minBlockBytes, length, bytes)))
    blocks.push(block)
    used = 0
    return block
  }

  return {
    add (part) {
      let rest = part
      while (rest.length > 0) {
        const last = blocks.at(-1)
        const block = last === undefined || used === last.length ? addBlock(rest.length) : last
        const taken = rest.subarray(0, block.length - used)
        block.set(taken, used)
        used += taken.length
        length += taken.length
        rest = rest.subarray(taken.length)
      }
    },
    getLength: () => length,
    join () {
      const [first] = blocks
      return blocks.length === 1 ? first!.subarray(0, used) : Buffer.concat(blocks, length)
    },
    drop () {
      blocks = []
      used = 0
      length = 0
    }
  }
}
