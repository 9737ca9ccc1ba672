/**
 * Sends a request to a target that this instance feeds, again only where that is safe.
 *
 * @module
 */
import type { Refusal, RetryReason, ServiceResponse, ServiceRequest, Slot, TargetRecord } from '@bilberryworks/steering'
import type { TargetClient, TargetFailure } from '@bilberryworks/targets'
import type { Result } from 'neverthrow'
import type { SlotPool, SlotRequest } from './slot_pool.ts'
import type { WaitForHandoff } from './handoff_wait.ts'
import { finished } from 'node:stream'
import { createNotRun, createRetryBudget, createUnknown, Outcome, RefusalReason, RequestClass, RetryReason as RetryReasons, TargetSignal } from '@bilberryworks/steering'
import { TargetFailureKind } from '@bilberryworks/targets'
import { err, ok } from 'neverthrow'

const retryAfterMs = 1_000
const maxAttempts = 3
const neverAborted = new AbortController().signal

/** Options of {@linkcode createDispatch}. */
export interface CreateDispatchOptions {
  /** The slots that this instance feeds. */
  slotPool: SlotPool
  /** The targets. */
  targets: TargetClient
  /** Takes note that a target said that it is leaving. */
  markTargetLeaving: (target: string) => void
  /** Waits while targets are being handed over to this instance; not at all by default. */
  waitForHandoff?: WaitForHandoff
  /** Checks right before each dispatch that this instance still feeds a target; always true by default. */
  checkDispatch?: (target: TargetRecord) => boolean
  /** Counts a retry. */
  countRetry: (reason: RetryReason) => void
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Sends a request to a target of its service when a slot is free. */
export type Dispatch = (feedRequest: SlotRequest) => Promise<Result<ServiceResponse, Refusal>>

/**
 * Creates the dispatcher of an instance.
 *
 * @param options The slots and the targets
 * @returns The function that dispatches a request
 */
export function createDispatch (options: CreateDispatchOptions): Dispatch {
  const { slotPool: feed, targets, checkDispatch = () => true, getNowMs } = options
  const budget = createRetryBudget()

  /** Returns why a request may not be sent now, right before it would be. */
  function findObstacle (feedRequest: SlotRequest, slot: Slot): Refusal | undefined {
    if (feedRequest.deadlineAtMs <= getNowMs()) return createNotRun(RefusalReason.DeadlinePassed, 'Deadline passed before the request was sent')
    if (feedRequest.request.signal.aborted) return createNotRun(RefusalReason.CallerGone, 'Caller closed the connection')
    if (!checkDispatch(slot.target)) return createNotRun(RefusalReason.LeaseLapsed, 'Lease on the target has lapsed', retryAfterMs)
    return undefined
  }

  async function sendOnce (feedRequest: SlotRequest, slot: Slot): Promise<Result<ServiceResponse, TargetFailure>> {
    const { request, deadlineAtMs } = feedRequest
    const result = await targets.send(slot.target, { ...request, signal: chooseSignal(request), deadlineMs: deadlineAtMs - getNowMs() })
    const leaving = result.isOk() ? result.value.leaving : result.error.leaving
    if (leaving) options.markTargetLeaving(slot.target.target)
    if (result.isErr()) {
      slot.recordFailure(mapSignal(result.error.kind, request.signal.aborted))
      if (isUnread(result.error)) slot.release()
      else startCancel(feedRequest, slot)
      return err(result.error)
    }
    finished(result.value.body, { writable: false }, error => {
      if (error) {
        slot.recordFailure(mapSignal(TargetFailureKind.Lost, request.signal.aborted))
        startCancel(feedRequest, slot)
      } else {
        slot.release()
      }
    })
    return ok(result.value)
  }

  /** Cancels a run, and releases its slot once the target is known to be done or the deadline has passed. */
  function startCancel (feedRequest: SlotRequest, slot: Slot): void {
    const timer = setTimeout(slot.release, Math.max(0, feedRequest.deadlineAtMs - getNowMs()))
    timer.unref()
    targets.cancel(slot.target, feedRequest.request.requestId).then(done => {
      if (!done) return
      clearTimeout(timer)
      slot.release()
    }, () => {})
  }

  return async feedRequest => {
    let mayHaveRun: Refusal | undefined
    budget.recordAttempt()
    for (let attempt = 1; ; attempt++) {
      await options.waitForHandoff?.(feedRequest.request.service, feedRequest.deadlineAtMs)
      const slot = await feed.reserveSlot(feedRequest)
      if (slot.isErr()) return err(mayHaveRun ?? slot.error)
      const obstacle = findObstacle(feedRequest, slot.value)
      if (obstacle !== undefined) {
        slot.value.recordFailure(TargetSignal.Ended)
        slot.value.release()
        if (obstacle.reason === RefusalReason.LeaseLapsed && attempt < maxAttempts) continue
        return err(mayHaveRun ?? obstacle)
      }
      const result = await sendOnce(feedRequest, slot.value)
      if (result.isOk()) return ok(result.value)
      const refusal = describeFailure(result.error)
      if (refusal.outcome === Outcome.Unknown) mayHaveRun = refusal
      const retry = chooseRetry(feedRequest, result.error)
      if (retry === undefined || attempt === maxAttempts) return err(mayHaveRun ?? refusal)
      // A failed connection puts no load on a target.
      if (retry !== RetryReasons.ConnectFailed && !budget.take()) {
        return err(mayHaveRun ?? createNotRun(RefusalReason.RetryBudget, `${result.error.detail}; the budget of retries is spent`, retryAfterMs))
      }
      options.countRetry(retry)
    }
  }
}

/** Lets a run under a key go on when its caller is gone, so that its answer is there for a repeat. */
function chooseSignal (request: ServiceRequest): AbortSignal {
  return request.idempotencyKey === undefined ? request.signal : neverAborted
}

function isUnread (failure: TargetFailure): boolean {
  return failure.kind === TargetFailureKind.ConnectFailed || failure.kind === TargetFailureKind.Refused
}

function chooseRetry (feedRequest: SlotRequest, failure: TargetFailure): RetryReason | undefined {
  const { request, requestClass } = feedRequest
  const replayable = !request.body.readableDidRead || request.contentLength === 0 || isBodiless(request)
  if (request.signal.aborted || !replayable) return undefined
  switch (failure.kind) {
    case TargetFailureKind.ConnectFailed: return RetryReasons.ConnectFailed
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
    case TargetFailureKind.ConnectFailed: return createNotRun(RefusalReason.TargetUnreachable, failure.detail, retryAfterMs)
    case TargetFailureKind.Refused: return createNotRun(RefusalReason.TargetRefused, failure.detail, retryAfterMs)
    case TargetFailureKind.Lost: return createUnknown(RefusalReason.TargetLost, failure.detail)
    case TargetFailureKind.TimedOut: return createUnknown(RefusalReason.TargetTimeout, failure.detail)
  }
}

/** Says what the end of an exchange tells of the health of its target. */
function mapSignal (kind: TargetFailureKind, callerGone: boolean): TargetSignal {
  switch (kind) {
    case TargetFailureKind.ConnectFailed: return TargetSignal.ConnectFailed
    case TargetFailureKind.Refused: return TargetSignal.Refused
    case TargetFailureKind.Lost: return callerGone ? TargetSignal.Ended : TargetSignal.Lost
    case TargetFailureKind.TimedOut: return TargetSignal.Ended
  }
}
