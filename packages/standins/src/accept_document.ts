/**
 * Puts documents on a platform as if an operator's submission had been accepted.
 *
 * @module
 */
import type { Platform } from '@bilberryworks/platform'
import type { AcceptedDocument, ServiceDocument } from '@bilberryworks/steering'
import { TableName, writeWithIndex } from '@bilberryworks/platform'
import { createShiftRow } from '@bilberryworks/steering'

/**
 * Writes a document in force, with its first shift row where it is the first revision.
 *
 * @param platform The platform
 * @param document The document
 * @param options Its revision; 1 by default
 */
export async function writeAcceptedDocument (platform: Platform, document: ServiceDocument, options: { revision?: number } = {}): Promise<void> {
  const { service } = document
  const { revision = 1 } = options
  const accepted: AcceptedDocument = { revision, document, acceptedAtMs: 0, author: 'standin', submissionId: `${service}-${revision}` }
  const shift = { table: TableName.Shifts, key: service, value: createShiftRow(accepted) }
  const writes = [{ table: TableName.Documents, key: service, value: accepted }, ...revision === 1 ? [shift] : []]
  const written = await writeWithIndex(platform, writes, index => ({
    ...index, revisions: { ...index.revisions, [service]: revision }, shifts: revision === 1 ? { ...index.shifts, [service]: 1 } : index.shifts
  }))
  if (written.isErr()) throw new Error(written.error.detail)
}
