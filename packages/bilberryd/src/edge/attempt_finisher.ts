/**
 * Finishes attempts: writes refusals to callers, and records the outcome of each attempt in the metrics and the log.
 *
 * @module
 */
import type { Refusal } from '@bilberryworks/steering'
import type { Attempt } from './attempt.ts'
import type { EntryLog } from './entry_log.ts'
import type { EntryMetrics } from './entry_metrics.ts'
import { writeRefusal } from '@bilberryworks/callers'
import { createUnknownRefusal, Outcome, RefusalReason } from '@bilberryworks/steering'
import { formatRetryAfter } from '@bilberryworks/users-platform'
import { AttemptPhase } from './attempt.ts'
import { RequestStage } from './entry_metrics.ts'
import { mapRelayedRefusal, writeRelayFields } from './relay_message.ts'

/** Finishes attempts. */
export interface AttemptFinisher {
  /** Finishes an attempt whose response was written completely. */
  finish (attempt: Attempt): void
  /** Finishes an attempt with a refusal, which is sent to the caller unless a response has been started; the outcome "not run" is replaced by "unknown" if a target may have run the request. */
  refuse (attempt: Attempt, refusal: Refusal): void
  /** Finishes an attempt whose response is truncated, by closing the caller's connection. */
  abort (attempt: Attempt, refusal: Refusal): void
}

/** Options of {@linkcode createAttemptFinisher}. */
export interface CreateAttemptFinisherOptions {
  /** Structured log. */
  log: EntryLog
  /** Metrics. */
  metrics: EntryMetrics
  /** Returns the number of waiting requests and of requests in flight, for the log. */
  describeLoad: () => { waiting: number, inFlight: number }
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
}

/**
 * Creates a finisher of attempts.
 *
 * @param options Log, metrics and load
 * @returns The finisher
 */
export function createAttemptFinisher (options: CreateAttemptFinisherOptions): AttemptFinisher {
  const { log, metrics, getNowMs } = options

  function recordEnd (attempt: Attempt, outcome: Outcome, refusal?: Refusal): void {
    attempt.phase = AttemptPhase.Ended
    clearTimeout(attempt.deadlineTimer)
    const nowMs = getNowMs()
    const elapsedMs = nowMs - attempt.arrivedAtMs
    metrics.recordStage(RequestStage.Total, attempt.route.kind, elapsedMs)
    const isFastSuccess = refusal === undefined && attempt.tried.size <= 1 && elapsedMs <= attempt.route.latencyObjectiveMs
    if (isFastSuccess && !log.takeSample()) return
    log.info('request_ended', {
      id: attempt.attemptId,
      route: attempt.route.name,
      service: attempt.service,
      relayedBy: attempt.relay?.instance,
      config: attempt.version,
      object: attempt.objectKey,
      fingerprint: attempt.fingerprint,
      outcome,
      reason: refusal?.reason,
      detail: refusal?.detail,
      retryAfterMs: refusal?.retryAfterMs,
      sends: attempt.dispatches,
      bufferedBytes: attempt.body?.bytes,
      isBodyBuffered: attempt.body?.isComplete,
      elapsedMs: Math.round(elapsedMs),
      objectiveMs: attempt.route.latencyObjectiveMs,
      leftMs: Math.round(attempt.deadlineAtMs - nowMs),
      ...options.describeLoad()
    })
  }

  return {
    finish (attempt) {
      metrics.countCompleted(attempt.route.name)
      recordEnd(attempt, Outcome.Answered)
    },
    refuse (attempt, refusal) {
      if (attempt.phase === AttemptPhase.Ended) return
      // After a "not run" refusal the caller may retry, which could run the request twice if a target may have run it.
      const reported = attempt.mayHaveRun && refusal.outcome === Outcome.NotRun ? createUnknownRefusal(refusal.reason === RefusalReason.CallerGone ? RefusalReason.CallerGone : RefusalReason.TargetLost, refusal.detail) : refusal
      metrics.countRefused(attempt.route.name, reported.outcome, reported.reason)
      if (!attempt.response.headersSent) {
        attempt.prepareResponse()
        if (attempt.relay !== undefined) writeRelayFields(attempt.response, { attemptId: attempt.attemptId, targetsReached: attempt.targetsReached - attempt.relay.targetsReached })
        writeRefusal(attempt.response, attempt.relay === undefined ? reported : mapRelayedRefusal(reported), formatRetryAfter)
      }
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
