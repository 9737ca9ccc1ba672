/**
 * Divides the memory of a process, and decides when load is refused because the heap is nearly used up.
 *
 * @module
 */

/** Limits of the memory of a process. */
export interface MemoryLimits {
  /** Limit of the resident memory, in bytes; `undefined` if the settings state none. */
  memoryBytes?: number | undefined
  /** Limit of the heap, young generation included, in bytes. */
  heapBytes: number
}

/** Parts of the memory of a process. */
export interface MemoryShares {
  /** Bodies of requests, in bytes. */
  bodyBytes: number
  /** Old generation of the heap, in bytes. */
  oldHeapBytes: number
  /** Number of connections of callers, each of which takes heap while it is idle. */
  maxConnections: number
}

/** Whether the heap is short, with the samples that the next decision needs. */
export interface HeapPressure {
  /** Whether load is to be refused. */
  isShort: boolean
  /** Number of consecutive samples above the limit. */
  highSamples: number
}

/** Pressure of a heap that has not been sampled. */
export const noHeapPressure: HeapPressure = { isShort: false, highSamples: 0 }

/** Young generation of V8, in bytes: three semi-spaces of their default size. */
const youngHeapBytes = 50_331_648
/** Resident memory apart from heap and buffers, in bytes: the program, its code and its stacks. */
const programBytes = 67_108_864
/** Heap of an instance without load, in bytes. */
const baseHeapBytes = 10_485_760
/** Heap of an idle connection, in bytes. */
const connectionHeapBytes = 8_192
/** Share of what is left for buffers that bodies take; sockets, responses and the allocator take the rest. */
const bodyShare = 0.8
const connectionShare = 0.6
/** Bodies where no limit of the memory is known, as a multiple of the limit of the heap. */
const bodiesPerHeap = 2
const minBodyBytes = 8_388_608
const minConnections = 64
const highShare = 0.85
const lowShare = 0.75
/** Number of samples for which the heap must be above its limit: a single one may hold garbage that the next collection frees. */
const minHighSamples = 2

/**
 * Divides the memory of a process.
 *
 * @param limits The limits
 * @returns The parts
 */
export function computeMemoryShares ({ memoryBytes = Infinity, heapBytes }: MemoryLimits): MemoryShares {
  const oldHeapBytes = heapBytes > youngHeapBytes ? heapBytes - youngHeapBytes : heapBytes / 2
  const leftBytes = (memoryBytes - heapBytes - programBytes) * bodyShare
  return {
    bodyBytes: Math.max(minBodyBytes, Math.min(leftBytes, heapBytes * bodiesPerHeap)),
    oldHeapBytes,
    maxConnections: Math.max(minConnections, Math.floor((oldHeapBytes * connectionShare - baseHeapBytes) / connectionHeapBytes))
  }
}

/**
 * Decides whether load is to be refused, with hysteresis.
 *
 * @param before Decision on the sample before
 * @param oldUsedBytes Size of the objects in the old generation, in bytes
 * @param shares Parts of the memory
 * @returns The decision
 */
export function updateHeapPressure (before: HeapPressure, oldUsedBytes: number, { oldHeapBytes }: MemoryShares): HeapPressure {
  const highSamples = oldUsedBytes >= oldHeapBytes * highShare ? before.highSamples + 1 : 0
  const isStillShort = before.isShort && oldUsedBytes >= oldHeapBytes * lowShare
  return { isShort: isStillShort || highSamples >= minHighSamples, highSamples }
}
