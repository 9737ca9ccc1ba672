/**
 * Bearer tokens of operators, stored as hashes and compared in constant time.
 *
 * @module
 */
import { createHash, timingSafeEqual } from 'node:crypto'

/** A token as stored in the settings. */
export interface TokenRecord {
  /** Name of the token, shown as author in the change history. */
  name: string
  /** Team whose documents the token may read and change. */
  team: string
  /** SHA-256 of the token, in hexadecimal. */
  sha256: string
}

/**
 * Finds the record of a token.
 *
 * @param authorization Value of the `Authorization` header field
 * @param records Records of the valid tokens
 * @returns The record, or `undefined` if the token is not valid
 */
export function findToken (authorization: string | undefined, records: TokenRecord[]): TokenRecord | undefined {
  const token = /^Bearer (.+)$/i.exec(authorization ?? '')?.[1] ?? ''
  const digest = createHash('sha256').update(token).digest()
  let found: TokenRecord | undefined
  for (const record of records) {
    if (timingSafeEqual(digest, Buffer.from(record.sha256, 'hex'))) found = record
  }
  return found
}
