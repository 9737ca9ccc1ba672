/**
 * A virtual clock for discrete-event simulations, and a seeded source of random numbers.
 *
 * @module
 */

/** A clock whose time advances only from one scheduled event to the next. */
export interface VirtualClock {
  /** Returns the virtual time, in milliseconds. */
  getNowMs (): number
  /** Schedules a call after a delay, in milliseconds; a negative delay counts as 0. */
  schedule (delayMs: number, call: () => void): void
  /** Runs all events up to a time, in milliseconds, and sets the clock to it. Events at the same time run in the order of scheduling. */
  advance (untilMs: number): void
}

interface ScheduledEvent {
  atMs: number
  order: number
  call: () => void
}

/**
 * Creates a virtual clock at time 0 without events.
 *
 * @returns The clock
 */
export function createVirtualClock (): VirtualClock {
  /** Binary min-heap of the scheduled events. */
  const heap: ScheduledEvent[] = []
  let nowMs = 0
  let nextOrder = 0
  const isBefore = (a: ScheduledEvent, b: ScheduledEvent): boolean => a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order)

  function addEvent (event: ScheduledEvent): void {
    let index = heap.length
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!isBefore(event, heap[parent]!)) break
      heap[index] = heap[parent]!
      index = parent
    }
    heap[index] = event
  }

  function takeEvent (): ScheduledEvent {
    const first = heap[0]!
    const last = heap.pop()!
    if (heap.length === 0) return first
    let index = 0
    for (;;) {
      let child = 2 * index + 1
      if (child >= heap.length) break
      if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) child++
      if (!isBefore(heap[child]!, last)) break
      heap[index] = heap[child]!
      index = child
    }
    heap[index] = last
    return first
  }

  return {
    getNowMs: () => nowMs,
    schedule (delayMs, call) {
      addEvent({ atMs: nowMs + Math.max(0, delayMs), order: nextOrder++, call })
    },
    advance (untilMs) {
      while (heap.length > 0 && heap[0]!.atMs <= untilMs) {
        const event = takeEvent()
        nowMs = event.atMs
        event.call()
      }
      nowMs = untilMs
    }
  }
}

/**
 * Creates a source of random numbers in [0, 1) that gives the same sequence for the same seed (mulberry32).
 *
 * @param seed The seed, a 32-bit integer
 * @returns The function that returns the next random number
 */
export function createRandom (seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (state + 0x6d2b79f5) >>> 0
    let mixed = Math.imul(state ^ (state >>> 15), state | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 0x1_0000_0000
  }
}
