/**
 * An in-memory platform with fault injection, for tests.
 *
 * @module
 */
import type { Result } from 'neverthrow'
import type { MachineList, Platform, PlatformFailure, TableRow, TableWrite } from './platform.ts'
import { err, ok } from 'neverthrow'
import { PlatformFailureKind } from './platform.ts'

/** A fault to inject into a call. */
export enum MemoryFault {
  /** The call is refused and has no effect. */
  Outage = 'outage',
  /** The call takes effect, but its response is lost. */
  LostResponse = 'lost_answer',
  /** The request is lost: the call has no effect, but its outcome is unknown to the client. */
  LostRequest = 'lost_request',
  /** The write is delayed until {@linkcode MemoryPlatform.applyDelayedWrites} is called; its outcome is unknown to the client. */
  Delayed = 'delayed',
  /** A read returns the state before the last write. */
  Stale = 'stale'
}

/** A call into which a fault may be injected. */
export interface MemoryCall {
  /** Whether the call writes. */
  writes: boolean
  /** Tables that the call reads or writes. */
  tables: string[]
}

/** An in-memory platform. */
export interface MemoryPlatform extends Platform {
  /** Chooses the fault to inject into each call; none by default. */
  chooseFault: (call: MemoryCall) => MemoryFault | undefined
  /** Stored rows. */
  state: MemoryState
  /** Number of calls that reached the stored rows, including writes whose precondition failed. */
  counts: { reads: number, writes: number }
  /** The list of machines. */
  machines: MachineList
  /** Applies the delayed writes in the order in which they were made. */
  applyDelayedWrites (): void
  /** Returns the value of a row. */
  getValue (table: string, key: string): unknown
  /** Lists the values of a table. */
  listValues (table: string): unknown[]
}

type Tables = Map<string, TableRow>

/** Stored rows. Several clients, each with its own faults, may share them. */
export interface MemoryState {
  /** Rows by their table and key, joined by a NUL character. */
  rows: Tables
  /** Rows before the last write. */
  previous: Tables
  /** Version of the next row written. */
  nextVersion: number
}

/**
 * Creates a client of an in-memory platform.
 *
 * @param state Rows to share with other clients; empty by default
 * @returns The platform
 */
export function createMemoryPlatform (state: MemoryState = { rows: new Map(), previous: new Map(), nextVersion: 1 }): MemoryPlatform {
  const delayedWrites: TableWrite[][] = []
  const formatKey = (table: string, key: string): string => `${table}\u0000${key}`

  function applyWrites (writes: TableWrite[]): Result<void, PlatformFailure> {
    const conflicts = writes.filter(write => write.ifVersion !== undefined && (state.rows.get(formatKey(write.table, write.key))?.version ?? 0) !== write.ifVersion)
    if (conflicts.length > 0) {
      return err({ kind: PlatformFailureKind.Conflict, detail: 'Precondition of the transaction failed', conflicts: conflicts.map(({ table, key }) => ({ table, key })) })
    }
    state.previous = state.rows
    state.rows = new Map(state.rows)
    for (const write of writes) {
      if (write.checkOnly === true) continue
      const key = formatKey(write.table, write.key)
      if (write.value === undefined) state.rows.delete(key)
      else state.rows.set(key, { key: write.key, version: state.nextVersion++, value: structuredClone(write.value) })
    }
    return ok(undefined)
  }

  function read<T> (table: string, select: (rows: Tables) => T): Promise<Result<T, PlatformFailure>> {
    const fault = platform.chooseFault({ writes: false, tables: [table] })
    if (fault === undefined || fault === MemoryFault.Stale) {
      platform.counts.reads++
      return Promise.resolve(ok(structuredClone(select(fault === undefined ? state.rows : state.previous))))
    }
    return Promise.resolve(fail(fault))
  }

  const platform: MemoryPlatform = {
    state,
    chooseFault: () => undefined,
    counts: { reads: 0, writes: 0 },
    machines: { instances: [], targets: [] },
    readRow: (table, key) => read(table, rows => rows.get(formatKey(table, key))),
    listRows: (table, prefix) => read(table, rows => [...rows].filter(([key]) => key.startsWith(formatKey(table, prefix))).map(([, row]) => row).sort(compareKeys)),
    async writeRows (writes) {
      const copy = structuredClone(writes)
      const fault = platform.chooseFault({ writes: true, tables: writes.map(write => write.table) })
      if (fault === MemoryFault.Delayed) delayedWrites.push(copy)
      if (fault !== undefined && fault !== MemoryFault.LostResponse) return fail(fault)
      platform.counts.writes++
      const written = applyWrites(copy)
      return fault === undefined ? written : fail(fault)
    },
    readObject: async () => ok(undefined),
    writeObject: async () => ok(undefined),
    listMachines: () => read('machines', () => platform.machines),
    applyDelayedWrites () {
      for (const writes of delayedWrites.splice(0)) applyWrites(writes)
    },
    getValue: (table, key) => state.rows.get(formatKey(table, key))?.value,
    listValues: table => [...state.rows].filter(([key]) => key.startsWith(formatKey(table, ''))).map(([, row]) => row.value)
  }
  return platform
}

function compareKeys (a: TableRow, b: TableRow): number {
  return a.key < b.key ? -1 : 1
}

function fail<T> (fault: MemoryFault): Result<T, PlatformFailure> {
  const kind = fault === MemoryFault.Outage ? PlatformFailureKind.Unavailable : PlatformFailureKind.Unknown
  return err({ kind, detail: `Injected fault "${fault}"` })
}
