import type { StoreClient, StoreFailureKind as FailureKind, StoreRows } from '@bilberryworks/users-platform'
import { setTimeout as wait } from 'node:timers/promises'
import test from 'ava'
import { createPollSchedule } from '@bilberryworks/steering'
import { StoreFailureKind } from '@bilberryworks/users-platform'
import { err, ok } from 'neverthrow'
import { noGuard } from './callback_guard.ts'
import { startTableReplication } from './table_replication.ts'

const observedMs = 1_000
/** Shortest pause after a failed call, in milliseconds. */
const minPauseMs = 50
/** Calls that the pauses allow, each failed one with one that succeeds; the first failure has no pause. */
const maxCalls = 2 * (observedMs / minPauseMs + 2)

async function countCalls (kind: FailureKind, isTableReadable: boolean): Promise<number> {
  let calls = 0
  const fail = async () => {
    calls++
    return err({ kind, detail: 'failed at once' })
  }
  const succeed = async () => {
    calls++
    return ok<StoreRows>({ rows: [], version: 1 })
  }
  const store = { readRows: isTableReadable ? succeed : fail, readChanges: fail } as unknown as StoreClient
  const replication = startTableReplication({ guard: noGuard, store, table: 't', schedule: createPollSchedule({ stableMs: 4_000, getRandom: () => 0 }), pauseMs: 0, onUpdate: () => {}, onContact: () => {}, onCallFailed: () => {}, getNowMs: () => performance.now() })
  await wait(observedMs)
  await replication[Symbol.asyncDispose]()
  return calls
}

for (const [title, kind, isTableReadable] of [
  ['fail at once', StoreFailureKind.Refused, false],
  ['for changes fail at once', StoreFailureKind.NoResponse, true],
  ['for changes find no history', StoreFailureKind.HistoryGone, true]
] as const) {
  test(`a store whose calls ${title} is not asked without pauses`, async t => {
    const calls = await countCalls(kind, isTableReadable)
    t.true(calls > 1 && calls <= maxCalls, `${calls} calls`)
  })
}
