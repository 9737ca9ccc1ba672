/**
 * Replicas of the store's tables, merged from the store and from peers.
 *
 * @module
 */

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

/** A replica of one table. */
export interface TableReplica {
  /** Merges an update, ignoring outdated changes; returns the changes that took effect. */
  merge (update: TableUpdate): RowChange[]
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
}

/** Several times the targets of a large deployment, so that changes suffice for a peer that missed a replacement of all of them. */
const defaultMaxRemovals = 4_000

/**
 * Creates an empty replica.
 *
 * @param options Limit of the memory
 * @returns The replica
 */
export function createTableReplica (options: CreateTableReplicaOptions = {}): TableReplica {
  const { maxRemovals = defaultMaxRemovals } = options
  const rows = new Map<string, VersionedRow>()
  /** Versions of removals by key, oldest first, so that an outdated change does not restore a removed row. */
  const removalVersions = new Map<string, number>()
  let latestVersion = 0
  let asOf = 0
  /** Version of the store since which all removals are known. */
  let removalsKnownSince = Infinity

  function mergeChange (change: RowChange): boolean {
    const { key, text, version } = change
    if (version <= (rows.get(key)?.version ?? removalVersions.get(key) ?? -1)) return false
    latestVersion = Math.max(latestVersion, version)
    removalVersions.delete(key)
    if (text === undefined) {
      removalVersions.set(key, version)
      dropRemovals()
      return rows.delete(key)
    }
    rows.set(key, { key, text, version })
    return true
  }

  function dropRemovals (): void {
    for (const [key, version] of removalVersions) {
      if (removalVersions.size <= maxRemovals) return
      removalVersions.delete(key)
      removalsKnownSince = Math.max(removalsKnownSince, version)
    }
  }

  /** Lists the rows that a snapshot lacks and that are not newer, as removals. */
  function listMissing (update: TableUpdate): RowChange[] {
    const present = new Set(update.changes.map(row => row.key))
    return [...rows.values()].filter(row => !present.has(row.key) && row.version <= update.asOf).map(({ key }) => ({ key, text: undefined, version: update.asOf }))
  }

  return {
    merge (update) {
      const changes = update.isSnapshot ? [...update.changes, ...listMissing(update)] : update.changes
      // A row that was both added and removed since the last known state is in no list.
      if (update.isSnapshot && update.asOf > asOf) removalsKnownSince = update.asOf
      asOf = Math.max(asOf, update.asOf)
      return changes.filter(mergeChange)
    },
    listSince (otherAsOf) {
      const isSnapshot = otherAsOf < removalsKnownSince
      const changes: RowChange[] = [...rows.values()].filter(row => isSnapshot || row.version > otherAsOf)
      if (!isSnapshot) for (const [key, version] of removalVersions) if (version > otherAsOf) changes.push({ key, version })
      return { asOf, isSnapshot, changes }
    },
    list: () => [...rows.values()],
    getVersion: () => latestVersion,
    getAsOf: () => asOf
  }
}
