/**
 * Queue of the requests of a service that wait for capacity at a target.
 *
 * While the targets of a service are briefly full, a request waits for up to {@linkcode waitShare} of the time until its
 * deadline. After that, it is refused with the time after which the caller may retry.
 *
 * @module
 */

/** A waiting request. */
export interface WaitingRequest {
  /** Identifies the attempt. */
  attemptId: string
  /** Priority of the request's route; 0 is the highest. */
  priority: number
  /** Monotonic time of the request's arrival, in milliseconds. */
  arrivedAtMs: number
  /** Monotonic time at which the request expires if it still waits, in milliseconds. */
  expiresAtMs: number
}

/** Waiting requests, in the order in which they are served. */
export interface WaitingRequests<T extends WaitingRequest> {
  /** Adds a request. */
  add (request: T): void
  /** Removes a request; returns whether it was waiting. */
  remove (attemptId: string): boolean
  /** Removes and returns the requests for which `place` returns a value, in order, with that value. */
  takePlaced<P> (place: (request: T) => P | undefined): Array<{ request: T, placed: P }>
  /** Removes and returns the requests that match. */
  takeMatching (matches: (request: T) => boolean): T[]
  /** Removes and returns the expired requests. */
  takeExpired (nowMs: number): T[]
  /** Returns the number of requests. */
  count (): number
  /** Returns the number of requests that match. */
  countMatching (matches: (request: T) => boolean): number
}

/** Share of the time until its deadline that a request may wait; the rest is for processing it. */
export const waitShare = 0.3
/** Maximum time between two checks of waiting requests, in milliseconds; a target's load falls without any event, because load reports count less with age. */
export const waitingCheckIntervalMs = 50
/** Difference in arrival time that one level of priority outweighs, in milliseconds; without this bound, requests of the lowest priority would starve. */
const priorityStepMs = 400

/**
 * Creates an empty queue.
 *
 * @returns The queue
 */
export function createWaitingRequests<T extends WaitingRequest> (): WaitingRequests<T> {
  let waiting: T[] = []
  const computeOrder = (request: T): number => request.arrivedAtMs + request.priority * priorityStepMs
  const takeMatching = (matches: (request: T) => boolean): T[] => {
    const taken = waiting.filter(matches)
    if (taken.length > 0) waiting = waiting.filter(request => !taken.includes(request))
    return taken
  }
  return {
    add (request) {
      const order = computeOrder(request)
      let index = waiting.length
      while (index > 0 && computeOrder(waiting[index - 1]!) > order) index--
      waiting.splice(index, 0, request)
    },
    remove (attemptId) {
      return takeMatching(request => request.attemptId === attemptId).length > 0
    },
    takePlaced (place) {
      const taken = []
      const remaining: T[] = []
      for (const request of waiting) {
        const placed = place(request)
        if (placed === undefined) remaining.push(request)
        else taken.push({ request, placed })
      }
      waiting = remaining
      return taken
    },
    takeMatching,
    takeExpired: nowMs => takeMatching(request => request.expiresAtMs <= nowMs),
    count: () => waiting.length,
    countMatching: matches => waiting.filter(matches).length
  }
}
