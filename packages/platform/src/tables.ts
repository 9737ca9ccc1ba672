/**
 * The tables that the instances keep on the platform, and the index row that every instance polls for changes.
 *
 * @module
 */
import type { Result } from 'neverthrow'
import type { Platform, PlatformFailure, TableWrite } from './platform.ts'
import { setTimeout as wait } from 'node:timers/promises'
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
  /** Heartbeats: `InstanceRecord` by instance and incarnation, joined by a slash. */
  Instances = 'instances',
  /** Number of starts by instance, incremented by each incarnation before its first heartbeat. */
  Starts = 'starts',
  /** `OwnershipRow` by failure domain: which instances own its targets. */
  Feeds = 'feeds',
  /** Pins of idempotency keys that were sent without a pin, by scope and key. */
  Keys = 'keys',
  /** `ClientBlocksRow` by revision of the map of client blocks. */
  ClientBlocks = 'client_blocks',
  /** The index row. */
  Index = 'index'
}

/** Reference to an immutable object of the object store. */
export interface ObjectReference {
  /** Name of the object. */
  object: string
  /** Size of the object, in bytes. */
  bytes: number
  /** SHA-256 digest of the content, as stored at the end of the object, in hexadecimal. */
  sha256: string
}

/** One revision of the map of client blocks. Its content is in the object store. */
export interface ClientBlocksRow {
  /** Number of the revision, 1 for the first. */
  revision: number
  /** Latest revision up to this one that has a snapshot. */
  snapshotRevision: number
  /** The complete map, if this revision has a snapshot. */
  snapshot?: ObjectReference
  /** Difference from the previous revision; absent if this revision can only be loaded from its snapshot. */
  difference?: ObjectReference
}

/**
 * Formats the key of a revision of the map of client blocks. Pads the revision with zeros, so that keys sort by revision.
 *
 * @param revision Revision of the map
 * @returns The key
 */
export function formatClientBlocksKey (revision: number): string {
  return String(revision).padStart(9, '0')
}

/** Key of the index row. */
export const indexKey = 'index'

/** The row that every instance polls. An instance then fetches only the rows whose number here has changed. */
export interface IndexRow {
  /** Revision of the document, by service. */
  revisions: Record<string, number>
  /** Step of the shift row, by service. */
  shifts: Record<string, number>
  /** Epoch of the ownership row, by failure domain. */
  feeds: Record<string, number>
  /** Number of joins and departures of instances so far; when it changes, the instances are listed again. */
  members: number
  /** Revision of the map of client blocks; 0 if there is none. */
  clientBlocks: number
}

const emptyIndex: IndexRow = { revisions: {}, shifts: {}, feeds: {}, members: 0, clientBlocks: 0 }
const defaultLimitMs = 5_000
/** Longest pause before the second attempt, and before any attempt, in milliseconds. */
const firstPauseMs = 20
const maxPauseMs = 1_000

/** Options of {@linkcode writeWithIndex}. */
export interface WriteWithIndexOptions {
  /** Time after which no further attempt is made, in milliseconds; 5,000 by default. */
  limitMs?: number
  /** Returns a random number in [0, 1); `Math.random` by default. */
  getRandom?: () => number
}

/** The index row with its version. */
export interface VersionedIndex {
  /** Version of the row, for a precondition; 0 if the row is absent. */
  version: number
  /** Value of the row. */
  index: IndexRow
}

/**
 * Reads the index row.
 *
 * @param platform The platform
 * @returns The row with its version; an empty row with version 0 if it is absent
 */
export async function readIndex (platform: Platform): Promise<Result<VersionedIndex, PlatformFailure>> {
  const row = await platform.readRow(TableName.Index, indexKey)
  return row.map(found => ({ version: found?.version ?? 0, index: { ...emptyIndex, ...found?.value as Partial<IndexRow> | undefined } }))
}

/**
 * Executes writes and an update of the index row in one transaction.
 *
 * Tries again if only the index row was changed concurrently, after a random pause whose longest value doubles each time, so
 * that many writers at once come through one after another.
 *
 * @param platform The platform
 * @param writes Writes with their preconditions
 * @param changeIndex Returns the updated index row, or `undefined` if the current row does not allow the writes
 * @param options Time limit and randomness
 * @returns Nothing, or the failure; `Conflict` means that nothing was written, because a precondition of `writes` failed or `changeIndex` did not allow the writes
 */
export async function writeWithIndex (platform: Platform, writes: TableWrite[], changeIndex: (index: IndexRow) => IndexRow | undefined, { limitMs = defaultLimitMs, getRandom = Math.random }: WriteWithIndexOptions = {}): Promise<Result<void, PlatformFailure>> {
  const startedAtMs = performance.now()
  for (let attempt = 1; ; attempt++) {
    const current = await readIndex(platform)
    if (current.isErr()) return err({ ...current.error, kind: PlatformFailureKind.Unavailable })
    const value = changeIndex(current.value.index)
    if (value === undefined) return err({ kind: PlatformFailureKind.Conflict, detail: 'Index row does not allow the writes', conflicts: [{ table: TableName.Index, key: indexKey }] })
    const indexWrite = { table: TableName.Index, key: indexKey, ifVersion: current.value.version, value }
    const written = await platform.writeRows([...writes, indexWrite])
    if (written.isOk()) return ok(undefined)
    const isIndexConflictOnly = written.error.conflicts?.every(conflict => conflict.table === TableName.Index) === true
    if (!isIndexConflictOnly) return err(written.error)
    const pauseMs = getRandom() * Math.min(maxPauseMs, firstPauseMs * 2 ** (attempt - 1))
    if (performance.now() + pauseMs - startedAtMs > limitMs) return err({ kind: PlatformFailureKind.Unavailable, detail: `Index row was changed concurrently during each of ${attempt} attempts within ${limitMs} ms` })
    await wait(pauseMs)
  }
}
