/**
 * Answers and counts what `node:http` refuses before a handler sees it.
 *
 * @module
 */
import type { IncomingMessage, Server } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { STATUS_CODES } from 'node:http'
import { getRefusalStatus, Outcome, RefusalReason } from '@bilberryworks/steering'
import { observeRequests } from './watch_response.ts'

const requestTimeoutCode = 'ERR_HTTP_REQUEST_TIMEOUT'

/** Reasons for the error codes of Node.js; every other code is a bad request. */
const reasonByCode: Record<string, RefusalReason> = {
  HPE_HEADER_OVERFLOW: RefusalReason.HeadersTooLarge,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: RefusalReason.HeadersTooLarge,
  [requestTimeoutCode]: RefusalReason.RequestTimeout
}

const retryAfterSeconds = 1

/** Errors by which a connection ends that sent nothing wrong. */
const disconnectCodes = new Set(['ECONNRESET', 'EPIPE'])

/**
 * Answers connections on which no request could be read, each with its outcome and reason.
 *
 * A connection on which an earlier request is still being answered is broken off instead, since
 * a refusal in its place would be taken for that request's answer.
 *
 * @param server The server
 * @param countRefusal Called for each refusal
 */
export function handleClientErrors (server: Server, countRefusal: (reason: RefusalReason) => void): void {
  const openRequests = new WeakMap<Duplex, Set<IncomingMessage>>()
  observeRequests(server, (message, response) => {
    const messages = openRequests.get(message.socket) ?? new Set()
    openRequests.set(message.socket, messages.add(message))
    response.once('close', () => messages.delete(message))
  })
  const refuse = (socket: Duplex, reason: RefusalReason, detail: string): void => {
    const messages = [...openRequests.get(socket) ?? []]
    // The end of a message that is being handled is counted by its handler.
    if (messages.every(message => message.complete)) countRefusal(reason)
    if (messages.length === 0 && socket.writable) socket.end(formatRefusal(reason, detail), () => socket.destroy())
    // A refusal that the handler has just written is sent first.
    else setImmediate(() => socket.destroy())
  }
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Duplex) => {
    // A connection on which nothing was sent is closed like an idle one: an answer to no request could be taken for another's.
    const isUnused = error.code === requestTimeoutCode && (socket as Socket).bytesRead === 0
    if (isUnused || disconnectCodes.has(error.code ?? '')) socket.destroy()
    else refuse(socket, reasonByCode[error.code ?? ''] ?? RefusalReason.BadRequest, error.message)
  })
  server.on('connect', (_message: IncomingMessage, socket: Duplex) => {
    refuse(socket, RefusalReason.BadRequest, 'Method CONNECT is not served')
  })
}

function formatRefusal (reason: RefusalReason, detail: string): string {
  const status = getRefusalStatus(Outcome.NotRun, reason)
  const body = JSON.stringify({ type: `urn:bilberryworks:${reason}`, title: reason, status, detail, outcome: Outcome.NotRun })
  return [
    `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}`,
    'Connection: close',
    'Content-Type: application/problem+json',
    `Content-Length: ${Buffer.byteLength(body)}`,
    `Bilberry-Outcome: ${Outcome.NotRun}`,
    `Bilberry-Reason: ${reason}`,
    ...reason === RefusalReason.RequestTimeout ? [`Retry-After: ${retryAfterSeconds}`] : [],
    '',
    body
  ].join('\r\n')
}
