/**
 * Refuses and counts requests that `node:http` rejects before it calls a request handler.
 *
 * @module
 */
import type { IncomingMessage, Server } from 'node:http'
import type { Socket } from 'node:net'
import { STATUS_CODES } from 'node:http'
import { getRefusalStatus, Outcome, RefusalReason } from '@bilberryworks/steering'
import { closeLingering } from './graceful_close.ts'
import { runAfterReads } from './run_after_reads.ts'
import { observeRequests } from './watch_response.ts'

const requestTimeoutCode = 'ERR_HTTP_REQUEST_TIMEOUT'

/** Refusal reasons by error code of Node.js. Any other code is refused as a bad request. */
const reasonByCode: Record<string, RefusalReason> = {
  HPE_HEADER_OVERFLOW: RefusalReason.HeadersTooLarge,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: RefusalReason.HeadersTooLarge,
  [requestTimeoutCode]: RefusalReason.RequestTimeout
}

const retryAfterSeconds = 1
/** Reasons for which a later try helps. */
const retriedReasons = new Set([RefusalReason.RequestTimeout, RefusalReason.HostLimit])

/** Errors that report a disconnect rather than an invalid request. */
const disconnectCodes = new Set(['ECONNRESET', 'EPIPE'])

/**
 * Answers unreadable requests with a refusal that states outcome and reason, and closes their connections.
 *
 * A connection with earlier requests in progress is closed after their responses, without a refusal: the caller would read
 * the refusal as the response to one of those requests.
 *
 * @param server The server
 * @param countRefusal Called with the reason of each refusal
 */
export function handleClientErrors (server: Server, countRefusal: (reason: RefusalReason) => void): void {
  const openRequests = new WeakMap<Socket, Set<IncomingMessage>>()
  /** Connections that are closed after the responses to their complete requests. */
  const closing = new WeakSet<Socket>()
  const hasCompleteRequest = (messages: Iterable<IncomingMessage>): boolean => [...messages].some(message => message.complete)
  observeRequests(server, (message, response) => {
    const { socket } = message
    const messages = openRequests.get(socket) ?? new Set()
    openRequests.set(socket, messages.add(message))
    response.once('close', () => {
      messages.delete(message)
      // A request whose rest can't be read ends with its connection.
      if (closing.has(socket) && !hasCompleteRequest(messages)) setImmediate(() => messages.size === 0 ? closeLingering(socket) : socket.destroy())
    })
  })
  const refuse = (socket: Socket, reason: RefusalReason, detail: string): void => {
    const messages = [...openRequests.get(socket) ?? []]
    if (closing.has(socket)) return
    // If a request is still being received, its handler records the outcome.
    if (messages.every(message => message.complete)) countRefusal(reason)
    if (messages.length === 0 && socket.writable) {
      socket.write(formatRefusal(reason, detail))
      closeLingering(socket)
    } else if (hasCompleteRequest(messages)) closing.add(socket.pause())
    // Closes the connection after a refusal that the handler has just written is sent.
    else setImmediate(() => socket.destroy())
  }
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    // A connection that timed out before its first byte is closed like an idle one: the caller would read a refusal as the
    // response to the request that it sends next.
    const isUnused = error.code === requestTimeoutCode && socket.bytesRead === 0
    if (isUnused) closeUnused(socket)
    else if (disconnectCodes.has(error.code ?? '')) socket.destroy()
    else refuse(socket, reasonByCode[error.code ?? ''] ?? RefusalReason.BadRequest, error.message)
  })
  server.on('connect', (_message: IncomingMessage, socket: Socket) => {
    // `node:http` has taken its own listener off.
    socket.on('error', () => socket.destroy())
    refuse(socket, RefusalReason.BadRequest, 'Method CONNECT is not supported')
  })
}

/** Closes a connection that has carried nothing, unless its first request has arrived and is not read yet, as after a pause of the process. */
function closeUnused (socket: Socket): void {
  runAfterReads(() => { if (socket.bytesRead === 0) socket.destroy() })
}

/**
 * Formats the response to a request that is not read, which closes its connection.
 *
 * @param reason The reason
 * @param detail Description for the caller, in one sentence
 * @returns The response
 */
export function formatRefusal (reason: RefusalReason, detail: string): string {
  const status = getRefusalStatus(Outcome.NotRun, reason)
  const body = JSON.stringify({ type: `urn:bilberryworks:${reason}`, title: reason, status, detail, outcome: Outcome.NotRun })
  return [
    `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}`,
    'Connection: close',
    'Content-Type: application/problem+json',
    `Content-Length: ${Buffer.byteLength(body)}`,
    `Bilberry-Outcome: ${Outcome.NotRun}`,
    `Bilberry-Reason: ${reason}`,
    ...retriedReasons.has(reason) ? [`Retry-After: ${retryAfterSeconds}`] : [],
    '',
    body
  ].join('\r\n')
}
