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
    for await (const chunk of source.iterator({ destroyOnReturn: false })) {
      options.observeChunk?.(chunk as Buffer)
      yield chunk as Buffer
    }
    options.observeEnd?.()
  }
  return Readable.from(copyChunks(), { objectMode: false })
}
