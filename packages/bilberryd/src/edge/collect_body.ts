/**
 * Collects the body of a request before it is sent, up to a bound, so that it can be sent again from the start.
 *
 * @module
 */
import type { IncomingMessage } from 'node:http'

/** A body that has been collected whole, or as far as the bound. */
export interface CollectedBody {
  /** The parts so far. */
  parts: Buffer[]
  /** Bytes so far. */
  bytes: number
  /** Whether these are all. */
  isComplete: boolean
  /** Length by the caller's word, where there is one. */
  declaredBytes: number | undefined
}

/** Options of {@linkcode collectBody}. */
export interface CollectBodyOptions {
  /** Bytes to collect before the body counts as long. */
  maxBufferedBytes: number
  /** Most bytes that the body may have. */
  maxBytes: number
  /** Called once: when the body is whole, or longer than `holdBytes`; the message is paused then. */
  onCollected: (body: CollectedBody) => void
  /** Called where the body is longer than `maxBytes`. */
  onTooLarge: () => void
}

/**
 * Collects the body of a message.
 *
 * @param message The message
 * @param options Bounds and what to call
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
