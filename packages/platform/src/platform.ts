/**
 * What the system needs of the platform: its table service, its object store and its list of machines.
 *
 * @module
 */
import type { InstanceRecord, TargetRecord } from '@bilberryworks/steering'
import type { Result } from 'neverthrow'

/** How a call to the platform failed. */
export enum PlatformFailureKind {
  /** A condition of the transaction did not hold; nothing was written. */
  Conflict = 'conflict',
  /** The call was not carried out. */
  Unavailable = 'unavailable',
  /** The answer was lost; the call may have been carried out, or may yet be. */
  Unknown = 'unknown'
}

/** A failed call. */
export interface PlatformFailure {
  /** How it failed. */
  kind: PlatformFailureKind
  /** One sentence with the cause. */
  detail: string
  /** Rows whose condition did not hold, where `kind` is `Conflict`. */
  conflicts?: Array<{ table: string, key: string }>
}

/** A row of a table. */
export interface TableRow {
  /** Key of the row. */
  key: string
  /** Version of the row, which each write changes. */
  version: number
  /** Value of the row, as JSON. */
  value: unknown
}

/** One write of a transaction. */
export interface TableWrite {
  /** Name of the table. */
  table: string
  /** Key of the row. */
  key: string
  /** Version that the row must have; 0 where it must be absent; absent for no condition. */
  ifVersion?: number
  /** New value; absent to delete the row. */
  value?: unknown
  /** Whether only the condition is checked and the row is left as it is. */
  checkOnly?: boolean
}

/** The platform's list of machines, which lags. */
export interface MachineList {
  /** Entry instances. */
  instances: InstanceRecord[]
  /** Targets. */
  targets: TargetRecord[]
}

/** Options of a call to the platform. */
export interface PlatformCallOptions {
  /** Milliseconds after which the call is given up on. */
  timeoutMs?: number
}

/** The platform, as the rest of the system sees it. */
export interface Platform {
  /** Reads one row; `undefined` where there is none. */
  readRow (table: string, key: string, options?: PlatformCallOptions): Promise<Result<TableRow | undefined, PlatformFailure>>
  /** Reads the rows whose key has a prefix, in the order of their keys. */
  listRows (table: string, prefix: string, options?: PlatformCallOptions): Promise<Result<TableRow[], PlatformFailure>>
  /** Carries out all writes or none. */
  writeRows (writes: TableWrite[], options?: PlatformCallOptions): Promise<Result<void, PlatformFailure>>
  /** Reads an object; `undefined` where there is none. */
  readObject (name: string, options?: PlatformCallOptions): Promise<Result<Uint8Array | undefined, PlatformFailure>>
  /** Writes an object whole. */
  writeObject (name: string, content: Uint8Array, options?: PlatformCallOptions): Promise<Result<void, PlatformFailure>>
  /** Reads the list of machines. */
  listMachines (options?: PlatformCallOptions): Promise<Result<MachineList, PlatformFailure>>
}
