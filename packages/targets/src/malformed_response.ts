/**
 * Errors of bytes that are no valid response.
 *
 * @module
 */

/** What a target sent that is not a valid response. */
export enum MalformedKind {
  /** A status line that is too long. */
  StatusLine = 'status_line',
  /** A header section that is too long. */
  HeaderSection = 'header_section',
  /** A chunk size that is too long with its extension. */
  ChunkSize = 'chunk_size',
  /** Bytes in place of the end of a chunk. */
  ChunkEnd = 'chunk_end',
  /** A trailer section that is too long. */
  TrailerSection = 'trailer_section',
  /** Too many bytes besides the response body. */
  Overhead = 'overhead',
  /** Bytes that break the rules of HTTP, or belong to no request. */
  Invalid = 'invalid'
}

/** Error of bytes of a target that exceed a limit. */
export class MalformedResponseError extends Error {
  /** What was sent. */
  readonly kind: MalformedKind

  /**
   * Creates an error.
   *
   * @param kind What was sent
   * @param message What was sent, and how much
   */
  constructor (kind: MalformedKind, message: string) {
    super(message)
    this.name = 'MalformedResponseError'
    this.kind = kind
  }
}

/**
 * Returns what a target sent, by the error of the parser.
 *
 * @param error The error
 * @returns The kind
 */
export function getMalformedKind (error: Error): MalformedKind {
  return error instanceof MalformedResponseError ? error.kind : MalformedKind.Invalid
}
