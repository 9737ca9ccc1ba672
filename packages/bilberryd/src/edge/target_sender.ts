/**
 * Sends attempts to targets, and passes on what the exchange shows of the target.
 *
 * @module
 */
import type { RegisteredTarget, TargetSpeeds } from '@bilberryworks/steering'
import type { TargetPool } from '@bilberryworks/targets'
import type { ActiveExchanges } from './active_exchanges.ts'
import type { Attempt } from './attempt.ts'
import type { AttemptFinisher } from './attempt_finisher.ts'
import type { CrashGuard } from './crash_guard.ts'
import type { EntryMetrics } from './entry_metrics.ts'
import type { EntryState } from './entry_state.ts'
import type { ReachMonitor } from './reach_monitor.ts'
import type { TargetReports } from './target_reports.ts'
import type { TargetSelector } from './target_selector.ts'
import { createUnknownRefusal, RefusalReason, TargetSignal } from '@bilberryworks/steering'
import { describeTiming } from './attempt.ts'
import { RequestStage } from './entry_metrics.ts'
import { ExchangeResult, sendAttempt } from './send_attempt.ts'

/** Options of {@linkcode createTargetSender}. */
export interface CreateTargetSenderOptions {
  /** Runs a callback of an attempt, and ends the attempt if that throws. */
  runGuarded: (attempt: Attempt, work: () => void) => void
  /** Replicated configuration and target registry. */
  state: EntryState
  /** Connections to targets. */
  pool: TargetPool
  /** Selects targets. */
  targetSelector: TargetSelector
  /** Observed speeds of the targets. */
  speeds: TargetSpeeds
  /** Exchanges in progress. */
  exchanges: ActiveExchanges
  /** Finishes attempts. */
  finisher: AttemptFinisher
  /** Refuses requests that crash targets. */
  crashGuard: CrashGuard
  /** Network paths to targets. */
  reach: ReachMonitor
  /** Metrics. */
  metrics: EntryMetrics
  /** Handles what a target reports about itself in a response. */
  handleTargetResponse: TargetReports['handleResponse']
  /** Returns whether a target can be expected to end an attempt before this instance ends. */
  isCompletable: (attempt: Attempt, entry: RegisteredTarget) => boolean
  /** Called when an exchange has ended and its target slot is free. */
  onResult: (attempt: Attempt, result: ExchangeResult, detail: string) => void
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Health signal that each result of an exchange gives about the target. */
const signalByResult: Record<ExchangeResult, TargetSignal> = {
  [ExchangeResult.Completed]: TargetSignal.Answered,
  [ExchangeResult.Failed]: TargetSignal.Answered,
  [ExchangeResult.NotRun]: TargetSignal.Refused,
  [ExchangeResult.Misdirected]: TargetSignal.Misdirected,
  [ExchangeResult.ConnectFailed]: TargetSignal.ConnectFailed,
  [ExchangeResult.RefusedLocally]: TargetSignal.Ended,
  [ExchangeResult.Withdrawn]: TargetSignal.Ended,
  [ExchangeResult.Lost]: TargetSignal.Lost,
  [ExchangeResult.LostLocally]: TargetSignal.Ended,
  [ExchangeResult.Truncated]: TargetSignal.Lost
}

/**
 * Creates the function that sends an attempt to a target whose slot it has taken.
 *
 * @param options State, connections and callbacks
 * @returns The function
 */
export function createTargetSender (options: CreateTargetSenderOptions): (attempt: Attempt, entry: RegisteredTarget) => void {
  const { state, pool, targetSelector, exchanges, finisher, crashGuard, reach, metrics, getNowMs } = options

  function sendToTarget (attempt: Attempt, entry: RegisteredTarget): void {
    exchanges.add(attempt, entry)
    metrics.recordStage(RequestStage.Queue, attempt.route.kind, getNowMs() - attempt.arrivedAtMs)
    sendAttempt(attempt, entry, {
      runGuarded: work => options.runGuarded(attempt, work),
      pool,
      getNowMs,
      maxBodyBytes: state.getConfig()?.limits.maxBodyBytes ?? Infinity,
      maySend: () => targetSelector.isSelectable(entry) && options.isCompletable(attempt, entry) && crashGuard.findRefusal(attempt) === undefined,
      onSendStart () {
        metrics.recordStage(RequestStage.Connect, attempt.route.kind, getNowMs() - attempt.dispatchedAtMs)
        reach.recordSend()
      },
      onResponseHead (fields) {
        metrics.recordStage(RequestStage.FirstByte, attempt.route.kind, getNowMs() - attempt.dispatchedAtMs)
        reach.recordResponse(entry)
        options.handleTargetResponse(entry, fields, attempt)
        if (fields.isSigned) options.speeds.recordResponse(entry, describeTiming(attempt, getNowMs()))
      },
      onResponsePart: () => reach.recordResponse(entry),
      onBodyTooLarge () {
        exchanges.cancel(attempt, TargetSignal.Ended)
        finisher.refuse(attempt, createUnknownRefusal(RefusalReason.BodyTooLarge, 'Body exceeds the size limit of the routing configuration'))
      },
      onEnd (result, detail) {
        exchanges.release(attempt, signalByResult[result])
        recordEnd(attempt, entry, result)
        options.onResult(attempt, result, detail)
      }
    })
  }

  function recordEnd (attempt: Attempt, entry: RegisteredTarget, result: ExchangeResult): void {
    if (result === ExchangeResult.Completed) crashGuard.recordResponse(attempt)
    if (result !== ExchangeResult.Lost && result !== ExchangeResult.Truncated) return
    crashGuard.recordLoss(attempt, entry)
    reach.recordLoss(entry)
  }

  return sendToTarget
}
