/**
 * A caller that writes the bytes of its requests itself, and records what its connection delivers and how it ends.
 *
 * @module
 */
import type { Socket } from 'node:net'
import type { SocketAddress } from '@bilberryworks/steering'
import { connect } from 'node:net'

/** A response as received. */
export interface RawResponse {
  /** Status code; `undefined` if the header section is not complete. */
  status: number | undefined
  /** Header fields by lower-case name. */
  headers: Record<string, string>
  /** Received bytes of the body. */
  bodyBytes: number
  /** Whether the body is complete, by its `Content-Length`. */
  isComplete: boolean
}

/** A connection of a caller. */
export interface RawCaller {
  /** The connection. */
  socket: Socket
  /** Resolves with the first response when it is complete or the connection has ended. */
  response: Promise<RawResponse>
  /** Returns whether the connection was reset. */
  isReset (): boolean
}

/** Options of {@linkcode formatRequestHead}. */
export interface FormatRequestHeadOptions {
  /** Value of `Host`. */
  host: string
  /** Value of `X-Request-Id`. */
  id: string
  /** Value of `X-Timeout-Ms`, in milliseconds. */
  timeLeftMs: number
  /** Length of the body, in bytes; no body by default. */
  bodyBytes?: number
}

const headEnd = '\r\n\r\n'

/**
 * Formats the header section of a request.
 *
 * @param path Path of the request; one with a body is a POST request
 * @param options Header fields
 * @returns The header section
 */
export function formatRequestHead (path: string, { host, id, timeLeftMs, bodyBytes }: FormatRequestHeadOptions): string {
  const method = bodyBytes === undefined ? 'GET' : 'POST'
  const length = bodyBytes === undefined ? [] : [`Content-Length: ${bodyBytes}`]
  return [`${method} ${path} HTTP/1.1`, `Host: ${host}`, `X-Request-Id: ${id}`, `X-Timeout-Ms: ${timeLeftMs}`, ...length].join('\r\n') + headEnd
}

/**
 * Opens a connection to an instance.
 *
 * @param address Address of the listener for callers
 * @returns The connection
 */
export function openRawCaller (address: SocketAddress): RawCaller {
  const socket = connect({ ...address, noDelay: true })
  let received = Buffer.alloc(0)
  let response: RawResponse | undefined
  let isReset = false
  /** Adds received bytes; those of the body are counted only. */
  function addBytes (part: Buffer): RawResponse {
    if (response === undefined) {
      received = Buffer.concat([received, part])
      response = parseResponse(received)
    } else response = countBody(response, part.length)
    return response ?? { status: undefined, headers: {}, bodyBytes: 0, isComplete: false }
  }
  const ended = new Promise<RawResponse>(resolve => {
    socket.on('data', (part: Buffer) => {
      const current = addBytes(part)
      if (current.isComplete) resolve(current)
    })
    socket.on('error', (error: NodeJS.ErrnoException) => { isReset ||= error.code === 'ECONNRESET' || error.code === 'EPIPE' })
    socket.on('close', () => resolve(addBytes(Buffer.alloc(0))))
  })
  return { socket, response: ended, isReset: () => isReset }
}

/** Parses a response; returns `undefined` while its header section is not complete. */
function parseResponse (bytes: Buffer): RawResponse | undefined {
  const end = bytes.indexOf(headEnd)
  if (end < 0) return undefined
  const [statusLine, ...lines] = bytes.subarray(0, end).toString('latin1').split('\r\n')
  const headers = Object.fromEntries(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
  return countBody({ status: Number(statusLine!.split(' ')[1]), headers, bodyBytes: 0, isComplete: false }, bytes.length - end - headEnd.length)
}

function countBody (response: RawResponse, addedBytes: number): RawResponse {
  const bodyBytes = response.bodyBytes + addedBytes
  return { ...response, bodyBytes, isComplete: bodyBytes >= Number(response.headers['content-length'] ?? 0) }
}
