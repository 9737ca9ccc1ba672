/**
 * Handles requests of callers, and requests that other instances relay: validates each, buffers its body and submits it to
 * the dispatcher.
 *
 * @module
 */
import type { LifeCycle, Refusal } from '@bilberryworks/steering'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AttemptFields } from '@bilberryworks/users-platform'
import type { Attempt } from './attempt.ts'
import type { CallbackGuard } from './callback_guard.ts'
import type { DescriptorBudget } from './descriptor_limits.ts'
import type { EntryLog } from './entry_log.ts'
import type { EntryMetrics } from './entry_metrics.ts'
import type { EntryState } from './entry_state.ts'
import type { Dispatcher } from './dispatcher.ts'
import type { EndedRequests } from './open_attempts.ts'
import type { RelayOrigin } from './relay_message.ts'
import type { MemoryBudget } from './memory_limits.ts'
import { checkFraming, createPipelineScheduler, createReadTurns, hasBody, watchCaller, writeRefusal } from '@bilberryworks/callers'
import { createNotRunRefusal, LifePhase, RefusalReason, RouteKind } from '@bilberryworks/steering'
import { formatRetryAfter, readAttemptFields } from '@bilberryworks/users-platform'
import { AttemptPhase } from './attempt.ts'
import { GuardedCallback } from './callback_guard.ts'
import { createOpenAttempts } from './open_attempts.ts'
import { createStoppingRefusal } from './stopping.ts'
import { createBufferAllowance } from './buffer_allowance.ts'
import { maxHeaderFields } from './caller_listener.ts'
import { collectBody } from './collect_body.ts'
import { mapRelayedRefusal, writeRelayFields } from './relay_message.ts'

/** Options of {@linkcode createRequestHandler}. */
export interface CreateRequestHandlerOptions {
  /** Runs callbacks. */
  guard: CallbackGuard
  /** Replicated configuration and target registry. */
  state: EntryState
  /** Dispatcher that valid requests are submitted to. */
  dispatcher: Dispatcher
  /** Structured log. */
  log: EntryLog
  /** Metrics. */
  metrics: EntryMetrics
  /** Selects the service for the next request of a route. */
  chooseService: (route: Attempt['route']) => string
  /** Calls a function when what sockets have received has been read. */
  runAfterReads: (run: () => void) => void
  /** Phases of this instance. */
  life: LifeCycle
  /** Memory of the host; unlimited if absent. */
  memory?: Pick<MemoryBudget, 'bodies' | 'findRefusal' | 'createBodyRefusal'> | undefined
  /** Descriptors of the host; unlimited if absent. */
  descriptors?: Pick<DescriptorBudget, 'findRefusal' | 'takeClose'> | undefined
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Body bytes that are buffered before the request is dispatched, so that it can be retried; limits the memory of an upload. */
const maxBufferedBodyBytes = 262_144
/** Memory for the bodies of all waiting requests beyond that, in bytes. */
const maxReadAheadBytes = 33_554_432
/** Time reserved for sending the response to the caller before the caller's own time-out, in milliseconds. */
const responseTransitMs = 20
/** `Retry-After` of a refusal while the instance has no routing configuration, in milliseconds. */
const noConfigRetryAfterMs = 500
/** `Retry-After` of a request that the instance failed to handle, in milliseconds. */
const failureRetryAfterMs = 100
/** Bytes of the separators in a header field: colon, space and CRLF. */
const fieldSeparatorBytes = 4

/** Handles requests. */
export interface RequestHandler {
  /** Handles a request; `relay` is set if another instance relays it. */
  handleRequest (message: IncomingMessage, response: ServerResponse, relay?: RelayOrigin): void
  /** Refuses the requests that can't be completed any more before the instance ends, and answers all others that are open once it ends: as not run, or as unknown if a target may run them. Returns the number of requests by answer. */
  endRequests (): EndedRequests
  /** Refuses a request of a caller before its route is known. */
  refuseRequest (message: IncomingMessage, response: ServerResponse, refusal: Refusal): void
}

/**
 * Creates the handler of requests.
 *
 * @param options Dispatcher, state, log and metrics
 * @returns The handler
 */
export function createRequestHandler (options: CreateRequestHandlerOptions): RequestHandler {
  const { state, dispatcher, guard, life, log, metrics, getNowMs } = options
  const turns = createReadTurns({ getNowMs })
  const pipeline = createPipelineScheduler({ onPipelined: turns.countPipelined })
  const allowance = createBufferAllowance(maxReadAheadBytes)
  const openAttempts = createOpenAttempts(dispatcher)

  function writeEarlyRefusal (message: IncomingMessage, response: ServerResponse, { refusal, relay }: { refusal: Refusal, relay?: RelayOrigin | undefined }): void {
    if (relay !== undefined) writeRelayFields(response, { attemptId: readFields(message).attemptId ?? '', targetsReached: 0 })
    metrics.countRefused('', refusal.outcome, refusal.reason)
    log.info('request_refused', { id: readFields(message).attemptId, reason: refusal.reason, detail: refusal.detail, url: message.url, config: state.getConfig()?.version, relayedBy: relay?.instance })
    writeRefusal(response, relay === undefined ? refusal : mapRelayedRefusal(refusal), formatRetryAfter)
  }

  function refuseEarly (message: IncomingMessage, response: ServerResponse, end: { refusal: Refusal, relay?: RelayOrigin | undefined }): void {
    guard.run(GuardedCallback.Request, () => writeEarlyRefusal(message, response, end), () => response.destroy())
  }

  function createAttempt (message: IncomingMessage, response: ServerResponse, relay: RelayOrigin | undefined): Attempt | Refusal {
    const nowMs = getNowMs()
    const framing = checkFraming(message)
    if (framing.isErr()) return framing.error
    const config = state.getConfig()
    if (config === undefined) return createNotRunRefusal(RefusalReason.NoDocument, 'Instance has not received a routing configuration yet', noConfigRetryAfterMs)
    const { limits } = config
    if (countHeaderBytes(message) > limits.maxHeaderBytes || message.rawHeaders.length >= 2 * maxHeaderFields) return createNotRunRefusal(RefusalReason.HeadersTooLarge, `Header section exceeds the limit of ${limits.maxHeaderBytes} bytes or ${maxHeaderFields - 1} fields`)
    const route = state.findRoute(readHost(message), message.url!.split('?', 1)[0]!)
    if (route === undefined) return createNotRunRefusal(RefusalReason.UnknownService, `No route matches the host and path of "${message.url!}"`)
    const fields = readFields(message)
    if (fields.attemptId === undefined) return createNotRunRefusal(RefusalReason.BadRequest, 'Request has no identifier')
    const length = Number(message.headers['content-length'] ?? 0)
    if (length > limits.maxBodyBytes) return createNotRunRefusal(RefusalReason.BodyTooLarge, `Body of ${length} bytes exceeds the limit of ${limits.maxBodyBytes} bytes`)
    if (hasBody(message) && options.memory !== undefined && !options.memory.bodies.reserve(0)) return options.memory.createBodyRefusal()
    return {
      attemptId: fields.attemptId,
      service: selectService(route, { relay, version: config.version }),
      objectKey: route.hasAffinity ? fields.objectKey : undefined,
      homeRegions: route.homeRegions,
      priority: route.priority,
      arrivedAtMs: nowMs,
      expiresAtMs: nowMs,
      message,
      response,
      route,
      version: config.version,
      deadlineAtMs: nowMs + Math.min(route.timeoutMs, (fields.timeLeftMs ?? Infinity) - responseTransitMs),
      tried: new Set(),
      targetsReached: relay?.targetsReached ?? 0,
      prepareResponse () {
        // The response to a request that came before the stop or the shortage was to keep its connection open.
        if (pipeline.isLast(message, response) && (life.isStopping() || options.descriptors?.takeClose(message.socket) === true)) response.shouldKeepAlive = false
      },
      relay,
      dispatchedAtMs: nowMs,
      ...createUnsentState()
    }
  }

  /** Selects the service that the relaying instance has selected, if the route leads to it here too, or did so in a later configuration than the one here. */
  function selectService (route: Attempt['route'], { relay, version }: { relay: RelayOrigin | undefined, version: number }): string {
    if (relay === undefined) return options.chooseService(route)
    const isOnRoute = route.weightedServices.some(({ service }) => service === relay.service)
    return isOnRoute || relay.version > version ? relay.service : options.chooseService(route)
  }

  /** Runs a callback of an attempt, and ends the attempt if that throws. */
  function runGuarded (attempt: Attempt, work: () => void): void {
    guard.run(GuardedCallback.Request, work, () => dispatcher.fail(attempt))
  }

  /** Submits an attempt unless its caller turns out to have left already. */
  function submitConfirmed (attempt: Attempt): void {
    options.runAfterReads(() => {
      if (attempt.phase !== AttemptPhase.Arriving) return
      const refusal = attempt.relay === undefined ? options.descriptors?.findRefusal(attempt.message.socket) ?? options.memory?.findRefusal() : undefined
      if (refusal === undefined) dispatcher.submit(attempt)
      else dispatcher.refuse(attempt, refusal)
    })
  }

  function submitAttempt (attempt: Attempt): void {
    const { message } = attempt
    if (attempt.phase !== AttemptPhase.Arriving) return
    if (!hasBody(message)) {
      message.resume()
      submitConfirmed(attempt)
      return
    }
    attempt.arrivingBody = collectBody(message, {
      turns,
      runGuarded: work => runGuarded(attempt, work),
      maxBufferedBytes: maxBufferedBodyBytes,
      allowance,
      memory: options.memory?.bodies,
      onNoMemory: () => dispatcher.cancel(attempt, options.memory!.createBodyRefusal()),
      maxBytes: state.getConfig()?.limits.maxBodyBytes ?? Infinity,
      onCollected (body) {
        if (attempt.phase !== AttemptPhase.Arriving) return
        attempt.body = body
        submitConfirmed(attempt)
      },
      onTooLarge: () => dispatcher.cancel(attempt, createNotRunRefusal(RefusalReason.BodyTooLarge, 'Body exceeds the size limit of the routing configuration'))
    })
  }

  function handleRequest (message: IncomingMessage, response: ServerResponse, relay?: RelayOrigin): void {
    let attempt: Attempt | undefined
    guard.run(GuardedCallback.Request, () => admitRequest(message, response, { relay, onAttempt: created => { attempt = created } }), () => {
      if (attempt !== undefined) return dispatcher.fail(attempt)
      const refusal = createNotRunRefusal(RefusalReason.InternalError, 'Instance failed before the request was routed', failureRetryAfterMs)
      refuseEarly(message, response, { refusal, relay })
    })
  }

  function admitRequest (message: IncomingMessage, response: ServerResponse, { relay, onAttempt }: { relay: RelayOrigin | undefined, onAttempt: (attempt: Attempt) => void }): void {
    // The caller counts a request behind a response that closes the connection as not read, and sends it again.
    if (pipeline.isClosing(message.socket)) return
    const phase = life.getPhase(getNowMs())
    if (phase !== LifePhase.Running) response.shouldKeepAlive = false
    const isAccepted = phase === LifePhase.Running || phase === LifePhase.Leaving
    const attempt = isAccepted ? createAttempt(message, response, relay) : createStoppingRefusal()
    if ('outcome' in attempt) return pipeline.schedule({ message, response, isSafe: true, start: () => refuseEarly(message, response, { refusal: attempt, relay }) })
    onAttempt(attempt)
    attempt.deadlineTimer = setTimeout(() => dispatcher.expire(attempt), Math.max(0, attempt.deadlineAtMs - getNowMs()))
    watchCaller(message, response, () => dispatcher.abandon(attempt))
    openAttempts.add(attempt)
    pipeline.schedule({ message, response, isSafe: attempt.route.kind === RouteKind.Safe, start: () => runGuarded(attempt, () => submitAttempt(attempt)) })
  }

  return {
    handleRequest,
    endRequests: () => openAttempts.end({ isEnding: life.getPhase(getNowMs()) === LifePhase.Ending }),
    refuseRequest: (message, response, refusal) => refuseEarly(message, response, { refusal })
  }
}

/** Creates the part of an attempt that records what has been done for it. */
function createUnsentState () {
  return {
    dispatches: [],
    phase: AttemptPhase.Arriving,
    body: undefined,
    arrivingBody: undefined,
    isBodyConsumed: false,
    triedPeers: new Set<string>(),
    currentPeer: undefined,
    exchange: undefined,
    currentTarget: undefined,
    mayHaveRun: false,
    deadlineTimer: undefined,
    fingerprint: undefined,
    localRefusals: 0,
    lastNotRunReason: undefined,
    wasRefusedWithRoom: false
  }
}

function readFields (message: IncomingMessage): AttemptFields {
  return readAttemptFields(message.headers as Record<string, string | undefined>)
}

/** Returns the `Host` header without the port. */
function readHost (message: IncomingMessage): string {
  return (message.headers.host ?? '').replace(/:\d+$/, '')
}

function countHeaderBytes (message: IncomingMessage): number {
  let bytes = 0
  for (const text of message.rawHeaders) bytes += text.length
  return bytes + message.rawHeaders.length / 2 * fieldSeparatorBytes
}
