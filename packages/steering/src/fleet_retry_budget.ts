/**
 * Limits how often requests are retried at another target, in the sum over all instances.
 *
 * @module
 */

/** Options of {@linkcode createFleetRetryBudget}. */
export interface CreateFleetRetryBudgetOptions {
  /** Retries allowed per request within a window. */
  ratio: number
  /** Retries allowed in addition within a window, for all instances together. */
  slack: number
  /** Length of the window, in milliseconds. */
  windowMs: number
  /** Returns the maximum number of instances that share the budget. */
  getInstanceCount: () => number
}

/** One instance's part of the retry budget of a service. */
export interface FleetRetryBudget {
  /** Records that a caller sent a request for the service. */
  recordRequest (nowMs: number): void
  /** Takes one retry from the budget; returns whether the budget allows it. */
  take (nowMs: number): boolean
  /** Returns the number of retries that the budget allows at the given time; may be a fraction. */
  computeRemaining (nowMs: number): number
}

/** Fraction of the retries for its own requests that an instance uses; the rest covers windows that begin within one of its buckets. */
const usedRatioShare = 0.9
/** Fraction of its part of the slack that an instance uses: a restarted instance has its full slack again, although its earlier retries are still within the window. */
const usedSlackShare = 0.5
/** Number of buckets into which a window is divided for counting. */
const bucketsPerWindow = 10

/**
 * Creates an unused retry budget.
 *
 * Each instance may retry in proportion to the requests that it received itself, and has an equal part of the slack.
 * The sum over all instances therefore keeps to the budget without messages between them.
 *
 * @param options Limits of the budget
 * @returns The budget
 */
export function createFleetRetryBudget (options: CreateFleetRetryBudgetOptions): FleetRetryBudget {
  const { ratio, slack, windowMs, getInstanceCount } = options
  const bucketMs = windowMs / bucketsPerWindow
  const requests = createWindowCounter(bucketMs)
  const retries = createWindowCounter(bucketMs)

  function computeLeft (nowMs: number): number {
    const allowed = usedRatioShare * ratio * requests.sum(nowMs) + usedSlackShare * slack / Math.max(1, getInstanceCount())
    return Math.max(0, allowed - retries.sum(nowMs))
  }

  return {
    recordRequest: nowMs => requests.record(nowMs),
    take (nowMs) {
      if (computeLeft(nowMs) < 1) return false
      retries.record(nowMs)
      return true
    },
    computeRemaining: computeLeft
  }
}

/** Creates a counter of the events of a sliding window, kept in buckets. */
function createWindowCounter (bucketMs: number): { record: (nowMs: number) => void, sum: (nowMs: number) => number } {
  const counts: number[] = new Array(bucketsPerWindow + 1).fill(0)
  let lastBucket = -Infinity
  const advance = (nowMs: number): number => {
    const bucket = Math.floor(nowMs / bucketMs)
    const firstStaleBucket = Math.max(lastBucket + 1, bucket - counts.length + 1)
    for (let staleBucket = firstStaleBucket; staleBucket <= bucket; staleBucket++) counts[staleBucket % counts.length] = 0
    lastBucket = Math.max(lastBucket, bucket)
    return bucket % counts.length
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
