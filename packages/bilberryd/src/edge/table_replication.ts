/**
 * Replicates a table of the store: reads a snapshot, then long-polls for changes.
 *
 * @module
 */
import type { PollSchedule } from '@bilberryworks/steering'
import type { StoreClient } from '@bilberryworks/users-platform'
import type { CallbackGuard } from './callback_guard.ts'
import type { TableUpdate } from './table_replica.ts'
import { setTimeout } from 'node:timers/promises'
import { StoreFailureKind } from '@bilberryworks/users-platform'
import { GuardedCallback } from './callback_guard.ts'

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
  /** Runs callbacks. */
  guard: CallbackGuard
  /** The store. */
  store: StoreClient
  /** Name of the table. */
  table: string
  /** Plans the calls. */
  schedule: PollSchedule
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
}

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
  const { store, table, schedule } = options
  let version: number | undefined
  /** Whether the store had no history at the last call for changes. */
  let isHistoryGone = false
  let respondedAtMs = options.getNowMs()
  while (!signal.aborted) {
    const after = version
    const calledAtMs = options.getNowMs()
    const { waitMs, timeoutMs } = schedule.planCall(calledAtMs - respondedAtMs)
    const reply = after === undefined
      ? await store.readRows(table, { timeoutMs: timeoutMs - waitMs, signal })
      : await store.readChanges(table, { after, waitMs, timeoutMs, signal })
    if (signal.aborted) return
    if (reply.isErr()) {
      if (reply.error.kind === StoreFailureKind.HistoryGone) {
        version = undefined
        options.onContact(undefined)
        // A store that has no history for the copy it has just sent is asked again after a pause only.
        if (isHistoryGone) await waitUnlessAborted(signal, schedule.recordFailure())
        isHistoryGone = true
        continue
      }
      options.onContact(reply.error.detail)
      const retryMs = schedule.recordFailure()
      options.onCallFailed({ table, detail: reply.error.detail, elapsedMs: Math.round(options.getNowMs() - calledAtMs), retryMs })
      await waitUnlessAborted(signal, retryMs)
      continue
    }
    respondedAtMs = options.getNowMs()
    options.onContact(undefined)
    version = reply.value.version
    let isApplied = false
    options.guard.run(GuardedCallback.Rows, () => {
      options.onUpdate({ asOf: reply.value.version, isSnapshot: after === undefined, changes: reply.value.rows })
      isApplied = true
    })
    if (!isApplied) {
      // Parts of the rows may be missing, so all are read again.
      version = undefined
      await waitUnlessAborted(signal, schedule.recordFailure())
      continue
    }
    schedule.recordResponse()
    if (after !== undefined) isHistoryGone = false
    if (after !== undefined && reply.value.rows.length > 0) await waitUnlessAborted(signal, options.pauseMs)
  }
}

async function waitUnlessAborted (signal: AbortSignal, durationMs: number): Promise<void> {
  // The wait rejects only if it is aborted, which the loop in watchTable checks.
  await setTimeout(durationMs, undefined, { signal }).catch(() => undefined)
}
