/**
 * The tables that the system keeps on the platform, and the one small row that every instance polls.
 *
 * @module
 */
import type { Result } from 'neverthrow'
import type { Platform, PlatformFailure, TableWrite } from './platform.ts'
import { err, ok } from 'neverthrow'
import { PlatformFailureKind } from './platform.ts'

/** Names of the tables. */
export enum TableName {
  /** `AcceptedDocument` by service. */
  Documents = 'documents',
  /** `SubmissionRow` by `Submission-Id`. */
  Submissions = 'submissions',
  /** `AcceptedDocument` by service and revision. */
  History = 'history',
  /** `ShiftRow` by service. */
  Shifts = 'shifts',
  /** `InstanceRecord` by instance and incarnation, joined by a slash: the heartbeats. */
  Instances = 'instances',
  /** Start count by instance, changed by each incarnation before its first heartbeat. */
  Starts = 'starts',
  /** `FeedRow` by failure domain: which instances feed its targets. */
  Feeds = 'feeds',
  /** Pins of idempotency keys that came without one, by scope and key. */
  Keys = 'keys',
  /** `ClientBlocksRow` by revision of the map of client blocks. */
  ClientBlocks = 'client_blocks',
  /** The index row. */
  Index = 'index'
}

/** An object of the object store that must not have changed. */
export interface ObjectReference {
  /** Name of the object. */
  object: string
  /** Size, in bytes. */
  bytes: number
  /** SHA-256 that the content ends with, in hexadecimal. */
  sha256: string
}

/** One revision of the map of client blocks, whose content is in the object store. */
export interface ClientBlocksRow {
  /** Revision, 1 for the first. */
  revision: number
  /** Newest revision up to this one that has a snapshot. */
  snapshotRevision: number
  /** The map whole, at revisions that have a snapshot. */
  snapshot?: ObjectReference
  /** What leads here from the revision before; absent where only the snapshot does. */
  difference?: ObjectReference
}

/**
 * Formats the key of a revision of the map of client blocks, so that keys sort by revision.
 *
 * @param revision Revision
 * @returns The key
 */
export function formatClientBlocksKey (revision: number): string {
  return String(revision).padStart(9, '0')
}

/** Key of the index row. */
export const indexKey = 'index'

/** The row that every instance polls; what changed is fetched after it. */
export interface IndexRow {
  /** Revision of the document, by service. */
  revisions: Record<string, number>
  /** Step of the shift row, by service. */
  shifts: Record<string, number>
  /** Epoch of the feed row, by failure domain. */
  feeds: Record<string, number>
  /** Counts the instances that joined or left; instances are listed anew where it changes. */
  members: number
  /** Revision of the map of client blocks; 0 where there is none. */
  clientBlocks: number
}

const emptyIndex: IndexRow = { revisions: {}, shifts: {}, feeds: {}, members: 0, clientBlocks: 0 }
const maxIndexAttempts = 8

/** The index row with its version. */
export interface VersionedIndex {
  /** Version to compare with; 0 where the row is absent. */
  version: number
  /** The row. */
  index: IndexRow
}

/**
 * Reads the index row.
 *
 * @param platform The platform
 * @returns The row with its version; an empty one where it is absent
 */
export async function readIndex (platform: Platform): Promise<Result<VersionedIndex, PlatformFailure>> {
  const row = await platform.readRow(TableName.Index, indexKey)
  return row.map(found => ({ version: found?.version ?? 0, index: { ...emptyIndex, ...found?.value as Partial<IndexRow> | undefined } }))
}

/**
 * Carries out writes and a change of the index row in one transaction.
 *
 * Tries again where only the index row was changed by somebody else meanwhile.
 *
 * @param platform The platform
 * @param writes Writes with their conditions
 * @param changeIndex Returns the changed index row; `undefined` where the row does not allow the writes
 * @returns Nothing, or the failure; `Conflict` means that nothing was written, since a condition of `writes` did not hold or `changeIndex` did not allow it
 */
export async function writeWithIndex (platform: Platform, writes: TableWrite[], changeIndex: (index: IndexRow) => IndexRow | undefined): Promise<Result<void, PlatformFailure>> {
  for (let attempt = 0; attempt < maxIndexAttempts; attempt++) {
    const current = await readIndex(platform)
    if (current.isErr()) return err({ ...current.error, kind: PlatformFailureKind.Unavailable })
    const value = changeIndex(current.value.index)
    if (value === undefined) return err({ kind: PlatformFailureKind.Conflict, detail: 'Index row does not allow the writes', conflicts: [{ table: TableName.Index, key: indexKey }] })
    const indexWrite = { table: TableName.Index, key: indexKey, ifVersion: current.value.version, value }
    const written = await platform.writeRows([...writes, indexWrite])
    if (written.isOk()) return ok(undefined)
    const isIndexConflictOnly = written.error.conflicts?.every(conflict => conflict.table === TableName.Index) === true
    if (!isIndexConflictOnly) return err(written.error)
  }
  return err({ kind: PlatformFailureKind.Unavailable, detail: `Index row was changed by others ${maxIndexAttempts} times in a row` })
}
