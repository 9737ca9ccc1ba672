/**
 * Tells when the targets of an instance have been silent for so long that its network path to them may be down.
 *
 * @module
 */

/** A request that waits for the response of a target. */
export interface PendingExchange {
  /** Identifier of the target. */
  targetId: string
  /** Monotonic time at which the request was sent, in milliseconds. */
  sentAtMs: number
}

/** Silence of all targets. */
export interface ResponseSilence {
  /** Records a response. */
  recordResponse (nowMs: number): void
  /** Returns the time without any response that counts as silence, in milliseconds. */
  getLimitMs (): number
  /** Returns the time until targets may be silent if none responds, in milliseconds. */
  computeWaitMs (nowMs: number): number
  /** Returns whether all targets are silent; if so, it counts anew with twice the limit, until the next response, since a check of the paths follows. */
  isSilent (pending: Iterable<PendingExchange>, nowMs: number): boolean
}

/** Number of targets that must owe a response. */
const minTargets = 2
/** Mean times between responses without one after which targets count as silent; a response time that is spread exponentially exceeds that once in 3,000 times. */
const silentGaps = 8
const minLimitMs = 300
const maxLimitMs = 1_500
const maxBackoff = 8
/** Minimum time between two looks at requests that were sent a short time ago, in milliseconds. */
const minWaitMs = 50
/** Weight of the latest time between responses in their moving average. */
const latestGapWeight = 0.1

/**
 * Creates the silence of an instance that has had no responses.
 *
 * @param nowMs Monotonic time, in milliseconds
 * @returns The silence
 */
export function createResponseSilence (nowMs: number): ResponseSilence {
  let lastResponseAtMs = nowMs
  let meanGapMs = maxLimitMs / silentGaps
  let reportedAtMs = -Infinity
  let backoff = 1
  const getLimitMs = (): number => backoff * Math.min(maxLimitMs, Math.max(minLimitMs, meanGapMs * silentGaps))

  return {
    recordResponse (responseAtMs) {
      // A longer gap is silence, or a time without requests, and says nothing of the usual one.
      const gapMs = Math.min(maxLimitMs / silentGaps, responseAtMs - lastResponseAtMs)
      meanGapMs += (gapMs - meanGapMs) * latestGapWeight
      lastResponseAtMs = responseAtMs
      backoff = 1
    },
    getLimitMs,
    computeWaitMs: nowMs => Math.max(minWaitMs, getLimitMs() - (nowMs - Math.max(lastResponseAtMs, reportedAtMs))),
    isSilent (pending, checkedAtMs) {
      const limitMs = getLimitMs()
      if (checkedAtMs - Math.max(lastResponseAtMs, reportedAtMs) < limitMs) return false
      const targets = new Set<string>()
      for (const { targetId, sentAtMs } of pending) if (checkedAtMs - sentAtMs >= limitMs) targets.add(targetId)
      if (targets.size < minTargets) return false
      backoff = Math.min(maxBackoff, backoff * 2)
      reportedAtMs = checkedAtMs
      return true
    }
  }
}
