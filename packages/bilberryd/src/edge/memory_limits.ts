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
  /** Samples the heap, and the resident memory; to be called at short intervals. */
  sample (): void
  /** Returns the limit of the resident memory, in bytes; 0 if the settings state none. */
  getLimitBytes (): number
  /** Returns the refusal of a request for which the heap has no room; `undefined` if it has. */
  findRefusal (): Refusal | undefined
  /** Creates the refusal of a request whose body has no room. */
  createBodyRefusal (): Refusal
}

/** What a process holds, in bytes. */
export interface MemoryUse {
  /** Resident memory; `undefined` if it can't be read. */
  residentBytes: number | undefined
  /** Objects in the old generation of the heap, garbage included. */
  oldHeapBytes: number
  /** Buffers outside the heap. */
  bufferBytes: number
}

/** Options of {@linkcode createMemoryBudget}. */
export interface CreateMemoryBudgetOptions {
  /** What the settings state of the host. */
  limits: HostLimits | undefined
  /** Called when the heap or the resident memory becomes short, or is no longer. */
  onShortage?: (isShort: boolean, use: MemoryUse) => void
  /** Returns a random number in [0, 1). */
  getRandom: () => number
}

const youngSpaces = new Set(['new_space', 'new_large_object_space'])
const minRetryAfterMs = 200
const retryAfterSpreadMs = 600
/** Share of the limit of the resident memory from which it counts as short. */
const highResidentShare = 0.85

/**
 * Creates the budget of memory.
 *
 * @param options Limits, and what is to be told
 * @returns The budget
 */
export function createMemoryBudget ({ limits, onShortage, getRandom }: CreateMemoryBudgetOptions): MemoryBudget {
  const shares = computeMemoryShares({ memoryBytes: limits?.memoryBytes, heapBytes: getHeapStatistics().heap_size_limit })
  let pressure = noHeapPressure
  let wasShort = false
  const createRefusal = (detail: string): Refusal => createNotRunRefusal(RefusalReason.HostLimit, detail, minRetryAfterMs + getRandom() * retryAfterSpreadMs)

  return {
    shares,
    bodies: createBufferAllowance(shares.bodyBytes),
    sample () {
      const use = measureMemory()
      pressure = updateHeapPressure(pressure, use.oldHeapBytes, shares)
      const isShort = pressure.isShort || (use.residentBytes ?? 0) >= (limits?.memoryBytes ?? Infinity) * highResidentShare
      if (isShort === wasShort) return
      wasShort = isShort
      onShortage?.(isShort, use)
    },
    getLimitBytes: () => limits?.memoryBytes ?? 0,
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

/** Measures the resident memory, in bytes; `undefined` if the process has no descriptor left to read it. */
function measureResident (): number | undefined {
  try {
    return process.memoryUsage.rss()
  } catch {
    return undefined
  }
}

/**
 * Measures what this process holds.
 *
 * @returns The sizes
 */
export function measureMemory (): MemoryUse {
  const bufferBytes = getHeapStatistics().external_memory
  return { residentBytes: measureResident(), oldHeapBytes: measureOldHeap(), bufferBytes }
}
