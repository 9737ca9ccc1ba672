/**
 * The requests of a service that wait for room at a target.
 *
 * Answers the load at which a service's targets are full for a moment: a request waits its turn for as long as its
 * answer can still be in time, and is refused as soon as that is over, with a time at which it may come back.
 *
 * @module
 */

/** A request that waits. */
export interface WaitingRequest {
  /** Identifies the attempt. */
  attemptId: string
  /** Rank of its route; 0 comes first. */
  priority: number
  /** Monotonic time of its arrival, in milliseconds. */
  arrivedAtMs: number
  /** Monotonic time from which it is no longer worth waiting, in milliseconds. */
  refuseAtMs: number
}

/** Requests that wait, in the order in which they are served. */
export interface WaitingRequests<T extends WaitingRequest> {
  /** Adds a request. */
  add (request: T): void
  /** Removes a request; returns whether it was waiting. */
  remove (attemptId: string): boolean
  /** Removes and returns the requests for which `place` finds room, in order, with what it found. */
  takePlaced<P> (place: (request: T) => P | undefined): Array<{ request: T, placed: P }>
  /** Removes and returns the requests that are no longer worth waiting. */
  takeExpired (nowMs: number): T[]
  /** Counts the requests. */
  count (): number
}

/** Share of its time that a request may wait for room; the rest is for its work. */
export const waitShare = 0.3
/** Longest time between two looks at waiting requests, in milliseconds: load reports age meanwhile. */
export const waitingCheckMs = 50
/** Time that one rank of priority is worth in the order, in milliseconds; without a bound the lowest rank would starve. */
const priorityStepMs = 400

/**
 * Creates an empty list.
 *
 * @returns The list
 */
export function createWaitingRequests<T extends WaitingRequest> (): WaitingRequests<T> {
  let waiting: T[] = []
  const getOrder = (request: T): number => request.arrivedAtMs + request.priority * priorityStepMs
  const takeWhere = (isTaken: (request: T) => boolean): T[] => {
    const taken = waiting.filter(isTaken)
    if (taken.length > 0) waiting = waiting.filter(request => !taken.includes(request))
    return taken
  }
  return {
    add (request) {
      const order = getOrder(request)
      let index = waiting.length
      while (index > 0 && getOrder(waiting[index - 1]!) > order) index--
      waiting.splice(index, 0, request)
    },
    remove (attemptId) {
      return takeWhere(request => request.attemptId === attemptId).length > 0
    },
    takePlaced (place) {
      const taken = []
      const left: T[] = []
      for (const request of waiting) {
        const placed = place(request)
        if (placed === undefined) left.push(request)
        else taken.push({ request, placed })
      }
      waiting = left
      return taken
    },
    takeExpired: nowMs => takeWhere(request => request.refuseAtMs <= nowMs),
    count: () => waiting.length
  }
}
