/**
 * The tables of the platform's stand-in, which remember how rows were a while ago.
 *
 * @module
 */
import type { TableRow, TableWrite } from '@bilberryworks/platform'

/** Milliseconds for which earlier states of a row are kept for stale reads. */
const keptStatesMs = 10_000

/** How old the answer to a read is. */
export interface ReadAge {
  /** Milliseconds by which the read is stale. */
  staleMs: number
}

/** The tables. */
export interface PlatformTables {
  /** Returns a row as it was some milliseconds ago; as it is by default. */
  getRow (table: string, key: string, age?: ReadAge): TableRow | undefined
  /** Lists the rows whose key has a prefix, as they were some milliseconds ago. */
  listRows (table: string, prefix: string, age: ReadAge): TableRow[]
  /** Carries out all writes or none; returns the rows whose condition did not hold. */
  applyWrites (writes: TableWrite[]): Array<{ table: string, key: string }>
}

interface RowState {
  atMs: number
  row: TableRow | undefined
}

/**
 * Creates empty tables.
 *
 * @returns The tables
 */
export function createPlatformTables (): PlatformTables {
  const tables = new Map<string, Map<string, RowState[]>>()
  let nextVersion = 1

  function getTable (name: string): Map<string, RowState[]> {
    const table = tables.get(name) ?? new Map<string, RowState[]>()
    tables.set(name, table)
    return table
  }

  function getRow (table: string, key: string, { staleMs }: ReadAge = { staleMs: 0 }): TableRow | undefined {
    const atMs = performance.now() - staleMs
    return getTable(table).get(key)?.findLast(state => state.atMs <= atMs)?.row
  }

  function updateRow (table: string, key: string, { row }: { row: TableRow | undefined }): void {
    const atMs = performance.now()
    const states = getTable(table).get(key) ?? []
    const kept = states.filter((state, index) => index === states.length - 1 || state.atMs > atMs - keptStatesMs)
    getTable(table).set(key, [...kept, { atMs, row }])
  }

  return {
    getRow,
    listRows: (table, prefix, age) => [...getTable(table).keys()].filter(key => key.startsWith(prefix)).sort().flatMap(key => getRow(table, key, age) ?? []),
    applyWrites (writes) {
      const conflicts = writes.filter(write => write.ifVersion !== undefined && (getRow(write.table, write.key)?.version ?? 0) !== write.ifVersion)
      if (conflicts.length > 0) return conflicts.map(({ table, key }) => ({ table, key }))
      for (const { table, key, value, checkOnly } of writes) {
        if (checkOnly !== true) updateRow(table, key, { row: value === undefined ? undefined : { key, version: nextVersion++, value } })
      }
      return []
    }
  }
}
