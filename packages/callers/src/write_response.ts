/**
 * Writes responses and refusals to a caller or a forwarding peer.
 *
 * @module
 */
import type { ServerResponse } from 'node:http'
import type { Refusal, ServiceResponse } from '@bilberryworks/steering'
import { pipeline } from 'node:stream/promises'
import { getRefusalStatus, Outcome } from '@bilberryworks/steering'
import { removeHopByHopFields } from './header_fields.ts'
import { createReadTurns } from './read_turns.ts'

const lingerTimeoutMs = 5_000

/**
 * Streams the response of a target with back-pressure.
 *
 * Destroys the connection if the target's response is truncated, so that the caller can't mistake it for a complete one.
 *
 * @param response The response to write to
 * @param serviceResponse The response of the target
 * @returns Whether the whole response was written
 */
export async function writeResponse (response: ServerResponse, serviceResponse: ServiceResponse): Promise<boolean> {
  if (response.destroyed) {
    serviceResponse.body.on('error', () => {}).destroy()
    return false
  }
  const headers = removeHopByHopFields(serviceResponse.headers)
  response.writeHead(serviceResponse.status, { ...headers, 'bilberry-outcome': Outcome.Answered })
  try {
    await pipeline(serviceResponse.body, response)
    drainRequestBody(response)
    return true
  } catch {
    response.destroy()
    return false
  }
}

/**
 * Writes a refusal as `application/problem+json`.
 *
 * If the caller is still sending the request, the rest is read and discarded for a limited time; a connection that is closed
 * by the refusal must linger ({@linkcode applyGracefulClose}), or the caller could lose the refusal.
 *
 * @param response The response to write to
 * @param refusal The refusal
 * @param formatRetryAfter Formats a time in milliseconds as the value of `Retry-After`; rounds up to whole seconds by default
 */
export function writeRefusal (response: ServerResponse, refusal: Refusal, formatRetryAfter: (retryAfterMs: number) => string = formatWholeSeconds): void {
  if (response.destroyed || response.headersSent) {
    response.destroy()
    return
  }
  const status = getRefusalStatus(refusal.outcome, refusal.reason)
  const body = JSON.stringify({ type: `urn:bilberryworks:${refusal.reason}`, title: refusal.reason, status, detail: refusal.detail, outcome: refusal.outcome })
  response.setHeader('content-type', 'application/problem+json')
  response.setHeader('content-length', Buffer.byteLength(body))
  response.setHeader('bilberry-outcome', refusal.outcome)
  response.setHeader('bilberry-reason', refusal.reason)
  if (refusal.retryAfterMs !== undefined) {
    response.setHeader('retry-after', formatRetryAfter(refusal.retryAfterMs))
    response.setHeader('bilberry-retry-after-ms', Math.ceil(refusal.retryAfterMs))
  }
  response.writeHead(status).end(body)
  drainRequestBody(response)
}

function formatWholeSeconds (retryAfterMs: number): string {
  return String(Math.max(1, Math.ceil(retryAfterMs / 1000)))
}

/** Turns of all requests that are discarded. */
const turns = createReadTurns({ getNowMs: () => performance.now() })

/**
 * Reads and discards the rest of a request, so that the caller can read the response, and its next request is read; closes
 * the connection if the rest takes longer than five seconds.
 *
 * @param response The response to the request, which has been written
 */
export function drainRequestBody (response: ServerResponse): void {
  const { req } = response
  if (req.complete || req.destroyed) return
  const timer = setTimeout(() => req.socket.destroy(), lingerTimeoutMs)
  timer.unref()
  req.once('close', () => clearTimeout(timer))
  req.unpipe()
  req.removeAllListeners('readable').removeAllListeners('data')
  turns.watchBody(req)
  req.resume()
}
