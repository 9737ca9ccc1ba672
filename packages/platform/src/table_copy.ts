/**
 * A local copy of a table of the store, updated incrementally from the store's change history.
 *
 * @module
 */
import type { StoreCallOptions, StoreClient, StoreFailure, StoreRow } from '@bilberryworks/users-platform'
import type { Result } from 'neverthrow'
import { StoreFailureKind } from '@bilberryworks/users-platform'
import { err, ok } from 'neverthrow'

/** A local copy of a table. */
export interface TableCopy {
  /** Updates the copy from the store. Returns the JSON text of each row by key, in a map that later calls update. */
  refresh (options: StoreCallOptions): Promise<Result<ReadonlyMap<string, string>, StoreFailure>>
}

/**
 * Creates an empty copy of a table.
 *
 * @param store Client of the store
 * @param table Name of the table
 * @returns The copy, which its first refresh fills
 */
export function createTableCopy (store: StoreClient, table: string): TableCopy {
  const texts = new Map<string, string>()
  /** Version of the store that the copy reflects; 0 before the first full read. */
  let copiedVersion = 0

  function applyRows (rows: StoreRow[]): void {
    for (const { key, text } of rows) {
      if (text === undefined) texts.delete(key)
      else texts.set(key, text)
    }
  }

  return {
    async refresh (options) {
      if (copiedVersion > 0) {
        const changes = await store.readChanges(table, { ...options, after: copiedVersion, waitMs: 0 })
        if (changes.isOk()) {
          applyRows(changes.value.rows)
          copiedVersion = changes.value.version
          return ok(texts)
        }
        if (changes.error.kind !== StoreFailureKind.HistoryGone) return err(changes.error)
      }
      const allRows = await store.readRows(table, options)
      if (allRows.isErr()) return err(allRows.error)
      texts.clear()
      applyRows(allRows.value.rows)
      copiedVersion = allRows.value.version
      return ok(texts)
    }
  }
}
