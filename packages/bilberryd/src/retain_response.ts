/**
 * Keeps a copy of a response while it is streamed to the caller.
 *
 * @module
 */
import type { HeaderFields, ServiceResponse } from '@bilberryworks/steering'
import { PassThrough, Readable } from 'node:stream'

/** A complete response in memory. */
export interface RetainedResponse {
  /** HTTP status of the target. */
  status: number
  /** End-to-end header fields. */
  headers: HeaderFields
  /** The complete body, in chunks. */
  chunks: Buffer[]
}

/** How the copying of a response ended. */
export enum RetentionEnd {
  /** The copy is complete. */
  Complete = 'whole',
  /** The response exceeds `maxBytes` or the memory left, so that there is no copy. */
  TooLarge = 'too_large',
  /** The response broke off before its end. */
  Truncated = 'cut'
}

/** Options of {@linkcode retainResponse}. */
export interface RetainResponseOptions {
  /** Size of the largest body to copy, in bytes. */
  maxBytes: number
  /** Reserves memory for the copy; returns whether enough was left. */
  reserveBytes: (bytes: number) => boolean
}

/** A response that is copied while it is read. */
export interface CopiedResponse {
  /** The response for the caller. Destroying its body does not affect the copy. */
  response: ServiceResponse
  /** The copy, complete once `ended` has resolved to `Complete`. */
  copy: RetainedResponse
  /** Resolves when the target's response has ended or broken off, or when neither caller nor copy needs the rest. */
  ended: Promise<RetentionEnd>
}

/**
 * Copies a response while it is passed on.
 *
 * The target's body is read without waiting for the caller as long as the copy is within its bounds. Beyond them, it is
 * read at the caller's speed, and reading ends when the caller's stream closes.
 *
 * @param response The target's response
 * @param options Bounds of the copy
 * @returns The response to pass on and its copy
 */
export function retainResponse (response: ServiceResponse, options: RetainResponseOptions): CopiedResponse {
  const copy: RetainedResponse = { status: response.status, headers: response.headers, chunks: [] }
  const output = new PassThrough()
  output.on('error', () => {})
  let isWithinBounds = options.reserveBytes(sumHeaderBytes(response.headers))
  let bytes = 0

  function copyChunk (chunk: Buffer): void {
    bytes += chunk.length
    isWithinBounds &&= bytes <= options.maxBytes && options.reserveBytes(chunk.length)
    // Copied, since the chunk may be a view of a larger connection buffer that it would keep in memory.
    if (isWithinBounds) copy.chunks.push(Buffer.from(chunk))
    else copy.chunks.length = 0
  }

  async function copyBody (): Promise<RetentionEnd> {
    try {
      for await (const chunk of response.body) {
        copyChunk(chunk as Buffer)
        if (output.destroyed && !isWithinBounds) break
        if (!output.destroyed && !output.write(chunk) && !isWithinBounds) await waitForDrain(output)
      }
    } catch (error) {
      output.destroy(error as Error)
      return RetentionEnd.Truncated
    }
    output.end()
    return isWithinBounds ? RetentionEnd.Complete : RetentionEnd.TooLarge
  }

  return { response: { ...response, body: output }, copy, ended: copyBody() }
}

/**
 * Creates a response from a copy.
 *
 * @param copy A complete copy
 * @returns The response
 */
export function createRetainedResponse (copy: RetainedResponse): ServiceResponse {
  return { status: copy.status, headers: copy.headers, body: Readable.from(copy.chunks, { objectMode: false }) }
}

async function waitForDrain (output: PassThrough): Promise<void> {
  await new Promise<void>(resolve => {
    const finishWait = (): void => {
      output.off('drain', finishWait).off('close', finishWait)
      resolve()
    }
    output.once('drain', finishWait).once('close', finishWait)
  })
}

function sumHeaderBytes (headers: HeaderFields): number {
  return Object.entries(headers).reduce((sum, [name, value]) => sum + name.length + String(value).length, 0)
}
