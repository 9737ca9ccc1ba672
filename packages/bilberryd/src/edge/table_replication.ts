/**
 * Replicates a table of the store: reads a snapshot, then long-polls for changes.
 *
 * @module
 */
import type { StoreClient } from '@bilberryworks/users-platform'
import type { TableUpdate } from './table_replica.ts'
import { setTimeout } from 'node:timers/promises'
import { StoreFailureKind } from '@bilberryworks/users-platform'

/** A call to the store that failed. */
export interface FailedCall {
  /** Name of the table. */
  table: string
  /** Description of the failure. */
  detail: string
  /** Time from the start of the call to the failure, in milliseconds. */
  elapsedMs: number
  /** Time until the next call, in milliseconds. */
  retryMs: number
}

/** Options of {@linkcode startTableReplication}. */
export interface StartTableReplicationOptions {
  /** The store. */
  store: StoreClient
  /** Name of the table. */
  table: string
  /** Maximum time that a long poll waits for a change, in milliseconds. */
  waitMs: number
  /** Delay after a response with changes, in milliseconds, so that further changes are returned by a single call. */
  pauseMs: number
  /** Called with the snapshot of the table, and then with the result of each long poll, which may be empty. */
  onUpdate: (update: TableUpdate) => void
  /** Called after each call to the store, with a description of the failure, or `undefined` if the store responded. */
  onContact: (failure: string | undefined) => void
  /** Called for each call to the store that failed. */
  onCallFailed: (failure: FailedCall) => void
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
  /** Returns a random number in [0, 1). */
  getRandom: () => number
}

/** Time-out of a call, in milliseconds, to which the time that a long poll waits is added: many times the usual latency of the store, and enough for a slow store. */
const responseTimeoutMs = 1_000
/** Initial and maximum backoff after a failed call, in milliseconds: the platform charges for each call, and most outages end within seconds. */
const initialBackoffMs = 100
const maxBackoffMs = 600

/**
 * Starts the replication of a table.
 *
 * @param options Table, times and callbacks
 * @returns The replication; dispose it to stop
 */
export function startTableReplication (options: StartTableReplicationOptions): AsyncDisposable {
  const abortController = new AbortController()
  const watching = watchTable(options, abortController.signal)
  return {
    async [Symbol.asyncDispose] () {
      abortController.abort()
      await watching
    }
  }
}

async function watchTable (options: StartTableReplicationOptions, signal: AbortSignal): Promise<void> {
  const { store, table, waitMs } = options
  let version: number | undefined
  let failures = 0
  while (!signal.aborted) {
    const after = version
    const calledAtMs = options.getNowMs()
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
      const retryMs = Math.round(backoffMs * (0.5 + options.getRandom() / 2))
      failures++
      options.onCallFailed({ table, detail: reply.error.detail, elapsedMs: Math.round(options.getNowMs() - calledAtMs), retryMs })
      await waitUnlessAborted(signal, retryMs)
      continue
    }
    failures = 0
    options.onContact(undefined)
    version = reply.value.version
    options.onUpdate({ asOf: version, isSnapshot: after === undefined, changes: reply.value.rows })
    if (after !== undefined && reply.value.rows.length > 0) await waitUnlessAborted(signal, options.pauseMs)
  }
}

async function waitUnlessAborted (signal: AbortSignal, durationMs: number): Promise<void> {
  // The wait rejects only if it is aborted, which the loop in watchTable checks.
  await setTimeout(durationMs, undefined, { signal }).catch(() => undefined)
}
