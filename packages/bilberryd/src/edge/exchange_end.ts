/**
 * What follows the end of an exchange with a target: the end of the attempt, or another target.
 *
 * @module
 */
import type { FleetRetryBudget } from '@bilberryworks/steering'
import type { Attempt } from './attempt.ts'
import type { AttemptEnds } from './attempt_ends.ts'
import type { EntryLog } from './entry_log.ts'
import type { EntryMetrics } from './entry_metrics.ts'
import { createNotRun, createUnknown, RefusalReason, RetryReason, RouteKind } from '@bilberryworks/steering'
import { ExchangeEnd } from './send_attempt.ts'

/** Options of {@linkcode createExchangeEndHandler}. */
export interface CreateExchangeEndHandlerOptions {
  /** Ends attempts. */
  ends: AttemptEnds
  /** Log of decisions. */
  log: EntryLog
  /** Metrics. */
  metrics: EntryMetrics
  /** Sends an attempt to a further target. */
  sendAgain: (attempt: Attempt) => void
  /** The budget of repeats of a service. */
  getBudget: (service: string) => FleetRetryBudget
  /** Returns when the caller of a refused attempt may come back, in milliseconds. */
  getRetryAfterMs: (attempt: Attempt) => number
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Why an attempt goes to no further target. */
enum RetryBar {
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
export const minWorkMs = 20

/** Targets that took no connection, after which an attempt is given up: those of a failure domain that is lost are told by others and by the platform soon. */
const maxUnreached = 4

/**
 * Creates the function that is called with the end of each exchange.
 *
 * A request that must not run twice is sent again only where no target has run it: none was reached, or each that was
 * reached said so itself.
 *
 * @param options What it calls
 * @returns The function
 */
export function createExchangeEndHandler (options: CreateExchangeEndHandlerOptions): (attempt: Attempt, end: ExchangeEnd, detail: string) => void {
  const { ends, log, metrics, getNowMs } = options

  function handleExchangeEnd (attempt: Attempt, end: ExchangeEnd, detail: string): void {
    switch (end) {
      case ExchangeEnd.Answered:
        ends.finishAnswered(attempt)
        break
      case ExchangeEnd.Broken:
        ends.breakOff(attempt, createUnknown(RefusalReason.TargetLost, detail))
        break
      case ExchangeEnd.Unsent:
        attempt.lastReason = RefusalReason.TargetUnreachable
        retryAttempt(attempt, { reason: RetryReason.ConnectFailed, isArrival: false, detail })
        break
      case ExchangeEnd.NotRun:
        attempt.lastReason = RefusalReason.TargetRefused
        retryAttempt(attempt, { reason: RetryReason.TargetRefused, isArrival: true, detail: 'Target refused the request' })
        break
      default:
        if (attempt.route.kind === RouteKind.Safe) retryAttempt(attempt, { reason: RetryReason.IdempotentLost, isArrival: true, detail })
        else ends.refuse(attempt, createUnknown(RefusalReason.TargetLost, detail))
    }
  }

  /** Sends a request to a further target where its route, its time and the budget allow it; else ends it. */
  function retryAttempt (attempt: Attempt, cause: { reason: RetryReason, isArrival: boolean, detail: string }): void {
    const nowMs = getNowMs()
    const budget = options.getBudget(attempt.service)
    const bar = findBar(attempt, nowMs) ?? (cause.isArrival && !budget.take(nowMs) ? RetryBar.Budget : undefined)
    const inputs = { id: attempt.attemptId, reason: cause.reason, detail: cause.detail, tried: attempt.tried.size, budgetLeft: Math.floor(budget.computeLeft(nowMs)), leftMs: Math.round(attempt.finalAtMs - nowMs) }
    if (bar === undefined) {
      metrics.countRetry(cause.reason)
      log.info('retry', inputs)
      options.sendAgain(attempt)
      return
    }
    log.info('retry_barred', { ...inputs, bar })
    if (attempt.mayHaveRun) ends.refuse(attempt, createUnknown(RefusalReason.TargetLost, cause.detail))
    else ends.refuse(attempt, createNotRun(attempt.lastReason ?? RefusalReason.Overloaded, cause.detail, options.getRetryAfterMs(attempt)))
  }

  return handleExchangeEnd
}

/** Tells what in the attempt itself bars a further target. */
function findBar (attempt: Attempt, nowMs: number): RetryBar | undefined {
  if (attempt.isBodySpent) return RetryBar.BodySpent
  if (attempt.targetsReached >= attempt.route.maxAttempts || attempt.tried.size - attempt.targetsReached >= maxUnreached) return RetryBar.Attempts
  return attempt.finalAtMs - nowMs <= minWorkMs ? RetryBar.Deadline : undefined
}
