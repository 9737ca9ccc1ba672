/**
 * A strict parser for the HTTP/1.1 responses on a connection to a target.
 *
 * @module
 */
import type { ParserState } from './_line_reader.ts'
import { validateHeaderName, validateHeaderValue } from 'node:http'
import { HTTPParser } from 'http-parser-js'
import { createLineReader } from './_line_reader.ts'

/** Status line and header section of a response. */
export interface ResponseHead {
  /** HTTP status. */
  status: number
  /** Alternating names and values of the header fields, as received. */
  rawHeaders: string[]
  /** Header fields by lower-case name; the last value of a repeated field. */
  fields: Record<string, string | undefined>
  /** Whether the connection may be used for another request after this response. */
  isReusable: boolean
  /** Value of `Content-Length` in bytes; `undefined` if the response has none. */
  contentLength: number | undefined
}

/** Callbacks of a response parser. */
export interface ResponseEvents {
  /** Called with each response head; returns true if the response has no body regardless of its header fields. */
  onHead: (head: ResponseHead) => boolean
  /** Called with what one read brought of a response body. */
  onBody: (part: Buffer) => void
  /** Called at the end of each response. */
  onEnd: () => void
}

/** Parses the responses on one connection. */
export interface ResponseParser {
  /** Parses received bytes, and may overwrite them; returns an error if they are invalid, after which the connection must be closed. */
  read (bytes: Buffer): Error | undefined
  /** Returns the number of lines that were parsed since the last call: those of header sections, and two for each chunk. */
  takeLineCount (): number
  /** Returns whether the response being parsed has no stated length and ends when the connection closes. */
  isCloseDelimited (): boolean
  /** Returns whether the parsed bytes end exactly at the end of a response. */
  isBetweenResponses (): boolean
  /** Signals the end of the input; returns an error if a response is incomplete. */
  finish (): Error | undefined
}

// The reader of lines limits header sections, exactly.
HTTPParser.maxHeaderSize = Infinity

const emptyBuffer = Buffer.alloc(0)
const lengthPattern = /^\d{1,15}$/
const chunkSizePattern = /^([0-9a-fA-F]{1,12})[ \t]*(;.*)?$/

/**
 * Creates a parser for the responses on one connection.
 *
 * @param events Callbacks
 * @returns The parser
 */
export function createResponseParser (events: ResponseEvents): ResponseParser {
  const parser = new HTTPParser(HTTPParser.RESPONSE)
  const parserState = parser as unknown as ParserState
  const lines = createLineReader(parserState)
  checkChunkSizes(parserState)
  dropTrailers(parserState)
  const part = joinChunks(parserState)
  parser[HTTPParser.kOnHeadersComplete] = info => {
    checkFields(info.headers)
    const fields = collectFields(info.headers)
    const contentLength = checkFraming(info.headers, fields)
    const head = { status: info.statusCode, rawHeaders: info.headers, fields, isReusable: info.shouldKeepAlive, contentLength }
    return events.onHead(head) ? 1 : 0
  }
  parser[HTTPParser.kOnBody] = body => events.onBody(body)
  parser[HTTPParser.kOnMessageComplete] = () => {
    forwardPart()
    events.onEnd()
  }
  /** Passes on what has been read of a chunked body. */
  function forwardPart (): void {
    const body = part.take()
    if (body !== undefined) events.onBody(body)
  }

  const catchError = (step: () => number | Error | void): Error | undefined => {
    try {
      const result = step()
      return result instanceof Error ? describeError(result) : undefined
    } catch (error) {
      return describeError(error as Error)
    }
  }
  return {
    takeLineCount: lines.takeCount,
    isCloseDelimited: () => parserState.state === 'BODY_RAW',
    isBetweenResponses: () => parserState.state === 'RESPONSE_LINE' && !lines.isWithinLine(),
    read: bytes => catchError(() => {
      const result = parser.execute(bytes)
      forwardPart()
      return result
    }),
    finish: () => catchError(() => parser.finish())
  }
}

/** Returns an error with a message that says more than that of `http-parser-js`. */
function describeError (error: Error & { code?: string }): Error {
  return error.code?.startsWith('HPE_') === true ? new Error(`Target sent bytes that are not a valid response (${error.code})`, { cause: error }) : error
}

function collectFields (rawHeaders: string[]): Record<string, string | undefined> {
  const fields: Record<string, string | undefined> = {}
  for (let index = 0; index < rawHeaders.length; index += 2) fields[rawHeaders[index]!.toLowerCase()] = rawHeaders[index + 1]
  return fields
}

/** Throws if a field can't be forwarded: its name is not a token, or its value has a control character (RFC 9110, section 5). */
function checkFields (rawHeaders: string[]): void {
  for (let index = 0; index < rawHeaders.length; index += 2) {
    validateHeaderName(rawHeaders[index]!)
    validateHeaderValue(rawHeaders[index]!, rawHeaders[index + 1]!)
  }
}

/** Returns the content length; throws if the framing is ambiguous, since the end of the response is then uncertain. */
function checkFraming (rawHeaders: string[], fields: Record<string, string | undefined>): number | undefined {
  const coding = fields['transfer-encoding']
  const length = fields['content-length']
  if (coding !== undefined && (coding.toLowerCase() !== 'chunked' || length !== undefined)) throw new Error(`Transfer-Encoding "${coding}" is not supported or is combined with Content-Length`)
  if (length === undefined) return undefined
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index]!.toLowerCase() === 'content-length' && !lengthPattern.test(rawHeaders[index + 1]!)) {
      throw new Error(`Content-Length "${rawHeaders[index + 1]!}" is not a number of at most 15 digits`)
    }
  }
  return Number(length)
}

/** Makes the parser reject invalid chunk sizes; `http-parser-js` treats a size that is not a number as the last chunk, so a corrupt body would seem complete. */
function checkChunkSizes (parser: ParserState): void {
  parser.BODY_CHUNKHEAD = function () {
    const line = this.consumeLine()
    if (line === undefined) return
    const size = chunkSizePattern.exec(line)?.[1]
    if (size === undefined) throw new Error(`Chunk size "${line.slice(0, 20)}" is not a hexadecimal number of at most 12 digits`)
    this.body_bytes = parseInt(size, 16)
    this.state = this.body_bytes === 0 ? 'BODY_CHUNKTRAILERS' : 'BODY_CHUNK'
  }
}

/** Makes the parser join the chunks in the bytes that are read to one part, in their place: behind the first chunk, over framing that has been parsed. */
function joinChunks (parser: ParserState): { take: () => Buffer | undefined } {
  let bytes: Buffer = emptyBuffer
  let [start, end] = [0, 0]
  parser.BODY_CHUNK = function () {
    const chunkStart = this.offset
    const length = Math.min(this.end - chunkStart, this.body_bytes)
    if (start === end) {
      bytes = this.chunk
      start = end = chunkStart
    } else if (length === 1) bytes[end] = bytes[chunkStart]!
    else bytes.copyWithin(end, chunkStart, chunkStart + length)
    end += length
    this.offset += length
    this.body_bytes -= length
    if (this.body_bytes === 0) this.state = 'BODY_CHUNKEMPTYLINE'
  }
  return {
    take () {
      const part = start === end ? undefined : bytes.subarray(start, end)
      bytes = emptyBuffer
      start = end = 0
      return part
    }
  }
}

/** Makes the parser drop trailers, which are not passed on. */
function dropTrailers (parser: ParserState): void {
  parser.BODY_CHUNKTRAILERS = function () {
    if (this.consumeLine() === '') this.nextRequest()
  }
}
