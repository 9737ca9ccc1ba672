/**
 * Computes SHA-256 digests of request bodies while the bodies are streamed.
 *
 * @module
 */
import type { Readable } from 'node:stream'
import { createHash } from 'node:crypto'
import { detachBody, readChunks } from '@bilberryworks/steering'

/** A body stream with the digest of the bytes that passed through it. */
export interface DigestedBody {
  /** The body; destroying it does not destroy the source stream. */
  body: Readable
  /** Returns the SHA-256 of the body in hexadecimal, or `undefined` until the whole body has passed through. */
  getDigest (): string | undefined
}

/**
 * Creates a stream that passes a body through with back-pressure and computes its digest.
 *
 * @param source The body stream
 * @returns The stream and its digest
 */
export function createDigestedBody (source: Readable): DigestedBody {
  let digest: string | undefined
  const hash = createHash('sha256')
  const body = detachBody(source, { observeChunk: chunk => { hash.update(chunk) }, observeEnd: () => { digest = hash.digest('hex') } })
  return { body, getDigest: () => digest }
}

/**
 * Reads a body to its end and computes its digest.
 *
 * @param source The body stream
 * @returns The SHA-256 in hexadecimal, or `undefined` when the stream failed before its end
 */
export async function readBodyDigest (source: Readable): Promise<string | undefined> {
  const hash = createHash('sha256')
  try {
    for await (const chunk of readChunks(source)) hash.update(chunk)
  } catch {
    return undefined
  }
  return hash.digest('hex')
}
