/**
 * Passes a body on without handing over its source.
 *
 * @module
 */
import { Readable } from 'node:stream'

/** Options of {@linkcode detachBody}. */
export interface DetachBodyOptions {
  /** Called with each chunk that is passed on. */
  observeChunk?: (chunk: Buffer) => void
  /** Called when the whole body has been passed on. */
  observeEnd?: () => void
}

/**
 * Creates a stream that reads a body only when it is read itself.
 *
 * An HTTP client destroys the body of a request that fails. The body of a message from a caller is tied to the
 * caller's connection, over which an answer is still to be sent: destroying the detached stream leaves it open.
 *
 * @param source The body
 * @param options What to observe
 * @returns A stream with the same bytes and back-pressure, which fails where the source fails
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
 * Reads a body without destroying it.
 *
 * @param source The body
 * @returns Its chunks; fails where the body is cut off or its rest is dropped by another reader
 */
export async function * readChunks (source: Readable): AsyncGenerator<Buffer> {
  const mark = (): void => {}
  source.on('readable', mark)
  try {
    for await (const chunk of source.iterator({ destroyOnReturn: false })) yield chunk as Buffer
    // The iterator also ends cleanly where another reader removed the listeners and took the rest.
    if (!source.readableEnded || !source.listeners('readable').includes(mark)) throw new Error('Rest of the body was dropped')
  } finally {
    source.off('readable', mark)
  }
}
