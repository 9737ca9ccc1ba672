/**
 * Writes service documents to a platform without a submission through the operators' interface.
 *
 * @module
 */
import type { Platform } from '@bilberryworks/platform'
import type { AcceptedDocument, ServiceDocument } from '@bilberryworks/steering'
import { TableName, writeWithIndex } from '@bilberryworks/platform'
import { createShiftRow } from '@bilberryworks/steering'

/**
 * Writes a document as the accepted revision of its service, together with the index row. Revision 1 also writes the
 * first shift row of the service.
 *
 * @param platform Platform to write to
 * @param document Document to write
 * @param options Revision of the document; 1 by default
 * @throws {Error} If the platform does not accept the rows
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
