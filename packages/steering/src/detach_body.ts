/**
 * Streams a message body to a consumer that may destroy its stream, without destroying the source.
 *
 * @module
 */
import { Readable } from 'node:stream'

/** Options of {@linkcode detachBody}. */
export interface DetachBodyOptions {
  /** Called with each chunk before the consumer gets it. */
  observeChunk?: (chunk: Buffer) => void
  /** Called after the consumer has read the whole body. */
  observeEnd?: () => void
}

/**
 * Creates a stream of the bytes of a body that can be destroyed without destroying the body.
 *
 * An HTTP client destroys the body of a request that fails. The body of a caller's request is tied to the caller's
 * connection, and destroying it would close the connection before the response to the caller has been sent.
 *
 * @param source The body; read only as fast as the new stream is read
 * @param options Callbacks that observe the chunks and the end of the body
 * @returns The stream; fails if the source fails
 */
export function detachBody (source: Readable, options: DetachBodyOptions = {}): Readable {
  async function * copyChunks (): AsyncGenerator<Buffer> {
    for await (const chunk of readChunks(source)) {
      options.observeChunk?.(chunk)
      yield chunk
    }
    options.observeEnd?.()
  }
  return Readable.from(copyChunks(), { objectMode: false })
}

/**
 * Reads the chunks of a body without destroying it.
 *
 * @param source The body
 * @returns The chunks
 * @throws {Error} If the body is truncated, or another reader consumes or drops the rest of it
 */
export async function * readChunks (source: Readable): AsyncGenerator<Buffer> {
  const listener = (): void => {}
  source.on('readable', listener)
  try {
    for await (const chunk of source.iterator({ destroyOnReturn: false })) yield chunk as Buffer
    // The iterator also ends without an error if another reader removed the listeners and consumed the rest.
    if (!source.readableEnded || !source.listeners('readable').includes(listener)) throw new Error('Body was truncated, or another reader consumed the rest of it')
  } finally {
    source.off('readable', listener)
  }
}
