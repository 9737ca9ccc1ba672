/**
 * Helpers shared by the HTTP clients of targets, instances and the platform.
 *
 * @module
 */
import type { HeaderFields } from './request.ts'

/** Codes of errors that an HTTP client raises only before it has sent any byte of a request. */
const unsentErrorCodes = new Set([
  'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'UND_ERR_CONNECT_TIMEOUT',
  'CERT_HAS_EXPIRED', 'DEPTH_ZERO_SELF_SIGNED_CERT', 'UNABLE_TO_VERIFY_LEAF_SIGNATURE'
])

/**
 * Returns whether an error was raised before any byte of a request was sent.
 *
 * @param error Error that the HTTP client threw
 * @returns `false` if the server may have read a part of the request
 */
export function isUnsentError (error: unknown): boolean {
  const { code, syscall } = error as { code?: string, syscall?: string }
  return syscall === 'connect' || unsentErrorCodes.has(code ?? '')
}

/**
 * Returns the header fields that have a value.
 *
 * @param headers Header fields as the HTTP client provides them
 * @returns The fields whose value is not `undefined`
 */
export function collectHeaders (headers: Record<string, string | string[] | undefined>): HeaderFields {
  const fields: HeaderFields = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined) fields[name] = value
  }
  return fields
}
