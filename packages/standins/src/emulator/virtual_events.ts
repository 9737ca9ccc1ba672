/**
 * A queue of events on a virtual clock, for simulations.
 *
 * @module
 */

/** An event on a virtual clock. */
export interface VirtualEvent {
  /** Time of the event, in milliseconds. */
  atMs: number
  /** Runs the event. */
  run: () => void
}

/** Queue of events, from which they are taken in the order of their times. */
export interface VirtualEvents {
  /** Adds an event. */
  add: (atMs: number, run: () => void) => void
  /** Takes the earliest event; `undefined` if there is none. */
  take: () => VirtualEvent | undefined
}

/**
 * Creates an empty queue.
 *
 * @returns The queue
 */
export function createEvents (): VirtualEvents {
  const heap: VirtualEvent[] = []
  const isBefore = (a: number, b: number): boolean => heap[a]!.atMs < heap[b]!.atMs
  const swap = (a: number, b: number): void => { [heap[a], heap[b]] = [heap[b]!, heap[a]!] }
  return {
    add (atMs, run) {
      heap.push({ atMs, run })
      for (let index = heap.length - 1; index > 0; index = (index - 1) >> 1) {
        if (!isBefore(index, (index - 1) >> 1)) return
        swap(index, (index - 1) >> 1)
      }
    },
    take () {
      if (heap.length === 0) return undefined
      swap(0, heap.length - 1)
      const event = heap.pop()
      for (let index = 0; ;) {
        let smallest = index
        for (const child of [2 * index + 1, 2 * index + 2]) if (child < heap.length && isBefore(child, smallest)) smallest = child
        if (smallest === index) return event
        swap(index, smallest)
        index = smallest
      }
    }
  }
}
