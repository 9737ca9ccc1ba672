/**
 * Writes answers and refusals to a caller or a forwarding peer.
 *
 * @module
 */
import type { ServerResponse } from 'node:http'
import type { Refusal, ServiceResponse } from '@bilberryworks/steering'
import { pipeline } from 'node:stream/promises'
import { getRefusalStatus, Outcome } from '@bilberryworks/steering'
import { removeHopByHopFields } from './header_fields.ts'

const lingerTimeoutMs = 5_000

/**
 * Writes a target's answer, streamed with back-pressure.
 *
 * An answer that is cut off breaks the connection, so that it can't be taken for a whole one.
 *
 * @param response Where to write
 * @param serviceResponse The answer
 * @returns Whether the whole answer was written
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
 * Where the caller is still sending, what it sends is read and dropped for a bounded time: closed at once, the
 * connection would be reset by the next byte that arrives, and the refusal lost with it.
 *
 * @param response Where to write
 * @param refusal The refusal
 * @param formatRetryAfter Formats milliseconds as the value of `Retry-After`; whole seconds by default
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
  // Closing a connection with unread bytes resets it, and the caller may lose the refusal.
  if (!response.req.complete) response.removeHeader('connection')
  response.writeHead(status).end(body)
  drainRequestBody(response)
}

function formatWholeSeconds (retryAfterMs: number): string {
  return String(Math.max(1, Math.ceil(retryAfterMs / 1000)))
}

/** Reads and drops what is left of a request, for a bounded time, so that its caller reads the answer. */
function drainRequestBody (response: ServerResponse): void {
  const { req } = response
  if (req.complete || req.destroyed) return
  const timer = setTimeout(() => req.socket.destroy(), lingerTimeoutMs)
  timer.unref()
  req.once('close', () => clearTimeout(timer))
  req.unpipe()
  req.removeAllListeners('readable').resume()
}
