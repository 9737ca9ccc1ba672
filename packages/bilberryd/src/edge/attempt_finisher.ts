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
export interface AttemptFinisher {
  /** Ends an attempt whose answer was written whole. */
  finish (attempt: Attempt): void
  /** Ends an attempt with a refusal, which is written where nothing was yet. */
  refuse (attempt: Attempt, refusal: Refusal): void
  /** Ends an attempt whose answer was cut off, by breaking its connection. */
  abort (attempt: Attempt, refusal: Refusal): void
}

/** Options of {@linkcode createAttemptFinisher}. */
export interface CreateAttemptFinisherOptions {
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
export function createAttemptFinisher (options: CreateAttemptFinisherOptions): AttemptFinisher {
  const { log, metrics, getNowMs } = options

  function recordEnd (attempt: Attempt, outcome: Outcome, refusal?: Refusal): void {
    attempt.phase = AttemptPhase.Ended
    clearTimeout(attempt.timer)
    const nowMs = getNowMs()
    const elapsedMs = nowMs - attempt.arrivedAtMs
    metrics.recordStage(RequestStage.Whole, attempt.route.kind, elapsedMs)
    const isFastSuccess = refusal === undefined && attempt.tried.size <= 1 && elapsedMs <= attempt.route.objectiveMs
    if (isFastSuccess && !log.takeSample()) return
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
      leftMs: Math.round(attempt.deadlineAtMs - nowMs),
      ...options.describeLoad()
    })
  }

  return {
    finish (attempt) {
      metrics.countAnswered(attempt.route.name)
      recordEnd(attempt, Outcome.Answered)
    },
    refuse (attempt, refusal) {
      if (attempt.phase === AttemptPhase.Ended) return
      // A target may have run it, so that the promise of a plain refusal would not hold.
      const reported = attempt.mayHaveRun && refusal.outcome === Outcome.NotRun ? createUnknown(RefusalReason.TargetLost, refusal.detail) : refusal
      metrics.countRefused(attempt.route.name, reported.outcome, reported.reason)
      if (!attempt.response.headersSent) writeRefusal(attempt.response, reported, formatRetryAfter)
      recordEnd(attempt, reported.outcome, reported)
    },
    abort (attempt, refusal) {
      metrics.countTruncated()
      metrics.countRefused(attempt.route.name, refusal.outcome, refusal.reason)
      recordEnd(attempt, refusal.outcome, refusal)
      attempt.response.destroy()
    }
  }
}
