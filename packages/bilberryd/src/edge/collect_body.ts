/**
 * Receives the body of a request before it is sent on, so that the request can be retried, and so that the close of the
 * caller's connection, which is read behind the body, is noticed while the request waits.
 *
 * @module
 */
import type { ReadTurns } from '@bilberryworks/callers'
import type { IncomingMessage } from 'node:http'
import type { BufferAllowance } from './buffer_allowance.ts'
import type { RunGuarded } from './guard_exchange.ts'
import { runAfterReads } from '@bilberryworks/callers'
import { createBodyParts } from './body_parts.ts'

/** A request body that is being received. */
export interface CollectedBody {
  /** Received bytes, in order. */
  readonly parts: Buffer[]
  /** Number of received bytes. */
  bytes: number
  /** Whether the received bytes are the complete body. */
  isComplete: boolean
  /** Value of the request's `Content-Length` in bytes; `undefined` if it has none. */
  declaredBytes: number | undefined
  /** Receives what the connection holds of the rest; resolves when nothing more is at hand, and never rejects. */
  readAhead (): Promise<void>
  /** Stops receiving, so that the rest can be read from the message. */
  release (): void
  /** Returns to the allowances what was received; to be called when the request has ended. */
  free (): void
}

/** Options of {@linkcode collectBody}. */
export interface CollectBodyOptions {
  /** Runs callbacks of the message. */
  runGuarded: RunGuarded
  /** Number of bytes after which the request need not wait for the rest of its body. */
  maxBufferedBytes: number
  /** Maximum size of the body, in bytes. */
  maxBytes: number
  /** Memory for what is received beyond `maxBufferedBytes`. */
  allowance: BufferAllowance
  /** Memory for all bodies; unlimited if absent. */
  memory?: BufferAllowance | undefined
  /** Turns in which connections are read; each is read as its bytes arrive if absent. */
  turns?: Pick<ReadTurns, 'watchBody' | 'waitForTurn'>
  /** Called once, when there is no memory for the body, before `onCollected`. */
  onNoMemory?: () => void
  /** Called once, when the body is complete or exceeds `maxBufferedBytes`. */
  onCollected: (body: CollectedBody) => void
  /** Called when more than `maxBytes` are received, also after `onCollected`. */
  onTooLarge: () => void
}

/** Maximum number of bytes that are received of a body while its request waits: the usual size of what a connection holds unread. */
const maxReadAheadBytes = 1_048_576
/** Number of turns without bytes after which none are at hand: `node:http` reads on from the socket one turn after a message has been resumed or is complete. */
const maxQuietTurns = 2

/**
 * Receives the body of a message.
 *
 * @param message The message
 * @param options Limits and callbacks
 * @returns The body, as far as it has been received
 */
export function collectBody (message: IncomingMessage, options: CollectBodyOptions): CollectedBody {
  const contentLength = message.headers['content-length']
  let hasCollected = false
  let reservedBytes = 0
  let limitBytes = maxReadAheadBytes
  /** Bytes that are accounted for in the memory for all bodies. */
  let memoryBytes = 0
  let isFreed = false
  const parts = createBodyParts()
  const body: CollectedBody = {
    get parts () { return parts.list() },
    bytes: 0,
    isComplete: false,
    declaredBytes: contentLength === undefined ? undefined : Number(contentLength),
    async readAhead () {
      if (body.isComplete) return
      limitBytes = body.bytes + maxReadAheadBytes
      addListeners()
      message.resume()
      for (let quietTurns = 0; quietTurns < maxQuietTurns && body.bytes < limitBytes;) {
        await options.turns?.waitForTurn(message.socket)
        const bytesBefore = body.bytes
        await new Promise<void>(runAfterReads)
        quietTurns = body.bytes > bytesBefore ? 0 : quietTurns + 1
      }
    },
    release () {
      dropListeners()
      if (!body.isComplete) message.pause()
    },
    free () {
      options.allowance.release(reservedBytes)
      options.memory?.release(memoryBytes)
      reservedBytes = 0
      memoryBytes = 0
      isFreed = true
    }
  }

  /** Accounts for bytes; returns whether there is memory for them. */
  function reserveMemory (bytes: number): boolean {
    if (isFreed || options.memory === undefined || bytes <= memoryBytes) return true
    const hasRoom = options.memory.reserve(bytes - memoryBytes)
    memoryBytes = bytes
    return hasRoom
  }

  function addListeners (): void {
    dropListeners()
    message.on('data', handlePart)
    message.on('end', handleEnd)
  }

  function dropListeners (): void {
    message.off('data', handlePart)
    message.off('end', handleEnd)
  }

  function handlePart (part: Buffer): void {
    options.runGuarded(() => readPart(part))
  }

  function handleEnd (): void {
    options.runGuarded(finishBody)
  }

  function readPart (part: Buffer): void {
    parts.add(part)
    body.bytes += part.length
    const hasMemory = reserveMemory(body.bytes)
    if (body.bytes > options.maxBytes) {
      dropListeners()
      options.onTooLarge()
    } else if (!hasMemory && !hasCollected) {
      dropListeners()
      options.onNoMemory?.()
    } else if (body.bytes > options.maxBufferedBytes) {
      reservedBytes += part.length
      if (!options.allowance.reserve(part.length) || !hasMemory || body.bytes >= limitBytes) message.pause()
      reportCollected()
    }
  }

  function finishBody (): void {
    dropListeners()
    body.isComplete = true
    reportCollected()
  }

  function reportCollected (): void {
    if (hasCollected) return
    hasCollected = true
    options.onCollected(body)
  }

  // What is buffered in any case is accounted for at once, so that requests that arrive together are not admitted beyond the limit.
  reserveMemory(Math.min(body.declaredBytes ?? 0, options.maxBufferedBytes))
  options.turns?.watchBody(message)
  addListeners()
  return body
}
