/**
 * Ends attempts: writes refusals, counts and logs how each one ended.
 *
 * @module
 */
import type { Refusal } from '@bilberryworks/steering'
import type { Attempt } from './attempt.ts'
import type { EntryLog } from './entry_log.ts'
import type { EntryMetrics } from './entry_metrics.ts'
import { writeRefusal } from '@bilberryworks/callers'
import { createUnknown, Outcome, RefusalReason } from '@bilberryworks/steering'
import { formatRetryAfter } from '@bilberryworks/users-platform'
import { AttemptPhase } from './attempt.ts'
import { RequestStage } from './entry_metrics.ts'

/** Ends attempts. */
export interface AttemptEnds {
  /** Ends an attempt whose answer was written whole. */
  finishAnswered (attempt: Attempt): void
  /** Ends an attempt with a refusal, which is written where nothing was yet. */
  refuse (attempt: Attempt, refusal: Refusal): void
  /** Ends an attempt whose answer was cut off, by breaking its connection. */
  breakOff (attempt: Attempt, refusal: Refusal): void
}

/** Options of {@linkcode createAttemptEnds}. */
export interface CreateAttemptEndsOptions {
  /** Log of decisions. */
  log: EntryLog
  /** Metrics. */
  metrics: EntryMetrics
  /** Describes the load of the instance, for the log. */
  describeLoad: () => { waiting: number, inFlight: number }
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
}

/**
 * Creates the ends of attempts.
 *
 * @param options Where they are written
 * @returns The ends
 */
export function createAttemptEnds (options: CreateAttemptEndsOptions): AttemptEnds {
  const { log, metrics, getNowMs } = options

  function recordEnd (attempt: Attempt, outcome: Outcome, refusal?: Refusal): void {
    attempt.phase = AttemptPhase.Ended
    clearTimeout(attempt.timer)
    const nowMs = getNowMs()
    const elapsedMs = nowMs - attempt.arrivedAtMs
    metrics.recordStage(RequestStage.Whole, attempt.route.kind, elapsedMs)
    const isAtOnce = refusal === undefined && attempt.tried.size <= 1 && elapsedMs <= attempt.route.objectiveMs
    if (isAtOnce && !log.takeSample()) return
    log.info('request_ended', {
      id: attempt.attemptId,
      route: attempt.route.name,
      service: attempt.service,
      config: attempt.version,
      object: attempt.objectKey,
      outcome,
      reason: refusal?.reason,
      detail: refusal?.detail,
      retryAfterMs: refusal?.retryAfterMs,
      sends: attempt.dispatches,
      elapsedMs: Math.round(elapsedMs),
      leftMs: Math.round(attempt.finalAtMs - nowMs),
      ...options.describeLoad()
    })
  }

  return {
    finishAnswered (attempt) {
      metrics.countAnswered(attempt.route.name)
      recordEnd(attempt, Outcome.Answered)
    },
    refuse (attempt, refusal) {
      if (attempt.phase === AttemptPhase.Ended) return
      // A target may have run it, so that the promise of a plain refusal would not hold.
      const truthful = attempt.mayHaveRun && refusal.outcome === Outcome.NotRun ? createUnknown(RefusalReason.TargetLost, refusal.detail) : refusal
      metrics.countRefused(attempt.route.name, truthful.outcome, truthful.reason)
      if (!attempt.response.headersSent) writeRefusal(attempt.response, truthful, formatRetryAfter)
      recordEnd(attempt, truthful.outcome, truthful)
    },
    breakOff (attempt, refusal) {
      metrics.countBroken()
      metrics.countRefused(attempt.route.name, refusal.outcome, refusal.reason)
      recordEnd(attempt, refusal.outcome, refusal)
      attempt.response.destroy()
    }
  }
}
