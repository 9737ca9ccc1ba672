/**
 * The rows of the store's stand-in: conditions, ranges and the feed of changes.
 *
 * @module
 */

/** Names a row as the store does. */
interface RowName {
  table: string
  part: string
  key: string
}

/** A row as the store tells it. */
interface Row extends RowName {
  value: string
  row_version: number
  deleted?: true
}

/** A transaction as the store takes it. */
export interface StoreTransaction {
  /** Versions that rows must have. */
  precondition?: Array<RowName & { row_version: number }>
  /** Rows to write. */
  upserts?: Array<RowName & { value: string }>
  /** Rows to remove. */
  remove?: RowName[]
}

/** The rows. */
export interface StoreRows {
  /** Returns a row. */
  getRow (name: RowName): Row | undefined
  /** Carries out a transaction, or none of it. */
  apply (transaction: StoreTransaction): { conflict: boolean, answer: object }
  /** Reads a range of keys. */
  read (query: URLSearchParams): object
  /** Waits for changes; `undefined` where they are no longer kept. */
  readFeed (query: URLSearchParams): Promise<object | undefined>
  /** Forgets what changed before now. */
  dropHistory (): void
}

/** Changes that are kept for the feed. */
const maxHistory = 20_000
const defaultLimit = 500

/**
 * Creates no rows.
 *
 * @returns The rows
 */
export function createStoreRows (): StoreRows {
  const tables = new Map<string, Map<string, Row>>()
  let history: Row[] = []
  let oldest = 0
  let version = 0
  const waiting: Array<() => void> = []

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

  function releaseFeeds (): void {
    for (const wake of waiting.splice(0)) wake()
  }

  return {
    getRow,
    apply ({ precondition = [], upserts = [], remove = [] }) {
      const told = { row_version: version, now: '0ms' }
      if (precondition.some(row => (getRow(row)?.row_version ?? 0) !== row.row_version)) {
        return { conflict: true, answer: { ...told, rows: precondition.flatMap(row => getRow(row) ?? []) } }
      }
      version++
      for (const row of upserts) recordChange({ ...row, row_version: version })
      for (const row of remove) recordChange({ ...row, value: '', row_version: version, deleted: true })
      if (history.length > maxHistory) {
        const dropped = history.splice(0, history.length - maxHistory)
        oldest = dropped.at(-1)!.row_version
      }
      releaseFeeds()
      return { conflict: false, answer: { ...told, row_version: version } }
    },
    read (query) {
      const table = getTable(query.get('table') ?? '', query.get('part') ?? '')
      const from = query.get('from') ?? ''
      const to = query.get('to')
      const limit = Number(query.get('limit') ?? defaultLimit)
      const isOne = to === `${from}\u0000`
      const found = isOne ? [table.get(from)].flatMap(row => row ?? []) : [...table.values()].filter(row => row.key >= from && (to === null || row.key < to))
      found.sort((a, b) => a.key < b.key ? -1 : 1)
      return { rows: found.slice(0, limit), has_more: found.length > limit, row_version: version, now: '0ms' }
    },
    async readFeed (query) {
      const after = Number(query.get('after'))
      const untilMs = performance.now() + Number(query.get('wait_ms') ?? 0)
      for (;;) {
        if (after < oldest) return undefined
        const changes = history.filter(change => change.table === query.get('table') && change.row_version > after)
        const leftMs = untilMs - performance.now()
        if (changes.length > 0 || leftMs <= 0) return { rows: changes, row_version: version, now: '0ms' }
        await new Promise<void>(resolve => {
          const timer = setTimeout(resolve, leftMs)
          waiting.push(() => {
            clearTimeout(timer)
            resolve()
          })
        })
      }
    },
    dropHistory () {
      history = []
      oldest = version
      releaseFeeds()
    }
  }
}
