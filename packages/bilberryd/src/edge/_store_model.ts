/**
 * A store that can be restored from a copy, without a network, for tests of replicas.
 *
 * @module
 */
import type { RowChange, TableReplica, TableUpdate } from './table_replica.ts'
import { encodeStoreVersion, getStoreCounter, getStoreEra } from '@bilberryworks/steering'

/** Compares states of a row, which state their order as a number. */
export const isOutdated = (row: { text: string }, other: string): boolean => Number(row.text) <= Number(other)

/** State of a store: rows by key, with their versions, and the changes of this era. */
export interface StoreState {
  era: number
  counter: number
  rows: Map<string, { text: string, counter: number }>
  changes: Array<{ key: string, text?: string, counter: number }>
}

/** Copies the state of a store. */
export const copyState = (state: StoreState): StoreState => ({ ...state, rows: new Map(state.rows), changes: [...state.changes] })

/** Writes a row, or removes it if there is no text. */
export function writeRow (state: StoreState, key: string, text?: string): void {
  if (text === undefined && !state.rows.has(key)) return
  state.counter++
  if (text === undefined) state.rows.delete(key)
  else state.rows.set(key, { text, counter: state.counter })
  state.changes.push({ key, counter: state.counter, ...text === undefined ? {} : { text } })
}

/** Reads the store as the replication does: the changes since the replica's state, or all rows if the era is another. */
export function readStore (state: StoreState, replica: TableReplica): TableUpdate {
  const { era, counter } = state
  const toChange = (row: { key: string, text?: string, counter: number }): RowChange => ({ key: row.key, text: row.text, version: encodeStoreVersion(era, row.counter) })
  const asOf = replica.getAsOf()
  const isSnapshot = asOf === 0 || getStoreEra(asOf) !== era
  const rows = isSnapshot ? [...state.rows].map(([key, row]) => ({ key, ...row })) : state.changes.filter(change => change.counter > getStoreCounter(asOf))
  return { asOf: encodeStoreVersion(era, counter), isSnapshot, changes: rows.map(toChange) }
}
