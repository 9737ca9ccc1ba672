/**
 * Replicas of the store's tables, merged from the store and from peers.
 *
 * The store can come back from an older copy. What it has lost is written again by those who wrote it, but not at once. Until
 * then a replica keeps what it knows: rows that the copy has in an older state, and for a limited time rows that it lacks.
 *
 * @module
 */
import { encodeStoreVersion, getStoreEra } from '@bilberryworks/steering'
import { createRemovalMemory } from './_removal_memory.ts'

/** A row with its version. All versions come from a single counter of the store. */
export interface VersionedRow {
  /** Key of the row. */
  key: string
  /** Value, as text. */
  text: string
  /** Version of the row. */
  version: number
}

/** A change of a row. */
export interface RowChange {
  /** Key of the row. */
  key: string
  /** New value, as text; `undefined` if the row was removed. */
  text?: string | undefined
  /** Version of the change. */
  version: number
  /** Set if the row is missing in the restored store and may yet be written again. */
  isUnconfirmed?: true
}

/** What a replica with an older state needs to reach the state of another one. */
export interface TableUpdate {
  /** Version of the store whose state the update leads to. */
  asOf: number
  /** Whether `changes` are all rows of the table, so that any other row has been removed. */
  isSnapshot: boolean
  /** The changes, in any order. */
  changes: RowChange[]
}

/** What a replica kept when the store came back from an older copy. */
export interface TableRestoration {
  /** Era of the store. */
  era: number
  /** Version of the store before and after, as far as known. */
  before: number
  after: number
  /** Number of rows that differ from those known, and took effect. */
  changed: number
  /** Number of rows of which a later state is known. */
  kept: number
  /** Number of known rows that are missing. */
  unconfirmed: number
}

/** A replica of one table. */
export interface TableReplica {
  /** Merges an update, ignoring outdated changes; returns the changes that took effect. */
  merge (update: TableUpdate): RowChange[]
  /** Removes the rows that are missing since the store was restored; returns their removals. To be called once their writers have had the time to write them again. */
  dropUnconfirmed (): RowChange[]
  /** Returns the number of rows that are missing since the store was restored. */
  countUnconfirmed (): number
  /** Returns the number of rows of which the replica knows more than the restored store: later states, and missing rows. */
  countKept (): number
  /** Lists the changes since the state of another replica, or all rows if the changes are not known that far back. */
  listSince (asOf: number): TableUpdate
  /** Lists the current rows. */
  list (): VersionedRow[]
  /** Returns the version of the latest known change. */
  getVersion (): number
  /** Returns the latest version of the store of which the replica has every change; 0 without a snapshot. */
  getAsOf (): number
}

/** Options of {@linkcode createTableReplica}. */
export interface CreateTableReplicaOptions {
  /** Maximum number of removals that are remembered; 4,000 by default. */
  maxRemovals?: number
  /** Returns whether a row is not newer than another state of it, by what its writer says; by default no row states an order. */
  isOutdated?: (row: { key: string, text: string }, other: string) => boolean
  /** Called when the store has been restored from an older copy; not called by default. */
  onRestored?: (restoration: TableRestoration) => void
}

/** Several times the targets of a large deployment, so that changes suffice for a peer that missed a replacement of all of them. */
const defaultMaxRemovals = 4_000

/** Returns whether a change with the same version as a row has a later state, which its sender kept from before a restoration. */
function isLaterState ({ key, text, version }: RowChange, known: VersionedRow | undefined, isOutdated: Required<CreateTableReplicaOptions>['isOutdated']): boolean {
  return known?.version === version && text !== undefined && text !== known.text && isOutdated({ key, text: known.text }, text)
}

/**
 * Creates an empty replica.
 *
 * @param options Limit of the memory, and order of the rows
 * @returns The replica
 */
export function createTableReplica (options: CreateTableReplicaOptions = {}): TableReplica {
  const { maxRemovals = defaultMaxRemovals, isOutdated = () => false } = options
  const rows = new Map<string, VersionedRow>()
  /** Removals, so that neither an outdated change nor an older copy of the store restores a removed row. */
  const removals = createRemovalMemory(maxRemovals)
  /** Keys of the rows of which the store has an older state. */
  const keptKeys = new Set<string>()
  /** Keys of the rows that the restored store lacks. */
  const unconfirmedKeys = new Set<string>()
  let latestVersion = 0
  let asOf = 0

  /** Merges a change; `completeTo` is the version up to which the replica has had every change. */
  function mergeChange (change: RowChange, completeTo: number): boolean {
    const { key, text, version } = change
    const known = rows.get(key)
    if (change.isUnconfirmed === true) return mergeUnconfirmed(key, text!, version)
    // The sender is behind: the row has been removed since.
    if (known === undefined && version <= completeTo) return false
    const isLater = isLaterState(change, known, isOutdated)
    if (version <= (known?.version ?? removals.getVersion(key) ?? -1) && !isLater) return false
    latestVersion = Math.max(latestVersion, version)
    if (text === undefined) return removeRow(key, version)
    unconfirmedKeys.delete(key)
    removals.remove(key)
    if (known !== undefined && keptKeys.has(key) && isOutdated({ key, text }, known.text)) {
      rows.set(key, { ...known, version })
      return false
    }
    if (isLater) keptKeys.add(key)
    else keptKeys.delete(key)
    rows.set(key, { key, text, version })
    return true
  }

  /** Merges a row that a peer keeps although the restored store lacks it, unless a later state of it is known. */
  function mergeUnconfirmed (key: string, text: string, version: number): boolean {
    const removed = removals.getRow(key)
    if (rows.has(key) || removals.getVersion(key) !== undefined || (removed !== undefined && isOutdated({ key, text }, removed.text))) return false
    unconfirmedKeys.add(key)
    rows.set(key, { key, text, version })
    return true
  }

  /** Merges the rows of a peer that has not noticed a restoration: it may know later states than the restored store. */
  function mergeEarlierEra ({ key, text }: RowChange): boolean {
    const known = rows.get(key)
    if (text === undefined || text === known?.text) return false
    if (known === undefined) return mergeUnconfirmed(key, text, encodeStoreVersion(getStoreEra(asOf), 0))
    if (!isOutdated({ key, text: known.text }, text)) return false
    keptKeys.add(key)
    rows.set(key, { ...known, text })
    return true
  }

  function removeRow (key: string, version: number): boolean {
    const text = rows.get(key)?.text
    removals.record(key, { version, row: text === undefined ? undefined : { text, isStated: !unconfirmedKeys.has(key) } })
    keptKeys.delete(key)
    unconfirmedKeys.delete(key)
    return rows.delete(key)
  }

  /** Lists the rows that a snapshot lacks and that are not newer, as removals. */
  function listMissing (update: TableUpdate): RowChange[] {
    const present = new Set(update.changes.filter(row => row.isUnconfirmed !== true).map(row => row.key))
    return [...rows.values()].filter(row => !present.has(row.key) && !unconfirmedKeys.has(row.key) && row.version <= update.asOf).map(({ key }) => ({ key, text: undefined, version: update.asOf }))
  }

  /** Merges one row of the first snapshot after a restoration; returns whether it took effect. */
  function mergeRestoredRow (row: RowChange & { text: string }): boolean {
    const known = rows.get(row.key)
    const removed = removals.getRow(row.key)
    if (known !== undefined && (known.text === row.text || isOutdated(row, known.text))) {
      rows.set(row.key, { ...known, version: row.version })
      if (known.text !== row.text) keptKeys.add(row.key)
      return false
    }
    if (known === undefined && removed !== undefined && isOutdated(row, removed.text) && (removed.isStated || row.text !== removed.text)) {
      removals.record(row.key, { version: row.version })
      return false
    }
    rows.set(row.key, { key: row.key, text: row.text, version: row.version })
    return true
  }

  function mergeRestored (update: TableUpdate): RowChange[] {
    const era = getStoreEra(update.asOf)
    const before = asOf
    const unconfirmedBySender = update.changes.filter(change => change.isUnconfirmed === true)
    const present = update.changes.filter((change): change is RowChange & { text: string } => change.text !== undefined && change.isUnconfirmed !== true)
    const presentKeys = new Set(present.map(row => row.key))
    removals.dropVersions()
    for (const keys of [keptKeys, unconfirmedKeys]) keys.clear()
    // Any change in the new era is later than what is kept from before it.
    for (const { key, text } of rows.values()) {
      if (presentKeys.has(key)) continue
      rows.set(key, { key, text, version: encodeStoreVersion(era, 0) })
      unconfirmedKeys.add(key)
    }
    const changes = [...present.filter(mergeRestoredRow), ...unconfirmedBySender.filter(change => mergeChange(change, 0))]
    asOf = update.asOf
    latestVersion = update.asOf
    removals.knownSince = update.asOf
    options.onRestored?.({ era, before, after: asOf, changed: changes.length, kept: keptKeys.size, unconfirmed: unconfirmedKeys.size })
    return changes
  }

  return {
    merge (update) {
      const eraRise = getStoreEra(update.asOf) - getStoreEra(asOf)
      if (eraRise < 0 && update.asOf > 0) return update.isSnapshot ? update.changes.filter(mergeEarlierEra) : []
      if (eraRise > 0 && asOf > 0) return update.isSnapshot ? mergeRestored(update) : []
      const changes = update.isSnapshot ? [...update.changes, ...listMissing(update)] : update.changes
      // A row that was both added and removed since the last known state is in no list.
      if (update.isSnapshot && update.asOf > asOf) removals.knownSince = update.asOf
      const completeTo = asOf
      asOf = Math.max(asOf, update.asOf)
      return changes.filter(change => mergeChange(change, completeTo))
    },
    dropUnconfirmed () {
      const dropped = [...unconfirmedKeys].map((key): RowChange => ({ key, text: undefined, version: asOf }))
      for (const { key, version } of dropped) removeRow(key, version)
      return dropped
    },
    countUnconfirmed: () => unconfirmedKeys.size,
    countKept: () => keptKeys.size + unconfirmedKeys.size,
    listSince (otherAsOf) {
      const isSnapshot = otherAsOf < removals.knownSince
      const changes: RowChange[] = [...rows.values()].filter(row => isSnapshot || row.version > otherAsOf)
        .map(row => unconfirmedKeys.has(row.key) ? { ...row, isUnconfirmed: true } : row)
      if (!isSnapshot) changes.push(...removals.listSince(otherAsOf))
      return { asOf, isSnapshot, changes }
    },
    list: () => [...rows.values()],
    getVersion: () => latestVersion,
    getAsOf: () => asOf
  }
}
