/**
 * Steers each attempt to a target: waits for room, sends, sends again where that is allowed, and ends it.
 *
 * @module
 */
import type { RegisteredTarget, EntrySettings, Refusal, WaitingRequests } from '@bilberryworks/steering'
import type { TargetPool } from '@bilberryworks/targets'
import type { Attempt } from './attempt.ts'
import type { EntryLog } from './entry_log.ts'
import type { EntryMetrics } from './entry_metrics.ts'
import type { EntryState } from './entry_state.ts'
import { createNotRun, createFleetRetryBudget, createRetryPacer, createUnknown, createWaitingRequests, recordTargetStart, RefusalReason, TargetSignal, waitingCheckMs, waitShare } from '@bilberryworks/steering'
import { AttemptPhase } from './attempt.ts'
import { createAttemptFinisher } from './attempt_finisher.ts'
import { RequestStage } from './entry_metrics.ts'
import { createExchangeResultHandler, minTimeLeftMs } from './exchange_result.ts'
import { createTargetSelector } from './target_selector.ts'
import { ExchangeResult, sendAttempt } from './send_attempt.ts'
import { createActiveExchanges } from './active_exchanges.ts'

/** Steers attempts. */
export interface Dispatcher {
  /** Takes an attempt whose body has been collected, or that has none. */
  submit (attempt: Attempt): void
  /** Ends an attempt without an answer of a target. */
  refuse (attempt: Attempt, refusal: Refusal): void
  /** Ends an attempt whose caller is gone. */
  abandon (attempt: Attempt): void
  /** Ends an attempt whose time is over. */
  expire (attempt: Attempt): void
  /** Looks again whether waiting requests find room. */
  dispatchWaiting (): void
  /** Sends the requests elsewhere that may run again and are at targets which are lost. */
  retryLost (): void
  /** Counts the requests that wait. */
  countWaiting (): number
  /** Counts the requests at targets. */
  countInFlight (): number
}

/** Options of {@linkcode createDispatcher}. */
export interface CreateDispatcherOptions {
  /** Settings of the instance. */
  settings: EntrySettings
  /** What the instance believes. */
  state: EntryState
  /** Connections to targets. */
  pool: TargetPool
  /** Log of decisions. */
  log: EntryLog
  /** Metrics. */
  metrics: EntryMetrics
  /** Names of the instances that are live, this one among them. */
  listInstances: () => string[]
  /** Returns the largest number of instances that may be there. */
  getMaxInstances: () => number
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
  /** Returns a random number in [0, 1). */
  getRandom: () => number
}

/** Time after which a caller may come back where no target is known, in milliseconds: about the time in which one registers. */
const noTargetRetryAfterMs = 1_000

/** What the end of an exchange says of its target. */
const signalByResult: Record<ExchangeResult, TargetSignal> = {
  [ExchangeResult.Answered]: TargetSignal.Answered,
  [ExchangeResult.Failed]: TargetSignal.Answered,
  [ExchangeResult.NotRun]: TargetSignal.Refused,
  [ExchangeResult.Unsent]: TargetSignal.ConnectFailed,
  [ExchangeResult.Lost]: TargetSignal.Lost,
  [ExchangeResult.Broken]: TargetSignal.Lost
}

/**
 * Creates the dispatcher.
 *
 * @param options What it decides from, and where it sends
 * @returns The dispatcher
 */
export function createDispatcher (options: CreateDispatcherOptions): Dispatcher {
  const { settings: { bounds }, state, pool, log, metrics, getNowMs } = options
  const targetSelector = createTargetSelector(options)
  const exchanges = createActiveExchanges(options)
  const finisher = createAttemptFinisher({ log, metrics, getNowMs, describeLoad: () => ({ waiting: countWaiting(), inFlight: exchanges.count() }) })
  const waitingByService = createLazyMap<WaitingRequests<Attempt>>(createWaitingRequests)
  const retryBudgets = createLazyMap(() => createFleetRetryBudget({ ratio: bounds.retryRatio, slack: bounds.retrySlack, windowMs: bounds.budgetWindowMs, getInstances: options.getMaxInstances }))
  const retryPacers = createLazyMap(() => createRetryPacer(options.getRandom))
  const getRetryAfterMs = (attempt: Attempt): number => retryPacers.get(attempt.service).record({ nowMs: getNowMs(), queued: waitingByService.get(attempt.service).count(), ...targetSelector.measureCapacity(attempt.service) })
  const handleExchangeResult = createExchangeResultHandler({ finisher, log, metrics, getNowMs, getBudget: retryBudgets.get, getRetryAfterMs, requeue: enqueueAttempt })
  let checkTimer: NodeJS.Timeout | undefined

  function enqueueAttempt (attempt: Attempt): void {
    if (!targetSelector.hasTarget(attempt)) {
      finisher.refuse(attempt, createNotRun(RefusalReason.NoUsableTarget, `No target of "${attempt.service}" takes requests`, noTargetRetryAfterMs))
      return
    }
    attempt.phase = AttemptPhase.Waiting
    waitingByService.get(attempt.service).add(attempt)
    dispatchWaiting(attempt.service)
  }

  function dispatchWaiting (service: string): void {
    const waiting = waitingByService.get(service)
    if (waiting.count() === 0) return
    const placements = waiting.takePlaced(attempt => {
      const entry = targetSelector.findTarget(attempt)
      // Counted at once, so that the next request sees the room that is left.
      if (entry !== undefined) recordTargetStart(entry, getNowMs())
      return entry
    })
    for (const { request, placed: entry } of placements) dispatchAttempt(request, entry)
    for (const attempt of waiting.takeExpired(getNowMs())) finisher.refuse(attempt, createNotRun(RefusalReason.Overloaded, 'No slot was free in time', getRetryAfterMs(attempt)))
    if (countWaiting() > 0) checkTimer ??= setTimeout(checkWaiting, waitingCheckMs)
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
      finisher.refuse(attempt, createNotRun(RefusalReason.DeadlinePassed, 'Deadline passed before the request was sent', getRetryAfterMs(attempt)))
      return
    }
    exchanges.add(attempt, entry)
    metrics.recordStage(RequestStage.Queue, attempt.route.kind, nowMs - attempt.arrivedAtMs)
    sendAttempt(attempt, entry, {
      pool,
      getNowMs,
      maxBodyBytes: state.getConfig()?.limits.maxBodyBytes ?? Infinity,
      onSendStart: () => metrics.recordStage(RequestStage.Connect, attempt.route.kind, getNowMs() - attempt.sentAtMs),
      onResponseHead: () => metrics.recordStage(RequestStage.FirstByte, attempt.route.kind, getNowMs() - attempt.sentAtMs),
      onBodyTooLarge () {
        exchanges.cancel(attempt, TargetSignal.Ended)
        finisher.refuse(attempt, createUnknown(RefusalReason.BodyTooLarge, 'Body grew longer than its bound'))
      },
      onEnd (result, detail) {
        exchanges.release(attempt, signalByResult[result])
        handleExchangeResult(attempt, result, detail)
        dispatchWaiting(attempt.service)
      }
    })
  }

  function retryLost (): void {
    for (const attempt of exchanges.listLost()) {
      exchanges.cancel(attempt, TargetSignal.Lost)
      handleExchangeResult(attempt, ExchangeResult.Lost, 'Target is silent and takes no connection')
    }
  }

  /** Takes an attempt out of the queue, and breaks off the exchange under way. */
  function detachAttempt (attempt: Attempt): void {
    if (attempt.phase === AttemptPhase.Waiting) waitingByService.get(attempt.service).remove(attempt.attemptId)
    exchanges.cancel(attempt, TargetSignal.Ended)
  }

  return {
    submit (attempt) {
      retryBudgets.get(attempt.service).recordRequest(getNowMs())
      attempt.refuseAtMs = attempt.arrivedAtMs + (attempt.deadlineAtMs - attempt.arrivedAtMs) * waitShare
      enqueueAttempt(attempt)
    },
    refuse: finisher.refuse,
    abandon (attempt) {
      if (attempt.phase === AttemptPhase.Ended) return
      detachAttempt(attempt)
      finisher.refuse(attempt, createNotRun(RefusalReason.CallerGone, 'Caller closed the connection'))
      dispatchWaiting(attempt.service)
    },
    expire (attempt) {
      if (attempt.phase === AttemptPhase.Ended) return
      const isAnswering = attempt.phase === AttemptPhase.Answering
      detachAttempt(attempt)
      if (isAnswering) finisher.abort(attempt, createUnknown(RefusalReason.TargetTimeout, 'Deadline passed within the answer'))
      else if (attempt.mayHaveRun) finisher.refuse(attempt, createUnknown(RefusalReason.TargetTimeout, 'Deadline passed at the target'))
      else finisher.refuse(attempt, createNotRun(RefusalReason.DeadlinePassed, 'Deadline passed before a target took the request', getRetryAfterMs(attempt)))
      dispatchWaiting(attempt.service)
    },
    dispatchWaiting: checkWaiting,
    retryLost,
    countWaiting,
    countInFlight: exchanges.count
  }
}

/** Keeps one thing a name, created when it is first asked for. */
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
