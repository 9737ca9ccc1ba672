/**
 * The rows of the store's tables as this instance knows them, merged from the store and from peers.
 *
 * @module
 */

/** A row with its version; versions come from one counter of the store. */
export interface KnownRow {
  /** Key of the row. */
  key: string
  /** The value's text. */
  text: string
  /** Version of the row. */
  version: number
}

/** A changed row; `text` is `undefined` where it was removed. */
export interface RowChange {
  /** Key of the row. */
  key: string
  /** The new value's text, or `undefined` where the row was removed. */
  text: string | undefined
  /** Version of the change. */
  version: number
}

/** The rows of one table. */
export interface RowTable {
  /** Merges changes; older ones than those known are left out. Returns what changed. */
  mergeChanges (changes: RowChange[]): RowChange[]
  /** Merges the whole table as it was at a version; what is known of later changes stays. Returns what changed. */
  mergeAll (rows: KnownRow[], version: number): RowChange[]
  /** Lists the rows. */
  list (): KnownRow[]
  /** Version of the latest change known. */
  getVersion (): number
}

/**
 * Creates an empty table.
 *
 * @returns The table
 */
export function createRowTable (): RowTable {
  const rows = new Map<string, KnownRow>()
  /** Versions of removals, so that an older row does not come back. */
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
    mergeAll (snapshot, version) {
      const present = new Set(snapshot.map(row => row.key))
      const changes: RowChange[] = [...snapshot]
      for (const row of rows.values()) if (!present.has(row.key) && row.version <= version) changes.push({ key: row.key, text: undefined, version })
      return changes.filter(mergeChange)
    },
    list: () => [...rows.values()],
    getVersion: () => latestVersion
  }
}
