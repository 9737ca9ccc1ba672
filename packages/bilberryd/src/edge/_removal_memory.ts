/** The last value of a removed row. */
export interface RemovedRow {
  /** Value, as text. */
  text: string
  /** Whether the store stated the removal; otherwise the row was missing after a restoration, and may be written again with the same value. */
  isStated: boolean
}

/** Remembers the latest removals of rows, with the last values of the rows. */
export interface RemovalMemory {
  /** Records the removal of a row, and forgets the oldest removals above the limit; `row` is absent if the row was not known. */
  record (key: string, removal: { version: number, row?: RemovedRow | undefined }): void
  /** Forgets the removal of a row that exists again. */
  remove (key: string): void
  /** Forgets the versions of all removals, but not the last values of the rows. */
  dropVersions (): void
  /** Returns the version of the removal of a row, if it is remembered. */
  getVersion (key: string): number | undefined
  /** Returns the last value of a removed row, if it is remembered. */
  getRow (key: string): RemovedRow | undefined
  /** Lists the removals after a version. */
  listSince (version: number): Array<{ key: string, version: number }>
  /** Version of the store since which all removals are known. */
  knownSince: number
}

/**
 * Creates an empty memory.
 *
 * @param maxRemovals Maximum number of removals that are remembered
 * @returns The memory
 */
export function createRemovalMemory (maxRemovals: number): RemovalMemory {
  /** Oldest first. */
  const versions = new Map<string, number>()
  const removedRows = new Map<string, RemovedRow>()

  function dropOldest (): void {
    for (const key of removedRows.keys()) {
      if (removedRows.size <= maxRemovals) break
      removedRows.delete(key)
    }
    for (const [key, version] of versions) {
      if (versions.size <= maxRemovals) return
      versions.delete(key)
      memory.knownSince = Math.max(memory.knownSince, version)
    }
  }

  const memory: RemovalMemory = {
    record (key, { version, row }) {
      versions.delete(key)
      versions.set(key, version)
      if (row !== undefined) removedRows.set(key, row)
      dropOldest()
    },
    remove (key) {
      versions.delete(key)
      removedRows.delete(key)
    },
    dropVersions: () => versions.clear(),
    getVersion: key => versions.get(key),
    getRow: key => removedRows.get(key),
    listSince: since => [...versions].filter(([, version]) => version > since).map(([key, version]) => ({ key, version })),
    knownSince: Infinity
  }
  return memory
}
