/**
 * Limits the length of a request body and the idle time within it.
 *
 * @module
 */
import type { IncomingMessage } from 'node:http'
import type { Readable } from 'node:stream'
import { Transform } from 'node:stream'
import { RefusalReason } from '@bilberryworks/steering'

const idleChecksPerTimeout = 4

/** Options of {@linkcode createBodyGuard}. */
export interface CreateBodyGuardOptions {
  /** Largest accepted body, in bytes; unlimited by default. */
  maxBytes?: number | undefined
  /** Longest wait for the next byte, in milliseconds; unlimited by default. */
  idleTimeoutMs?: number | undefined
}

/** A request body with limits. */
export interface BodyGuard {
  /** The body; emits an error when a limit is exceeded. Destroying it leaves the caller's connection open. */
  body: Readable
  /** Returns the refusal reason of the limit that was exceeded; `undefined` if none was. */
  getFailureReason (): RefusalReason | undefined
}

/**
 * Creates a body guard for a request.
 *
 * Time in which received bytes wait for the reader does not count as idle time of the client.
 *
 * @param message The request
 * @param options The limits
 * @returns The guard, whose body is to be read in place of the request
 */
export function createBodyGuard (message: IncomingMessage, options: CreateBodyGuardOptions): BodyGuard {
  const { maxBytes = Infinity, idleTimeoutMs } = options
  let receivedBytes = 0
  let reason: RefusalReason | undefined
  const body = new Transform({
    transform (chunk: Buffer, _encoding, done) {
      receivedBytes += chunk.length
      if (receivedBytes > maxBytes) failBody(RefusalReason.BodyTooLarge, `Request body exceeds ${maxBytes} bytes`)
      else done(null, chunk)
    }
  })

  function failBody (failureReason: RefusalReason, detail: string): void {
    reason ??= failureReason
    body.destroy(new Error(detail))
  }

  // Without a listener, an error that occurs before the body is read would end the process.
  body.on('error', () => {})
  message.on('error', error => body.destroy(error))
  message.once('close', () => {
    if (!message.complete) body.destroy(new Error('Caller closed the connection before the end of the request body'))
  })
  if (idleTimeoutMs !== undefined) {
    watchIdleTime(message, body, { idleTimeoutMs, fail: () => failBody(RefusalReason.RequestTimeout, `No byte of the request body received within ${idleTimeoutMs} ms`) })
  }
  message.pipe(body)
  return { body, getFailureReason: () => reason }
}

function watchIdleTime (message: IncomingMessage, body: Readable, options: { idleTimeoutMs: number, fail: () => void }): void {
  let lastBytes = message.socket.bytesRead
  let idleSinceMs = performance.now()
  const timer = setInterval(() => {
    const { bytesRead } = message.socket
    const isIdle = message.readableLength === 0 && bytesRead === lastBytes
    if (!isIdle) idleSinceMs = performance.now()
    lastBytes = bytesRead
    if (message.complete || body.destroyed) clearInterval(timer)
    else if (performance.now() - idleSinceMs >= options.idleTimeoutMs) options.fail()
  }, options.idleTimeoutMs / idleChecksPerTimeout)
  timer.unref()
  body.once('close', () => clearInterval(timer))
}

/**
 * Returns whether a request has a body.
 *
 * @param message The request
 * @returns Whether `Transfer-Encoding` or a positive `Content-Length` announces a body
 */
export function hasBody (message: IncomingMessage): boolean {
  return message.headers['transfer-encoding'] !== undefined || Number(message.headers['content-length'] ?? 0) > 0
}
