/**
 * Reads the lines of responses for `http-parser-js`, which by itself keeps lines and trailers of any length.
 *
 * @module
 */
import { createByteCollector } from './byte_collector.ts'

/** Internal members of `HTTPParser` that its type declaration omits. */
export interface ParserState {
  /** Name of the method that parses what follows. */
  state: string
  /** Bytes that are being parsed, up to `end`; those before `offset` have been parsed. */
  chunk: Buffer
  offset: number
  end: number
  /** Bytes of the body, or of the current chunk, that have not been received. */
  body_bytes: number
  consumeLine: () => string | undefined
  nextRequest: () => void
  BODY_CHUNK: () => void
  BODY_CHUNKHEAD: () => void
  BODY_CHUNKTRAILERS: () => void
}

/** Reads lines. */
export interface LineReader {
  /** Returns whether a line has begun whose end has not been received. */
  isWithinLine: () => boolean
}

/** Maximum size of a line, and of a header or trailer section, in bytes: well above the header limits of common servers. */
const maxElementBytes = 131_072
/** Maximum size of the line break at the end of a chunk, in bytes. */
const maxChunkEndBytes = 2
const lineFeed = 0x0a
const carriageReturn = 0x0d

/** What a line belongs to, by the state of the parser. */
const elements: Record<string, { description: string, maxBytes: number }> = {
  RESPONSE_LINE: { description: 'of a status line', maxBytes: maxElementBytes },
  HEADER: { description: 'of a header section', maxBytes: maxElementBytes },
  BODY_CHUNKHEAD: { description: 'of a chunk size with its extension', maxBytes: maxElementBytes },
  BODY_CHUNKEMPTYLINE: { description: 'in place of the end of a chunk', maxBytes: maxChunkEndBytes },
  BODY_CHUNKTRAILERS: { description: 'of a trailer section', maxBytes: maxElementBytes }
}
/** States whose lines form a section, which ends with an empty line. */
const sectionStates = new Set(['HEADER', 'BODY_CHUNKTRAILERS'])

/**
 * Makes a parser read lines and sections of limited size; it throws if one is longer.
 *
 * @param parser The parser
 * @returns The reader of its lines
 */
export function createLineReader (parser: ParserState): LineReader {
  const partial = createByteCollector()
  let elementBytes = 0
  parser.consumeLine = () => {
    const { chunk, offset, state } = parser
    if (elementBytes === 0 && chunk[offset] === carriageReturn && chunk[offset + 1] === lineFeed) {
      parser.offset = offset + 2
      return ''
    }
    const lineEnd = chunk.indexOf(lineFeed, offset)
    parser.offset = lineEnd < 0 ? parser.end : lineEnd + 1
    elementBytes += parser.offset - offset
    const { description, maxBytes } = elements[state]!
    if (elementBytes > maxBytes) throw new Error(`Target sent ${elementBytes} bytes ${description}; the limit is ${maxBytes}`)
    if (lineEnd < 0) {
      partial.append(chunk.subarray(offset))
      return undefined
    }
    let line = chunk.toString('ascii', offset, lineEnd)
    if (partial.count() > 0) line = partial.take().toString('ascii') + line
    if (line.endsWith('\r')) line = line.slice(0, -1)
    if (line === '' || !sectionStates.has(state)) elementBytes = 0
    return line
  }
  return { isWithinLine: () => partial.count() > 0 }
}
