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
  isWhole: boolean
  /** Length by the caller's word, where there is one. */
  statedBytes: number | undefined
}

/** Options of {@linkcode collectBody}. */
export interface CollectBodyOptions {
  /** Bytes to collect before the body counts as long. */
  holdBytes: number
  /** Most bytes that the body may have. */
  maxBytes: number
  /** Called once: when the body is whole, or longer than `holdBytes`; the message is paused then. */
  onCollected: (body: CollectedBody) => void
  /** Called where the body is longer than `maxBytes`. */
  onTooLong: () => void
}

/**
 * Collects the body of a message.
 *
 * @param message The message
 * @param options Bounds and what to call
 */
export function collectBody (message: IncomingMessage, options: CollectBodyOptions): void {
  const stated = message.headers['content-length']
  const body: CollectedBody = { parts: [], bytes: 0, isWhole: false, statedBytes: stated === undefined ? undefined : Number(stated) }
  const stop = (): void => {
    message.off('data', readPart)
    message.off('end', finishBody)
  }
  function readPart (part: Buffer): void {
    body.parts.push(part)
    body.bytes += part.length
    if (body.bytes > options.maxBytes) {
      stop()
      options.onTooLong()
    } else if (body.bytes > options.holdBytes) {
      stop()
      message.pause()
      options.onCollected(body)
    }
  }
  function finishBody (): void {
    stop()
    body.isWhole = true
    options.onCollected(body)
  }
  message.on('data', readPart)
  message.on('end', finishBody)
}
