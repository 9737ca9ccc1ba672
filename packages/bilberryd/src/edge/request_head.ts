/**
 * Builds the request line and header section of a request to a target.
 *
 * @module
 */
import type { Attempt } from './attempt.ts'
import { hopByHopFields } from '@bilberryworks/callers'
import { attemptIdHeader, targetIdHeader, timeLeftHeader } from '@bilberryworks/users-platform'
import { formatRelayOrigin, relayField, relayHeader, relayVersionField, relayVersionHeader } from './relay_message.ts'

const replacedFields = new Set([targetIdHeader.toLowerCase(), timeLeftHeader.toLowerCase(), relayField, relayVersionField, 'content-length', 'expect'])

/**
 * Builds the head of a request to a target: the caller's header fields without hop-by-hop fields, and those that the instance sets.
 *
 * @param attempt The attempt
 * @param options Identifier of the target, and the time until the deadline in milliseconds
 * @returns The head, including the empty line at its end
 */
export function buildRequestHead (attempt: Attempt, options: { targetId: string, timeLeftMs: number }): string {
  return buildHead(attempt, [[targetIdHeader, options.targetId], [timeLeftHeader, formatTimeLeft(options.timeLeftMs)]])
}

/**
 * Builds the head of a request to another instance, which dispatches it to a target.
 *
 * @param attempt The attempt
 * @param options Name of this instance, and the time until the deadline in milliseconds
 * @returns The head, including the empty line at its end
 */
export function buildRelayHead (attempt: Attempt, { instance, timeLeftMs }: { instance: string, timeLeftMs: number }): string {
  const { service, targetsReached, version } = attempt
  return buildHead(attempt, [[relayHeader, formatRelayOrigin({ instance, service, targetsReached })], [relayVersionHeader, String(version)], [timeLeftHeader, formatTimeLeft(timeLeftMs)]])
}

function formatTimeLeft (timeLeftMs: number): string {
  return String(Math.max(1, Math.floor(timeLeftMs)))
}

function buildHead ({ message, body }: Attempt, addedFields: Array<[name: string, value: string]>): string {
  const connectionFields = new Set((message.headers.connection ?? '').toLowerCase().split(',').map(name => name.trim()))
  connectionFields.delete(attemptIdHeader.toLowerCase())
  let head = `${message.method!} ${message.url!} HTTP/1.1\r\n`
  const { rawHeaders } = message
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!
    const lower = name.toLowerCase()
    // Host is forwarded unchanged, since the target uses it to select a virtual host.
    if (lower !== 'host' && (connectionFields.has(lower) || hopByHopFields.has(lower) || replacedFields.has(lower))) continue
    head += `${name}: ${rawHeaders[index + 1]!}\r\n`
  }
  for (const [name, value] of addedFields) head += `${name}: ${value}\r\n`
  if (body !== undefined) {
    const length = body.isComplete ? body.bytes : body.declaredBytes
    head += length === undefined ? 'Transfer-Encoding: chunked\r\n' : `Content-Length: ${length}\r\n`
  }
  return `${head}\r\n`
}
