/**
 * Gives the rows that a restored store lacks the time to be written again.
 *
 * @module
 */
import type { RowChange, TableReplica } from './table_replica.ts'
import { ReplicatedTable } from './replicated_table.ts'

/** Deadlines of the unconfirmed rows, by table. */
export interface UnconfirmedRows {
  /** Starts the time of a table whose store has been restored, again if it has started before. */
  start (table: ReplicatedTable, nowMs: number): void
  /** Drops the rows of a replica that are still unconfirmed at the end of that time, and returns their removals. */
  expire (table: ReplicatedTable, replica: TableReplica, nowMs: number): RowChange[]
}

/** Time within which rows that a restored store lacks are written again, in milliseconds. An operator's row is kept for longer, since an evacuation that ends too early sends requests where none may go. */
const confirmationMs: Record<ReplicatedTable, number> = { [ReplicatedTable.Operator]: 10_000, [ReplicatedTable.Targets]: 2_200 }

/**
 * Creates the deadlines, of which none has started.
 *
 * @returns The deadlines
 */
export function createUnconfirmedRows (): UnconfirmedRows {
  const endsMs = new Map<ReplicatedTable, number>()
  const start = (table: ReplicatedTable, nowMs: number): void => { endsMs.set(table, nowMs + confirmationMs[table]) }
  return {
    start,
    expire (table, replica, nowMs) {
      if (replica.countUnconfirmed() === 0) {
        endsMs.delete(table)
        return []
      }
      // A replica can also learn of unconfirmed rows from a peer.
      if (!endsMs.has(table)) start(table, nowMs)
      return endsMs.get(table)! <= nowMs ? replica.dropUnconfirmed() : []
    }
  }
}
