/**
 * Gathers the body of a request before it is sent, up to a bound, so that it can be sent again from the start.
 *
 * @module
 */
import type { IncomingMessage } from 'node:http'

/** A body that has been gathered whole, or as far as the bound. */
export interface GatheredBody {
  /** The parts so far. */
  parts: Buffer[]
  /** Bytes so far. */
  bytes: number
  /** Whether these are all. */
  isWhole: boolean
  /** Length by the caller's word, where there is one. */
  statedBytes: number | undefined
}

/** Options of {@linkcode gatherBody}. */
export interface GatherBodyOptions {
  /** Bytes to gather before the body counts as long. */
  holdBytes: number
  /** Most bytes that the body may have. */
  maxBytes: number
  /** Called once: when the body is whole, or longer than `holdBytes`; the message is paused then. */
  onGathered: (body: GatheredBody) => void
  /** Called where the body is longer than `maxBytes`. */
  onTooLong: () => void
}

/**
 * Gathers the body of a message.
 *
 * @param message The message
 * @param options Bounds and what to call
 */
export function gatherBody (message: IncomingMessage, options: GatherBodyOptions): void {
  const stated = message.headers['content-length']
  const body: GatheredBody = { parts: [], bytes: 0, isWhole: false, statedBytes: stated === undefined ? undefined : Number(stated) }
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
      options.onGathered(body)
    }
  }
  function finishBody (): void {
    stop()
    body.isWhole = true
    options.onGathered(body)
  }
  message.on('data', readPart)
  message.on('end', finishBody)
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
