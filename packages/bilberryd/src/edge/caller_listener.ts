/**
 * The listener for callers: checks each request, collects its body and hands it to the dispatcher.
 *
 * @module
 */
import type { CallerLimits, Refusal } from '@bilberryworks/steering'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AttemptFields } from '@bilberryworks/users-platform'
import type { Attempt } from './attempt.ts'
import type { EntryLog } from './entry_log.ts'
import type { EntryMetrics } from './entry_metrics.ts'
import type { EntryState } from './entry_state.ts'
import type { Dispatcher } from './dispatcher.ts'
import { createServer } from 'node:http'
import { checkFraming, handleClientErrors, hasBody, watchResponse, writeRefusal } from '@bilberryworks/callers'
import { createNotRun, Outcome, RefusalReason } from '@bilberryworks/steering'
import { formatRetryAfter, readAttemptFields } from '@bilberryworks/users-platform'
import { AttemptPhase } from './attempt.ts'
import { collectBody } from './collect_body.ts'

/** How far a stop has come. */
export enum StopPhase {
  /** No stop. */
  Running = 'running',
  /** Requests are taken, and connections are closed behind their next answer. */
  Leaving = 'leaving',
  /** Requests are refused, since there is no time left for them. */
  Closing = 'closing'
}

/** Options of {@linkcode createCallerListener}. */
export interface CreateCallerListenerOptions {
  /** What the instance believes. */
  state: EntryState
  /** Where attempts go. */
  dispatcher: Dispatcher
  /** Log of decisions. */
  log: EntryLog
  /** Metrics. */
  metrics: EntryMetrics
  /** Chooses the service for the next request of a route. */
  chooseService: (route: Attempt['route']) => string
  /** Tells how far a stop has come. */
  getStopPhase: () => StopPhase
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Time between two looks for connections beyond their limits, in milliseconds. */
const connectionCheckIntervalMs = 500
/** Longest header section that is read at all, in bytes; the configuration's own limit is checked below it. */
const maxHeaderBytes = 65_536
/** Part of a body that is collected before it is sent, in bytes, so that it can be sent again; bounds the memory of an upload. */
const maxBufferedBodyBytes = 262_144
/** Time for the way of the answer to the caller, in milliseconds, by which it is sent before the caller's own time is over. */
const responseTransitMs = 20
/** Time after which a caller may come back that was refused since no configuration is known, in milliseconds. */
const noConfigRetryAfterMs = 500
/** Time after which a caller may come back that an instance refuses which stops, in milliseconds: others serve it at once. */
const stoppingRetryAfterMs = 50
/** Bytes of the separators of a header field: colon, space and line end. */
const fieldSeparatorBytes = 4

/**
 * Creates the listener, not yet listening.
 *
 * @param options What it hands requests to
 * @returns The server
 */
export function createCallerListener (options: CreateCallerListenerOptions): Server {
  const { state, dispatcher, log, metrics, getNowMs } = options
  const server = createServer({ maxHeaderSize: maxHeaderBytes, requestTimeout: 0, connectionsCheckingInterval: connectionCheckIntervalMs, keepAlive: true, noDelay: true, requireHostHeader: false })
  server.maxHeadersCount = 0

  function refuseRequest (message: IncomingMessage, response: ServerResponse, refusal: Refusal): void {
    metrics.countRefused('', refusal.outcome, refusal.reason)
    log.info('request_refused', { id: readFields(message).attemptId, reason: refusal.reason, detail: refusal.detail, url: message.url, config: state.getConfig()?.version })
    writeRefusal(response, refusal, formatRetryAfter)
  }

  function createAttempt (message: IncomingMessage, response: ServerResponse): Attempt | Refusal {
    const nowMs = getNowMs()
    const framing = checkFraming(message)
    if (framing.isErr()) return framing.error
    const config = state.getConfig()
    if (config === undefined) return createNotRun(RefusalReason.NoDocument, 'No configuration is known yet', noConfigRetryAfterMs)
    const { limits } = config
    if (countHeaderBytes(message) > limits.maxHeaderBytes) return createNotRun(RefusalReason.HeadersTooLarge, `Header section is longer than ${limits.maxHeaderBytes} bytes`)
    const route = state.findRoute(readHost(message), message.url!.split('?', 1)[0]!)
    if (route === undefined) return createNotRun(RefusalReason.UnknownService, `No route for "${message.url!}"`)
    const fields = readFields(message)
    if (fields.attemptId === undefined) return createNotRun(RefusalReason.BadRequest, 'Request has no identifier')
    const length = Number(message.headers['content-length'] ?? 0)
    if (length > limits.maxBodyBytes) return createNotRun(RefusalReason.BodyTooLarge, `Body has ${length} bytes, allowed are ${limits.maxBodyBytes}`)
    return {
      attemptId: fields.attemptId,
      service: options.chooseService(route),
      objectKey: route.hasAffinity ? fields.objectKey : undefined,
      homeRegions: route.homeRegions,
      priority: route.priority,
      arrivedAtMs: nowMs,
      refuseAtMs: nowMs,
      message,
      response,
      route,
      version: config.version,
      deadlineAtMs: nowMs + Math.min(route.timeoutMs, (fields.timeLeftMs ?? Infinity) - responseTransitMs),
      tried: new Set(),
      targetsReached: 0,
      dispatches: [],
      phase: AttemptPhase.Arriving,
      body: undefined,
      isBodyConsumed: false,
      exchange: undefined,
      currentTarget: undefined,
      mayHaveRun: false,
      sentAtMs: nowMs,
      timer: undefined,
      lastReason: undefined
    }
  }

  function handleRequest (message: IncomingMessage, response: ServerResponse): void {
    const phase = options.getStopPhase()
    if (phase !== StopPhase.Running) response.shouldKeepAlive = false
    if (phase === StopPhase.Closing) {
      refuseRequest(message, response, createNotRun(RefusalReason.Stopping, 'Instance stops', stoppingRetryAfterMs))
      return
    }
    const attempt = createAttempt(message, response)
    if ('outcome' in attempt) {
      refuseRequest(message, response, attempt)
      return
    }
    attempt.timer = setTimeout(() => dispatcher.expire(attempt), Math.max(0, attempt.deadlineAtMs - getNowMs()))
    watchResponse(message, response, isComplete => {
      if (!isComplete) dispatcher.abandon(attempt)
    })
    if (!hasBody(message)) {
      message.resume()
      dispatcher.submit(attempt)
      return
    }
    collectBody(message, {
      maxBufferedBytes: maxBufferedBodyBytes,
      maxBytes: state.getConfig()?.limits.maxBodyBytes ?? Infinity,
      onCollected (body) {
        if (attempt.phase !== AttemptPhase.Arriving) return
        attempt.body = body
        dispatcher.submit(attempt)
      },
      onTooLarge: () => dispatcher.refuse(attempt, createNotRun(RefusalReason.BodyTooLarge, 'Body grew longer than its bound'))
    })
  }

  server.on('request', handleRequest)
  server.on('checkContinue', (message: IncomingMessage, response: ServerResponse) => {
    response.writeContinue()
    handleRequest(message, response)
  })
  server.on('checkExpectation', (message: IncomingMessage, response: ServerResponse) => {
    refuseRequest(message, response, createNotRun(RefusalReason.BadRequest, 'Expect knows only 100-continue'))
  })
  handleClientErrors(server, reason => metrics.countRefused('', Outcome.NotRun, reason))
  return server
}

/**
 * Applies the limits of a configuration to a listener, for connections that are open too.
 *
 * @param server The listener
 * @param limits The limits, where any are known
 */
export function applyCallerLimits (server: Server, limits: CallerLimits | undefined): void {
  if (limits === undefined) return
  server.headersTimeout = limits.headerTimeoutMs
  server.keepAliveTimeout = limits.idleTimeoutMs
}

function readFields (message: IncomingMessage): AttemptFields {
  return readAttemptFields(message.headers as Record<string, string | undefined>)
}

/** Returns the host without its port. */
function readHost (message: IncomingMessage): string {
  return (message.headers.host ?? '').replace(/:\d+$/, '')
}

function countHeaderBytes (message: IncomingMessage): number {
  let bytes = 0
  for (const text of message.rawHeaders) bytes += text.length
  return bytes + message.rawHeaders.length / 2 * fieldSeparatorBytes
}
