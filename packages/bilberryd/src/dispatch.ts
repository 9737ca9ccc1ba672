/**
 * Dispatches requests to targets that this instance owns and retries them only where a retry is safe.
 *
 * @module
 */
import type { Refusal, RetryReason, ServiceResponse, ServiceRequest, Slot, TargetRecord } from '@bilberryworks/steering'
import type { TargetClient, TargetFailure } from '@bilberryworks/targets'
import type { Result } from 'neverthrow'
import type { SlotPool, SlotRequest } from './slot_pool.ts'
import type { WaitForHandoff } from './handoff_wait.ts'
import { finished } from 'node:stream'
import { createNotRunRefusal, createRetryBudget, createUnknownRefusal, Outcome, RefusalReason, RequestClass, RetryReason as RetryReasons, TargetSignal } from '@bilberryworks/steering'
import { TargetFailureKind } from '@bilberryworks/targets'
import { err, ok } from 'neverthrow'

const retryAfterMs = 1_000
const maxAttempts = 3
const neverAborted = new AbortController().signal

/** Options of {@linkcode createDispatch}. */
export interface CreateDispatchOptions {
  /** The target slots that this instance owns. */
  slotPool: SlotPool
  /** Client that sends requests to targets. */
  targets: TargetClient
  /** Records that a target reported itself as leaving. */
  markTargetLeaving: (target: string) => void
  /** Waits while the ownership of targets moves to this instance; no wait by default. */
  waitForHandoff?: WaitForHandoff
  /** Whether the slots that this instance holds at a target are within those that it may use; checked immediately before each dispatch, always true by default. */
  checkDispatch?: (target: TargetRecord) => boolean
  /** Counts a retry. */
  countRetry: (reason: RetryReason) => void
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Sends a request to a target of its service as soon as a slot is free. */
export type Dispatch = (slotRequest: SlotRequest) => Promise<Result<ServiceResponse, Refusal>>

/**
 * Creates the dispatch function of an instance.
 *
 * @param options The slots, the target client and the clock
 * @returns The function that dispatches a request
 */
export function createDispatch (options: CreateDispatchOptions): Dispatch {
  const { slotPool, targets, checkDispatch = () => true, getNowMs } = options
  const retryBudget = createRetryBudget()

  /** Returns the refusal for a request that must not be sent any more: deadline passed, caller disconnected, or slot lost by an expired lease or a change of ownership. */
  function findDispatchRefusal (slotRequest: SlotRequest, slot: Slot): Refusal | undefined {
    if (slotRequest.deadlineAtMs <= getNowMs()) return createNotRunRefusal(RefusalReason.DeadlinePassed, 'Deadline passed before the request was sent to a target')
    if (slotRequest.request.signal.aborted) return createNotRunRefusal(RefusalReason.CallerGone, 'Caller closed the connection')
    if (!checkDispatch(slot.target)) return createNotRunRefusal(RefusalReason.LeaseLapsed, 'Instance lost its slot at the target before the request was sent: its lease expired or the ownership changed', retryAfterMs)
    return undefined
  }

  async function sendToTarget (slotRequest: SlotRequest, slot: Slot): Promise<Result<ServiceResponse, TargetFailure>> {
    const { request, deadlineAtMs } = slotRequest
    const result = await targets.send(slot.target, { ...request, signal: chooseAbortSignal(request), deadlineMs: deadlineAtMs - getNowMs() })
    const isLeaving = result.isOk() ? result.value.leaving : result.error.leaving
    if (isLeaving) options.markTargetLeaving(slot.target.target)
    if (result.isErr()) {
      slot.recordFailure(mapTargetSignal(result.error.kind, request.signal.aborted))
      if (isNotExecuted(result.error)) slot.release()
      else cancelRun(slotRequest, slot)
      return err(result.error)
    }
    finished(result.value.body, { writable: false }, error => {
      if (error) {
        slot.recordFailure(mapTargetSignal(TargetFailureKind.Lost, request.signal.aborted))
        cancelRun(slotRequest, slot)
      } else {
        slot.release()
      }
    })
    return ok(result.value)
  }

  /** Cancels a request at its target; releases the slot when the target confirms that it has ended or the deadline has passed. */
  function cancelRun (slotRequest: SlotRequest, slot: Slot): void {
    const timer = setTimeout(slot.release, Math.max(0, slotRequest.deadlineAtMs - getNowMs()))
    timer.unref()
    targets.cancel(slot.target, slotRequest.request.requestId).then(hasEnded => {
      if (!hasEnded) return
      clearTimeout(timer)
      slot.release()
    }, () => {})
  }

  return async slotRequest => {
    // Once an attempt may have run, the request is never refused as not run, even if a later attempt certainly did not run.
    let unknownOutcome: Refusal | undefined
    retryBudget.recordAttempt()
    for (let attempt = 1; ; attempt++) {
      await options.waitForHandoff?.(slotRequest.request.service, slotRequest.deadlineAtMs)
      const slot = await slotPool.reserveSlot(slotRequest)
      if (slot.isErr()) return err(unknownOutcome ?? slot.error)
      const dispatchRefusal = findDispatchRefusal(slotRequest, slot.value)
      if (dispatchRefusal !== undefined) {
        slot.value.recordFailure(TargetSignal.Ended)
        slot.value.release()
        if (dispatchRefusal.reason === RefusalReason.LeaseLapsed && attempt < maxAttempts) continue
        return err(unknownOutcome ?? dispatchRefusal)
      }
      const result = await sendToTarget(slotRequest, slot.value)
      if (result.isOk()) return ok(result.value)
      const refusal = chooseAbortSignal(slotRequest.request).aborted && !isNotExecuted(result.error)
        ? createUnknownRefusal(RefusalReason.CallerGone, 'Caller closed the connection after the request was sent to a target')
        : describeFailure(result.error)
      if (refusal.outcome === Outcome.Unknown) unknownOutcome = refusal
      const retryReason = chooseRetryReason(slotRequest, result.error)
      if (retryReason === undefined || attempt === maxAttempts) return err(unknownOutcome ?? refusal)
      // Retries after a failed connection are not charged to the budget, since they put no load on a target.
      if (retryReason !== RetryReasons.ConnectFailed && !retryBudget.take()) {
        return err(unknownOutcome ?? createNotRunRefusal(RefusalReason.RetryBudget, `${result.error.detail}; the retry budget is used up`, retryAfterMs))
      }
      options.countRetry(retryReason)
    }
  }
}

/** Chooses the signal that aborts a request. A request with an idempotency key continues after its caller has disconnected, so that a retry gets its response. */
function chooseAbortSignal (request: ServiceRequest): AbortSignal {
  return request.idempotencyKey === undefined ? request.signal : neverAborted
}

function isNotExecuted (failure: TargetFailure): boolean {
  return failure.kind === TargetFailureKind.ConnectFailed || failure.kind === TargetFailureKind.RefusedLocally || failure.kind === TargetFailureKind.Refused
}

function chooseRetryReason (slotRequest: SlotRequest, failure: TargetFailure): RetryReason | undefined {
  const { request, requestClass } = slotRequest
  const isReplayable = !request.body.readableDidRead || request.contentLength === 0 || isBodiless(request)
  if (request.signal.aborted || !isReplayable) return undefined
  switch (failure.kind) {
    case TargetFailureKind.ConnectFailed: return RetryReasons.ConnectFailed
    case TargetFailureKind.RefusedLocally: return RetryReasons.RefusedLocally
    case TargetFailureKind.Refused: return RetryReasons.TargetRefused
    case TargetFailureKind.Lost: return requestClass === RequestClass.LookUp && request.idempotencyKey === undefined ? RetryReasons.IdempotentLost : undefined
    case TargetFailureKind.TimedOut: return undefined
  }
}

function isBodiless (request: ServiceRequest): boolean {
  return request.method === 'GET' || request.method === 'HEAD'
}

function describeFailure (failure: TargetFailure): Refusal {
  switch (failure.kind) {
    // Earlier versions do not know `HostLimit`, and would take a forwarded refusal with it for an unknown outcome.
    case TargetFailureKind.RefusedLocally:
    case TargetFailureKind.ConnectFailed: return createNotRunRefusal(RefusalReason.TargetUnreachable, failure.detail, retryAfterMs)
    case TargetFailureKind.Refused: return createNotRunRefusal(RefusalReason.TargetRefused, failure.detail, retryAfterMs)
    case TargetFailureKind.Lost: return createUnknownRefusal(RefusalReason.TargetLost, failure.detail)
    case TargetFailureKind.TimedOut: return createUnknownRefusal(RefusalReason.TargetTimeout, failure.detail)
  }
}

/** Maps a failure to the signal for the target's circuit breaker. */
function mapTargetSignal (kind: TargetFailureKind, hasCallerDisconnected: boolean): TargetSignal {
  switch (kind) {
    case TargetFailureKind.ConnectFailed: return TargetSignal.ConnectFailed
    case TargetFailureKind.RefusedLocally: return TargetSignal.Ended
    case TargetFailureKind.Refused: return TargetSignal.Refused
    case TargetFailureKind.Lost: return hasCallerDisconnected ? TargetSignal.Ended : TargetSignal.Lost
    case TargetFailureKind.TimedOut: return TargetSignal.Ended
  }
}
