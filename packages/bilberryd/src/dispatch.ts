/**
 * Sends a request to a target that this instance feeds, again only where that is safe.
 *
 * @module
 */
import type { Refusal, RetryReason, ServiceAnswer, ServiceRequest, Slot } from '@bilberryworks/steering'
import type { TargetClient, TargetFailure } from '@bilberryworks/targets'
import type { Result } from 'neverthrow'
import type { Feed, FeedRequest } from './feed.ts'
import { createNotRun, createUnknown, RefusalReason, RequestClass, RetryReason as RetryReasons, TargetSignal } from '@bilberryworks/steering'
import { TargetFailureKind } from '@bilberryworks/targets'
import { err, ok } from 'neverthrow'

const retryAfterMs = 1_000
const maxAttempts = 3

/** Options of {@linkcode createDispatcher}. */
export interface CreateDispatcherOptions {
  /** The slots that this instance feeds. */
  feed: Feed
  /** The targets. */
  targets: TargetClient
  /** Takes note that a target said that it is leaving. */
  markTargetLeaving: (target: string) => void
  /** Counts a retry. */
  countRetry: (reason: RetryReason) => void
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Sends a request to a target of its service when a slot is free. */
export type Dispatch = (feedRequest: FeedRequest) => Promise<Result<ServiceAnswer, Refusal>>

/**
 * Creates the dispatcher of an instance.
 *
 * @param options The slots and the targets
 * @returns The function that dispatches a request
 */
export function createDispatcher (options: CreateDispatcherOptions): Dispatch {
  async function sendOnce (feedRequest: FeedRequest, slot: Slot): Promise<Result<ServiceAnswer, TargetFailure>> {
    const { request, deadlineAtMs } = feedRequest
    const result = await options.targets.send(slot.target, { ...request, deadlineMs: deadlineAtMs - options.getNowMs() })
    if (result.isErr()) {
      const { kind, leaving } = result.error
      if (leaving) options.markTargetLeaving(slot.target.target)
      slot.recordFailure(mapSignal(kind, request.signal.aborted))
      if (kind === TargetFailureKind.ConnectFailed || kind === TargetFailureKind.Refused) slot.release()
      else await cancelRun(feedRequest, slot)
      return err(result.error)
    }
    if (result.value.leaving) options.markTargetLeaving(slot.target.target)
    result.value.body.once('end', slot.release)
    result.value.body.once('error', () => {
      slot.recordFailure(mapSignal(TargetFailureKind.Lost, request.signal.aborted))
      cancelRun(feedRequest, slot).catch(slot.release)
    })
    return ok(result.value)
  }

  async function cancelRun (feedRequest: FeedRequest, slot: Slot): Promise<void> {
    const done = await options.targets.cancel(slot.target, feedRequest.request.requestId)
    const leftMs = feedRequest.deadlineAtMs - options.getNowMs()
    if (done || leftMs <= 0) slot.release()
    else setTimeout(slot.release, leftMs).unref()
  }

  return async feedRequest => {
    for (let attempt = 1; ; attempt++) {
      const slot = await options.feed.reserveSlot(feedRequest)
      if (slot.isErr()) return err(slot.error)
      const result = await sendOnce(feedRequest, slot.value)
      if (result.isOk()) return ok(result.value)
      const retry = chooseRetry(feedRequest, result.error)
      if (retry === undefined || attempt === maxAttempts) return err(describeFailure(result.error))
      options.countRetry(retry)
    }
  }
}

function chooseRetry (feedRequest: FeedRequest, failure: TargetFailure): RetryReason | undefined {
  const { body, signal } = feedRequest.request
  const replayable = !body.readableDidRead || feedRequest.request.contentLength === 0 || isBodiless(feedRequest.request)
  if (signal.aborted || !replayable) return undefined
  switch (failure.kind) {
    case TargetFailureKind.ConnectFailed: return RetryReasons.ConnectFailed
    case TargetFailureKind.Refused: return RetryReasons.TargetRefused
    case TargetFailureKind.Lost: return feedRequest.requestClass === RequestClass.LookUp ? RetryReasons.IdempotentLost : undefined
    case TargetFailureKind.TimedOut: return undefined
  }
}

/** Maps a failure to what it says of the target's health; a time-out or a caller that left says nothing. */
function mapSignal (kind: TargetFailureKind, callerGone: boolean): TargetSignal {
  switch (kind) {
    case TargetFailureKind.ConnectFailed: return TargetSignal.ConnectFailed
    case TargetFailureKind.Refused: return TargetSignal.Refused
    case TargetFailureKind.Lost: return callerGone ? TargetSignal.Ended : TargetSignal.Lost
    case TargetFailureKind.TimedOut: return TargetSignal.Ended
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
