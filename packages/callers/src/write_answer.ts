/**
 * Writes answers and refusals to a caller or a forwarding peer.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Refusal, ServiceAnswer } from '@bilberryworks/steering'
import { pipeline } from 'node:stream/promises'
import { getRefusalStatus, Outcome } from '@bilberryworks/steering'
import { dropHopHeaders } from './header_fields.ts'

const maxLingerMs = 1_000

/**
 * Writes a target's answer, streamed with back-pressure.
 *
 * An answer that is cut off breaks the connection, so that it can't be taken for a whole one.
 *
 * @param response Where to write
 * @param answer The answer
 * @returns Whether the whole answer was written
 */
export async function writeAnswer (response: ServerResponse, answer: ServiceAnswer): Promise<boolean> {
  const headers = dropHopHeaders(answer.headers)
  response.writeHead(answer.status, { ...headers, 'bilberry-outcome': Outcome.Answered })
  try {
    await pipeline(answer.body, response)
    return true
  } catch {
    response.destroy()
    return false
  }
}

/** Options of {@linkcode writeRefusal}. */
export interface WriteRefusalOptions {
  /** The message that is refused; what is left of it is read and dropped. */
  message?: IncomingMessage
}

/**
 * Writes a refusal as `application/problem+json`.
 *
 * Where the caller is still sending, the connection is closed a little later: closed at once, it would
 * be reset by the next byte that arrives, and the refusal lost with it.
 *
 * @param response Where to write
 * @param refusal The refusal
 * @param options The message that is refused
 */
export function writeRefusal (response: ServerResponse, refusal: Refusal, options: WriteRefusalOptions = {}): void {
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
    response.setHeader('retry-after', Math.max(1, Math.ceil(refusal.retryAfterMs / 1000)))
    response.setHeader('bilberry-retry-after-ms', Math.ceil(refusal.retryAfterMs))
  }
  const { message } = options
  if (message === undefined || message.complete) {
    response.writeHead(status).end(body)
    return
  }
  response.setHeader('connection', 'close')
  response.writeHead(status).write(body)
  finishAfterMessage(response, message)
}

function finishAfterMessage (response: ServerResponse, message: IncomingMessage): void {
  const timer = setTimeout(() => response.end(), maxLingerMs)
  message.once('end', () => response.end())
  response.once('close', () => clearTimeout(timer))
  message.unpipe()
  message.resume()
}
