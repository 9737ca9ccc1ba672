/**
 * Limits the bytes besides the body of a response, such as header sections, 1xx responses, chunk heads, trailers and
 * responses to other requests, so that a target can't send bytes without end that are no response.
 *
 * @module
 */

import { MalformedKind, MalformedResponseError } from './malformed_response.ts'

/** Counts the bytes of one exchange. */
export interface OverheadLimit {
  /** Starts counting for another exchange. */
  reset: () => void
  /** Counts bytes of the body of the response. */
  countBody: (bytes: number) => void
  /** Counts received bytes, after those of the body among them; returns an error if too many of all are not of the body. */
  countReceived: (bytes: number) => Error | undefined
}

/** Maximum overhead of a response without a body, in bytes: well above the header limits of common servers. */
const maxOverheadBytes = 262_144
/** Further overhead that is allowed for each byte of the body: a chunk of one byte has five bytes of framing, or more with extensions. */
const overheadPerBodyByte = 16

/**
 * Creates a limit for the exchanges of one connection.
 *
 * @returns The limit
 */
export function createOverheadLimit (): OverheadLimit {
  let receivedBytes = 0
  let bodyBytes = 0
  return {
    reset () {
      receivedBytes = 0
      bodyBytes = 0
    },
    countBody (bytes) { bodyBytes += bytes },
    countReceived (bytes) {
      receivedBytes += bytes
      const overheadBytes = receivedBytes - bodyBytes
      const limitBytes = maxOverheadBytes + overheadPerBodyByte * bodyBytes
      return overheadBytes > limitBytes ? new MalformedResponseError(MalformedKind.Overhead, `Target sent ${overheadBytes} bytes besides ${bodyBytes} bytes of the response body; the limit is ${limitBytes}`) : undefined
    }
  }
}
