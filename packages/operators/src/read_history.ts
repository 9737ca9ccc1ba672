/**
 * Reads the change history of a service's document.
 *
 * @module
 */
import type { Platform, PlatformFailure } from '@bilberryworks/platform'
import type { AcceptedDocument, Difference } from '@bilberryworks/steering'
import type { Result } from 'neverthrow'
import { TableName } from '@bilberryworks/platform'
import { diffDocuments } from '@bilberryworks/steering'

/** One change of a document. */
export interface HistoryEntry {
  /** Revision that the change created. */
  revision: number
  /** Name of the token that submitted the change. */
  author: string
  /** Wall-clock time of acceptance, in milliseconds since the epoch. */
  acceptedAtMs: number
  /** `Submission-Id` of the request. */
  submissionId: string
  /** Differences from the previous revision; for the first one, from an empty document. */
  changes: Difference[]
}

/**
 * Reads the change history of a service's document.
 *
 * @param platform The platform
 * @param service Name of the service
 * @returns The changes, oldest first
 */
export async function readHistory (platform: Platform, service: string): Promise<Result<HistoryEntry[], PlatformFailure>> {
  const rows = await platform.listRows(TableName.History, `${service}/`)
  return rows.map(found => createHistoryEntries(found.map(row => row.value as AcceptedDocument)))
}

function createHistoryEntries (revisions: AcceptedDocument[]): HistoryEntry[] {
  return revisions.map(({ revision, author, acceptedAtMs, submissionId, document }, index) => {
    return { revision, author, acceptedAtMs, submissionId, changes: diffDocuments(revisions[index - 1]?.document ?? {}, document) }
  })
}
