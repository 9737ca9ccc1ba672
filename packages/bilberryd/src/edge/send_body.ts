/**
 * Sends the body of an attempt to a target, with back-pressure from the target to the caller.
 *
 * @module
 */
import type { Exchange } from '@bilberryworks/targets'
import type { IncomingMessage } from 'node:http'
import type { CollectedBody } from './collect_body.ts'

const lastChunk = Buffer.from('0\r\n\r\n')
const emptyBuffer = Buffer.alloc(0)

/** Options of {@linkcode createBodySender}. */
export interface CreateBodySenderOptions {
  /** Called before bytes are sent that are not kept for another try. */
  onConsumed: () => void
  /** Called where the body grows longer than its bound. */
  onTooLarge: () => void
  /** Most bytes that the body may have. */
  maxBytes: number
}

/**
 * Creates the function that sends a body.
 *
 * @param message The caller's message, which holds what was not collected
 * @param body What was collected
 * @param options What to call
 * @returns The function, in the form that an exchange takes
 */
export function createBodySender (message: IncomingMessage, body: CollectedBody, options: CreateBodySenderOptions): NonNullable<Exchange['writeBody']> {
  return (write, onDrain) => {
    if (body.isComplete) {
      if (body.parts.length === 0) write(emptyBuffer, true)
      body.parts.forEach((part, index) => write(part, index === body.parts.length - 1))
      return
    }
    const isChunked = body.declaredBytes === undefined
    const send = (part: Buffer): boolean => write(isChunked ? formatChunk(part) : part, false)
    for (const part of body.parts) send(part)
    options.onConsumed()
    let bytes = body.bytes
    message.on('data', (part: Buffer) => {
      bytes += part.length
      if (bytes > options.maxBytes) {
        options.onTooLarge()
      } else if (!send(part)) {
        message.pause()
        onDrain(() => message.resume())
      }
    })
    message.on('end', () => write(isChunked ? lastChunk : emptyBuffer, true))
    message.resume()
  }
}

function formatChunk (part: Buffer): Buffer {
  return Buffer.concat([Buffer.from(`${part.length.toString(16)}\r\n`, 'latin1'), part, Buffer.from('\r\n', 'latin1')])
}
