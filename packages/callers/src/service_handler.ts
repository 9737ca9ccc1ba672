/**
 * Serves `/services/{service}/{path}` on a `node:http` server.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { HandleRequest, Outcome, Refusal, RefusalReason, ServiceRequest } from '@bilberryworks/steering'
import type { BodyGuard } from './body_guard.ts'
import { createNotRun, Outcome as Outcomes, RefusalReason as RefusalReasons } from '@bilberryworks/steering'
import { createBodyGuard, hasBody } from './body_guard.ts'
import { parseRequest } from './parse_request.ts'
import { watchResponse } from './watch_response.ts'
import { writeResponse, writeRefusal } from './write_response.ts'

const retryAfterMs = 1_000

/** How one request ended, for the counters. */
export interface RequestEnd {
  /** The service named; empty where the URL names none. */
  service: string
  /** The outcome. */
  outcome: Outcome
  /** The reason of a refusal. */
  reason: RefusalReason | undefined
  /** Whether the whole answer was written to the caller. */
  whole: boolean
  /** Milliseconds from the first byte to the end. */
  elapsedMs: number
}

/** Options of {@linkcode createServiceHandler}. */
export interface CreateServiceHandlerOptions {
  /** Whether messages come from authenticated peers. */
  fromPeer: boolean
  /** Handles a checked request. */
  handleRequest: HandleRequest
  /** Called once for each request when it has ended. */
  recordEnd: (end: RequestEnd) => void
  /** Whether connections are to be closed after their next answer. */
  isStopping: () => boolean
  /** Returns the most bytes that the body of a request may have; no bound where absent. */
  getMaxBodyBytes?: (request: ServiceRequest) => number | undefined
  /** Longest pause within the body of a request, in milliseconds; no bound where absent. */
  bodyIdleTimeoutMs?: number
}

/**
 * Creates the handler of requests for services.
 *
 * @param options What to call
 * @returns A handler for `node:http`
 */
export function createServiceHandler (options: CreateServiceHandlerOptions): (message: IncomingMessage, response: ServerResponse) => void {
  return (message, response) => {
    const startMs = performance.now()
    const callerGone = new AbortController()
    watchResponse(message, response, isWhole => {
      if (!isWhole) callerGone.abort()
    })
    if (options.isStopping()) response.setHeader('connection', 'close')
    const finish = (service: string, end: { outcome: Outcome, reason?: RefusalReason, whole: boolean }): void => {
      options.recordEnd({ service, reason: undefined, elapsedMs: performance.now() - startMs, ...end })
    }
    const refuse = (service: string, refusal: Refusal): void => {
      writeRefusal(response, refusal)
      finish(service, { outcome: refusal.outcome, reason: refusal.reason, whole: true })
    }
    const parsed = parseRequest(message, { fromPeer: options.fromPeer, signal: callerGone.signal })
    if (parsed.isErr()) {
      refuse('', parsed.error)
      return
    }
    const maxBytes = options.getMaxBodyBytes?.(parsed.value)
    const { contentLength, service } = parsed.value
    if (maxBytes !== undefined && contentLength !== undefined && contentLength > maxBytes) {
      refuse(service, createNotRun(RefusalReasons.BodyTooLarge, `Body has ${contentLength} bytes, allowed are ${maxBytes}`))
      return
    }
    const bodyGuard = hasBody(message) ? createBodyGuard(message, { maxBytes, idleTimeoutMs: options.bodyIdleTimeoutMs }) : undefined
    const request = bodyGuard === undefined ? parsed.value : { ...parsed.value, body: bodyGuard.body }
    options.handleRequest(request).then(async result => {
      if (result.isErr()) {
        refuse(request.service, applyGuardReason(result.error, bodyGuard))
        return
      }
      const whole = await writeResponse(response, result.value)
      finish(request.service, { outcome: Outcomes.Answered, whole })
    }).catch(() => response.destroy())
  }
}

/** Names the guard's reason where it ended the body, and keeps the outcome: the request may have run. */
function applyGuardReason (refusal: Refusal, bodyGuard: BodyGuard | undefined): Refusal {
  const reason = bodyGuard?.getFailureReason()
  if (reason === undefined) return refusal
  const refusalWithReason: Refusal = { outcome: refusal.outcome, reason, detail: `Body was not taken whole: ${reason}` }
  const isRetryable = reason === RefusalReasons.RequestTimeout && refusal.outcome === Outcomes.NotRun
  return isRetryable ? { ...refusalWithReason, retryAfterMs } : refusalWithReason
}
