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
const holdBytes = 65_536

/**
 * Creates the writer of one answer.
 *
 * @param response The answer to the caller
 * @param head The target's status and header fields
 * @param options What to call
 * @returns The writer
 */
export function createResponseWriter (response: ServerResponse, head: ResponseHead, options: CreateResponseWriterOptions): ResponseWriter {
  let held: Buffer[] = []
  let heldBytes = 0
  let committed = false

  function startAnswer (wholeBytes: number | undefined): void {
    committed = true
    options.onCommit()
    response.sendDate = false
    const fields = listEndToEnd(head)
    const length = head.contentLength ?? wholeBytes
    if (length !== undefined && isLengthAllowed(head.status)) fields.push('Content-Length', String(length))
    response.writeHead(head.status, fields)
  }

  return {
    write (part) {
      if (!committed) {
        held.push(part)
        heldBytes += part.length
        if (heldBytes <= holdBytes) return
        startAnswer(undefined)
        for (const earlier of held) response.write(earlier)
        held = []
      } else if (!response.write(part)) {
        options.setPaused(true)
        response.once('drain', () => options.setPaused(false))
      }
    },
    end () {
      if (!committed) startAnswer(heldBytes)
      response.end(held.length > 0 ? Buffer.concat(held) : undefined)
    },
    isCommitted: () => committed
  }
}

/** Statuses 1xx, 204 and 304 have no body; a length of 0 beside 304 would be taken for that of the other answer. */
function isLengthAllowed (status: number): boolean {
  return status >= 200 && status !== 204 && status !== 304
}

function listEndToEnd (head: ResponseHead): string[] {
  const named = new Set((head.fields['connection'] ?? '').toLowerCase().split(',').map(name => name.trim()))
  const fields: string[] = []
  for (let index = 0; index < head.rawHeaders.length; index += 2) {
    const name = head.rawHeaders[index]!
    const lower = name.toLowerCase()
    if (lower === 'content-length' || named.has(lower) || hopByHopFields.has(lower)) continue
    fields.push(name, head.rawHeaders[index + 1]!)
  }
  return fields
}
