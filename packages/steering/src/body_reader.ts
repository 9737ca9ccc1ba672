/**
 * Reads message bodies, bounded in bytes and in what they take of the event loop.
 *
 * @module
 */
import type { Readable } from 'node:stream'
import { createByteCollector } from './byte_collector.ts'
import { createReadPacer } from './read_pacer.ts'

/** Bounds of a body. */
export interface ReadBodyOptions {
  /** Largest body that is returned, in bytes. */
  maxBytes: number
  /** Bytes of a larger body that are read and discarded before its connection is closed, so that it may be used again or a reply can be sent; `maxBytes` by default. */
  maxDiscardedBytes?: number
}

/** Reads bodies, which share the event loop. */
export interface BodyReader {
  /**
   * Reads a body to its end.
   *
   * The time is bounded by the caller, who destroys the stream.
   *
   * @throws {BodyTooLargeError} If the body is larger than `maxBytes`
   * @throws {Error} If the body is truncated
   */
  read (body: Readable, options: ReadBodyOptions): Promise<Buffer>
  /** Reads a body that is of no use, so that its connection can be used again; closes the connection of a body of more than `maxBytes`. Never rejects. */
  discard (body: Readable, maxBytes: number): Promise<void>
}

/** Options of {@linkcode createBodyReader}. */
export interface CreateBodyReaderOptions {
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
  /** Calls a function after a time in milliseconds. */
  schedule: (run: () => void, delayMs: number) => unknown
}

/** Thrown for a body that exceeds its bound. */
export class BodyTooLargeError extends Error {
  override name = 'BodyTooLargeError'
}

/** Number of parts after which a body is charged. */
const chargedParts = 64
/** Parts of a body that are read without a pause. */
const burstParts = 4_096
/** Parts that each body may bring for each second. */
const ownPartsPerSecond = 20_000
/** Parts beyond that, for each second and all bodies together: at one to two microseconds each, a sixth of a core. */
const sharedPartsPerSecond = 100_000

/**
 * Creates a reader.
 *
 * Bytes are copied: a body holds at most twice its size, or 256 bytes, whatever the size of the parts in which it arrives. A body in many tiny parts is paused, so that others are served.
 *
 * @param options Clock and timer
 * @returns The reader
 */
export function createBodyReader ({ getNowMs, schedule }: CreateBodyReaderOptions): BodyReader {
  const pacer = createReadPacer({ burstUnits: burstParts, ownUnitsPerSecond: ownPartsPerSecond, sharedUnitsPerSecond: sharedPartsPerSecond })

  /** Passes each part to a function, which returns an error to close the stream. */
  function readParts (body: Readable, addPart: (part: Buffer) => Error | undefined): Promise<void> {
    return new Promise((resolve, reject) => {
      const account = pacer.createAccount(getNowMs())
      let parts = 0
      function fail (error: Error): void {
        reject(error)
        body.destroy(error)
      }
      function handlePart (part: Buffer): void {
        const error = addPart(part)
        if (error !== undefined) {
          body.off('data', handlePart)
          fail(error)
          return
        }
        if (++parts % chargedParts !== 0) return
        const waitMs = pacer.charge(account, chargedParts, getNowMs())
        if (waitMs === 0) return
        body.pause()
        schedule(() => body.resume(), waitMs)
      }
      body.on('error', fail)
      body.on('end', resolve)
      body.on('close', () => fail(new Error('Body is truncated')))
      body.on('data', handlePart)
    })
  }

  async function read (body: Readable, { maxBytes, maxDiscardedBytes = maxBytes }: ReadBodyOptions): Promise<Buffer> {
    const content = createByteCollector()
    let bytes = 0
    const createError = (): Error => new BodyTooLargeError(`Body exceeds ${maxBytes} bytes`)
    await readParts(body, part => {
      bytes += part.length
      if (bytes <= maxBytes) content.append(part)
      else content.take()
      return bytes > maxBytes && bytes > maxDiscardedBytes ? createError() : undefined
    })
    if (bytes > maxBytes) throw createError()
    return content.take()
  }

  return {
    read,
    discard: (body, maxBytes) => read(body, { maxBytes: 0, maxDiscardedBytes: maxBytes }).then(() => undefined, () => undefined)
  }
}
