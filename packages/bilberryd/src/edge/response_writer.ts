/**
 * Writes the response of a target to the caller. A short response is buffered until it is complete, so that the request
 * can be retried or refused if the target's connection breaks; a longer response is streamed.
 *
 * @module
 */
import type { ResponseHead } from '@bilberryworks/targets'
import type { ServerResponse } from 'node:http'
import { drainRequestBody, hopByHopFields } from '@bilberryworks/callers'
import { createByteCollector } from '@bilberryworks/steering'
import { relayField } from './relay_message.ts'

/** Writes a response to the caller. */
export interface ResponseWriter {
  /** Buffers or sends a chunk of the body. */
  write (part: Buffer): void
  /** Ends the response after it was received completely. */
  end (): void
  /** Returns whether a part of the response may have been sent to the caller. */
  isCommitted (): boolean
}

/** Options of {@linkcode createResponseWriter}. */
export interface CreateResponseWriterOptions {
  /** Called immediately before the response head is sent. */
  onCommit: () => void
  /** Pauses or resumes reading the response from the target. */
  setPaused: (paused: boolean) => void
  /** Names and values of header fields to add; none by default. */
  addedFields?: string[]
}

/** Size up to which a response is buffered until it is complete, in bytes; limits the memory per response if the caller reads slowly. */
const maxBufferedBytes = 65_536

/**
 * Creates a writer for one response.
 *
 * @param response Response to the caller
 * @param head Response head received from the target
 * @param options Callbacks
 * @returns The writer
 */
export function createResponseWriter (response: ServerResponse, head: ResponseHead, options: CreateResponseWriterOptions): ResponseWriter {
  const buffered = createByteCollector()
  let isCommitted = false

  function startResponse (totalBytes: number | undefined): void {
    isCommitted = true
    options.onCommit()
    response.sendDate = false
    const fields = [...listEndToEndFields(head), ...options.addedFields ?? []]
    const length = head.contentLength ?? totalBytes
    if (length !== undefined && isContentLengthAllowed(head.status)) fields.push('Content-Length', String(length))
    response.writeHead(head.status, fields)
  }

  return {
    write (part) {
      if (!isCommitted) {
        if (buffered.count() + part.length <= maxBufferedBytes) return buffered.append(part)
        startResponse(undefined)
        if (buffered.count() > 0) response.write(buffered.take())
      }
      if (response.write(part)) return
      options.setPaused(true)
      response.once('drain', () => options.setPaused(false))
    },
    end () {
      if (!isCommitted) startResponse(buffered.count())
      response.end(buffered.count() > 0 ? buffered.take() : undefined)
      drainRequestBody(response)
    },
    isCommitted: () => isCommitted
  }
}

/** Responses with status 1xx, 204 and 304 have no body. In a 304 response Content-Length would state the size of the full representation, so 0 would be wrong. */
function isContentLengthAllowed (status: number): boolean {
  return status >= 200 && status !== 204 && status !== 304
}

function listEndToEndFields (head: ResponseHead): string[] {
  const connectionFields = new Set((head.fields['connection'] ?? '').toLowerCase().split(',').map(name => name.trim()))
  const fields: string[] = []
  for (let index = 0; index < head.rawHeaders.length; index += 2) {
    const name = head.rawHeaders[index]!
    const lower = name.toLowerCase()
    if (lower === 'content-length' || lower === relayField || connectionFields.has(lower) || hopByHopFields.has(lower)) continue
    fields.push(name, head.rawHeaders[index + 1]!)
  }
  return fields
}
