/**
 * Runs each request with an `Idempotency-Key` at most once and replies to duplicates with the retained response.
 *
 * @module
 */
import type { PeerClient } from '@bilberryworks/instances'
import type { HandleRequest, InstanceRecord, IdempotencyStore, Pin, Refusal, ScopedKey, ServiceResponse, ServiceRequest } from '@bilberryworks/steering'
import type { Result } from 'neverthrow'
import type { PinStore } from './pin_store.ts'
import type { RetainedResponse } from './retain_response.ts'
import { createHash } from 'node:crypto'
import { checkPin, createNotRunRefusal, createUnknownRefusal, formatPin, Outcome, parsePin, PinStatus, RefusalReason } from '@bilberryworks/steering'
import { err, ok } from 'neverthrow'
import { createDigestedBody, readBodyDigest } from './body_digest.ts'
import { createRetainedResponse, retainResponse, RetentionEnd } from './retain_response.ts'

const retryAfterMs = 1_000
const maxResultBytes = 64 * 1024
/** Body digest recorded for methods whose body is not forwarded. */
const noBodyDigest = 'none'
/** Reasons for which a peer refuses a request before it looks up the key; such a refusal does not show whether an earlier request with the key ran. */
const refusalsBeforeKeyLookup = new Set([RefusalReason.BadRequest, RefusalReason.Unauthenticated, RefusalReason.HeadersTooLarge, RefusalReason.RequestTimeout, RefusalReason.BodyTooLarge])

/** The first request that used a key. */
export interface KeyedRun {
  /** Digest of service, method and path. */
  requestTargetDigest: string
  /** Resolves when the request has ended; never rejects. */
  ended: Promise<RunEnd>
}

/** How the first request with a key ended. */
interface RunEnd {
  /** Response or refusal for duplicates. */
  result: Result<RetainedResponse, Refusal>
  /** Digest of the request body; `undefined` when the body was not received completely. */
  bodyDigest: string | undefined
}

/** Options of {@linkcode createKeyedRequestHandler}. */
export interface CreateKeyedRequestHandlerOptions {
  /** Name of this instance. */
  instance: string
  /** Identifier of the current run of its process. */
  incarnation: string
  /** Returns the current pin epoch of this incarnation. */
  getPinEpoch: () => number
  /** Store of the keys that this incarnation has handled. */
  store: IdempotencyStore<KeyedRun>
  /** Store of the pins of keys that were sent without a pin. */
  pinStore: PinStore
  /** Runs a request that has no key or whose key is new. */
  handleRequest: HandleRequest
  /** Client that forwards requests to other instances. */
  peers: PeerClient
  /** Lists the reachable instances. */
  listInstances: () => InstanceRecord[]
  /** Marks an instance as unreachable, after a request could not be sent to it. */
  markInstanceUnreachable: (instance: string) => void
  /** Chooses the time limit of a request, in milliseconds. */
  chooseDeadlineMs: (request: ServiceRequest) => number
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** A request with its idempotency key, pin and deadline. */
interface KeyedRequest extends ScopedKey {
  request: ServiceRequest
  deadlineAtMs: number
}

/**
 * Creates a handler that looks up idempotency keys before it passes requests to the next handler.
 *
 * A request without a key passes through. So does a request that another instance forwarded with a key but without a pin:
 * the other instance has already recorded the key and forwarded the request to run it here.
 *
 * @param options The key store, the next handler, clients and clock
 * @returns The handler
 */
export function createKeyedRequestHandler (options: CreateKeyedRequestHandlerOptions): HandleRequest {
  const { store, handleRequest, getNowMs } = options

  async function resolvePin (request: ServiceRequest, key: { key: string, deadlineAtMs: number }): Promise<Result<Pin, Refusal>> {
    if (request.pin !== undefined) return parsePin(request.pin).mapErr(message => createNotRunRefusal(RefusalReason.BadPin, message))
    const authorization = request.headers['authorization']
    if (typeof authorization !== 'string') {
      return err(createNotRunRefusal(RefusalReason.KeyScopeMissing, 'Idempotency-Key requires a Bilberry-Pin or Authorization header field as its scope'))
    }
    return options.pinStore.claimPin({ authorization, ...key })
  }

  function checkPinStatus (pin: Pin): PinStatus {
    return checkPin(pin, { instance: options.instance, incarnation: options.incarnation, epoch: options.getPinEpoch() })
  }

  async function forwardToPinnedInstance (keyed: KeyedRequest): Promise<Result<ServiceResponse, Refusal>> {
    const { request, pin } = keyed
    const instanceUnreachable = createUnknownRefusal(RefusalReason.PinnedInstanceGone, `Instance "${pin.instance}", which stores the idempotency key, is unreachable`)
    const peer = options.listInstances().find(record => record.instance === pin.instance)
    const remainingMs = keyed.deadlineAtMs - getNowMs()
    if (peer === undefined || request.hops > 0) return err(instanceUnreachable)
    if (remainingMs <= 0) return err(createUnknownRefusal(RefusalReason.TargetTimeout, 'Deadline passed before the request was forwarded to the instance that stores the idempotency key'))
    const result = await options.peers.forward(peer, { ...request, pin: formatPin(pin) }, remainingMs)
    if (result.isOk()) return ok(result.value)
    const { isUnsent, refusal } = result.error
    if (isUnsent) options.markInstanceUnreachable(pin.instance)
    const isOutcomeUnknown = isUnsent || (refusal.outcome === Outcome.NotRun && refusalsBeforeKeyLookup.has(refusal.reason))
    return err(isOutcomeUnknown ? instanceUnreachable : refusal)
  }

  async function runFirstRequest (keyed: KeyedRequest): Promise<Result<ServiceResponse, Refusal>> {
    const { request } = keyed
    const { body, getDigest } = createDigestedBody(request.body)
    let resolveEnd: (end: RunEnd) => void = () => {}
    const ended = new Promise<RunEnd>(resolve => { resolveEnd = resolve })
    const recordEnd = (result: RunEnd['result']): void => resolveEnd({ result, bodyDigest: isBodiless(request) ? noBodyDigest : getDigest() })
    if (!store.add(keyed, { requestTargetDigest: computeRequestTargetDigest(request), ended })) {
      return err(createNotRunRefusal(RefusalReason.KeyMemoryFull, 'Store of idempotency keys is full', retryAfterMs))
    }
    const result = await runSafely(handleRequest, { ...request, body, pin: undefined, deadlineMs: Math.max(0, keyed.deadlineAtMs - getNowMs()) })
    if (result.isErr()) {
      if (result.error.outcome === Outcome.NotRun) store.remove(keyed)
      recordEnd(err(result.error))
      return err(result.error)
    }
    const copiedResponse = retainResponse(result.value, { maxBytes: maxResultBytes, reserveBytes: bytes => store.reserveBytes(keyed, bytes) })
    copiedResponse.ended.then(end => recordEnd(mapRetentionEnd(end, copiedResponse.copy)), () => recordEnd(mapRetentionEnd(RetentionEnd.Truncated, copiedResponse.copy)))
    return ok(copiedResponse.response)
  }

  async function replyToDuplicate (keyed: KeyedRequest, run: KeyedRun): Promise<Result<ServiceResponse, Refusal>> {
    const { request } = keyed
    const keyReused = createNotRunRefusal(RefusalReason.KeyReused, 'Idempotency-Key was already used with a different request')
    if (run.requestTargetDigest !== computeRequestTargetDigest(request)) return err(keyReused)
    const timedOut = createUnknownRefusal(RefusalReason.TargetTimeout, 'First request with this Idempotency-Key did not end before the deadline')
    const end = await waitWithTimeout(run.ended, keyed.deadlineAtMs - getNowMs())
    if (end === undefined) return err(timedOut)
    // The first caller disconnected before its request ran, and the body of the duplicate is still unread: run the duplicate.
    if (end.result.isErr() && end.result.error.outcome === Outcome.NotRun && end.result.error.reason === RefusalReason.CallerGone) return handleLocally(keyed)
    const bodyRead = await waitWithTimeout(readDigest(request), keyed.deadlineAtMs - getNowMs())
    if (bodyRead === undefined) return err(timedOut)
    const { digest } = bodyRead
    if (digest !== undefined && end.bodyDigest !== undefined && digest !== end.bodyDigest) return err(keyReused)
    if (end.result.isErr()) return err(end.result.error)
    if (digest === undefined || end.bodyDigest === undefined) return err(createNotRetained('Request body can\'t be compared with the body of the first request with this Idempotency-Key'))
    return ok(createRetainedResponse(end.result.value))
  }

  async function handleLocally (keyed: KeyedRequest): Promise<Result<ServiceResponse, Refusal>> {
    const pinStatus = checkPinStatus(keyed.pin)
    store.expire(options.getPinEpoch())
    const run = store.find(keyed)
    if (run !== undefined) return replyToDuplicate(keyed, run)
    if (pinStatus === PinStatus.Expired) return err(createUnknownRefusal(RefusalReason.PinExpired, 'Pin has expired; an earlier request with this Idempotency-Key may have run'))
    return runFirstRequest(keyed)
  }

  return async request => {
    const key = request.idempotencyKey
    if (key === undefined || (request.hops > 0 && request.pin === undefined)) return handleRequest(request)
    const deadlineAtMs = getNowMs() + options.chooseDeadlineMs(request)
    const pin = await resolvePin(request, { key, deadlineAtMs })
    if (pin.isErr()) return err(pin.error)
    const keyed = { request, key, pin: pin.value, deadlineAtMs }
    switch (checkPinStatus(pin.value)) {
      case PinStatus.Future: return err(createNotRunRefusal(RefusalReason.BadPin, 'Pin has an epoch in the future'))
      case PinStatus.OtherIncarnation: return err(createUnknownRefusal(RefusalReason.PinnedInstanceGone, 'Process that stored the idempotency key has ended'))
      case PinStatus.OtherInstance: return forwardToPinnedInstance(keyed)
      case PinStatus.Current:
      case PinStatus.Expired: return handleLocally(keyed)
    }
  }
}

async function runSafely (handleRequest: HandleRequest, request: ServiceRequest): Promise<Result<ServiceResponse, Refusal>> {
  try {
    return await handleRequest(request)
  } catch (error) {
    return err(createUnknownRefusal(RefusalReason.TargetLost, `Request failed: ${(error as Error).message}`))
  }
}

function mapRetentionEnd (end: RetentionEnd, copy: RetainedResponse): Result<RetainedResponse, Refusal> {
  switch (end) {
    case RetentionEnd.Complete: return ok(copy)
    case RetentionEnd.TooLarge: return err(createNotRetained(`Response is too large to be retained; the limit is ${maxResultBytes} bytes`))
    case RetentionEnd.Truncated: return err(createUnknownRefusal(RefusalReason.TargetLost, 'Response of the target was truncated'))
  }
}

function createNotRetained (detail: string): Refusal {
  return createUnknownRefusal(RefusalReason.ResultNotRetained, detail)
}

async function readDigest (request: ServiceRequest): Promise<{ digest: string | undefined }> {
  return { digest: isBodiless(request) ? noBodyDigest : await readBodyDigest(request.body) }
}

function isBodiless (request: ServiceRequest): boolean {
  return request.method === 'GET' || request.method === 'HEAD'
}

function computeRequestTargetDigest (request: ServiceRequest): string {
  return createHash('sha256').update(`${request.service}\u0000${request.method}\u0000${request.path}`).digest('base64')
}

async function waitWithTimeout<T> (promise: Promise<T>, timeoutMs: number): Promise<T | undefined> {
  let timer: NodeJS.Timeout | undefined
  const timeout = new Promise<undefined>(resolve => { timer = setTimeout(resolve, Math.max(0, timeoutMs), undefined) })
  try {
    return await Promise.race([promise, timeout])
  } finally {
    clearTimeout(timer)
  }
}
