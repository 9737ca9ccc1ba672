/**
 * Reads the lines of responses for `http-parser-js`, which by itself keeps lines and trailers of any length.
 *
 * @module
 */
import { createByteCollector } from '@bilberryworks/steering'
import { MalformedKind, MalformedResponseError } from './malformed_response.ts'

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
  /** Returns the number of lines that were read since the last call. */
  takeCount: () => number
}

/** Maximum size of a line, and of a header or trailer section, in bytes: well above the header limits of common servers. */
const maxElementBytes = 131_072
/** Maximum number of lines of a header section; fields take memory however short they are. */
const maxHeaderLines = 512
/** Maximum size of the line break at the end of a chunk, in bytes. */
const maxChunkEndBytes = 2
const lineFeed = 0x0a
const carriageReturn = 0x0d

/** What a line belongs to, by the state of the parser. */
const elements: Record<string, { kind: MalformedKind, description: string }> = {
  RESPONSE_LINE: { kind: MalformedKind.StatusLine, description: 'of a status line' },
  HEADER: { kind: MalformedKind.HeaderSection, description: 'of a header section' },
  BODY_CHUNKHEAD: { kind: MalformedKind.ChunkSize, description: 'of a chunk size with its extension' },
  BODY_CHUNKEMPTYLINE: { kind: MalformedKind.ChunkEnd, description: 'in place of the end of a chunk' },
  BODY_CHUNKTRAILERS: { kind: MalformedKind.TrailerSection, description: 'of a trailer section' }
}

/** Creates the error of an element that is too long. */
function createLengthError (state: string, { bytes, maxBytes }: { bytes: number, maxBytes: number }): MalformedResponseError {
  const { kind, description } = elements[state]!
  return new MalformedResponseError(kind, `Target sent ${bytes} bytes ${description}; the limit is ${maxBytes}`)
}

/**
 * Makes a parser read lines and sections of limited size; it throws if one is longer.
 *
 * @param parser The parser
 * @returns The reader of its lines
 */
export function createLineReader (parser: ParserState): LineReader {
  const partial = createByteCollector()
  let [elementBytes, elementLines, lines] = [0, 0, 0]
  parser.consumeLine = () => {
    const { chunk, offset, state } = parser
    if (elementBytes === 0 && chunk[offset] === carriageReturn && chunk[offset + 1] === lineFeed) {
      parser.offset = offset + 2
      lines++
      return ''
    }
    const lineEnd = chunk.indexOf(lineFeed, offset)
    parser.offset = lineEnd < 0 ? parser.end : lineEnd + 1
    elementBytes += parser.offset - offset
    const maxBytes = state === 'BODY_CHUNKEMPTYLINE' ? maxChunkEndBytes : maxElementBytes
    if (elementBytes > maxBytes) throw createLengthError(state, { bytes: elementBytes, maxBytes })
    if (lineEnd < 0) {
      partial.append(chunk.subarray(offset))
      return undefined
    }
    lines++
    const line = partial.count() > 0 ? takeLine(chunk.subarray(offset, lineEnd)) : chunk.toString('latin1', offset, chunk[lineEnd - 1] === carriageReturn && lineEnd > offset ? lineEnd - 1 : lineEnd)
    // The lines of a section are limited together; it ends with an empty line.
    if (line === '' || (state !== 'HEADER' && state !== 'BODY_CHUNKTRAILERS')) elementBytes = elementLines = 0
    else if (state === 'HEADER' && ++elementLines > maxHeaderLines) throw new MalformedResponseError(MalformedKind.HeaderSection, `Target sent more than ${maxHeaderLines} header fields`)
    return line
  }

  /** Takes the line that has begun in an earlier read, without its line break. */
  function takeLine (rest: Buffer): string {
    partial.append(rest)
    const line = partial.take().toString('latin1')
    return line.endsWith('\r') ? line.slice(0, -1) : line
  }

  return {
    isWithinLine: () => partial.count() > 0,
    takeCount () {
      const count = lines
      lines = 0
      return count
    }
  }
}
