/**
 * A request of a caller with its response, as `node:http` presents them, without a socket.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { EventEmitter } from 'node:events'

/** What a caller, or a relaying instance, receives. */
export interface FakeResponse {
  /** Status; `undefined` if the connection broke before it. */
  status: number | undefined
  /** Header fields by lower-case name. */
  fields: Record<string, string>
  /** Alternating names and values of the header fields. */
  rawHeaders: string[]
  /** Number of bytes of the body. */
  bodyBytes: number
}

/** A call in progress. */
export interface FakeCall {
  /** The request. */
  message: IncomingMessage
  /** Its response. */
  response: ServerResponse
  /** Closes the connection, as a caller that leaves. */
  abort (): void
}

/** Options of {@linkcode createFakeCall}. */
export interface CreateFakeCallOptions {
  /** HTTP method. */
  method: string
  /** Path. */
  path: string
  /** Alternating names and values of the header fields. */
  rawHeaders: string[]
  /** Called once with the whole response, or with what was sent before the connection broke. */
  onEnd: (response: FakeResponse) => void
}

/**
 * Creates a call without a body.
 *
 * @param options Request, and the callback for its response
 * @returns The call
 */
export function createFakeCall ({ method, path, rawHeaders, onEnd }: CreateFakeCallOptions): FakeCall {
  const socket = Object.assign(new EventEmitter(), { destroyed: false, remoteAddress: '127.0.0.1', pause: () => {}, resume: () => {} })
  const result: FakeResponse = { status: undefined, fields: {}, rawHeaders: [], bodyBytes: 0 }
  let hasEnded = false

  function finish (isComplete: boolean): void {
    if (hasEnded) return
    hasEnded = true
    response.writableFinished = isComplete
    response.destroyed = !isComplete
    socket.destroyed = !isComplete
    response.emit('close')
    onEnd(isComplete ? result : { ...result, status: undefined })
  }

  function addField (name: string, value: string): void {
    result.fields[name.toLowerCase()] = value
    result.rawHeaders.push(name, value)
  }

  const headers: Record<string, string> = {}
  for (let index = 0; index < rawHeaders.length; index += 2) headers[rawHeaders[index]!.toLowerCase()] = rawHeaders[index + 1]!
  const message = Object.assign(new EventEmitter(), {
    httpVersion: '1.1', method, url: path, headers, headersDistinct: { host: [headers['host'] ?? ''] }, rawHeaders, socket, complete: true, destroyed: false, resume: () => message, pause: () => message
  })
  const response = Object.assign(new EventEmitter(), {
    req: message,
    shouldKeepAlive: true,
    sendDate: true,
    headersSent: false,
    destroyed: false,
    writableFinished: false,
    setHeader: (name: string, value: string | number) => addField(name, String(value)),
    removeHeader: () => {},
    writeHead (status: number, fields: string[] = []) {
      response.headersSent = true
      result.status = status
      for (let index = 0; index < fields.length; index += 2) addField(fields[index]!, fields[index + 1]!)
      return response
    },
    write (part: Buffer) {
      result.bodyBytes += part.length
      return true
    },
    end (part?: Buffer | string) {
      result.bodyBytes += part?.length ?? 0
      // `node:http` reports the end of a response in a later turn.
      setImmediate(finish, true)
      return response
    },
    destroy: () => finish(false)
  })
  return { message: message as unknown as IncomingMessage, response: response as unknown as ServerResponse, abort: () => finish(false) }
}
