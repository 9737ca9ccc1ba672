/**
 * A copy of a table of the store that is brought up to date by what has changed.
 *
 * @module
 */
import type { StoreCallOptions, StoreClient, StoreFailure, StoreRow } from '@bilberryworks/users-platform'
import type { Result } from 'neverthrow'
import { StoreFailureKind } from '@bilberryworks/users-platform'
import { err, ok } from 'neverthrow'

/** The copy. */
export interface TableCopy {
  /** Brings the copy up to date; returns the text of each row by its key. */
  refresh (options: StoreCallOptions): Promise<Result<ReadonlyMap<string, string>, StoreFailure>>
}

/**
 * Creates a copy that holds nothing yet.
 *
 * @param store The store
 * @param table Name of the table
 * @returns The copy
 */
export function createTableCopy (store: StoreClient, table: string): TableCopy {
  const texts = new Map<string, string>()
  /** Version of the store that the copy shows; 0 where it must be read whole. */
  let copiedVersion = 0

  function merge (rows: StoreRow[]): void {
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
          merge(changes.value.rows)
          copiedVersion = changes.value.version
          return ok(texts)
        }
        if (changes.error.kind !== StoreFailureKind.HistoryGone) return err(changes.error)
      }
      const allRows = await store.readRows(table, options)
      if (allRows.isErr()) return err(allRows.error)
      texts.clear()
      merge(allRows.value.rows)
      copiedVersion = allRows.value.version
      return ok(texts)
    }
  }
}
