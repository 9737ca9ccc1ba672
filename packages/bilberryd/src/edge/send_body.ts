/**
 * Sends the body of an attempt to a target, pausing the caller's connection while the target reads slowly.
 *
 * @module
 */
import type { Exchange } from '@bilberryworks/targets'
import type { IncomingMessage } from 'node:http'
import type { CollectedBody } from './collect_body.ts'
import type { RunGuarded } from './guard_exchange.ts'
import { createPartJoiner } from './join_parts.ts'

const lastChunk = Buffer.from('0\r\n\r\n')
const emptyBuffer = Buffer.alloc(0)

/** Options of {@linkcode createBodySender}. */
export interface CreateBodySenderOptions {
  /** Runs callbacks of the message. */
  runGuarded: RunGuarded
  /** Called before unbuffered bytes are sent, after which the request can't be retried. */
  onConsumed: () => void
  /** Called for each chunk received beyond `maxBytes`; such chunks are not sent. */
  onTooLarge: () => void
  /** Maximum size of the body, in bytes. */
  maxBytes: number
}

/**
 * Creates the function that sends a body.
 *
 * @param message The caller's request, from which the rest of the body is read
 * @param body The buffered part of the body
 * @param options Limit and callbacks
 * @returns The function, for `writeBody` of an exchange
 */
export function createBodySender (message: IncomingMessage, body: CollectedBody, options: CreateBodySenderOptions): NonNullable<Exchange['writeBody']> {
  return (write, onDrain) => {
    if (body.isComplete) {
      const { parts } = body
      if (parts.length === 0) write(emptyBuffer, true)
      parts.forEach((part, index) => write(part, index === parts.length - 1))
      return
    }
    const isChunked = body.declaredBytes === undefined
    const send = (part: Buffer): boolean => write(isChunked ? formatChunk(part) : part, false)
    for (const part of body.parts) send(part)
    options.onConsumed()
    let bytes = body.bytes
    const joiner = createPartJoiner(part => options.runGuarded(() => {
      if (send(part)) return
      message.pause()
      onDrain(() => message.resume())
    }))
    message.on('data', (part: Buffer) => options.runGuarded(() => {
      bytes += part.length
      if (bytes > options.maxBytes) options.onTooLarge()
      else joiner.add(part)
    }))
    message.on('end', () => options.runGuarded(() => {
      joiner.drain()
      write(isChunked ? lastChunk : emptyBuffer, true)
    }))
    message.resume()
  }
}

function formatChunk (part: Buffer): Buffer {
  return Buffer.concat([Buffer.from(`${part.length.toString(16)}\r\n`, 'latin1'), part, Buffer.from('\r\n', 'latin1')])
}
