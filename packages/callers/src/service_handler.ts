/**
 * Request handler for `/services/{service}/{path}` on a `node:http` server.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { HandleRequest, Outcome, Refusal, RefusalReason, ServiceRequest } from '@bilberryworks/steering'
import type { BodyGuard } from './body_guard.ts'
import type { OpenRequests } from './open_requests.ts'
import { createNotRunRefusal, createUnknownRefusal, Outcome as Outcomes, RefusalReason as RefusalReasons } from '@bilberryworks/steering'
import { createBodyGuard, hasBody } from './body_guard.ts'
import { parseRequest } from './parse_request.ts'
import { watchResponse } from './watch_response.ts'
import { writeResponse, writeRefusal } from './write_response.ts'

const retryAfterMs = 1_000

/** The result of one request, for metrics. */
export interface RequestResult {
  /** Name of the service; empty if the request could not be parsed. */
  service: string
  /** Outcome that was reported to the caller. */
  outcome: Outcome
  /** Reason of the refusal; `undefined` if a target responded. */
  reason: RefusalReason | undefined
  /** Whether the response was written completely; always `true` for a refusal. */
  isComplete: boolean
  /** Time from the start of handling to the end of the response, in milliseconds. */
  elapsedMs: number
}

/** Options of {@linkcode createServiceHandler}. */
export interface CreateServiceHandlerOptions {
  /** Whether requests come from authenticated peers. */
  isFromPeer: boolean
  /** Handles a validated request. */
  handleRequest: HandleRequest
  /** Called once for each request when it has ended. */
  recordEnd: (result: RequestResult) => void
  /** Returns whether the server is stopping; each connection is then closed after its next response. */
  isStopping: () => boolean
  /** Returns the largest accepted body of a request, in bytes; unlimited by default. */
  getMaxBodyBytes?: (request: ServiceRequest) => number | undefined
  /** Longest wait for the next byte of a request body, in milliseconds; unlimited by default. */
  bodyIdleTimeoutMs?: number
  /** Collects the requests until their responses begin; they are not collected by default. */
  openRequests?: OpenRequests
}

/**
 * Creates a handler of requests for services.
 *
 * @param options The functions to call and the limits on request bodies
 * @returns A handler for `node:http`
 */
export function createServiceHandler (options: CreateServiceHandlerOptions): (message: IncomingMessage, response: ServerResponse) => void {
  return (message, response) => {
    const startMs = performance.now()
    let isEnding = false
    let isAnswered = false
    const disconnectController = new AbortController()
    watchResponse(message, response, isComplete => {
      if (!isComplete) disconnectController.abort()
    })
    if (options.isStopping()) response.setHeader('connection', 'close')
    const finish = (service: string, result: { outcome: Outcome, reason?: RefusalReason, isComplete: boolean }): void => {
      options.recordEnd({ service, reason: undefined, elapsedMs: performance.now() - startMs, ...result })
    }
    const refuse = (service: string, refusal: Refusal): void => {
      isAnswered = true
      writeRefusal(response, refusal)
      finish(service, { outcome: refusal.outcome, reason: refusal.reason, isComplete: true })
    }
    const parsed = parseRequest(message, { isFromPeer: options.isFromPeer, signal: disconnectController.signal })
    if (parsed.isErr()) {
      refuse('', parsed.error)
      return
    }
    const maxBytes = options.getMaxBodyBytes?.(parsed.value)
    const { contentLength, service } = parsed.value
    if (maxBytes !== undefined && contentLength !== undefined && contentLength > maxBytes) {
      refuse(service, createNotRunRefusal(RefusalReasons.BodyTooLarge, `Content-Length is ${contentLength} bytes, the limit is ${maxBytes}`))
      return
    }
    const bodyGuard = hasBody(message) ? createBodyGuard(message, { maxBytes, idleTimeoutMs: options.bodyIdleTimeoutMs }) : undefined
    const request = bodyGuard === undefined ? parsed.value : { ...parsed.value, body: bodyGuard.body }
    const openRequest = {
      abort () {
        isEnding = true
        disconnectController.abort()
      },
      answerUnknown () {
        if (!isAnswered) refuse(request.service, createUnknownRefusal(RefusalReasons.Stopping, 'Instance ended before the response of the target began'))
      }
    }
    options.openRequests?.add(openRequest)
    options.handleRequest(request).then(async result => {
      options.openRequests?.remove(openRequest)
      if (isAnswered) {
        if (result.isOk()) result.value.body.on('error', () => {}).destroy()
        return
      }
      if (result.isErr()) {
        refuse(request.service, isEnding ? createEndingRefusal(result.error) : applyGuardReason(result.error, bodyGuard))
        return
      }
      isAnswered = true
      const isComplete = await writeResponse(response, result.value)
      finish(request.service, { outcome: Outcomes.Answered, isComplete })
    }).catch(() => response.destroy())
  }
}

/** Creates the refusal of a request whose handling was aborted because the instance ends. Keeps the outcome. */
function createEndingRefusal ({ outcome }: Refusal): Refusal {
  return outcome === Outcomes.NotRun
    ? createNotRunRefusal(RefusalReasons.Stopping, 'Instance ended before the request was sent to a target', retryAfterMs)
    : createUnknownRefusal(RefusalReasons.Stopping, 'Instance ended before the response of the target began')
}

/** Replaces the reason of a refusal by the body limit that was exceeded, if any. Keeps the outcome, since the request may have run. */
function applyGuardReason (refusal: Refusal, bodyGuard: BodyGuard | undefined): Refusal {
  const reason = bodyGuard?.getFailureReason()
  if (reason === undefined) return refusal
  const refusalWithReason: Refusal = { outcome: refusal.outcome, reason, detail: `Request body was not read completely: ${reason}` }
  const isRetryable = reason === RefusalReasons.RequestTimeout && refusal.outcome === Outcomes.NotRun
  return isRetryable ? { ...refusalWithReason, retryAfterMs } : refusalWithReason
}
