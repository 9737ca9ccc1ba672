/**
 * Guards the body of a request: bounds its length and the pauses within it.
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
  /** Most bytes of the body; no bound where absent. */
  maxBytes?: number | undefined
  /** Longest wait for the next byte, in milliseconds; no bound where absent. */
  idleTimeoutMs?: number | undefined
}

/** A guarded body. */
export interface BodyGuard {
  /** The body; fails where a bound is passed. Destroying it leaves the caller's connection open. */
  body: Readable
  /** Returns the reason for which the guard ended the body, where it did. */
  getFailureReason (): RefusalReason | undefined
}

/**
 * Guards the body of a message.
 *
 * Time in which the reader does not take what has arrived does not count as a pause of the client.
 *
 * @param message The message
 * @param options The bounds
 * @returns The body to read in place of the message
 */
export function createBodyGuard (message: IncomingMessage, options: CreateBodyGuardOptions): BodyGuard {
  const { maxBytes = Infinity, idleTimeoutMs } = options
  let bytes = 0
  let reason: RefusalReason | undefined
  const body = new Transform({
    transform (chunk: Buffer, _encoding, done) {
      bytes += chunk.length
      if (bytes > maxBytes) failBody(RefusalReason.BodyTooLarge, `Body is longer than ${maxBytes} bytes`)
      else done(null, chunk)
    }
  })

  function failBody (failureReason: RefusalReason, detail: string): void {
    reason ??= failureReason
    body.destroy(new Error(detail))
  }

  // An error that nobody listens for yet must not end the process.
  body.on('error', () => {})
  message.on('error', error => body.destroy(error))
  message.once('close', () => {
    if (!message.complete) body.destroy(new Error('Caller closed the connection within the body'))
  })
  if (idleTimeoutMs !== undefined) {
    watchIdleTime(message, body, { idleTimeoutMs, fail: () => failBody(RefusalReason.RequestTimeout, `No byte of the body for ${idleTimeoutMs} ms`) })
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
 * Tells whether a message has a body.
 *
 * @param message The message
 * @returns Whether its framing announces one
 */
export function hasBody (message: IncomingMessage): boolean {
  return message.headers['transfer-encoding'] !== undefined || Number(message.headers['content-length'] ?? 0) > 0
}
