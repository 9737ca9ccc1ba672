/**
 * Plans the long polls that replicate a table of the store.
 *
 * An outage can silence a call for good: no response and no error arrives, even after the store is back. The instance has to
 * reach the store again within the stability window, after which it must act on what the store has acknowledged. Therefore
 * no call is open for longer than that window less the time of a new call. The time for which the connection was idle before
 * counts too, since an outage silences idle connections as well.
 *
 * @module
 */

/** Times of a call to the store. */
export interface PollPlan {
  /** Time that the store may wait for a change, in milliseconds; 0 for an immediate response. */
  waitMs: number
  /** Time from the start of the call after which it has failed, in milliseconds; includes `waitMs`. */
  timeoutMs: number
}

/** Plans the calls for one table. */
export interface PollSchedule {
  /** Plans the next call; `idleMs` is the time since the last response, in milliseconds. */
  planCall (idleMs: number): PollPlan
  /** Records that the store responded to the last call. */
  recordResponse (): void
  /** Records that the last call failed, and returns the time until the next one, in milliseconds. */
  recordFailure (): number
}

/** Options of {@linkcode createPollSchedule}. */
export interface CreatePollScheduleOptions {
  /** Time after an outage within which the instance must have reached the store again, in milliseconds. */
  stableMs: number
  /** Returns a random number in [0, 1). */
  getRandom: () => number
}

/** Time that a response may take beyond the wait for a change, in milliseconds: many times the usual latency of the store. */
const responseTimeoutMs = 1_000
/** Time for the first backoff, a new connection between regions and a response, in milliseconds. */
const reconnectMs = 400
/** Lower limit of the wait for a change, in milliseconds; it bounds the rate of calls. */
const minWaitMs = 500
/** Limit of the time-out of calls after a failure, as a share of the stability window: a slow store gets more time, and a backoff and a further call still fit into the window. */
const probeTimeoutShare = 0.5
/** Initial and maximum backoff after a failed call, in milliseconds: the platform charges for each call, and most outages end within seconds. */
const initialBackoffMs = 100
const maxBackoffMs = 600

/**
 * Creates the schedule of a table whose store has not failed yet.
 *
 * After a failure, calls do not wait for a change, so that a call which the outage silences is given up early.
 *
 * @param options Stability window and random source
 * @returns The schedule
 */
export function createPollSchedule ({ stableMs, getRandom }: CreatePollScheduleOptions): PollSchedule {
  const maxWaitMs = stableMs - responseTimeoutMs - reconnectMs
  const maxProbeTimeoutMs = Math.max(responseTimeoutMs, stableMs * probeTimeoutShare)
  let failures = 0
  return {
    planCall (idleMs) {
      const waitMs = Math.max(minWaitMs, Math.round(maxWaitMs - idleMs))
      if (failures === 0) return { waitMs, timeoutMs: waitMs + responseTimeoutMs }
      return { waitMs: 0, timeoutMs: Math.min(maxProbeTimeoutMs, responseTimeoutMs * failures) }
    },
    recordResponse () {
      failures = 0
    },
    recordFailure () {
      const backoffMs = Math.min(maxBackoffMs, initialBackoffMs * 2 ** failures)
      failures++
      return Math.round(backoffMs * (0.5 + getRandom() / 2))
    }
  }
}
