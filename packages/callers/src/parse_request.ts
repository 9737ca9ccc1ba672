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
import { dropHopHeaders } from './header_fields.ts'

const maxKeyLength = 255
const maxDeadlineMs = 86_400_000
const serviceUrlPattern = /^\/services\/([a-z0-9][a-z0-9-]{0,62})(\/[^#]*)$/

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
  if (!isPlainPath(path)) return refuse(RefusalReason.BadRequest, 'Path has a dot segment or a bad escape')
  if (message.headers['content-length'] !== undefined && message.headers['transfer-encoding'] !== undefined) {
    return refuse(RefusalReason.BadRequest, 'Content-Length and Transfer-Encoding exclude each other')
  }
  const key = readKey(message)
  if (key.isErr()) return err(key.error)
  const deadline = readDeadline(message)
  if (deadline.isErr()) return err(deadline.error)
  const length = message.headers['content-length']
  const header = (name: string): string | undefined => options.fromPeer ? String(message.headers[name] ?? '') || undefined : undefined
  return ok({
    requestId: header('bilberry-request-id') ?? randomUUID(),
    service,
    method: message.method ?? 'GET',
    path,
    headers: dropHopHeaders(message.headers),
    body: message,
    contentLength: length === undefined ? undefined : Number(length),
    callerKey: header('bilberry-caller') ?? message.socket.remoteAddress ?? '',
    idempotencyKey: key.value,
    pin: message.headers['bilberry-pin'] === undefined ? undefined : String(message.headers['bilberry-pin']),
    deadlineMs: deadline.value,
    hops: Number(header('bilberry-hops') ?? 0),
    signal: options.signal
  })
}

function refuse<T> (reason: RefusalReason, detail: string): Result<T, Refusal> {
  return err(createNotRun(reason, detail))
}

function isPlainPath (path: string): boolean {
  const [plain = ''] = path.split('?')
  for (const segment of plain.split('/')) {
    let decoded
    try {
      decoded = decodeURIComponent(segment)
    } catch {
      return false
    }
    if (decoded === '.' || decoded === '..' || decoded.includes('/') || decoded.includes('\u0000')) return false
  }
  return true
}

function readKey (message: IncomingMessage): Result<string | undefined, Refusal> {
  const values = message.headersDistinct['idempotency-key']
  if (values === undefined) return ok(undefined)
  const [key = ''] = values
  if (values.length > 1) return refuse(RefusalReason.BadIdempotencyKey, 'Idempotency-Key is given more than once')
  if (key === '' || key.length > maxKeyLength) {
    return refuse(RefusalReason.BadIdempotencyKey, `Idempotency-Key has ${key.length} characters, allowed are 1 to ${maxKeyLength}`)
  }
  return ok(key)
}

function readDeadline (message: IncomingMessage): Result<number | undefined, Refusal> {
  const text = message.headers['bilberry-deadline-ms']
  if (text === undefined) return ok(undefined)
  const value = Number(text)
  if (!Number.isInteger(value) || value < 0 || value > maxDeadlineMs) {
    return refuse(RefusalReason.BadRequest, `Bilberry-Deadline-Ms "${String(text)}" is not a whole number from 0 to ${maxDeadlineMs}`)
  }
  return ok(value)
}
