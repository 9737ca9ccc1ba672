/**
 * Runs each request with an `Idempotency-Key` at most once and answers its repeats from memory.
 *
 * @module
 */
import type { PeerClient } from '@bilberryworks/instances'
import type { HandleRequest, InstanceRecord, IdempotencyStore, Pin, Refusal, ScopedKey, ServiceResponse, ServiceRequest } from '@bilberryworks/steering'
import type { Result } from 'neverthrow'
import type { PinStore } from './pin_store.ts'
import type { RetainedResponse } from './retain_response.ts'
import { createHash } from 'node:crypto'
import { checkPin, createNotRun, createUnknown, formatPin, Outcome, parsePin, PinStatus, RefusalReason } from '@bilberryworks/steering'
import { err, ok } from 'neverthrow'
import { createDigestedBody, readBodyDigest } from './body_digest.ts'
import { createRetainedResponse, retainResponse, RetentionEnd } from './retain_response.ts'

const retryAfterMs = 1_000
const maxResultBytes = 64 * 1024
/** Digest that stands for the body of a method whose body is not forwarded. */
const noBodyDigest = 'none'
/** Reasons for which a peer refuses before it looks into its memory, and which say nothing about an earlier try. */
const refusalsBeforeKeyLookup = new Set([RefusalReason.BadRequest, RefusalReason.Unauthenticated, RefusalReason.HeadersTooLarge, RefusalReason.RequestTimeout, RefusalReason.BodyTooLarge])

/** What is remembered of a key. */
export interface KeyedRun {
  /** Digest of service, method and path. */
  targetDigest: string
  /** Resolves when the first run has ended; never rejects. */
  ended: Promise<RunEnd>
}

/** How a first run ended. */
interface RunEnd {
  /** What a repeat gets. */
  result: Result<RetainedResponse, Refusal>
  /** Digest of the body, where it had arrived whole. */
  bodyDigest: string | undefined
}

/** Options of {@linkcode createKeyedRequestHandler}. */
export interface CreateKeyedRequestHandlerOptions {
  /** Name of this instance. */
  instance: string
  /** Its incarnation. */
  incarnation: string
  /** Returns its epoch of pins. */
  getPinEpoch: () => number
  /** The keys that this incarnation remembers. */
  store: IdempotencyStore<KeyedRun>
  /** Pins of keys that came without one. */
  pinStore: PinStore
  /** Handles a request that is to run now. */
  handleRequest: HandleRequest
  /** The other instances. */
  peers: PeerClient
  /** Lists the instances heard of lately. */
  listInstances: () => InstanceRecord[]
  /** Takes note that an instance took no connection. */
  dropInstance: (instance: string) => void
  /** Chooses how long a request may take, in milliseconds. */
  chooseDeadlineMs: (request: ServiceRequest) => number
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** A keyed request with what was decided about it. */
interface KeyedRequest extends ScopedKey {
  request: ServiceRequest
  deadlineAtMs: number
}

/**
 * Creates a handler that puts the memory of keys before another handler.
 *
 * A request without a key passes through, and so does one that the remembering instance sent here to run:
 * it carries the key without a pin.
 *
 * @param options The memory and what runs a request
 * @returns The handler
 */
export function createKeyedRequestHandler (options: CreateKeyedRequestHandlerOptions): HandleRequest {
  const { store, handleRequest, getNowMs } = options

  async function findPin (request: ServiceRequest, key: { key: string, deadlineAtMs: number }): Promise<Result<Pin, Refusal>> {
    if (request.pin !== undefined) return parsePin(request.pin).mapErr(message => createNotRun(RefusalReason.BadPin, message))
    const authorization = request.headers['authorization']
    if (typeof authorization !== 'string') {
      return err(createNotRun(RefusalReason.KeyScopeMissing, 'Idempotency-Key needs a Bilberry-Pin or an Authorization as its scope'))
    }
    return options.pinStore.claimPin({ authorization, ...key })
  }

  function checkPinStatus (pin: Pin): PinStatus {
    return checkPin(pin, { instance: options.instance, incarnation: options.incarnation, epoch: options.getPinEpoch() })
  }

  async function forwardToPinnedInstance (keyed: KeyedRequest): Promise<Result<ServiceResponse, Refusal>> {
    const { request, pin } = keyed
    const instanceGone = createUnknown(RefusalReason.PinnedInstanceGone, `Instance "${pin.instance}", which remembers the key, can't be reached`)
    const peer = options.listInstances().find(record => record.instance === pin.instance)
    const remainingMs = keyed.deadlineAtMs - getNowMs()
    if (peer === undefined || request.hops > 0) return err(instanceGone)
    if (remainingMs <= 0) return err(createUnknown(RefusalReason.TargetTimeout, 'Deadline passed before the remembering instance was asked'))
    const result = await options.peers.forward(peer, { ...request, pin: formatPin(pin) }, remainingMs)
    if (result.isOk()) return ok(result.value)
    const { unsent, refusal } = result.error
    if (unsent) options.dropInstance(pin.instance)
    const isOutcomeUnknown = unsent || (refusal.outcome === Outcome.NotRun && refusalsBeforeKeyLookup.has(refusal.reason))
    return err(isOutcomeUnknown ? instanceGone : refusal)
  }

  async function runFirstRequest (keyed: KeyedRequest): Promise<Result<ServiceResponse, Refusal>> {
    const { request } = keyed
    const { body, getDigest } = createDigestedBody(request.body)
    let resolveEnd: (end: RunEnd) => void = () => {}
    const ended = new Promise<RunEnd>(resolve => { resolveEnd = resolve })
    const recordEnd = (result: RunEnd['result']): void => resolveEnd({ result, bodyDigest: isBodiless(request) ? noBodyDigest : getDigest() })
    if (!store.remember(keyed, { targetDigest: computeTargetDigest(request), ended })) {
      return err(createNotRun(RefusalReason.KeyMemoryFull, 'Memory of keys is full', retryAfterMs))
    }
    const result = await runSafely(handleRequest, { ...request, body, pin: undefined, deadlineMs: Math.max(0, keyed.deadlineAtMs - getNowMs()) })
    if (result.isErr()) {
      if (result.error.outcome === Outcome.NotRun) store.remove(keyed)
      recordEnd(err(result.error))
      return err(result.error)
    }
    const copied = retainResponse(result.value, { maxBytes: maxResultBytes, reserveBytes: bytes => store.reserveBytes(keyed, bytes) })
    copied.ended.then(end => recordEnd(describeEnd(end, copied.copy)), () => recordEnd(describeEnd(RetentionEnd.Cut, copied.copy)))
    return ok(copied.answer)
  }

  async function replyToDuplicate (keyed: KeyedRequest, run: KeyedRun): Promise<Result<ServiceResponse, Refusal>> {
    const { request } = keyed
    const keyReused = createNotRun(RefusalReason.KeyReused, 'Idempotency-Key is in use with another request')
    if (run.targetDigest !== computeTargetDigest(request)) return err(keyReused)
    const timedOut = createUnknown(RefusalReason.TargetTimeout, 'First run under this key has not ended within the deadline')
    const end = await waitUntil(run.ended, keyed.deadlineAtMs - getNowMs())
    if (end === undefined) return err(timedOut)
    // Nothing ran, and the body of the repeat is still unread.
    if (end.result.isErr() && end.result.error.reason === RefusalReason.CallerGone) return handleLocally(keyed)
    const read = await waitUntil(readDigest(request), keyed.deadlineAtMs - getNowMs())
    if (read === undefined) return err(timedOut)
    const { digest } = read
    if (digest !== undefined && end.bodyDigest !== undefined && digest !== end.bodyDigest) return err(keyReused)
    if (end.result.isErr()) return err(end.result.error)
    if (digest === undefined || end.bodyDigest === undefined) return err(createNotRetained('Body of the request can\'t be compared with the first'))
    return ok(createRetainedResponse(end.result.value))
  }

  async function handleLocally (keyed: KeyedRequest): Promise<Result<ServiceResponse, Refusal>> {
    const pinStatus = checkPinStatus(keyed.pin)
    store.expire(options.getPinEpoch())
    const run = store.find(keyed)
    if (run !== undefined) return replyToDuplicate(keyed, run)
    if (pinStatus === PinStatus.Expired) return err(createUnknown(RefusalReason.PinExpired, 'Pin has expired; an earlier try under this key may have run'))
    return runFirstRequest(keyed)
  }

  return async request => {
    const key = request.idempotencyKey
    if (key === undefined || (request.hops > 0 && request.pin === undefined)) return handleRequest(request)
    const deadlineAtMs = getNowMs() + options.chooseDeadlineMs(request)
    const pin = await findPin(request, { key, deadlineAtMs })
    if (pin.isErr()) return err(pin.error)
    const keyed = { request, key, pin: pin.value, deadlineAtMs }
    switch (checkPinStatus(pin.value)) {
      case PinStatus.Future: return err(createNotRun(RefusalReason.BadPin, 'Pin names an epoch that has not begun'))
      case PinStatus.OtherIncarnation: return err(createUnknown(RefusalReason.PinnedInstanceGone, 'Incarnation that remembers the key is gone'))
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
    return err(createUnknown(RefusalReason.TargetLost, `Request failed: ${(error as Error).message}`))
  }
}

function describeEnd (end: RetentionEnd, copy: RetainedResponse): Result<RetainedResponse, Refusal> {
  switch (end) {
    case RetentionEnd.Whole: return ok(copy)
    case RetentionEnd.TooLarge: return err(createNotRetained(`Answer is too large to be kept, allowed are ${maxResultBytes} bytes`))
    case RetentionEnd.Cut: return err(createUnknown(RefusalReason.TargetLost, 'Answer of the target was cut off'))
  }
}

function createNotRetained (detail: string): Refusal {
  return createUnknown(RefusalReason.ResultNotRetained, detail)
}

async function readDigest (request: ServiceRequest): Promise<{ digest: string | undefined }> {
  return { digest: isBodiless(request) ? noBodyDigest : await readBodyDigest(request.body) }
}

function isBodiless (request: ServiceRequest): boolean {
  return request.method === 'GET' || request.method === 'HEAD'
}

function computeTargetDigest (request: ServiceRequest): string {
  return createHash('sha256').update(`${request.service}\u0000${request.method}\u0000${request.path}`).digest('base64')
}

async function waitUntil<T> (promise: Promise<T>, timeoutMs: number): Promise<T | undefined> {
  let timer: NodeJS.Timeout | undefined
  const timeout = new Promise<undefined>(resolve => { timer = setTimeout(resolve, Math.max(0, timeoutMs), undefined) })
  try {
    return await Promise.race([promise, timeout])
  } finally {
    clearTimeout(timer)
  }
}
