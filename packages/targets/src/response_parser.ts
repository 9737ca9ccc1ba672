/**
 * Reads answers from the bytes of a target's connection, strictly.
 *
 * @module
 */
import { HTTPParser } from 'http-parser-js'

/** Status line and header section of an answer. */
export interface ResponseHead {
  /** HTTP status. */
  status: number
  /** Names and values in turn, as received. */
  rawHeaders: string[]
  /** Header fields by lower-case name; of a repeated field the last value. */
  fields: Record<string, string | undefined>
  /** Whether the connection may carry another request behind this answer. */
  isReusable: boolean
  /** Length of the body in bytes, where the answer states it. */
  contentLength: number | undefined
}

/** What is called while answers are read. */
export interface ResponseEvents {
  /** Called with each head; returns whether the answer has no body whatever its head says. */
  onHead: (head: ResponseHead) => boolean
  /** Called with each part of a body. */
  onBody: (part: Buffer) => void
  /** Called at the end of each answer. */
  onEnd: () => void
}

/** Reads answers. */
export interface ResponseParser {
  /** Reads bytes; returns the error that ends the connection, where there is one. */
  read (bytes: Buffer): Error | undefined
  /** Tells whether the answer that is being read has no length and ends with its connection. */
  isCloseDelimited (): boolean
  /** Tells whether what was read ends with the end of an answer. */
  isBetweenResponses (): boolean
  /** Ends the input; returns an error where an answer is not complete. */
  finish (): Error | undefined
}

/** The members of the parser that its type declaration leaves out or hides. */
interface ParserState {
  state: string
  /** Start of a line whose end has not come. */
  line: string
  body_bytes: number
  consumeLine: () => string | undefined
  BODY_CHUNKHEAD: () => void
}

const lengthPattern = /^\d{1,15}$/
const chunkSizePattern = /^([0-9a-fA-F]{1,12})[ \t]*(;.*)?$/

/**
 * Creates a parser for the answers of one connection.
 *
 * @param events What to call
 * @returns The parser
 */
export function createResponseParser (events: ResponseEvents): ResponseParser {
  const parser = new HTTPParser(HTTPParser.RESPONSE)
  const parserState = parser as unknown as ParserState
  checkChunkSizes(parserState)
  parser[HTTPParser.kOnHeadersComplete] = info => {
    const fields = collectFields(info.headers)
    const contentLength = checkFraming(info.headers, fields)
    const head = { status: info.statusCode, rawHeaders: info.headers, fields, isReusable: info.shouldKeepAlive, contentLength }
    return events.onHead(head) ? 1 : 0
  }
  parser[HTTPParser.kOnBody] = (part, offset, length) => events.onBody(part.subarray(offset, offset + length))
  parser[HTTPParser.kOnMessageComplete] = events.onEnd
  const run = (step: () => number | Error | void): Error | undefined => {
    try {
      const result = step()
      return result instanceof Error ? result : undefined
    } catch (error) {
      return error as Error
    }
  }
  return {
    isCloseDelimited: () => parserState.state === 'BODY_RAW',
    isBetweenResponses: () => parserState.state === 'RESPONSE_LINE' && parserState.line === '',
    read: bytes => run(() => parser.execute(bytes)),
    finish: () => run(() => parser.finish())
  }
}

function collectFields (rawHeaders: string[]): Record<string, string | undefined> {
  const fields: Record<string, string | undefined> = {}
  for (let index = 0; index < rawHeaders.length; index += 2) fields[rawHeaders[index]!.toLowerCase()] = rawHeaders[index + 1]
  return fields
}

/** Throws where the end of the answer can't be told for certain. */
function checkFraming (rawHeaders: string[], fields: Record<string, string | undefined>): number | undefined {
  const coding = fields['transfer-encoding']
  const length = fields['content-length']
  if (coding !== undefined && (coding.toLowerCase() !== 'chunked' || length !== undefined)) throw new Error(`Transfer-Encoding "${coding}" leaves the length of the answer open`)
  if (length === undefined) return undefined
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index]!.toLowerCase() === 'content-length' && !lengthPattern.test(rawHeaders[index + 1]!)) {
      throw new Error(`Content-Length "${rawHeaders[index + 1]!}" is not a length`)
    }
  }
  return Number(length)
}

/** Makes the parser refuse chunk sizes that are not numbers, which it takes for the last chunk otherwise. */
function checkChunkSizes (parser: ParserState): void {
  parser.BODY_CHUNKHEAD = function () {
    const line = this.consumeLine()
    if (line === undefined) return
    const size = chunkSizePattern.exec(line)?.[1]
    if (size === undefined) throw new Error(`Chunk size "${line.slice(0, 20)}" is not a number`)
    this.body_bytes = parseInt(size, 16)
    this.state = this.body_bytes === 0 ? 'BODY_CHUNKTRAILERS' : 'BODY_CHUNK'
  }
}
