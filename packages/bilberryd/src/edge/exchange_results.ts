/**
 * Handles the result of an exchange with a target: finishes the attempt or retries it at another target.
 *
 * @module
 */
import type { FleetRetryBudget } from '@bilberryworks/steering'
import type { Attempt } from './attempt.ts'
import type { AttemptFinisher } from './attempt_finisher.ts'
import type { EntryLog } from './entry_log.ts'
import type { EntryMetrics } from './entry_metrics.ts'
import { computeRoomRetryAfterMs, createNotRunRefusal, createUnknownRefusal, RefusalReason, RetryReason, RouteKind } from '@bilberryworks/steering'
import { getHostLimitReason, maxLocalRefusals } from './host_limits.ts'
import { ExchangeResult } from './send_attempt.ts'

/** Options of {@linkcode createExchangeResultHandler}. */
export interface CreateExchangeResultHandlerOptions {
  /** Finishes attempts. */
  finisher: AttemptFinisher
  /** Structured log. */
  log: EntryLog
  /** Metrics. */
  metrics: EntryMetrics
  /** Returns whether a target has ended under the same request before. */
  isSuspect: (attempt: Attempt) => boolean
  /** Sends an attempt through another instance; returns whether there is one that may and can relay it. */
  relay: (attempt: Attempt) => boolean
  /** Sends an attempt through another instance, since this host refuses connections; returns whether there is one that may and can relay it. */
  relayFromHost: (attempt: Attempt) => boolean
  /** Queues an attempt for dispatch to another target. */
  requeue: (attempt: Attempt) => void
  /** Returns the retry budget of a service. */
  getBudget: (service: string) => FleetRetryBudget
  /** Returns the `Retry-After` of a refused attempt, in milliseconds. */
  getRetryAfterMs: (attempt: Attempt) => number
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
  /** Returns a random number in [0, 1). */
  getRandom: () => number
}

/** Why an attempt is not retried. */
export enum RetryDenial {
  /** Unbuffered body bytes were forwarded. */
  BodySpent = 'body_spent',
  /** The route's maximum number of targets, or the limit on failed connections, has been reached. */
  Attempts = 'attempts',
  /** The deadline has passed or is too close. */
  Deadline = 'deadline',
  /** The retry budget is exhausted. */
  Budget = 'budget',
  /** A target has ended under the same request before, so a further target might end, too. */
  Suspect = 'suspect'
}

/** Minimum time to the deadline for dispatching a request, in milliseconds: less would be used up by the network latency to the target. */
export const minTimeLeftMs = 20

/** Number of targets to which no connection was established, after which an attempt is not retried; if an entire failure domain fails, failures of other requests and the platform soon exclude its targets from selection. */
const maxConnectFailures = 4

/**
 * Creates the handler for the result of each exchange.
 *
 * A request that is not idempotent is retried only if no target has run it: either no connection was established, or
 * each target that received the request stated that it did not run it.
 *
 * @param options Retry budgets, callbacks, log and metrics
 * @returns The handler
 */
export function createExchangeResultHandler (options: CreateExchangeResultHandlerOptions): (attempt: Attempt, result: ExchangeResult, detail: string) => void {
  const { finisher, log, metrics, getNowMs } = options

  function handleExchangeResult (attempt: Attempt, result: ExchangeResult, detail: string): void {
    switch (result) {
      case ExchangeResult.Completed:
        finisher.finish(attempt)
        break
      case ExchangeResult.Truncated:
        finisher.abort(attempt, createUnknownRefusal(RefusalReason.TargetLost, detail))
        break
      case ExchangeResult.ConnectFailed:
        attempt.lastNotRunReason = RefusalReason.TargetUnreachable
        retryAttempt(attempt, { reason: RetryReason.ConnectFailed, consumesBudget: false, detail })
        break
      case ExchangeResult.RefusedLocally:
        retryRefusedLocally(attempt, detail)
        break
      case ExchangeResult.Withdrawn:
        attempt.lastNotRunReason = RefusalReason.NoUsableTarget
        retryAttempt(attempt, { reason: RetryReason.TargetExcluded, consumesBudget: false, detail })
        break
      case ExchangeResult.NotRun:
      case ExchangeResult.Misdirected:
        attempt.lastNotRunReason = RefusalReason.TargetRefused
        retryAttempt(attempt, { reason: RetryReason.TargetRefused, consumesBudget: true, detail: 'Target stated that it did not run the request' })
        break
      default:
        if (attempt.route.kind === RouteKind.Safe) retryAttempt(attempt, { reason: RetryReason.IdempotentLost, consumesBudget: true, detail })
        else finisher.refuse(attempt, createUnknownRefusal(RefusalReason.TargetLost, detail))
    }
  }

  /** Queues an attempt again whose connection this host refused; the target stays one of those that it may be sent to. */
  function retryRefusedLocally (attempt: Attempt, detail: string): void {
    attempt.lastNotRunReason = getHostLimitReason(attempt)
    attempt.tried.delete(attempt.dispatches.at(-1)!.target!)
    if (++attempt.localRefusals <= maxLocalRefusals) retryAttempt(attempt, { reason: RetryReason.RefusedLocally, consumesBudget: false, detail })
    else if (!options.relayFromHost(attempt)) finisher.refuse(attempt, createNotRunRefusal(attempt.lastNotRunReason, detail, options.getRetryAfterMs(attempt)))
  }

  /** Retries an attempt at another target if its body, its route, its deadline and the retry budget allow it; otherwise refuses it. */
  function retryAttempt (attempt: Attempt, cause: { reason: RetryReason, consumesBudget: boolean, detail: string }): void {
    const nowMs = getNowMs()
    const budget = options.getBudget(attempt.service)
    const isSuspect = cause.reason === RetryReason.IdempotentLost && options.isSuspect(attempt)
    const bar = findRetryDenial(attempt, nowMs) ?? (isSuspect ? RetryDenial.Suspect : undefined) ?? (cause.consumesBudget && !budget.take(nowMs) ? RetryDenial.Budget : undefined)
    const retryFields = { id: attempt.attemptId, reason: cause.reason, detail: cause.detail, tried: attempt.tried.size, budgetLeft: Math.floor(budget.computeRemaining(nowMs)), leftMs: Math.round(attempt.deadlineAtMs - nowMs) }
    if (bar === undefined) {
      metrics.countRetry(cause.reason)
      log.info('retry', retryFields)
      options.requeue(attempt)
      return
    }
    if (bar === RetryDenial.Attempts && cause.reason === RetryReason.ConnectFailed && attempt.targetsReached < attempt.route.maxAttempts && options.relay(attempt)) return
    log.info('retry_barred', { ...retryFields, bar })
    if (attempt.mayHaveRun) finisher.refuse(attempt, createUnknownRefusal(RefusalReason.TargetLost, cause.detail))
    else finisher.refuse(attempt, createNotRunRefusal(attempt.lastNotRunReason ?? RefusalReason.Overloaded, cause.detail, computeRetryAfterMs(attempt, cause.reason)))
  }

  /** Returns when the caller may retry: soon if the target refused the request although it had room, otherwise by the backlog. */
  function computeRetryAfterMs (attempt: Attempt, reason: RetryReason): number {
    const hasRoom = reason === RetryReason.TargetRefused && attempt.wasRefusedWithRoom
    return hasRoom ? computeRoomRetryAfterMs(options.getRandom) : options.getRetryAfterMs(attempt)
  }

  return handleExchangeResult
}

/**
 * Returns why an attempt must not be retried, apart from the retry budget.
 *
 * @param attempt The attempt
 * @param nowMs Monotonic time, in milliseconds
 * @returns The reason, or `undefined` if it may be retried
 */
export function findRetryDenial (attempt: Attempt, nowMs: number): RetryDenial | undefined {
  if (attempt.isBodyConsumed) return RetryDenial.BodySpent
  if (attempt.targetsReached >= attempt.route.maxAttempts || attempt.tried.size - attempt.targetsReached >= maxConnectFailures) return RetryDenial.Attempts
  return attempt.deadlineAtMs - nowMs <= minTimeLeftMs ? RetryDenial.Deadline : undefined
}
