/**
 * Sends requests to the targets that this instance feeds, within their slots.
 *
 * @module
 */
import type { AdmissionItem, AdmissionQueue, Refusal, ServiceAnswer, ServiceRequest, SlotLedger, TargetRecord } from '@bilberryworks/steering'
import type { TargetClient, TargetFailure } from '@bilberryworks/targets'
import type { Result } from 'neverthrow'
import { createAdmissionQueue, createNotRun, createSlotLedger, createUnknown, RefusalReason, RequestClass, chooseTarget, RetryReason } from '@bilberryworks/steering'
import { TargetFailureKind } from '@bilberryworks/targets'
import { err, ok } from 'neverthrow'

const initialHoldMs = 50
const holdSmoothing = 0.1
const retryAfterMs = 1_000
const maxAttempts = 3
const expireIntervalMs = 20
const defaultMaxQueued = 256

/** A request with what was decided about it. */
export interface FeedRequest {
  /** The request. */
  request: ServiceRequest
  /** Its class. */
  requestClass: RequestClass
  /** Order of admission, 0 first. */
  priority: number
  /** Monotonic time by which it must have ended, in milliseconds. */
  deadlineAtMs: number
}

/** Options of {@linkcode createFeed}. */
export interface CreateFeedOptions {
  /** The targets. */
  targets: TargetClient
  /** Lists the usable targets of a service that this instance feeds now. */
  listFedTargets: (service: string) => TargetRecord[]
  /** Takes note that a target said that it is leaving. */
  markTargetLeaving: (target: string) => void
  /** Counts a retry. */
  countRetry: (reason: RetryReason) => void
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** The part of an instance that feeds targets. */
export interface Feed extends AsyncDisposable {
  /** Sends a request to a target of its service, when a slot is free. */
  dispatch (feedRequest: FeedRequest): Promise<Result<ServiceAnswer, Refusal>>
  /** Counts the requests that wait. */
  countQueued (): number
  /** Counts the requests that hold a slot. */
  countInFlight (): number
}

/** The queue of one service with the requests that wait in it. */
interface ServiceQueue {
  queue: AdmissionQueue
  waiting: Map<string, (target: TargetRecord | Refusal) => void>
  meanHoldMs: number
}

/**
 * Creates the feed of an instance.
 *
 * @param options The targets and what is known of them
 * @returns The feed; dispose it to stop its timer
 */
export function createFeed (options: CreateFeedOptions): Feed {
  const ledger: SlotLedger = createSlotLedger()
  const services = new Map<string, ServiceQueue>()
  let inFlight = 0
  const timer = setInterval(() => services.forEach((_, service) => drainQueue(service)), expireIntervalMs)

  function getQueue (service: string): ServiceQueue {
    const known = services.get(service)
    if (known !== undefined) return known
    const created = { queue: createAdmissionQueue(defaultMaxQueued), waiting: new Map(), meanHoldMs: initialHoldMs }
    services.set(service, created)
    return created
  }

  function drainQueue (service: string): void {
    const entry = getQueue(service)
    for (const item of entry.queue.expire(options.getNowMs())) {
      settleItem(entry, item, createNotRun(RefusalReason.DeadlinePassed, 'Deadline passed before a slot was free', retryAfterMs))
    }
    while (entry.queue.count() > 0) {
      const target = chooseTarget(options.listFedTargets(service), ledger)
      const item = target === undefined ? undefined : entry.queue.take(options.getNowMs())
      if (target === undefined || item === undefined) return
      ledger.reserve(target.target)
      inFlight++
      settleItem(entry, item, target)
    }
  }

  function settleItem (entry: ServiceQueue, item: AdmissionItem, value: TargetRecord | Refusal): void {
    entry.waiting.get(item.requestId)?.(value)
    entry.waiting.delete(item.requestId)
  }

  function releaseSlot (service: string, target: string): void {
    ledger.release(target)
    inFlight--
    drainQueue(service)
  }

  async function waitForSlot (feedRequest: FeedRequest): Promise<TargetRecord | Refusal> {
    const { request, priority, deadlineAtMs } = feedRequest
    const entry = getQueue(request.service)
    const usable = options.listFedTargets(request.service)
    if (usable.length === 0) return createNotRun(RefusalReason.NoUsableTarget, `Service "${request.service}" has no usable target here`, retryAfterMs)
    const slots = usable.reduce((sum, target) => sum + target.slots, 0)
    const item = { requestId: request.requestId, priority, deadlineAtMs }
    const admitted = entry.queue.admit(item, { nowMs: options.getNowMs(), slots, meanHoldMs: entry.meanHoldMs })
    if (admitted.isErr()) return admitted.error
    return new Promise(resolve => {
      entry.waiting.set(request.requestId, resolve)
      request.signal.addEventListener('abort', () => {
        if (!entry.queue.remove(request.requestId)) return
        settleItem(entry, item, createNotRun(RefusalReason.CallerGone, 'Caller closed the connection'))
      })
      drainQueue(request.service)
    })
  }

  async function sendOnce (feedRequest: FeedRequest, target: TargetRecord): Promise<Result<ServiceAnswer, TargetFailure>> {
    const { request, deadlineAtMs } = feedRequest
    const startedMs = options.getNowMs()
    let released = false
    const release = (): void => {
      if (released) return
      released = true
      const entry = getQueue(request.service)
      entry.meanHoldMs += holdSmoothing * (options.getNowMs() - startedMs - entry.meanHoldMs)
      releaseSlot(request.service, target.target)
    }
    const result = await options.targets.send(target, { ...request, deadlineMs: deadlineAtMs - startedMs })
    if (result.isErr()) {
      if (result.error.leaving) options.markTargetLeaving(target.target)
      const { kind } = result.error
      if (kind === TargetFailureKind.ConnectFailed || kind === TargetFailureKind.Refused) release()
      else await cancelRun({ target, feedRequest, release })
      return err(result.error)
    }
    if (result.value.leaving) options.markTargetLeaving(target.target)
    result.value.body.once('end', release)
    result.value.body.once('error', () => { cancelRun({ target, feedRequest, release }).catch(release) })
    return ok(result.value)
  }

  async function cancelRun (run: { target: TargetRecord, feedRequest: FeedRequest, release: () => void }): Promise<void> {
    const done = await options.targets.cancel(run.target, run.feedRequest.request.requestId)
    const leftMs = run.feedRequest.deadlineAtMs - options.getNowMs()
    if (done || leftMs <= 0) run.release()
    else setTimeout(run.release, leftMs).unref()
  }

  return {
    async dispatch (feedRequest) {
      for (let attempt = 1; ; attempt++) {
        const slot = await waitForSlot(feedRequest)
        if (!('target' in slot)) return err(slot)
        const result = await sendOnce(feedRequest, slot)
        if (result.isOk()) return ok(result.value)
        const retry = chooseRetry(feedRequest, result.error)
        if (retry === undefined || attempt === maxAttempts) return err(describeFailure(result.error))
        options.countRetry(retry)
      }
    },
    countQueued: () => [...services.values()].reduce((sum, entry) => sum + entry.queue.count(), 0),
    countInFlight: () => inFlight,
    async [Symbol.asyncDispose] () {
      clearInterval(timer)
    }
  }
}

function chooseRetry (feedRequest: FeedRequest, failure: TargetFailure): RetryReason | undefined {
  const { body, signal } = feedRequest.request
  const replayable = !body.readableDidRead || feedRequest.request.contentLength === 0 || isBodiless(feedRequest.request)
  if (signal.aborted || !replayable) return undefined
  switch (failure.kind) {
    case TargetFailureKind.ConnectFailed: return RetryReason.ConnectFailed
    case TargetFailureKind.Refused: return RetryReason.TargetRefused
    case TargetFailureKind.Lost: return feedRequest.requestClass === RequestClass.LookUp ? RetryReason.IdempotentLost : undefined
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
