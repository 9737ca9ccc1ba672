/**
 * Publishes a revision of the map of client blocks, which lists for each block of client addresses its sites, nearest first.
 *
 * Writes the objects first, then the row of the revision and the index row in one transaction. Building a map of millions of
 * blocks takes seconds of CPU time: run it in a tool, not in an instance.
 *
 * @module
 */
import type { ClientBlocksFailure, ClientBlocksRow, ObjectReference, Platform, PlatformFailure } from '@bilberryworks/platform'
import type { ClientBlockEntry, ClientBlockFinding, ClientBlocks } from '@bilberryworks/steering'
import type { Result } from 'neverthrow'
import { ClientBlocksLoadResult, formatClientBlocksKey, loadClientBlocks, PlatformFailureKind, readIndex, TableName, writeWithIndex } from '@bilberryworks/platform'
import { buildClientBlocks, createEmptyClientBlocks, diffClientBlocks, encodeDifference, encodeSnapshot, maxSiteOrders, readDigest } from '@bilberryworks/steering'
import { err, ok } from 'neverthrow'

/** Why a map was not published. */
export enum PublishFailureKind {
  /** The list of blocks is invalid; nothing was written. */
  Findings = 'findings',
  /** A concurrent call published another revision; this one was not published. */
  RevisionConflict = 'revision_conflict',
  /** A call to the platform failed; the map was not published. */
  NotRun = 'not_run',
  /** The response of the platform was lost; the index row shows whether the map was published. */
  Unknown = 'unknown'
}

/** A failed publication. */
export interface PublishFailure {
  /** Why the map was not published. */
  kind: PublishFailureKind
  /** The cause, in one sentence for the operator. */
  detail: string
  /** Faults of the list of blocks. */
  findings: ClientBlockFinding[]
}

/** Number of revisions from one snapshot to the next. */
const snapshotInterval = 8
const objectTimeoutMs = 60_000

/** The map in force with its row. */
interface PublishedMap {
  blocks: ClientBlocks
  row: ClientBlocksRow | undefined
}

/**
 * Publishes a new map, which replaces the map in force.
 *
 * @param platform The platform
 * @param entries The blocks of the new map
 * @returns The row of the new revision, or why it was not published
 */
export async function publishClientBlocks (platform: Platform, entries: ClientBlockEntry[]): Promise<Result<ClientBlocksRow, PublishFailure>> {
  const current = await readPublishedMap(platform)
  if (current.isErr()) return fail(PublishFailureKind.NotRun, current.error.detail)
  const { blocks: base, row: baseRow } = current.value
  const revision = base.revision + 1
  // Site orders keep their indexes from one revision to the next, even if unused, so that a difference can refer to them. If
  // they fill too much of the list of orders, builds with a new list; the revision then needs a snapshot.
  const builtWithKnownOrders = buildClientBlocks(entries, { revision, knownOrders: base.orders })
  const buildResult = builtWithKnownOrders.isErr() && base.orders.length > maxSiteOrders / 2 ? buildClientBlocks(entries, { revision }) : builtWithKnownOrders
  if (buildResult.isErr()) return fail(PublishFailureKind.Findings, 'List of client blocks is invalid', buildResult.error)
  const blocks = buildResult.value
  const canWriteDifference = baseRow !== undefined && buildResult === builtWithKnownOrders
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

/** Reads the map in force. If its content is damaged, returns an empty map with the same revision number, so that a new map can replace it. */
async function readPublishedMap (platform: Platform): Promise<Result<PublishedMap, PlatformFailure | ClientBlocksFailure>> {
  const current = await readIndex(platform)
  if (current.isErr()) return err(current.error)
  const revision = current.value.index.clientBlocks
  const empty = createEmptyClientBlocks()
  if (revision === 0) return ok({ blocks: empty, row: undefined })
  const loaded = await loadClientBlocks(platform, { base: empty, revision })
  if (loaded.isErr() && loaded.error.load === ClientBlocksLoadResult.Damaged) return ok({ blocks: { ...empty, revision }, row: undefined })
  return loaded
}

/** Writes an object under a name made of its digest, so that concurrent publishers of the same revision can't overwrite each other's objects. */
async function writeContent (platform: Platform, content: Uint8Array): Promise<Result<ObjectReference, PlatformFailure>> {
  const sha256 = readDigest(content)
  const object = `client-blocks-${sha256}`
  const written = await platform.writeObject(object, content, { timeoutMs: objectTimeoutMs })
  return written.map(() => ({ object, bytes: content.length, sha256 }))
}

function describeFailure (failure: PlatformFailure): PublishFailure {
  switch (failure.kind) {
    case PlatformFailureKind.Conflict: return { kind: PublishFailureKind.RevisionConflict, detail: 'Another revision of the map of client blocks was published concurrently', findings: [] }
    case PlatformFailureKind.Unavailable: return { kind: PublishFailureKind.NotRun, detail: failure.detail, findings: [] }
    case PlatformFailureKind.Unknown: return { kind: PublishFailureKind.Unknown, detail: failure.detail, findings: [] }
  }
}

function fail<T> (kind: PublishFailureKind, detail: string, findings: ClientBlockFinding[] = []): Result<T, PublishFailure> {
  return err({ kind, detail, findings })
}
