/**
 * What the HTTP clients of all peers have in common.
 *
 * @module
 */
import type { HeaderFields } from './request.ts'

/** Codes of errors that are raised before any byte of a request has been sent. */
const unsentErrorCodes = new Set([
  'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'UND_ERR_CONNECT_TIMEOUT',
  'CERT_HAS_EXPIRED', 'DEPTH_ZERO_SELF_SIGNED_CERT', 'UNABLE_TO_VERIFY_LEAF_SIGNATURE'
])

/**
 * Tells whether an error was raised before any byte of a request was sent.
 *
 * @param error What the client threw
 * @returns `false` where a byte may have been read
 */
export function isUnsentError (error: unknown): boolean {
  return unsentErrorCodes.has((error as { code?: string }).code ?? '')
}

/**
 * Collects the header fields that are there.
 *
 * @param headers Fields as a client gives them
 * @returns The fields with a value
 */
export function collectHeaders (headers: Record<string, string | string[] | undefined>): HeaderFields {
  const fields: HeaderFields = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined) fields[name] = value
  }
  return fields
}
