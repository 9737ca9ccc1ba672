/**
 * Dispatches attempts to targets: queues each attempt until a target has a free slot, retries it if allowed, and finishes it.
 *
 * @module
 */
import type { RateContender, RegisteredTarget, EntrySettings, Refusal, WaitingRequests } from '@bilberryworks/steering'
import type { TargetPool } from '@bilberryworks/targets'
import type { Attempt } from './attempt.ts'
import type { CrashGuard } from './crash_guard.ts'
import type { EntryLog } from './entry_log.ts'
import type { EntryMetrics } from './entry_metrics.ts'
import type { EntryState } from './entry_state.ts'
import type { TargetReports } from './target_reports.ts'
import { computePauseRetryAfterMs, createNotRunRefusal, createFleetRetryBudget, createRetryPacer, createUnknownRefusal, createWaitingRequests, recordTargetDispatch, RefusalReason, TargetSignal, waitingCheckIntervalMs, waitShare } from '@bilberryworks/steering'
import { AttemptPhase } from './attempt.ts'
import { createAttemptFinisher } from './attempt_finisher.ts'
import { RequestStage } from './entry_metrics.ts'
import { createExchangeResultHandler, minTimeLeftMs } from './exchange_results.ts'
import { createTargetSelector } from './target_selector.ts'
import { ExchangeResult, sendAttempt } from './send_attempt.ts'
import { createActiveExchanges } from './active_exchanges.ts'

/** Dispatches attempts to targets. */
export interface Dispatcher {
  /** Submits an attempt whose body has been buffered, or that has no body. */
  submit (attempt: Attempt): void
  /** Finishes an attempt with a refusal. */
  refuse (attempt: Attempt, refusal: Refusal): void
  /** Finishes an attempt whose caller has disconnected. */
  abandon (attempt: Attempt): void
  /** Finishes an attempt whose deadline has passed. */
  expire (attempt: Attempt): void
  /** Dispatches the queued requests for which a target has a free slot, and refuses those that have waited too long. */
  dispatchWaiting (): void
  /** Retries the requests on idempotent routes that wait for a response of a target which sends none and accepts no connections. */
  retryUnreachable (): void
  /** Returns the number of queued requests. */
  countWaiting (): number
  /** Returns the number of requests in flight to targets. */
  countInFlight (): number
  /** Returns the number of requests of a service that are queued or in flight to a target. */
  countRequests (service: string): number
}

/** Options of {@linkcode createDispatcher}. */
export interface CreateDispatcherOptions {
  /** Settings of the instance. */
  settings: EntrySettings
  /** Replicated configuration and target registry. */
  state: EntryState
  /** Connections to targets. */
  pool: TargetPool
  /** Structured log. */
  log: EntryLog
  /** Metrics. */
  metrics: EntryMetrics
  /** Handles what a target reports about itself in a response. */
  handleTargetResponse: TargetReports['handleResponse']
  /** Refuses requests that crash targets. */
  crashGuard: CrashGuard
  /** Returns the names of the live instances, including this one. */
  listInstances: () => string[]
  /** Lists the other known instances, live or not, and whether each claims a part of the rate of a target. */
  listContenders: (targetId: string) => RateContender[]
  /** Returns the share of the objects of callers in this instance's region that targets in the region serve; `undefined` if targets are to be chosen in all regions alike. */
  getRegionShare: (service: string) => number | undefined
  /** Returns the largest number of instances seen live at the same time, including this one. */
  getMaxLiveInstances: () => number
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
  /** Returns a random number in [0, 1). */
  getRandom: () => number
}

/** `Retry-After` of a refusal if no target is available, in milliseconds: about the time that a target takes to register. */
const noTargetRetryAfterMs = 1_000

/** Health signal that each result of an exchange gives about the target. */
const signalByResult: Record<ExchangeResult, TargetSignal> = {
  [ExchangeResult.Completed]: TargetSignal.Answered,
  [ExchangeResult.Failed]: TargetSignal.Answered,
  [ExchangeResult.NotRun]: TargetSignal.Refused,
  [ExchangeResult.ConnectFailed]: TargetSignal.ConnectFailed,
  [ExchangeResult.Withdrawn]: TargetSignal.Ended,
  [ExchangeResult.Lost]: TargetSignal.Lost,
  [ExchangeResult.Truncated]: TargetSignal.Lost
}

/**
 * Creates a dispatcher.
 *
 * @param options Settings, state, connections, log and metrics
 * @returns The dispatcher
 */
export function createDispatcher (options: CreateDispatcherOptions): Dispatcher {
  const { settings: { bounds }, state, pool, crashGuard, log, metrics, getNowMs } = options
  const targetSelector = createTargetSelector(options)
  const exchanges = createActiveExchanges(options)
  const finisher = createAttemptFinisher({ log, metrics, getNowMs, describeLoad: () => ({ waiting: countWaiting(), inFlight: exchanges.count() }) })
  const waitingByService = createLazyMap<WaitingRequests<Attempt>>(createWaitingRequests)
  const retryBudgets = createLazyMap(() => createFleetRetryBudget({ ratio: bounds.retryRatio, slack: bounds.retrySlack, windowMs: bounds.budgetWindowMs, getInstanceCount: options.getMaxLiveInstances }))
  const retryPacers = createLazyMap(() => createRetryPacer(options.getRandom))
  const getRetryAfterMs = (attempt: Attempt): number => retryPacers.get(attempt.service).record({ nowMs: getNowMs(), queued: waitingByService.get(attempt.service).count(), ...targetSelector.measureCapacity(attempt.service) })
  const handleExchangeResult = createExchangeResultHandler({ finisher, log, metrics, getNowMs, getBudget: retryBudgets.get, getRetryAfterMs, isSuspect: crashGuard.isSuspect, requeue: enqueueAttempt })
  let checkTimer: NodeJS.Timeout | undefined

  function enqueueAttempt (attempt: Attempt): void {
    const refusal = crashGuard.findRefusal(attempt) ?? findUnavailable(attempt)
    if (refusal !== undefined) return finisher.refuse(attempt, refusal)
    attempt.phase = AttemptPhase.Waiting
    waitingByService.get(attempt.service).add(attempt)
    dispatchWaiting(attempt.service)
  }

  function findUnavailable (attempt: Attempt): Refusal | undefined {
    return targetSelector.hasUntriedTarget(attempt) ? undefined : createNotRunRefusal(RefusalReason.NoUsableTarget, `Service "${attempt.service}" has no available target that was not tried before`, noTargetRetryAfterMs)
  }

  function dispatchWaiting (service: string): void {
    const waiting = waitingByService.get(service)
    if (waiting.count() === 0) return
    state.targets.observeTime(getNowMs())
    for (const attempt of waiting.takeMatching(request => crashGuard.findRefusal(request) !== undefined)) finisher.refuse(attempt, crashGuard.findRefusal(attempt)!)
    const assignments = waiting.takePlaced(attempt => {
      const entry = targetSelector.findTarget(attempt)
      // Counted immediately, so that the selection for the next queued request sees the remaining capacity.
      if (entry !== undefined) recordTargetDispatch(entry, getNowMs())
      return entry
    })
    for (const { request, placed: entry } of assignments) dispatchAttempt(request, entry)
    for (const attempt of waiting.takeMatching(request => targetSelector.findAcceptTimeMs(request) > request.expiresAtMs)) refusePaused(attempt)
    for (const attempt of waiting.takeExpired(getNowMs())) finisher.refuse(attempt, createNotRunRefusal(RefusalReason.Overloaded, 'No target slot became free within the queueing time limit', getRetryAfterMs(attempt)))
    if (countWaiting() > 0) checkTimer ??= setTimeout(checkWaiting, waitingCheckIntervalMs)
  }

  /** Refuses an attempt for which each target wants no requests until after it may have to wait. */
  function refusePaused (attempt: Attempt): void {
    const pauseMs = targetSelector.findAcceptTimeMs(attempt) - getNowMs()
    const retryAfterMs = Math.max(getRetryAfterMs(attempt), computePauseRetryAfterMs(pauseMs, options.getRandom))
    finisher.refuse(attempt, createNotRunRefusal(RefusalReason.Overloaded, `Each available target wants no requests for ${Math.round(pauseMs)} ms or more`, retryAfterMs))
  }

  function checkWaiting (): void {
    clearTimeout(checkTimer)
    checkTimer = undefined
    for (const service of waitingByService.list()) dispatchWaiting(service)
  }

  function countWaiting (): number {
    return waitingByService.list().reduce((sum, service) => sum + waitingByService.get(service).count(), 0)
  }

  function dispatchAttempt (attempt: Attempt, entry: RegisteredTarget): void {
    const nowMs = getNowMs()
    if (attempt.deadlineAtMs - nowMs < minTimeLeftMs) {
      exchanges.releaseUnused(entry)
      finisher.refuse(attempt, createNotRunRefusal(RefusalReason.DeadlinePassed, 'Deadline is too close to send the request to a target', getRetryAfterMs(attempt)))
      return
    }
    exchanges.add(attempt, entry)
    metrics.recordStage(RequestStage.Queue, attempt.route.kind, nowMs - attempt.arrivedAtMs)
    sendAttempt(attempt, entry, {
      pool,
      getNowMs,
      maxBodyBytes: state.getConfig()?.limits.maxBodyBytes ?? Infinity,
      maySend: () => targetSelector.isSelectable(entry) && crashGuard.findRefusal(attempt) === undefined,
      onSendStart: () => metrics.recordStage(RequestStage.Connect, attempt.route.kind, getNowMs() - attempt.dispatchedAtMs),
      onResponseHead (fields) {
        metrics.recordStage(RequestStage.FirstByte, attempt.route.kind, getNowMs() - attempt.dispatchedAtMs)
        options.handleTargetResponse(entry, fields, attempt)
      },
      onBodyTooLarge () {
        exchanges.cancel(attempt, TargetSignal.Ended)
        finisher.refuse(attempt, createUnknownRefusal(RefusalReason.BodyTooLarge, 'Body exceeds the size limit of the routing configuration'))
      },
      onEnd (result, detail) {
        if (result === ExchangeResult.Lost || result === ExchangeResult.Truncated) crashGuard.recordLoss(attempt, entry)
        else if (result === ExchangeResult.Completed) crashGuard.recordResponse(attempt)
        exchanges.release(attempt, signalByResult[result])
        handleExchangeResult(attempt, result, detail)
        dispatchWaiting(attempt.service)
      }
    })
  }

  function retryUnreachable (): void {
    for (const attempt of exchanges.listUnreachable()) {
      exchanges.cancel(attempt, TargetSignal.Lost)
      handleExchangeResult(attempt, ExchangeResult.Lost, 'Target sends no responses and accepts no connections')
    }
  }

  /** Removes an attempt from the queue, and cancels its exchange if one is in progress. */
  function detachAttempt (attempt: Attempt): void {
    if (attempt.phase === AttemptPhase.Waiting) waitingByService.get(attempt.service).remove(attempt.attemptId)
    exchanges.cancel(attempt, TargetSignal.Ended)
  }

  return {
    submit (attempt) {
      retryBudgets.get(attempt.service).recordRequest(getNowMs())
      attempt.expiresAtMs = attempt.arrivedAtMs + (attempt.deadlineAtMs - attempt.arrivedAtMs) * waitShare
      enqueueAttempt(attempt)
    },
    refuse: finisher.refuse,
    abandon (attempt) {
      if (attempt.phase === AttemptPhase.Ended) return
      detachAttempt(attempt)
      finisher.refuse(attempt, createNotRunRefusal(RefusalReason.CallerGone, 'Caller closed the connection'))
      dispatchWaiting(attempt.service)
    },
    expire (attempt) {
      if (attempt.phase === AttemptPhase.Ended) return
      const isResponding = attempt.phase === AttemptPhase.Responding
      detachAttempt(attempt)
      if (isResponding) finisher.abort(attempt, createUnknownRefusal(RefusalReason.TargetTimeout, 'Deadline passed before the response was complete'))
      else if (attempt.mayHaveRun) finisher.refuse(attempt, createUnknownRefusal(RefusalReason.TargetTimeout, 'Deadline passed after the request was sent to a target'))
      else finisher.refuse(attempt, createNotRunRefusal(RefusalReason.DeadlinePassed, 'Deadline passed before a target accepted the request', getRetryAfterMs(attempt)))
      dispatchWaiting(attempt.service)
    },
    dispatchWaiting: checkWaiting,
    retryUnreachable,
    countWaiting,
    countInFlight: exchanges.count,
    countRequests: service => waitingByService.get(service).count() + exchanges.countByService(service)
  }
}

/** Creates a map that creates each item on first access. */
function createLazyMap<T> (create: () => T): { get: (name: string) => T, list: () => string[] } {
  const items = new Map<string, T>()
  return {
    get (name) {
      const item = items.get(name) ?? create()
      items.set(name, item)
      return item
    },
    list: () => [...items.keys()]
  }
}
