/**
 * A platform in memory with scripted faults, for tests.
 *
 * @module
 */
import type { Result } from 'neverthrow'
import type { MachineList, Platform, PlatformFailure, TableRow, TableWrite } from './platform.ts'
import { err, ok } from 'neverthrow'
import { PlatformFailureKind } from './platform.ts'

/** A fault of one call. */
export enum MemoryFault {
  /** Refused, nothing carried out. */
  Outage = 'outage',
  /** Carried out, but the answer is lost. */
  LostAnswer = 'lost_answer',
  /** The request is lost: not carried out, and the caller can't tell. */
  LostRequest = 'lost_request',
  /** The request is held back and carried out by `landDelayed`; the caller can't tell. */
  Delayed = 'delayed',
  /** A read is answered from the state before the last write. */
  Stale = 'stale'
}

/** A call that a fault may hit. */
export interface MemoryCall {
  /** Whether it writes. */
  writes: boolean
  /** Tables that it touches. */
  tables: string[]
}

/** A platform in memory. */
export interface MemoryPlatform extends Platform {
  /** Chooses the fault of each call; none by default. */
  chooseFault: (call: MemoryCall) => MemoryFault | undefined
  /** What the platform holds. */
  state: MemoryState
  /** Calls carried out. */
  counts: { reads: number, writes: number }
  /** The list of machines. */
  machines: MachineList
  /** Carries out the writes that were held back, in their order. */
  landDelayed (): void
  /** Returns the value of a row. */
  getValue (table: string, key: string): unknown
  /** Lists the values of a table. */
  listValues (table: string): unknown[]
}

type Tables = Map<string, TableRow>

/** What a platform holds; several clients with faults of their own may share it. */
export interface MemoryState {
  /** Rows by table and key. */
  rows: Tables
  /** Rows before the last write. */
  previous: Tables
  /** Version of the next row written. */
  nextVersion: number
}

/**
 * Creates a client of a platform in memory.
 *
 * @param state What the platform holds; a new one by default
 * @returns The platform
 */
export function createMemoryPlatform (state: MemoryState = { rows: new Map(), previous: new Map(), nextVersion: 1 }): MemoryPlatform {
  const delayedWrites: TableWrite[][] = []
  const formatKey = (table: string, key: string): string => `${table}\u0000${key}`

  function applyWrites (writes: TableWrite[]): Result<void, PlatformFailure> {
    const conflicts = writes.filter(write => write.ifVersion !== undefined && (state.rows.get(formatKey(write.table, write.key))?.version ?? 0) !== write.ifVersion)
    if (conflicts.length > 0) {
      return err({ kind: PlatformFailureKind.Conflict, detail: 'Condition did not hold', conflicts: conflicts.map(({ table, key }) => ({ table, key })) })
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
      if (fault !== undefined && fault !== MemoryFault.LostAnswer) return fail(fault)
      platform.counts.writes++
      const written = applyWrites(copy)
      return fault === undefined ? written : fail(fault)
    },
    readObject: async () => ok(undefined),
    writeObject: async () => ok(undefined),
    listMachines: () => read('machines', () => platform.machines),
    landDelayed () {
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
  return err({ kind, detail: `Fault "${fault}"` })
}
