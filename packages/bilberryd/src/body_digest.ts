/**
 * Digests of request bodies, computed while they are streamed.
 *
 * @module
 */
import type { Readable } from 'node:stream'
import { createHash } from 'node:crypto'
import { detachBody, readChunks } from '@bilberryworks/steering'

/** A body with the digest of what passed through it. */
export interface DigestedBody {
  /** The body; destroying it leaves its source open. */
  body: Readable
  /** Returns the SHA-256 of the whole body, or `undefined` until it has passed whole. */
  getDigest (): string | undefined
}

/**
 * Creates a stream that passes a body on with back-pressure and computes its digest.
 *
 * @param source The body
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
 * @param source The body
 * @returns The SHA-256 in hexadecimal, or `undefined` where the body was cut off
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
