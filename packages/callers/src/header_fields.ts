/**
 * Removes the header fields that must not be forwarded: hop-by-hop fields and those that this system sets itself.
 *
 * @module
 */
import type { HeaderFields } from '@bilberryworks/steering'

/** Lower-case names of the header fields that apply to a single connection (RFC 9110), and `host`. */
export const hopByHopFields = new Set(['connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect', 'host'])

/** Lower-case names of the fields that this system sets itself; received values are removed. */
const reservedFields = new Set(['bilberry-request-id', 'bilberry-caller', 'bilberry-hops', 'bilberry-deadline-ms', 'bilberry-pin', 'bilberry-outcome', 'bilberry-reason', 'bilberry-peer-key', 'bilberry-retry-after-ms', 'bilberry-target-state', 'bilberry-feed-load', 'bilberry-origin-region', 'idempotency-key'])

/**
 * Removes hop-by-hop fields, fields that `Connection` names, and fields that this system sets itself.
 *
 * @param headers Received header fields by lower-case name
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
