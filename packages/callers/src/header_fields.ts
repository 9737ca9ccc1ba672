/**
 * Header fields that end at each hop, and those that the system sets itself.
 *
 * @module
 */
import type { HeaderFields } from '@bilberryworks/steering'

/** Header fields by lower-case name that concern one connection only (RFC 9110), and the host. */
export const hopByHopFields = new Set(['connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect', 'host'])

/** Fields that the system sets itself, so that what came with a message is dropped. */
const reservedFields = new Set(['bilberry-request-id', 'bilberry-caller', 'bilberry-hops', 'bilberry-deadline-ms', 'bilberry-pin', 'bilberry-outcome', 'bilberry-reason', 'bilberry-peer-key', 'bilberry-retry-after-ms', 'bilberry-target-state', 'bilberry-feed-load', 'bilberry-origin-region', 'idempotency-key'])

/**
 * Drops the header fields that end at this hop.
 *
 * @param headers Fields as received
 * @returns The end-to-end fields
 */
export function removeHopByHopFields (headers: Record<string, string | string[] | undefined>): HeaderFields {
  const connectionFields = new Set(String(headers['connection'] ?? '').toLowerCase().split(',').map(name => name.trim()))
  const fields: HeaderFields = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || hopByHopFields.has(name) || reservedFields.has(name) || connectionFields.has(name)) continue
    fields[name] = value
  }
  return fields
}
