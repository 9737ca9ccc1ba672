/**
 * What follows the end of an exchange with a target: the end of the attempt, or another target.
 *
 * @module
 */
import type { FleetRetryBudget } from '@bilberryworks/steering'
import type { Attempt } from './attempt.ts'
import type { AttemptFinisher } from './attempt_finisher.ts'
import type { EntryLog } from './entry_log.ts'
import type { EntryMetrics } from './entry_metrics.ts'
import { createNotRun, createUnknown, RefusalReason, RetryReason, RouteKind } from '@bilberryworks/steering'
import { ExchangeResult } from './send_attempt.ts'

/** Options of {@linkcode createExchangeResultHandler}. */
export interface CreateExchangeResultHandlerOptions {
  /** Ends attempts. */
  finisher: AttemptFinisher
  /** Log of decisions. */
  log: EntryLog
  /** Metrics. */
  metrics: EntryMetrics
  /** Sends an attempt to a further target. */
  requeue: (attempt: Attempt) => void
  /** The budget of repeats of a service. */
  getBudget: (service: string) => FleetRetryBudget
  /** Returns when the caller of a refused attempt may come back, in milliseconds. */
  getRetryAfterMs: (attempt: Attempt) => number
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Why an attempt goes to no further target. */
enum RetryDenial {
  /** A part of its body was sent that is not kept. */
  BodySpent = 'body_spent',
  /** Its route allows no further target, or too many took no connection. */
  Attempts = 'attempts',
  /** Its time is over, or nearly so. */
  Deadline = 'deadline',
  /** The budget of repeats is used up. */
  Budget = 'budget'
}

/** Least time that is left for work at a target when a request is sent, in milliseconds: less is no more than the way there. */
export const minTimeLeftMs = 20

/** Targets that took no connection, after which an attempt is given up: those of a failure domain that is lost are told by others and by the platform soon. */
const maxConnectFailures = 4

/**
 * Creates the function that is called with the end of each exchange.
 *
 * A request that must not run twice is sent again only where no target has run it: none was reached, or each that was
 * reached said so itself.
 *
 * @param options What it calls
 * @returns The function
 */
export function createExchangeResultHandler (options: CreateExchangeResultHandlerOptions): (attempt: Attempt, end: ExchangeResult, detail: string) => void {
  const { finisher, log, metrics, getNowMs } = options

  function handleExchangeResult (attempt: Attempt, result: ExchangeResult, detail: string): void {
    switch (result) {
      case ExchangeResult.Answered:
        finisher.finish(attempt)
        break
      case ExchangeResult.Broken:
        finisher.abort(attempt, createUnknown(RefusalReason.TargetLost, detail))
        break
      case ExchangeResult.Unsent:
        attempt.lastReason = RefusalReason.TargetUnreachable
        retryAttempt(attempt, { reason: RetryReason.ConnectFailed, consumesBudget: false, detail })
        break
      case ExchangeResult.NotRun:
        attempt.lastReason = RefusalReason.TargetRefused
        retryAttempt(attempt, { reason: RetryReason.TargetRefused, consumesBudget: true, detail: 'Target refused the request' })
        break
      default:
        if (attempt.route.kind === RouteKind.Safe) retryAttempt(attempt, { reason: RetryReason.IdempotentLost, consumesBudget: true, detail })
        else finisher.refuse(attempt, createUnknown(RefusalReason.TargetLost, detail))
    }
  }

  /** Sends a request to a further target where its route, its time and the budget allow it; else ends it. */
  function retryAttempt (attempt: Attempt, cause: { reason: RetryReason, consumesBudget: boolean, detail: string }): void {
    const nowMs = getNowMs()
    const budget = options.getBudget(attempt.service)
    const bar = findRetryDenial(attempt, nowMs) ?? (cause.consumesBudget && !budget.take(nowMs) ? RetryDenial.Budget : undefined)
    const retryFields = { id: attempt.attemptId, reason: cause.reason, detail: cause.detail, tried: attempt.tried.size, budgetLeft: Math.floor(budget.computeLeft(nowMs)), leftMs: Math.round(attempt.deadlineAtMs - nowMs) }
    if (bar === undefined) {
      metrics.countRetry(cause.reason)
      log.info('retry', retryFields)
      options.requeue(attempt)
      return
    }
    log.info('retry_barred', { ...retryFields, bar })
    if (attempt.mayHaveRun) finisher.refuse(attempt, createUnknown(RefusalReason.TargetLost, cause.detail))
    else finisher.refuse(attempt, createNotRun(attempt.lastReason ?? RefusalReason.Overloaded, cause.detail, options.getRetryAfterMs(attempt)))
  }

  return handleExchangeResult
}

/** Tells what in the attempt itself bars a further target. */
function findRetryDenial (attempt: Attempt, nowMs: number): RetryDenial | undefined {
  if (attempt.isBodyConsumed) return RetryDenial.BodySpent
  if (attempt.targetsReached >= attempt.route.maxAttempts || attempt.tried.size - attempt.targetsReached >= maxConnectFailures) return RetryDenial.Attempts
  return attempt.deadlineAtMs - nowMs <= minTimeLeftMs ? RetryDenial.Deadline : undefined
}
