/**
 * Dispatches attempts to targets: queues each attempt until a target has a free slot, retries it if allowed, and finishes it.
 *
 * @module
 */
import type { ConnectionHold, KnownInstance, LifeCycle, RateContender, EntrySettings, PendingExchange, Refusal, WaitingRequests } from '@bilberryworks/steering'
import type { ResponseHead, TargetPool } from '@bilberryworks/targets'
import type { Attempt } from './attempt.ts'
import type { CallbackGuard } from './callback_guard.ts'
import type { CrashGuard } from './crash_guard.ts'
import type { EntryLog } from './entry_log.ts'
import type { EntryMetrics } from './entry_metrics.ts'
import type { EntryState } from './entry_state.ts'
import type { ExchangeResult } from './send_attempt.ts'
import type { ReachMonitor } from './reach_monitor.ts'
import type { ReportCold } from './report_cold.ts'
import type { RelayPeers } from './relay_peers.ts'
import type { TargetReports } from './target_reports.ts'
import { createNotRunRefusal, createFleetRetryBudget, createRetryPacer, createTargetSpeeds, createWaitingRequests, RefusalReason, TargetSignal, waitingCheckIntervalMs, waitShare } from '@bilberryworks/steering'
import { AttemptPhase, describeTiming } from './attempt.ts'
import { createLazyMap } from './_lazy_map.ts'
import { GuardedCallback } from './callback_guard.ts'
import { createAttemptFinisher } from './attempt_finisher.ts'
import { createExchangeResultHandler } from './exchange_results.ts'
import { createHostLimits } from './host_limits.ts'
import { createStoppingRefusal, createStopLimits } from './stopping.ts'
import { createQueueDispatch } from './dispatch_queue.ts'
import { createTargetSelector } from './target_selector.ts'
import { createActiveExchanges } from './active_exchanges.ts'
import { createAttemptWithdrawal } from './attempt_withdrawal.ts'
import { createPeerDispatch } from './peer_dispatch.ts'
import { createRelayAdmission } from './relay_admission.ts'
import { createRelayer } from './relayer.ts'
import { createUnreachableRetries } from './unreachable_retries.ts'
import { createTargetSender } from './target_sender.ts'

/** Dispatches attempts to targets. */
export interface Dispatcher {
  /** Submits an attempt whose body has been buffered, or that has no body. */
  submit (attempt: Attempt): void
  /** Finishes an attempt with a refusal. */
  refuse (attempt: Attempt, refusal: Refusal): void
  /** Finishes an attempt whose caller has disconnected. */
  abandon (attempt: Attempt): void
  /** Finishes an attempt that waits or is being sent, with a refusal. */
  cancel (attempt: Attempt, refusal: Refusal): void
  /** Finishes an attempt one of whose callbacks has thrown. */
  fail (attempt: Attempt): void
  /** Finishes an attempt whose deadline has passed. */
  expire (attempt: Attempt): void
  /** Finishes an attempt that this instance can't complete before it ends; returns whether it did. */
  end (attempt: Attempt, options: { isEnding: boolean }): boolean
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
  /** Lists the requests that wait for the response of a target. */
  listPending (): PendingExchange[]
}

/** Options of {@linkcode createDispatcher}. */
export interface CreateDispatcherOptions {
  /** Runs callbacks. */
  guard: CallbackGuard
  /** Settings of the instance. */
  settings: EntrySettings
  /** Phases of the instance. */
  life: LifeCycle
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
  /** Network paths to targets. */
  reach: ReachMonitor
  /** Holds new connections back while this host refuses them. */
  hold: ConnectionHold
  /** Connections to other instances. */
  peerPool: TargetPool
  /** The other instances, through which requests are sent while this one has no path to their targets. */
  relayPeers: RelayPeers
  /** Maximum number of relayed requests of other instances, waiting or in flight. */
  maxRelayed: number
  /** Handles the response of a target to a request that another instance dispatched. */
  handleRelayedResponse: (targetId: string, head: ResponseHead, attempt: Attempt) => void
  /** Returns the names of the live instances, including this one. */
  listInstances: () => string[]
  /** Lists the other known instances, live or not. */
  listKnownInstances: () => KnownInstance[]
  /** Returns whether this instance has learnt of the others since it started. */
  isMembershipKnown: () => boolean
  /** Lists the other known instances, live or not, and whether each claims a part of the rate of a target. */
  listContenders: (targetId: string) => RateContender[]
  /** Returns the share of the objects of callers in this instance's region that targets in the region serve; `undefined` if targets are to be chosen in all regions alike. */
  getRegionShare: (service: string) => number | undefined
  /** Reports that a target counts as cold from now on. */
  reportCold: ReportCold
  /** Returns the largest number of instances seen live at the same time, including this one. */
  getMaxLiveInstances: () => number
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
  /** Returns a random number in [0, 1). */
  getRandom: () => number
}

/** `Retry-After` of a refusal if no target is available, in milliseconds: about the time that a target takes to register. */
const noTargetRetryAfterMs = 1_000

/**
 * Creates a dispatcher.
 *
 * @param options Settings, state, connections, log and metrics
 * @returns The dispatcher
 */
export function createDispatcher (options: CreateDispatcherOptions): Dispatcher {
  const { settings: { bounds, instance }, guard, crashGuard, reach, log, metrics, getNowMs } = options
  const speeds = createTargetSpeeds()
  const targetSelector = createTargetSelector({ ...options, speeds })
  const { isCompletable, isCompletableAnywhere } = createStopLimits({ ...options, targetSelector })
  const exchanges = createActiveExchanges({ ...options, speeds })
  const finisher = createAttemptFinisher({ log, metrics, getNowMs, describeLoad: () => ({ waiting: countWaiting(), inFlight: exchanges.count() }) })
  const waitingByService = createLazyMap<WaitingRequests<Attempt>>(createWaitingRequests)
  const retryBudgets = createLazyMap(() => createFleetRetryBudget({ ratio: bounds.retryRatio, slack: bounds.retrySlack, windowMs: bounds.budgetWindowMs, getInstanceCount: options.getMaxLiveInstances }))
  const retryPacers = createLazyMap(() => createRetryPacer(options.getRandom))
  const getRetryAfterMs = (attempt: Attempt): number => retryPacers.get(attempt.service).record({ nowMs: getNowMs(), queued: waitingByService.get(attempt.service).count(), ...targetSelector.measureCapacity(attempt.service) })
  const hostLimits = createHostLimits({ ...options, targetSelector, isCompletable, getRetryAfterMs })
  const relayOptions = { finisher, getRetryAfterMs, getBudget: retryBudgets.get, listGroups: targetSelector.listGroups, requeue: enqueueAttempt }
  const relayer = createRelayer({ ...options, ...relayOptions, runGuarded, maySend: attempt => crashGuard.findRefusal(attempt) === undefined })
  const handleExchangeResult = createExchangeResultHandler({ finisher, log, metrics, getNowMs, getRandom: options.getRandom, getBudget: retryBudgets.get, getRetryAfterMs, isSuspect: crashGuard.isSuspect, requeue: enqueueAttempt, relay: attempt => peerDispatch.isUnderDoubt(attempt) && peerDispatch.sendThroughPeer(attempt), relayFromHost: attempt => peerDispatch.sendThroughPeer(attempt) })
  const peerDispatch = createPeerDispatch({ instance, relayer, reach, targetSelector, finisher, getRetryAfterMs })
  const sendToTarget = createTargetSender({ ...options, runGuarded, isCompletable, targetSelector, speeds, exchanges, finisher, onResult: handleResult })
  const retryUnreachable = createUnreachableRetries({ runGuarded, exchanges, reach, getNowMs, getBudget: retryBudgets.get, handleExchangeResult })
  const findRelayRefusal = createRelayAdmission({ instance, maxRelayed: options.maxRelayed, exchanges, getRetryAfterMs, getWaiting: waitingByService.get, countWaitingRelayed: () => countWaiting(attempt => attempt.relay !== undefined) })
  const withdrawal = createAttemptWithdrawal({ guard, finisher, isCompletableAnywhere, getRetryAfterMs, detach: detachAttempt, onEnd: attempt => dispatchWaiting(attempt.service) })
  const dispatchQueue = createQueueDispatch({ ...options, hostLimits, runGuarded, fail: withdrawal.fail, exchanges, targetSelector, isCompletable, isCompletableAnywhere, relayer, peerDispatch, finisher, getRetryAfterMs, enqueue: enqueueAttempt, sendToTarget, dispatchWaiting })
  let checkTimer: NodeJS.Timeout | undefined

  /** Runs a callback of an attempt, and ends the attempt if that throws. */
  function runGuarded (attempt: Attempt, work: () => void): void {
    guard.run(GuardedCallback.Request, work, () => withdrawal.fail(attempt))
  }

  function handleResult (attempt: Attempt, result: ExchangeResult, detail: string): void {
    handleExchangeResult(attempt, result, detail)
    dispatchWaiting(attempt.service)
  }

  function enqueueAttempt (attempt: Attempt): void {
    const refusal = crashGuard.findRefusal(attempt)
    if (refusal !== undefined) return finisher.refuse(attempt, refusal)
    const unavailable = findUnavailable(attempt)
    if (unavailable !== undefined) {
      if (!peerDispatch.isUnderDoubt(attempt) || !peerDispatch.sendThroughPeer(attempt)) finisher.refuse(attempt, unavailable)
      return
    }
    if (!isCompletableAnywhere(attempt)) return finisher.refuse(attempt, createStoppingRefusal())
    if (peerDispatch.isOutOfReach(attempt)) return peerDispatch.sendThroughPeerOrRefuse(attempt)
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
    guard.run(GuardedCallback.Dispatch, () => dispatchQueue(waiting))
    if (countWaiting() > 0) checkTimer ??= setTimeout(checkWaiting, waitingCheckIntervalMs)
  }

  function checkWaiting (): void {
    clearTimeout(checkTimer)
    checkTimer = undefined
    for (const service of waitingByService.list()) dispatchWaiting(service)
  }

  function countWaiting (matches: (attempt: Attempt) => boolean = () => true): number {
    return waitingByService.list().reduce((sum, service) => sum + waitingByService.get(service).countMatching(matches), 0)
  }

  /** Removes an attempt from the queue, and cancels its exchange if one is in progress. */
  function detachAttempt (attempt: Attempt): void {
    if (attempt.phase === AttemptPhase.Waiting) waitingByService.get(attempt.service).remove(attempt.attemptId)
    const { currentTarget, phase } = attempt
    if (currentTarget !== undefined && phase === AttemptPhase.Dispatched) speeds.recordTimeout(currentTarget, describeTiming(attempt, getNowMs()))
    if (attempt.currentPeer === undefined) exchanges.cancel(attempt, TargetSignal.Ended)
    else relayer.cancel(attempt)
  }

  function submitAttempt (attempt: Attempt): void {
    attempt.expiresAtMs = attempt.arrivedAtMs + (attempt.deadlineAtMs - attempt.arrivedAtMs) * waitShare
    // The instance that received a relayed request from its caller has counted it.
    if (attempt.relay === undefined) retryBudgets.get(attempt.service).recordRequest(getNowMs())
    const refusal = attempt.relay === undefined ? undefined : findRelayRefusal(attempt)
    if (refusal === undefined) enqueueAttempt(attempt)
    else finisher.refuse(attempt, refusal)
  }

  return {
    submit: attempt => runGuarded(attempt, () => submitAttempt(attempt)),
    refuse: finisher.refuse,
    ...withdrawal,
    dispatchWaiting: checkWaiting,
    retryUnreachable () {
      retryUnreachable()
      relayer.retryUnreachable()
    },
    countWaiting: () => countWaiting(),
    countInFlight: () => exchanges.count() + relayer.count(),
    countRequests: service => waitingByService.get(service).count() + exchanges.countMatching(attempt => attempt.service === service),
    listPending: exchanges.listPending
  }
}
