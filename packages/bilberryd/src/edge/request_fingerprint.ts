/**
 * Identifies a request over its repeats: a caller that sends the same request again uses another attempt identifier.
 *
 * @module
 */
import type { Attempt } from './attempt.ts'
import { createHash } from 'node:crypto'

/** Bytes of the body that are hashed; the length of the body counts beside them. */
const hashedBodyBytes = 16_384
/** Length of a fingerprint, in characters of six bits: long enough that two requests do not get the same one by chance. */
const fingerprintLength = 16

/**
 * Returns the fingerprint of a request, which is computed on the first call, from its method, host, path, query, caller and body.
 *
 * The caller is identified by `Authorization` and by the object that the request concerns. Only the beginning of a large body
 * is hashed, so that a body need not be retained for it.
 *
 * @param attempt The attempt, whose buffered body must still be present
 * @returns The fingerprint, the same on all instances
 */
export function getFingerprint (attempt: Attempt): string {
  attempt.fingerprint ??= computeFingerprint(attempt)
  return attempt.fingerprint
}

function computeFingerprint ({ message, body, objectKey }: Attempt): string {
  const { host, authorization } = message.headers
  const hash = createHash('sha256').update(JSON.stringify([message.method, host, message.url, authorization, objectKey]))
  if (body !== undefined) {
    hash.update(String(body.isComplete ? body.bytes : body.declaredBytes))
    let left = hashedBodyBytes
    for (const part of body.parts) {
      hash.update(part.subarray(0, left))
      left -= part.length
      if (left <= 0) break
    }
  }
  return hash.digest('base64url').slice(0, fingerprintLength)
}
