/**
 * Reads a service document from a file.
 *
 * @module
 */
import type { DocumentFinding, ServiceDocument } from '@bilberryworks/steering'
import type { Result } from 'neverthrow'
import { readFileSync } from 'node:fs'
import { checkDocument } from '@bilberryworks/steering'
import { err, ok } from 'neverthrow'

/** Content of a document file. */
export interface DocumentFile {
  /** The document. */
  document: ServiceDocument
  /** Revision that was edited; `undefined` if the file does not state it. */
  baseRevision: number | undefined
}

/**
 * Reads and validates a document.
 *
 * The file contains a document, or the output of `get --json`: a document with its revision.
 *
 * @param path Path of the file
 * @returns The document, or all findings
 */
export function readDocument (path: string): Result<DocumentFile, DocumentFinding[]> {
  let value: unknown
  try {
    value = JSON.parse(readFileSync(path, 'utf8'))
  } catch (error) {
    return err([{ pointer: '', message: `File "${path}" can't be read or is not valid JSON: ${(error as Error).message}` }])
  }
  const wrapped = value as { document?: unknown, revision?: number } | null
  const isWrapped = typeof wrapped === 'object' && wrapped !== null && 'document' in wrapped
  const checked = checkDocument(isWrapped ? wrapped.document : value)
  if (checked.isErr()) return err(checked.error)
  return ok({ document: checked.value, baseRevision: isWrapped ? wrapped.revision : undefined })
}
