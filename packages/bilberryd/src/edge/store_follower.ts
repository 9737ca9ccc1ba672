/**
 * Follows a table of the store: reads it once, then waits for its changes.
 *
 * @module
 */
import type { StoreClient, StoreRow } from '@bilberryworks/users-platform'
import type { KnownRow, RowChange } from './row_tables.ts'
import { setTimeout } from 'node:timers/promises'
import { StoreFailureKind } from '@bilberryworks/users-platform'

/** Options of {@linkcode startStoreFollower}. */
export interface StartStoreFollowerOptions {
  /** The store. */
  store: StoreClient
  /** Name of the table. */
  table: string
  /** Longest time that one call waits for a change, in milliseconds. */
  waitMs: number
  /** Pause behind an answer with changes, in milliseconds, so that changes in a row share a call. */
  pauseMs: number
  /** Called with the whole table. */
  onRows: (rows: KnownRow[], version: number) => void
  /** Called with changes. */
  onChanges: (changes: RowChange[]) => void
  /** Called after each call: without a detail where it was answered. */
  onContact: (failure: string | undefined) => void
  /** Returns a random number in [0, 1). */
  getRandom: () => number
}

/** Time after which an answer that need not wait counts as lost, in milliseconds: many times the store's usual answer, and a slow store's. */
const responseTimeoutMs = 1_000
/** First and longest pause after a failed call, in milliseconds; a call is priced, and a fault is over within seconds. */
const initialBackoffMs = 100
const maxBackoffMs = 600

/**
 * Starts to follow a table.
 *
 * @param options The table and what to call
 * @returns The follower; dispose it to stop
 */
export function startStoreFollower (options: StartStoreFollowerOptions): AsyncDisposable {
  const abortController = new AbortController()
  const watching = watchTable(options, abortController.signal)
  return {
    async [Symbol.asyncDispose] () {
      abortController.abort()
      await watching
    }
  }
}

async function watchTable (options: StartStoreFollowerOptions, signal: AbortSignal): Promise<void> {
  const { store, table, waitMs } = options
  let version: number | undefined
  let failures = 0
  while (!signal.aborted) {
    const after = version
    const reply = after === undefined
      ? await store.readRows(table, { timeoutMs: responseTimeoutMs, signal })
      : await store.readChanges(table, { after, waitMs, timeoutMs: waitMs + responseTimeoutMs, signal })
    if (signal.aborted) return
    if (reply.isErr()) {
      if (reply.error.kind === StoreFailureKind.HistoryGone) {
        version = undefined
        options.onContact(undefined)
        continue
      }
      options.onContact(reply.error.detail)
      const backoffMs = Math.min(maxBackoffMs, initialBackoffMs * 2 ** failures)
      failures++
      await waitUnlessAborted(signal, backoffMs * (0.5 + options.getRandom() / 2))
      continue
    }
    failures = 0
    options.onContact(undefined)
    version = reply.value.version
    if (after === undefined) options.onRows(reply.value.rows.filter(hasText), version)
    else if (reply.value.rows.length > 0) {
      options.onChanges(reply.value.rows)
      await waitUnlessAborted(signal, options.pauseMs)
    }
  }
}

function hasText (row: StoreRow): row is KnownRow {
  return row.text !== undefined
}

async function waitUnlessAborted (signal: AbortSignal, durationMs: number): Promise<void> {
  // The wait ends early only where the follower is stopped, which its loop checks.
  await setTimeout(durationMs, undefined, { signal }).catch(() => undefined)
}
