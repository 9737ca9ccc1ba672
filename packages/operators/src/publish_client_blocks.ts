/**
 * Publishes a revision of the map of client blocks: objects first, then its row and the index row.
 *
 * Building takes seconds of a core for millions of blocks; run it in a tool, not in an instance.
 *
 * @module
 */
import type { ClientBlocksFailure, ClientBlocksRow, ObjectReference, Platform, PlatformFailure } from '@bilberryworks/platform'
import type { ClientBlockEntry, ClientBlockFinding, ClientBlocks } from '@bilberryworks/steering'
import type { Result } from 'neverthrow'
import { ClientBlocksLoad, formatClientBlocksKey, loadClientBlocks, PlatformFailureKind, readIndex, TableName, writeWithIndex } from '@bilberryworks/platform'
import { buildClientBlocks, createEmptyBlocks, diffClientBlocks, encodeDifference, encodeSnapshot, maxOrders, readDigest } from '@bilberryworks/steering'
import { err, ok } from 'neverthrow'

/** Why a map was not published. */
export enum PublishFailureKind {
  /** The list has faults; nothing was written. */
  Findings = 'findings',
  /** Another publication came first. */
  RevisionConflict = 'revision_conflict',
  /** Nothing was published. */
  NotRun = 'not_run',
  /** It can't be told whether it was published; read the index row. */
  Unknown = 'unknown'
}

/** A map that was not published. */
export interface PublishFailure {
  /** Why. */
  kind: PublishFailureKind
  /** One sentence for the operator. */
  detail: string
  /** What is wrong with the list. */
  findings: ClientBlockFinding[]
}

/** Revisions from one snapshot to the next. */
const snapshotInterval = 8
const objectTimeoutMs = 60_000

/** A map that is in force, with its row. */
interface PublishedMap {
  blocks: ClientBlocks
  row: ClientBlocksRow | undefined
}

/**
 * Publishes a new map in the place of the one in force.
 *
 * @param platform The platform
 * @param entries The blocks of the new map
 * @returns The row of the new revision, or why there is none
 */
export async function publishClientBlocks (platform: Platform, entries: ClientBlockEntry[]): Promise<Result<ClientBlocksRow, PublishFailure>> {
  const current = await readPublishedMap(platform)
  if (current.isErr()) return fail(PublishFailureKind.NotRun, current.error.detail)
  const { blocks: base, row: baseRow } = current.value
  const revision = base.revision + 1
  const built = buildClientBlocks(entries, { revision, knownOrders: base.orders })
  const rebuilt = built.isErr() && base.orders.length > maxOrders / 2 ? buildClientBlocks(entries, { revision }) : built
  if (rebuilt.isErr()) return fail(PublishFailureKind.Findings, 'List of blocks has faults', rebuilt.error)
  const blocks = rebuilt.value
  const canWriteDifference = baseRow !== undefined && rebuilt === built
  const isSnapshotDue = !canWriteDifference || revision - baseRow.snapshotRevision >= snapshotInterval
  const row: ClientBlocksRow = { revision, snapshotRevision: isSnapshotDue ? revision : baseRow.snapshotRevision }
  if (canWriteDifference) {
    const written = await writeContent(platform, encodeDifference(diffClientBlocks(base, blocks)))
    if (written.isErr()) return fail(PublishFailureKind.NotRun, written.error.detail)
    row.difference = written.value
  }
  if (isSnapshotDue) {
    const written = await writeContent(platform, encodeSnapshot(blocks))
    if (written.isErr()) return fail(PublishFailureKind.NotRun, written.error.detail)
    row.snapshot = written.value
  }
  const write = { table: TableName.ClientBlocks, key: formatClientBlocksKey(revision), ifVersion: 0, value: row }
  const published = await writeWithIndex(platform, [write], index => ({ ...index, clientBlocks: revision }))
  return published.map(() => row).mapErr(describeFailure)
}

/** Reads the map in force; where its content is damaged, an empty map of its revision. */
async function readPublishedMap (platform: Platform): Promise<Result<PublishedMap, PlatformFailure | ClientBlocksFailure>> {
  const current = await readIndex(platform)
  if (current.isErr()) return err(current.error)
  const revision = current.value.index.clientBlocks
  const empty = createEmptyBlocks()
  if (revision === 0) return ok({ blocks: empty, row: undefined })
  const loaded = await loadClientBlocks(platform, { base: empty, wanted: revision })
  if (loaded.isErr() && loaded.error.load === ClientBlocksLoad.Damaged) return ok({ blocks: { ...empty, revision }, row: undefined })
  return loaded
}

/** Writes an object under its digest, so that writers of the same revision can't overwrite each other's. */
async function writeContent (platform: Platform, content: Uint8Array): Promise<Result<ObjectReference, PlatformFailure>> {
  const sha256 = readDigest(content)
  const object = `client-blocks-${sha256}`
  const written = await platform.writeObject(object, content, { timeoutMs: objectTimeoutMs })
  return written.map(() => ({ object, bytes: content.length, sha256 }))
}

function describeFailure (failure: PlatformFailure): PublishFailure {
  switch (failure.kind) {
    case PlatformFailureKind.Conflict: return { kind: PublishFailureKind.RevisionConflict, detail: 'Another map was published first', findings: [] }
    case PlatformFailureKind.Unavailable: return { kind: PublishFailureKind.NotRun, detail: failure.detail, findings: [] }
    case PlatformFailureKind.Unknown: return { kind: PublishFailureKind.Unknown, detail: failure.detail, findings: [] }
  }
}

function fail<T> (kind: PublishFailureKind, detail: string, findings: ClientBlockFinding[] = []): Result<T, PublishFailure> {
  return err({ kind, detail, findings })
}
