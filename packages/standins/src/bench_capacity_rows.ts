/**
 * Measures the size of rows on the platform, from which the cost of reading and writing them is calculated.
 *
 * @module
 */
import type { AcceptedDocument, OwnershipAssignment, OwnershipRow } from '@bilberryworks/steering'
import type { AddTable } from './bench_capacity_report.ts'
import { createShiftRow } from '@bilberryworks/steering'
import { createDocument, deployments } from './deployments.ts'

const ownerCounts = [1, 5, 8, 20, 55]
const candidateCount = 4
const sampleService = 'service-100'

/** Measures the JSON size of document, shift and ownership rows. */
export async function measureRows (addTable: AddTable): Promise<void> {
  const document = { ...createDocument(deployments.kutiyka, deployments.kutiyka.services[0]), service: sampleService }
  const acceptedDocument: AcceptedDocument = { revision: 100, document, acceptedAtMs: 1_790_000_000_000, author: 'operations', submissionId: 'b8a4f3a2-5a1b-4a0e-8f5e-2f6f3f0a7c11' }
  addTable('Rows of one service, in bytes', [{
    document: countBytes(acceptedDocument),
    shift: countBytes(createShiftRow(acceptedDocument)),
    indexEntries: countBytes({ revisions: { [sampleService]: 100 }, shifts: { [sampleService]: 100 } }) - countBytes({ revisions: {}, shifts: {} }) + 2
  }])
  addTable('Ownership row of a failure domain, by number of owners', ownerCounts.map(feeders => ({ feeders, bytes: countBytes(createOwnershipRow(feeders)) })))
}

/** Creates the row of a failure domain in which all instances are owners and none still runs requests on targets that it does not own. */
function createOwnershipRow (owners: number): OwnershipRow {
  const names = Array.from({ length: owners }, (_, index) => `node-${100 + index}`)
  const assignment: OwnershipAssignment = { feeders: names, candidates: names.slice(0, candidateCount) }
  return {
    failureDomain: 'site-3',
    revision: 100,
    assignment,
    parties: Object.fromEntries(names.map(name => [name, { assignment, busy: {}, silent: false }]))
  }
}

function countBytes (value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value))
}
