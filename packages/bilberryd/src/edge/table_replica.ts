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
  text: string | undefined
  /** Version of the change. */
  version: number
}

/** A replica of one table. */
export interface TableReplica {
  /** Merges changes, ignoring outdated ones; returns the changes that took effect. */
  mergeChanges (changes: RowChange[]): RowChange[]
  /** Merges a snapshot of the table at a version, keeping later changes; returns the changes that took effect. */
  mergeSnapshot (rows: VersionedRow[], version: number): RowChange[]
  /** Lists the current rows. */
  list (): VersionedRow[]
  /** Returns the version of the latest known change. */
  getVersion (): number
}

/**
 * Creates an empty replica.
 *
 * @returns The replica
 */
export function createTableReplica (): TableReplica {
  const rows = new Map<string, VersionedRow>()
  /** Versions of removals by key, so that an outdated change does not restore a removed row. */
  const removalVersions = new Map<string, number>()
  let latestVersion = 0

  function mergeChange (change: RowChange): boolean {
    const { key, text, version } = change
    if (version <= (rows.get(key)?.version ?? removalVersions.get(key) ?? -1)) return false
    latestVersion = Math.max(latestVersion, version)
    if (text === undefined) {
      removalVersions.set(key, version)
      return rows.delete(key)
    }
    removalVersions.delete(key)
    rows.set(key, { key, text, version })
    return true
  }

  return {
    mergeChanges: changes => changes.filter(mergeChange),
    mergeSnapshot (snapshot, version) {
      const present = new Set(snapshot.map(row => row.key))
      const changes: RowChange[] = [...snapshot]
      for (const row of rows.values()) if (!present.has(row.key) && row.version <= version) changes.push({ key: row.key, text: undefined, version })
      return changes.filter(mergeChange)
    },
    list: () => [...rows.values()],
    getVersion: () => latestVersion
  }
}
