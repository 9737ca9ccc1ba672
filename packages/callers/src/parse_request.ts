/**
 * Validates requests for services before they are routed.
 *
 * @module
 */
import type { IncomingMessage } from 'node:http'
import type { Refusal, ServiceRequest } from '@bilberryworks/steering'
import type { Result } from 'neverthrow'
import { randomUUID } from 'node:crypto'
import { createNotRunRefusal, RefusalReason } from '@bilberryworks/steering'
import { err, ok } from 'neverthrow'
import { removeHopByHopFields } from './header_fields.ts'

const maxIdempotencyKeyLength = 255
const maxDeadlineMs = 86_400_000
const serviceUrlPattern = /^\/services\/([a-z0-9][a-z0-9-]{0,62})(\/[^#]*)$/
const pathPattern = /^[\w\-.~!$&'()*+,;=:@%/]*$/
const queryPattern = /^[\x21-\x7e]*$/
const idempotencyKeyPattern = /^[\x20-\x7e]+$/
const deadlinePattern = /^\d{1,8}$/
const unsupportedMethods = new Set(['CONNECT', 'TRACE'])
const bodilessMethods = new Set(['GET', 'HEAD'])

/** Options of {@linkcode parseRequest}. */
export interface ParseRequestOptions {
  /** Whether an authenticated peer forwarded the request. Only then are the `Bilberry-*` fields that instances set trusted. */
  isFromPeer: boolean
  /** Aborted when the caller disconnects. */
  signal: AbortSignal
}

/**
 * Parses and validates a request for a service.
 *
 * @param message The request
 * @param options Whether a peer forwarded the request, and its abort signal
 * @returns The parsed request, or a refusal that describes the fault
 */
export function parseRequest (message: IncomingMessage, options: ParseRequestOptions): Result<ServiceRequest, Refusal> {
  const url = serviceUrlPattern.exec(message.url ?? '')
  if (url === null) return refuse(RefusalReason.BadRequest, 'URL does not have the form /services/{service}/{path}')
  const [, service = '', path = ''] = url
  if (!isNormalizedPath(path)) return refuse(RefusalReason.BadRequest, 'Path contains a dot segment, an invalid percent-encoding or a character that must be percent-encoded')
  const framing = checkFraming(message)
  if (framing.isErr()) return err(framing.error)
  const idempotencyKey = readIdempotencyKey(message)
  if (idempotencyKey.isErr()) return err(idempotencyKey.error)
  const deadline = readDeadline(message)
  if (deadline.isErr()) return err(deadline.error)
  const hops = options.isFromPeer ? readHops(message) : ok(0)
  if (hops.isErr()) return err(hops.error)
  const via = options.isFromPeer ? ok(message.headers.via) : addVia(message, service)
  if (via.isErr()) return err(via.error)
  const length = message.headers['content-length']
  const readPeerField = (name: string): string | undefined => options.isFromPeer ? String(message.headers[name] ?? '') || undefined : undefined
  const headers = removeHopByHopFields(message.headers)
  if (via.value !== undefined) headers['via'] = via.value
  return ok({
    requestId: readPeerField('bilberry-request-id') ?? randomUUID(),
    service,
    method: message.method ?? 'GET',
    path,
    headers,
    body: message,
    contentLength: length === undefined ? undefined : Number(length),
    callerKey: readPeerField('bilberry-caller') ?? message.socket.remoteAddress ?? '',
    idempotencyKey: idempotencyKey.value,
    pin: message.headers['bilberry-pin'] === undefined ? undefined : String(message.headers['bilberry-pin']),
    deadlineMs: deadline.value,
    hops: hops.value,
    originRegion: readPeerField('bilberry-origin-region'),
    signal: options.signal
  })
}

/**
 * Checks the HTTP version, the method, and the header fields that determine where a request ends or change the protocol:
 * `Host`, `Upgrade`, `Content-Length`, `Transfer-Encoding` and `Expect`.
 *
 * @param message The request
 * @returns Nothing, or a refusal that describes the fault
 */
export function checkFraming (message: IncomingMessage): Result<void, Refusal> {
  const { method = '', headers } = message
  const length = headers['content-length']
  if (message.httpVersion !== '1.1') return refuse(RefusalReason.BadRequest, `HTTP/${message.httpVersion} is not supported, use HTTP/1.1`)
  if (message.headersDistinct['host']?.length !== 1) return refuse(RefusalReason.BadRequest, 'Host is missing or present more than once')
  if (unsupportedMethods.has(method)) return refuse(RefusalReason.BadRequest, `Method ${method} is not supported`)
  if (headers.upgrade !== undefined) return refuse(RefusalReason.BadRequest, 'Upgrade is not supported')
  if (length !== undefined && headers['transfer-encoding'] !== undefined) {
    return refuse(RefusalReason.BadRequest, 'Content-Length and Transfer-Encoding must not both be present')
  }
  const coding = headers['transfer-encoding']
  if (coding !== undefined && coding.toLowerCase() !== 'chunked') return refuse(RefusalReason.BadRequest, 'Transfer-Encoding other than chunked is not supported')
  if (length !== undefined && !/^\d{1,15}$/.test(length)) return refuse(RefusalReason.BadRequest, 'Content-Length is not a decimal number of at most 15 digits')
  if (bodilessMethods.has(method) && (headers['transfer-encoding'] !== undefined || Number(length ?? 0) > 0)) {
    return refuse(RefusalReason.BadRequest, `Method ${method} does not allow a body`)
  }
  if (headers.expect !== undefined && headers.expect.toLowerCase() !== '100-continue') {
    return refuse(RefusalReason.BadRequest, 'Expect other than 100-continue is not supported')
  }
  return ok(undefined)
}

/** Adds this system to `Via`. A request that already passed through this system to the same service is in a forwarding loop. */
function addVia (message: IncomingMessage, service: string): Result<string, Refusal> {
  const pseudonym = `bilberry-${service}`
  const viaEntries = message.headers.via === undefined ? [] : message.headers.via.split(',').map(text => text.trim())
  const hasPseudonym = (entry: string): boolean => entry.split(/\s+/)[1] === pseudonym
  if (viaEntries.some(hasPseudonym)) return refuse(RefusalReason.ForwardLoop, `Request has already passed through service "${service}"`)
  return ok([...viaEntries, `1.1 ${pseudonym}`].join(', '))
}

/** Reads the number of times that instances have forwarded a request. A request may be forwarded only once. */
function readHops (message: IncomingMessage): Result<number, Refusal> {
  const hops = message.headers['bilberry-hops']
  return hops === '1' ? ok(1) : refuse(RefusalReason.ForwardLoop, `Forwarded request has hop count ${String(hops)}, expected 1`)
}

function refuse<T> (reason: RefusalReason, detail: string): Result<T, Refusal> {
  return err(createNotRunRefusal(reason, detail))
}

function isNormalizedPath (path: string): boolean {
  const queryIndex = path.includes('?') ? path.indexOf('?') : path.length
  const pathname = path.slice(0, queryIndex)
  if (!pathPattern.test(pathname) || !queryPattern.test(path.slice(queryIndex))) return false
  for (const segment of pathname.split('/')) {
    let decoded
    try {
      decoded = decodeURIComponent(segment)
    } catch {
      return false
    }
    if (decoded === '.' || decoded === '..' || ['/', '\\', '\u0000'].some(character => decoded.includes(character))) return false
  }
  return true
}

function readIdempotencyKey (message: IncomingMessage): Result<string | undefined, Refusal> {
  const values = message.headersDistinct['idempotency-key']
  if (values === undefined) return ok(undefined)
  const [key = ''] = values
  if (values.length > 1) return refuse(RefusalReason.BadIdempotencyKey, 'Idempotency-Key is present more than once')
  if (key === '' || key.length > maxIdempotencyKeyLength) {
    return refuse(RefusalReason.BadIdempotencyKey, `Idempotency-Key has ${key.length} characters, expected 1 to ${maxIdempotencyKeyLength}`)
  }
  if (!idempotencyKeyPattern.test(key)) return refuse(RefusalReason.BadIdempotencyKey, 'Idempotency-Key contains a character that is not printable ASCII')
  return ok(key)
}

function readDeadline (message: IncomingMessage): Result<number | undefined, Refusal> {
  const text = message.headers['bilberry-deadline-ms']
  if (text === undefined) return ok(undefined)
  const value = deadlinePattern.test(String(text)) ? Number(text) : Infinity
  if (value > maxDeadlineMs) {
    return refuse(RefusalReason.BadRequest, `Bilberry-Deadline-Ms "${String(text)}" is not a whole number from 0 to ${maxDeadlineMs}`)
  }
  return ok(value)
}
