/**
 * Writes a target's answer to a caller: held back while it is short, so that a cut one never reaches the caller, else streamed.
 *
 * @module
 */
import type { ResponseHead } from '@bilberryworks/targets'
import type { ServerResponse } from 'node:http'
import { hopByHopFields } from '@bilberryworks/callers'

/** Writes an answer. */
export interface ResponseWriter {
  /** Takes a part of the body. */
  write (part: Buffer): void
  /** Ends the answer; it was received whole. */
  end (): void
  /** Tells whether a part of the answer may have reached the caller. */
  isCommitted (): boolean
}

/** Options of {@linkcode createResponseWriter}. */
export interface CreateResponseWriterOptions {
  /** Called when the answer begins to go out. */
  onCommit: () => void
  /** Stops or goes on reading the answer from the target. */
  setPaused: (paused: boolean) => void
}

/** Longest answer that is held back until it is whole, in bytes: bounds the memory of an answer whose caller reads slowly. */
const maxBufferedBytes = 65_536

/**
 * Creates the writer of one answer.
 *
 * @param response The answer to the caller
 * @param head The target's status and header fields
 * @param options What to call
 * @returns The writer
 */
export function createResponseWriter (response: ServerResponse, head: ResponseHead, options: CreateResponseWriterOptions): ResponseWriter {
  let buffered: Buffer[] = []
  let bufferedBytes = 0
  let isCommitted = false

  function startResponse (totalBytes: number | undefined): void {
    isCommitted = true
    options.onCommit()
    response.sendDate = false
    const fields = listEndToEndFields(head)
    const length = head.contentLength ?? totalBytes
    if (length !== undefined && isContentLengthAllowed(head.status)) fields.push('Content-Length', String(length))
    response.writeHead(head.status, fields)
  }

  return {
    write (part) {
      if (!isCommitted) {
        buffered.push(part)
        bufferedBytes += part.length
        if (bufferedBytes <= maxBufferedBytes) return
        startResponse(undefined)
        for (const earlier of buffered) response.write(earlier)
        buffered = []
      } else if (!response.write(part)) {
        options.setPaused(true)
        response.once('drain', () => options.setPaused(false))
      }
    },
    end () {
      if (!isCommitted) startResponse(bufferedBytes)
      response.end(buffered.length > 0 ? Buffer.concat(buffered) : undefined)
    },
    isCommitted: () => isCommitted
  }
}

/** Statuses 1xx, 204 and 304 have no body; a length of 0 beside 304 would be taken for that of the other answer. */
function isContentLengthAllowed (status: number): boolean {
  return status >= 200 && status !== 204 && status !== 304
}

function listEndToEndFields (head: ResponseHead): string[] {
  const connectionFields = new Set((head.fields['connection'] ?? '').toLowerCase().split(',').map(name => name.trim()))
  const fields: string[] = []
  for (let index = 0; index < head.rawHeaders.length; index += 2) {
    const name = head.rawHeaders[index]!
    const lower = name.toLowerCase()
    if (lower === 'content-length' || connectionFields.has(lower) || hopByHopFields.has(lower)) continue
    fields.push(name, head.rawHeaders[index + 1]!)
  }
  return fields
}
