/**
 * Loads a revision of the map of client blocks. Decodes it in slices, so that the event loop is not blocked.
 *
 * @module
 */
import type { ClientBlocks, ClientBlocksDifference } from '@bilberryworks/steering'
import type { Result } from 'neverthrow'
import type { Platform } from './platform.ts'
import type { ClientBlocksRow, ObjectReference } from './tables.ts'
import { setImmediate } from 'node:timers/promises'
import { applyClientBlocksDifference, decodeDifference, decodeSnapshot, readDigest } from '@bilberryworks/steering'
import { err, ok } from 'neverthrow'
import { formatClientBlocksKey, TableName } from './tables.ts'

/** Result of an attempt to load the map. */
export enum ClientBlocksLoadResult {
  /** The map in force was updated by differences. */
  Differences = 'differences',
  /** The map was loaded from a snapshot. */
  Snapshot = 'snapshot',
  /** A call to the platform failed. */
  Unavailable = 'unavailable',
  /** A row or object is missing, corrupt, or of another revision than expected. */
  Damaged = 'damaged'
}

/** Options of {@linkcode loadClientBlocks}. */
export interface LoadClientBlocksOptions {
  /** The map in force, or an empty map if there is none. */
  base: ClientBlocks
  /** Revision to load. */
  revision: number
}

/** A loaded map. */
export interface LoadedClientBlocks {
  /** The map. */
  blocks: ClientBlocks
  /** Row of the map's revision. */
  row: ClientBlocksRow
  /** Whether differences or a snapshot were used. */
  load: ClientBlocksLoadResult
}

/** A failed attempt to load the map. */
export interface ClientBlocksFailure {
  /** Whether the platform failed or the content is damaged. */
  load: ClientBlocksLoadResult.Unavailable | ClientBlocksLoadResult.Damaged
  /** The cause, in one sentence. */
  detail: string
}

const maxDifferences = 8
const objectTimeoutMs = 60_000

/**
 * Loads a revision of the map, without retries.
 *
 * Applies differences to the map in force if that is at most 8 revisions behind. Otherwise, or if a difference is damaged,
 * loads the latest snapshot up to the revision and applies the differences after it.
 *
 * @param platform The platform
 * @param options The map in force and the revision to load
 * @returns The map of that revision, or why it can't be loaded
 */
export async function loadClientBlocks (platform: Platform, options: LoadClientBlocksOptions): Promise<Result<LoadedClientBlocks, ClientBlocksFailure>> {
  const { base, revision: wantedRevision } = options
  const wantedRow = await readBlocksRow(platform, wantedRevision)
  if (wantedRow.isErr()) return err(wantedRow.error)
  const revisionsBehind = wantedRevision - base.revision
  const canApplyDifferences = base.revision > 0 && revisionsBehind <= maxDifferences
  if (canApplyDifferences) {
    const updated = await applyDifferences(platform, { base, wantedRow: wantedRow.value })
    if (updated.isOk()) return ok({ blocks: updated.value, row: wantedRow.value, load: ClientBlocksLoadResult.Differences })
    if (updated.error.load === ClientBlocksLoadResult.Unavailable) return err(updated.error)
  }
  const snapshot = await loadSnapshot(platform, wantedRow.value)
  if (snapshot.isErr()) return err(snapshot.error)
  const current = await applyDifferences(platform, { base: snapshot.value, wantedRow: wantedRow.value })
  return current.map(blocks => ({ blocks, row: wantedRow.value, load: ClientBlocksLoadResult.Snapshot }))
}

async function loadSnapshot (platform: Platform, wantedRow: ClientBlocksRow): Promise<Result<ClientBlocks, ClientBlocksFailure>> {
  const row = wantedRow.snapshotRevision === wantedRow.revision ? ok<ClientBlocksRow, ClientBlocksFailure>(wantedRow) : await readBlocksRow(platform, wantedRow.snapshotRevision)
  if (row.isErr()) return err(row.error)
  const bytes = await readContent(platform, row.value.snapshot)
  if (bytes.isErr()) return err(bytes.error)
  const decoded = await runInSlices(decodeSnapshot(bytes.value))
  if (decoded.isErr()) return fail(ClientBlocksLoadResult.Damaged, decoded.error)
  if (decoded.value.revision !== row.value.revision) return fail(ClientBlocksLoadResult.Damaged, `Snapshot has revision ${decoded.value.revision}, expected ${row.value.revision}`)
  return ok(decoded.value)
}

async function applyDifferences (platform: Platform, state: { base: ClientBlocks, wantedRow: ClientBlocksRow }): Promise<Result<ClientBlocks, ClientBlocksFailure>> {
  let blocks = state.base
  while (blocks.revision < state.wantedRow.revision) {
    const revision = blocks.revision + 1
    const row = revision === state.wantedRow.revision ? ok<ClientBlocksRow, ClientBlocksFailure>(state.wantedRow) : await readBlocksRow(platform, revision)
    if (row.isErr()) return err(row.error)
    const bytes = await readContent(platform, row.value.difference)
    if (bytes.isErr()) return err(bytes.error)
    const decoded = await runInSlices(decodeDifference(bytes.value))
    if (decoded.isErr()) return fail(ClientBlocksLoadResult.Damaged, decoded.error)
    if (!isSuccessor(decoded.value, blocks)) return fail(ClientBlocksLoadResult.Damaged, `Difference to revision ${decoded.value.revision} does not apply to revision ${blocks.revision}`)
    blocks = await runInSlices(applyClientBlocksDifference(blocks, decoded.value))
  }
  return ok(blocks)
}

function isSuccessor (difference: ClientBlocksDifference, base: ClientBlocks): boolean {
  return difference.baseRevision === base.revision && difference.revision === base.revision + 1 && difference.baseOrders === base.orders.length
}

async function readBlocksRow (platform: Platform, revision: number): Promise<Result<ClientBlocksRow, ClientBlocksFailure>> {
  const row = await platform.readRow(TableName.ClientBlocks, formatClientBlocksKey(revision))
  if (row.isErr()) return fail(ClientBlocksLoadResult.Unavailable, row.error.detail)
  if (row.value === undefined) return fail(ClientBlocksLoadResult.Damaged, `Row of the map of client blocks at revision ${revision} is missing`)
  return ok(row.value.value as ClientBlocksRow)
}

async function readContent (platform: Platform, reference: ObjectReference | undefined): Promise<Result<Uint8Array, ClientBlocksFailure>> {
  if (reference === undefined) return fail(ClientBlocksLoadResult.Damaged, 'Row of the map of client blocks lacks the reference to its snapshot or difference')
  const bytes = await platform.readObject(reference.object, { timeoutMs: objectTimeoutMs })
  if (bytes.isErr()) return fail(ClientBlocksLoadResult.Unavailable, bytes.error.detail)
  if (bytes.value === undefined) return fail(ClientBlocksLoadResult.Damaged, `Object "${reference.object}" is missing`)
  if (bytes.value.length !== reference.bytes || readDigest(bytes.value) !== reference.sha256) return fail(ClientBlocksLoadResult.Damaged, `Object "${reference.object}" differs in size or SHA-256 digest from its row`)
  return ok(bytes.value)
}

function fail<T> (load: ClientBlocksFailure['load'], detail: string): Result<T, ClientBlocksFailure> {
  return err({ load, detail })
}

/**
 * Runs a generator to its end. Yields to the event loop between two of its steps.
 *
 * @param work The generator
 * @returns The return value of the generator
 */
export async function runInSlices<T> (work: Generator<void, T>): Promise<T> {
  for (;;) {
    const step = work.next()
    if (step.done === true) return step.value
    await setImmediate()
  }
}
