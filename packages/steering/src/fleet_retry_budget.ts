/**
 * Bounds how often requests are sent to a further target, in the sum over all instances.
 *
 * @module
 */

/** Options of {@linkcode createFleetRetryBudget}. */
export interface CreateFleetRetryBudgetOptions {
  /** Repeats allowed for each request within a window. */
  ratio: number
  /** Repeats allowed besides within a window, for all instances together. */
  slack: number
  /** Length of the window, in milliseconds. */
  windowMs: number
  /** Returns the largest number of instances that may draw on the budget. */
  getInstances: () => number
}

/** A budget of repeats of one service. */
export interface FleetRetryBudget {
  /** Records a request of a caller for the service. */
  recordRequest (nowMs: number): void
  /** Takes a repeat; returns whether the budget allowed it. */
  take (nowMs: number): boolean
  /** Computes how many repeats the budget allows now. */
  computeLeft (nowMs: number): number
}

/** Part of the budget that is used: an instance that restarts begins with a new slack while its last repeats still count. */
const usedShare = 0.5
/** Parts into which a window is divided for counting. */
const partsPerWindow = 10

/**
 * Creates a budget with nothing used.
 *
 * Each instance earns by the requests that it received itself and has an equal part of the slack, so that the sum
 * holds without messages between them.
 *
 * @param options Its bounds
 * @returns The budget
 */
export function createFleetRetryBudget (options: CreateFleetRetryBudgetOptions): FleetRetryBudget {
  const { ratio, slack, windowMs, getInstances } = options
  const partMs = windowMs / partsPerWindow
  const requests = createPartCounts(partMs)
  const repeats = createPartCounts(partMs)

  function computeLeft (nowMs: number): number {
    const allowed = usedShare * (ratio * requests.sum(nowMs) + slack / Math.max(1, getInstances()))
    return Math.max(0, allowed - repeats.sum(nowMs))
  }

  return {
    recordRequest: nowMs => requests.record(nowMs),
    take (nowMs) {
      if (computeLeft(nowMs) < 1) return false
      repeats.record(nowMs)
      return true
    },
    computeLeft
  }
}

/** Counts events by part of a window, and sums those of the last window. */
function createPartCounts (partMs: number): { record: (nowMs: number) => void, sum: (nowMs: number) => number } {
  const counts: number[] = new Array(partsPerWindow + 1).fill(0)
  let lastPart = -Infinity
  const advance = (nowMs: number): number => {
    const part = Math.floor(nowMs / partMs)
    const first = Math.max(lastPart + 1, part - counts.length + 1)
    for (let passed = first; passed <= part; passed++) counts[passed % counts.length] = 0
    lastPart = Math.max(lastPart, part)
    return part % counts.length
  }
  return {
    record (nowMs) {
      const index = advance(nowMs)
      counts[index] = counts[index]! + 1
    },
    sum (nowMs) {
      advance(nowMs)
      return counts.reduce((total, count) => total + count, 0)
    }
  }
}
