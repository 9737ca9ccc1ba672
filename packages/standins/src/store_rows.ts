/**
 * Rows of the fake store, with transactions, range reads and a change feed.
 *
 * @module
 */

/** Identifies a row, in the wire format of the store. */
interface RowName {
  table: string
  part: string
  key: string
}

/** A row or its removal, in the wire format of the store. */
interface Row extends RowName {
  value: string
  row_version: number
  deleted?: true
}

/** A transaction, in the wire format of the store. */
export interface StoreTransaction {
  /** Versions that rows must have for the transaction to be applied; 0 for a row that must not exist. */
  precondition?: Array<RowName & { row_version: number }>
  /** Rows to insert or replace. */
  upserts?: Array<RowName & { value: string }>
  /** Rows to remove. */
  remove?: RowName[]
}

/** The rows of a fake store. */
export interface StoreRows {
  /** Returns a row; `undefined` if it does not exist. */
  getRow (name: RowName): Row | undefined
  /** Applies a transaction atomically; if a precondition fails, reports a conflict and changes no row. */
  apply (transaction: StoreTransaction): { hasConflict: boolean, response: object }
  /** Reads the rows of a range of keys, up to the limit in the query. */
  read (query: URLSearchParams): object
  /** Waits for changes after a version (long poll); returns `undefined` if the history does not reach back that far. */
  readFeed (query: URLSearchParams): Promise<object | undefined>
  /** Drops the history of changes. */
  dropHistory (): void
  /** Copies the current state. */
  copyState (): StoreRowsCopy
  /** Goes back to a copied state: later writes are lost, and their versions are given out again. */
  restoreState (copy: StoreRowsCopy): void
}

/** A copy of the state of a fake store. */
export interface StoreRowsCopy {
  /** Current rows by table. */
  tables: Map<string, Map<string, Row>>
  /** Changes that the change feed can deliver. */
  history: Row[]
  /** Latest version. */
  version: number
}

/** Number of latest changes that the change feed can deliver. */
const maxHistoryRows = 20_000
const defaultPageRows = 500

/**
 * Creates an empty set of tables.
 *
 * @returns The rows of the tables
 */
export function createStoreRows (): StoreRows {
  let tables = new Map<string, Map<string, Row>>()
  let history: Row[] = []
  let lastDroppedVersion = 0
  let version = 0
  const waitingReads: Array<() => void> = []

  function getTable (table: string, part: string): Map<string, Row> {
    const id = `${table}\u0000${part}`
    const found = tables.get(id) ?? new Map<string, Row>()
    tables.set(id, found)
    return found
  }

  function getRow ({ table, part, key }: RowName): Row | undefined {
    return getTable(table, part).get(key)
  }

  function recordChange (change: Row): void {
    const table = getTable(change.table, change.part)
    if (change.deleted === true) table.delete(change.key)
    else table.set(change.key, change)
    history.push(change)
  }

  function releaseFeedReads (): void {
    for (const wake of waitingReads.splice(0)) wake()
  }

  return {
    getRow,
    apply ({ precondition = [], upserts = [], remove = [] }) {
      const commonFields = { row_version: version, now: '0ms' }
      if (precondition.some(row => (getRow(row)?.row_version ?? 0) !== row.row_version)) {
        return { hasConflict: true, response: { ...commonFields, rows: precondition.flatMap(row => getRow(row) ?? []) } }
      }
      version++
      for (const row of upserts) recordChange({ ...row, row_version: version })
      for (const row of remove) recordChange({ ...row, value: '', row_version: version, deleted: true })
      if (history.length > maxHistoryRows) {
        const dropped = history.splice(0, history.length - maxHistoryRows)
        lastDroppedVersion = dropped.at(-1)!.row_version
      }
      releaseFeedReads()
      return { hasConflict: false, response: { ...commonFields, row_version: version } }
    },
    read (query) {
      const table = getTable(query.get('table') ?? '', query.get('part') ?? '')
      const from = query.get('from') ?? ''
      const to = query.get('to')
      const limit = Number(query.get('limit') ?? defaultPageRows)
      const isSingleKey = to === `${from}\u0000`
      const matches = isSingleKey ? [table.get(from)].flatMap(row => row ?? []) : [...table.values()].filter(row => row.key >= from && (to === null || row.key < to))
      matches.sort((a, b) => a.key < b.key ? -1 : 1)
      return { rows: matches.slice(0, limit), has_more: matches.length > limit, row_version: version, now: '0ms' }
    },
    async readFeed (query) {
      const after = Number(query.get('after'))
      const deadlineMs = performance.now() + Number(query.get('wait_ms') ?? 0)
      for (;;) {
        if (after < lastDroppedVersion || after > version) return undefined
        const changes = history.filter(change => change.table === query.get('table') && change.row_version > after)
        const remainingMs = deadlineMs - performance.now()
        if (changes.length > 0 || remainingMs <= 0) return { rows: changes, row_version: version, now: '0ms' }
        await new Promise<void>(resolve => {
          const timer = setTimeout(resolve, remainingMs)
          waitingReads.push(() => {
            clearTimeout(timer)
            resolve()
          })
        })
      }
    },
    dropHistory () {
      history = []
      lastDroppedVersion = version
      releaseFeedReads()
    },
    copyState: () => ({ tables: copyTables(tables), history: [...history], version }),
    restoreState (copy) {
      tables = copyTables(copy.tables)
      history = [...copy.history]
      version = copy.version
      releaseFeedReads()
    }
  }
}

function copyTables (tables: Map<string, Map<string, Row>>): Map<string, Map<string, Row>> {
  return new Map([...tables].map(([name, rows]) => [name, new Map(rows)]))
}
