/**
 * Accounts for the memory of request bodies, and watches the heap of this process.
 *
 * @module
 */
import type { HostLimits, MemoryShares, Refusal } from '@bilberryworks/steering'
import type { BufferAllowance } from './buffer_allowance.ts'
import { getHeapSpaceStatistics, getHeapStatistics } from 'node:v8'
import { computeMemoryShares, createNotRunRefusal, noHeapPressure, RefusalReason, updateHeapPressure } from '@bilberryworks/steering'
import { createBufferAllowance } from './buffer_allowance.ts'

/** Memory of this process. */
export interface MemoryBudget {
  /** Parts of the memory. */
  shares: MemoryShares
  /** Memory of the bodies of all requests that have not ended. */
  bodies: BufferAllowance
  /** Samples the heap; to be called at short intervals. */
  sample (): void
  /** Returns the refusal of a request for which the heap has no room; `undefined` if it has. */
  findRefusal (): Refusal | undefined
  /** Creates the refusal of a request whose body has no room. */
  createBodyRefusal (): Refusal
}

const youngSpaces = new Set(['new_space', 'new_large_object_space'])
const minRetryAfterMs = 200
const retryAfterSpreadMs = 600

/**
 * Creates the budget of memory.
 *
 * @param limits What the settings state of the host
 * @param getRandom Returns a random number in [0, 1)
 * @returns The budget
 */
export function createMemoryBudget (limits: HostLimits | undefined, getRandom: () => number): MemoryBudget {
  const shares = computeMemoryShares({ memoryBytes: limits?.memoryBytes, heapBytes: getHeapStatistics().heap_size_limit })
  let pressure = noHeapPressure
  const createRefusal = (detail: string): Refusal => createNotRunRefusal(RefusalReason.HostLimit, detail, minRetryAfterMs + getRandom() * retryAfterSpreadMs)

  return {
    shares,
    bodies: createBufferAllowance(shares.bodyBytes),
    sample () { pressure = updateHeapPressure(pressure, measureOldHeap(), shares) },
    findRefusal: () => pressure.isShort ? createRefusal('Heap of the instance has no room for another request') : undefined,
    createBodyRefusal: () => createRefusal('Host has no memory left for the body of the request')
  }
}

/**
 * Measures the objects in the old generation of the heap, garbage included.
 *
 * @returns Their size, in bytes
 */
export function measureOldHeap (): number {
  return getHeapSpaceStatistics().reduce((sum, space) => youngSpaces.has(space.space_name) ? sum : sum + space.space_used_size, 0)
}
