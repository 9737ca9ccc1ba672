/**
 * Dispatches the requests that wait for a target: each to a target with a free slot, or refuses it if waiting no longer helps.
 *
 * @module
 */
import type { LifeCycle, RegisteredTarget, WaitingRequests } from '@bilberryworks/steering'
import type { ActiveExchanges } from './active_exchanges.ts'
import type { Attempt } from './attempt.ts'
import type { AttemptFinisher } from './attempt_finisher.ts'
import type { CallbackGuard } from './callback_guard.ts'
import type { CrashGuard } from './crash_guard.ts'
import type { EntryState } from './entry_state.ts'
import type { HostLimits } from './host_limits.ts'
import type { PeerDispatch } from './peer_dispatch.ts'
import type { ReachMonitor } from './reach_monitor.ts'
import type { Relayer } from './relayer.ts'
import type { StopLimits } from './stopping.ts'
import type { TargetSelector } from './target_selector.ts'
import { computePauseRetryAfterMs, createNotRunRefusal, recordTargetDispatch, RefusalReason } from '@bilberryworks/steering'
import { GuardedCallback } from './callback_guard.ts'
import { confirmUpload } from './confirm_caller.ts'
import { minTimeLeftMs } from './exchange_results.ts'
import { createStoppingRefusal } from './stopping.ts'

/** Options of {@linkcode createQueueDispatch}. */
export interface CreateQueueDispatchOptions extends StopLimits {
  /** Runs callbacks. */
  guard: CallbackGuard
  /** Runs a callback of an attempt, and ends the attempt if that throws. */
  runGuarded: (attempt: Attempt, work: () => void) => void
  /** Ends an attempt one of whose callbacks has thrown. */
  fail: (attempt: Attempt) => void
  /** Phases of the instance. */
  life: LifeCycle
  /** Replicated configuration and target registry. */
  state: EntryState
  /** Exchanges in progress. */
  exchanges: ActiveExchanges
  /** Selects targets. */
  targetSelector: TargetSelector
  /** Refuses requests that crash targets. */
  crashGuard: CrashGuard
  /** Network paths to targets. */
  reach: ReachMonitor
  /** Decisions while the host refuses connections. */
  hostLimits: HostLimits
  /** Sends attempts through other instances. */
  relayer: Relayer
  /** Decides which attempts go through other instances. */
  peerDispatch: PeerDispatch
  /** Finishes attempts. */
  finisher: AttemptFinisher
  /** Returns the `Retry-After` of a refused attempt, in milliseconds. */
  getRetryAfterMs: (attempt: Attempt) => number
  /** Queues an attempt. */
  enqueue: (attempt: Attempt) => void
  /** Sends an attempt to a target whose slot it has taken. */
  sendToTarget: (attempt: Attempt, entry: RegisteredTarget) => void
  /** Dispatches the queue of a service again. */
  dispatchWaiting: (service: string) => void
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
  /** Returns a random number in [0, 1). */
  getRandom: () => number
}

/**
 * Creates the function that dispatches a queue.
 *
 * @param options Targets, paths and callbacks
 * @returns The function
 */
export function createQueueDispatch (options: CreateQueueDispatchOptions): (waiting: WaitingRequests<Attempt>) => void {
  const { guard, runGuarded, fail, hostLimits, life, state, exchanges, targetSelector, crashGuard, reach, relayer, peerDispatch, finisher, isCompletable, isCompletableAnywhere, getRetryAfterMs, enqueue, sendToTarget, dispatchWaiting, getNowMs, getRandom } = options

  function handleEach (attempts: Attempt[], handle: (attempt: Attempt) => void): void {
    for (const attempt of attempts) runGuarded(attempt, () => handle(attempt))
  }

  function dispatchQueue (waiting: WaitingRequests<Attempt>): void {
    state.targets.observeTime(getNowMs())
    handleEach(waiting.takeMatching(request => crashGuard.findRefusal(request) !== undefined), attempt => finisher.refuse(attempt, crashGuard.findRefusal(attempt)!))
    if (reach.hasLost()) handleEach(waiting.takeMatching(peerDispatch.isOutOfReach), peerDispatch.sendThroughPeerOrRefuse)
    if (life.isStopping()) handleEach(waiting.takeMatching(request => !isCompletableAnywhere(request)), attempt => finisher.refuse(attempt, createStoppingRefusal()))
    const failed: Attempt[] = []
    const assignments = waiting.takePlaced(attempt => {
      let entry: RegisteredTarget | undefined
      guard.run(GuardedCallback.Request, () => { entry = reserveTarget(attempt) }, () => failed.push(attempt))
      return entry
    })
    for (const attempt of failed) fail(attempt)
    for (const { request, placed: entry } of assignments) dispatchAttempt(request, entry)
    handleEach(waiting.takeMatching(hostLimits.isHeldLong), attempt => { if (!peerDispatch.sendThroughPeer(attempt)) waiting.add(attempt) })
    handleEach(waiting.takeMatching(request => targetSelector.findAcceptTimeMs(request) > request.expiresAtMs), refusePaused)
    handleEach(waiting.takeExpired(getNowMs()), attempt => finisher.refuse(attempt, hostLimits.findExpiryRefusal(attempt) ?? createNotRunRefusal(RefusalReason.Overloaded, 'No target slot became free within the queueing time limit', getRetryAfterMs(attempt))))
  }

  /** Takes a slot of a target for an attempt, if one is free. */
  function reserveTarget (attempt: Attempt): RegisteredTarget | undefined {
    const entry = targetSelector.findTarget(attempt, target => hostLimits.isConnectable(target) && isCompletable(attempt, target))
    // Counted immediately, so that the selection for the next queued request sees the remaining capacity.
    if (entry !== undefined) recordTargetDispatch(entry, getNowMs())
    return entry
  }

  /** Refuses an attempt for which each target wants no requests until after it may have to wait. */
  function refusePaused (attempt: Attempt): void {
    const pauseMs = targetSelector.findAcceptTimeMs(attempt) - getNowMs()
    const retryAfterMs = Math.max(getRetryAfterMs(attempt), computePauseRetryAfterMs(pauseMs, getRandom))
    finisher.refuse(attempt, createNotRunRefusal(RefusalReason.Overloaded, `Each available target wants no requests for ${Math.round(pauseMs)} ms or more`, retryAfterMs))
  }

  function dispatchAttempt (attempt: Attempt, entry: RegisteredTarget): void {
    let isReserved = true
    const release = (): void => {
      if (isReserved) exchanges.releaseUnused(entry)
      isReserved = false
    }
    const send = (): void => sendAttempt(attempt, entry, {
      release,
      start () {
        // From here on the slot is released with the exchange.
        isReserved = false
        sendToTarget(attempt, entry)
      }
    })
    const failAndRelease = (): void => {
      fail(attempt)
      release()
    }
    guard.run(GuardedCallback.Request, () => confirmUpload(attempt, () => guard.run(GuardedCallback.Request, send, failAndRelease), () => {
      release()
      dispatchWaiting(attempt.service)
    }), failAndRelease)
  }

  function sendAttempt (attempt: Attempt, entry: RegisteredTarget, { release, start }: { release: () => void, start: () => void }): void {
    if (attempt.deadlineAtMs - getNowMs() < minTimeLeftMs) {
      release()
      finisher.refuse(attempt, createNotRunRefusal(RefusalReason.DeadlinePassed, 'Deadline is too close to send the request to a target', getRetryAfterMs(attempt)))
    } else if (!isCompletable(attempt, entry) || !hostLimits.takeConnection(entry)) {
      release()
      enqueue(attempt)
    } else if (reach.needsConnection(entry) && attempt.relay === undefined && relayer.findPeer(attempt) !== undefined) {
      release()
      peerDispatch.sendThroughPeer(attempt)
    } else start()
  }

  return dispatchQueue
}
