/**
 * Buffers the body of a request up to a limit before it is dispatched, so that the request can be retried.
 *
 * @module
 */
import type { IncomingMessage } from 'node:http'

/** A request body, buffered completely or up to the limit. */
export interface CollectedBody {
  /** Buffered chunks. */
  parts: Buffer[]
  /** Number of buffered bytes. */
  bytes: number
  /** Whether the buffered bytes are the complete body. */
  isComplete: boolean
  /** Value of the request's `Content-Length` in bytes; `undefined` if it has none. */
  declaredBytes: number | undefined
}

/** Options of {@linkcode collectBody}. */
export interface CollectBodyOptions {
  /** Number of bytes to buffer before the rest of the body is streamed. */
  maxBufferedBytes: number
  /** Maximum size of the body, in bytes. */
  maxBytes: number
  /** Called once, when the body is complete or exceeds `maxBufferedBytes`; in the latter case the message is paused. */
  onCollected: (body: CollectedBody) => void
  /** Called instead of `onCollected` if the buffered bytes exceed `maxBytes`. */
  onTooLarge: () => void
}

/**
 * Buffers the body of a message.
 *
 * @param message The message
 * @param options Limits and callbacks
 */
export function collectBody (message: IncomingMessage, options: CollectBodyOptions): void {
  const contentLength = message.headers['content-length']
  const body: CollectedBody = { parts: [], bytes: 0, isComplete: false, declaredBytes: contentLength === undefined ? undefined : Number(contentLength) }
  const stop = (): void => {
    message.off('data', readPart)
    message.off('end', finishBody)
  }
  function readPart (part: Buffer): void {
    body.parts.push(part)
    body.bytes += part.length
    if (body.bytes > options.maxBytes) {
      stop()
      options.onTooLarge()
    } else if (body.bytes > options.maxBufferedBytes) {
      stop()
      message.pause()
      options.onCollected(body)
    }
  }
  function finishBody (): void {
    stop()
    body.isComplete = true
    options.onCollected(body)
  }
  message.on('data', readPart)
  message.on('end', finishBody)
}
