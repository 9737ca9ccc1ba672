/**
 * Keeps a copy of an answer while it is streamed to the caller.
 *
 * @module
 */
import type { HeaderFields, ServiceResponse } from '@bilberryworks/steering'
import { PassThrough, Readable } from 'node:stream'

/** A whole answer in memory. */
export interface RetainedResponse {
  /** HTTP status of the target. */
  status: number
  /** End-to-end header fields. */
  headers: HeaderFields
  /** The whole body. */
  chunks: Buffer[]
}

/** How the streaming of an answer ended. */
export enum RetentionEnd {
  /** The copy is whole. */
  Whole = 'whole',
  /** The answer is too large to keep. */
  TooLarge = 'too_large',
  /** The answer was cut off by the target. */
  Cut = 'cut'
}

/** Options of {@linkcode retainResponse}. */
export interface RetainResponseOptions {
  /** Largest body to keep, in bytes. */
  maxBytes: number
  /** Reserves memory for the copy; returns whether there is room. */
  reserveBytes: (bytes: number) => boolean
}

/** An answer that is copied while it is read. */
export interface CopiedResponse {
  /** The answer for the caller; it may be destroyed without an effect on the copy. */
  answer: ServiceResponse
  /** The copy, filled by the time that `ended` resolves to `Whole`. */
  copy: RetainedResponse
  /** Resolves when the target has sent all, or can't. */
  ended: Promise<RetentionEnd>
}

/**
 * Copies an answer while it is passed on.
 *
 * As long as the copy is within its bound, the target is read without waiting for the caller.
 *
 * @param answer The target's answer
 * @param options Bounds
 * @returns The answer to pass on and its copy
 */
export function retainResponse (answer: ServiceResponse, options: RetainResponseOptions): CopiedResponse {
  const copy: RetainedResponse = { status: answer.status, headers: answer.headers, chunks: [] }
  const output = new PassThrough()
  output.on('error', () => {})
  let fits = options.reserveBytes(sumHeaderBytes(answer.headers))
  let bytes = 0

  function copyChunk (chunk: Buffer): void {
    bytes += chunk.length
    fits &&= bytes <= options.maxBytes && options.reserveBytes(chunk.length)
    // The chunk may be a part of a larger buffer of the connection.
    if (fits) copy.chunks.push(Buffer.from(chunk))
    else copy.chunks.length = 0
  }

  async function copyBody (): Promise<RetentionEnd> {
    try {
      for await (const chunk of answer.body) {
        copyChunk(chunk as Buffer)
        if (output.destroyed && !fits) break
        if (!output.destroyed && !output.write(chunk) && !fits) await waitForDrain(output)
      }
    } catch (error) {
      output.destroy(error as Error)
      return RetentionEnd.Cut
    }
    output.end()
    return fits ? RetentionEnd.Whole : RetentionEnd.TooLarge
  }

  return { answer: { ...answer, body: output }, copy, ended: copyBody() }
}

/**
 * Creates an answer from a copy.
 *
 * @param copy A whole copy
 * @returns The answer
 */
export function createRetainedResponse (copy: RetainedResponse): ServiceResponse {
  return { status: copy.status, headers: copy.headers, body: Readable.from(copy.chunks, { objectMode: false }) }
}

async function waitForDrain (output: PassThrough): Promise<void> {
  await new Promise<void>(resolve => {
    const settle = (): void => {
      output.off('drain', settle).off('close', settle)
      resolve()
    }
    output.once('drain', settle).once('close', settle)
  })
}

function sumHeaderBytes (headers: HeaderFields): number {
  return Object.entries(headers).reduce((sum, [name, value]) => sum + name.length + String(value).length, 0)
}
