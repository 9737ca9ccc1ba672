/**
 * Checks what a caller sent, before anything else is done with it.
 *
 * @module
 */
import type { IncomingMessage } from 'node:http'
import type { Refusal, ServiceRequest } from '@bilberryworks/steering'
import type { Result } from 'neverthrow'
import { randomUUID } from 'node:crypto'
import { createNotRun, RefusalReason } from '@bilberryworks/steering'
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

/** What is taken on trust of a request, which only a peer is given. */
export interface ParseRequestOptions {
  /** Whether the message came from an authenticated peer. */
  fromPeer: boolean
  /** Aborted when the caller is gone. */
  signal: AbortSignal
}

/**
 * Parses and checks a request for a service.
 *
 * @param message The message as `node:http` gives it
 * @param options What is taken on trust
 * @returns The request, or the refusal that says what is wrong
 */
export function parseRequest (message: IncomingMessage, options: ParseRequestOptions): Result<ServiceRequest, Refusal> {
  const url = serviceUrlPattern.exec(message.url ?? '')
  if (url === null) return refuse(RefusalReason.BadRequest, 'URL is not of the form /services/{service}/{path}')
  const [, service = '', path = ''] = url
  if (!isNormalizedPath(path)) return refuse(RefusalReason.BadRequest, 'Path has a dot segment, a bad escape or a character that must be escaped')
  const framing = checkFraming(message)
  if (framing.isErr()) return err(framing.error)
  const idempotencyKey = readIdempotencyKey(message)
  if (idempotencyKey.isErr()) return err(idempotencyKey.error)
  const deadline = readDeadline(message)
  if (deadline.isErr()) return err(deadline.error)
  const hops = options.fromPeer ? readHops(message) : ok(0)
  if (hops.isErr()) return err(hops.error)
  const via = options.fromPeer ? ok(message.headers.via) : addVia(message, service)
  if (via.isErr()) return err(via.error)
  const length = message.headers['content-length']
  const readPeerField = (name: string): string | undefined => options.fromPeer ? String(message.headers[name] ?? '') || undefined : undefined
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
 * Checks what decides where a message ends and whom it is for.
 *
 * @param message The message
 * @returns The refusal that says what is wrong, where something is
 */
export function checkFraming (message: IncomingMessage): Result<void, Refusal> {
  const { method = '', headers } = message
  const length = headers['content-length']
  if (message.httpVersion !== '1.1') return refuse(RefusalReason.BadRequest, `HTTP/${message.httpVersion} is not served, HTTP/1.1 is`)
  if (message.headersDistinct['host']?.length !== 1) return refuse(RefusalReason.BadRequest, 'Host is missing or given more than once')
  if (unsupportedMethods.has(method)) return refuse(RefusalReason.BadRequest, `Method ${method} is not served`)
  if (headers.upgrade !== undefined) return refuse(RefusalReason.BadRequest, 'Upgrade is not served')
  if (length !== undefined && headers['transfer-encoding'] !== undefined) {
    return refuse(RefusalReason.BadRequest, 'Content-Length and Transfer-Encoding exclude each other')
  }
  const coding = headers['transfer-encoding']
  if (coding !== undefined && coding.toLowerCase() !== 'chunked') return refuse(RefusalReason.BadRequest, 'Transfer-Encoding knows only chunked')
  if (length !== undefined && !/^\d{1,15}$/.test(length)) return refuse(RefusalReason.BadRequest, 'Content-Length is not a length')
  if (bodilessMethods.has(method) && (headers['transfer-encoding'] !== undefined || Number(length ?? 0) > 0)) {
    return refuse(RefusalReason.BadRequest, `Method ${method} takes no body`)
  }
  if (headers.expect !== undefined && headers.expect.toLowerCase() !== '100-continue') {
    return refuse(RefusalReason.BadRequest, 'Expect knows only 100-continue')
  }
  return ok(undefined)
}

/** Adds this system to `Via`; a request that came by it to the same service before is a loop. */
function addVia (message: IncomingMessage, service: string): Result<string, Refusal> {
  const pseudonym = `bilberry-${service}`
  const viaEntries = message.headers.via === undefined ? [] : message.headers.via.split(',').map(text => text.trim())
  const hasPseudonym = (entry: string): boolean => entry.split(/\s+/)[1] === pseudonym
  if (viaEntries.some(hasPseudonym)) return refuse(RefusalReason.ForwardLoop, `Request has passed service "${service}" before`)
  return ok([...viaEntries, `1.1 ${pseudonym}`].join(', '))
}

/** Reads how often a peer's request was forwarded: exactly once. */
function readHops (message: IncomingMessage): Result<number, Refusal> {
  const hops = message.headers['bilberry-hops']
  return hops === '1' ? ok(1) : refuse(RefusalReason.ForwardLoop, `Request was forwarded ${String(hops)} times, allowed is once`)
}

function refuse<T> (reason: RefusalReason, detail: string): Result<T, Refusal> {
  return err(createNotRun(reason, detail))
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
  if (values.length > 1) return refuse(RefusalReason.BadIdempotencyKey, 'Idempotency-Key is given more than once')
  if (key === '' || key.length > maxIdempotencyKeyLength) {
    return refuse(RefusalReason.BadIdempotencyKey, `Idempotency-Key has ${key.length} characters, allowed are 1 to ${maxIdempotencyKeyLength}`)
  }
  if (!idempotencyKeyPattern.test(key)) return refuse(RefusalReason.BadIdempotencyKey, 'Idempotency-Key has a character outside of printable ASCII')
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
