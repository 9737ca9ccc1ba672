/**
 * Interface of the platform: its table service, its object store and its list of machines.
 *
 * @module
 */
import type { InstanceRecord, TargetRecord } from '@bilberryworks/steering'
import type { Result } from 'neverthrow'

/** How a call to the platform failed. */
export enum PlatformFailureKind {
  /** A precondition of the transaction failed; nothing was written. */
  Conflict = 'conflict',
  /** The platform refused the call or could not be reached; the call had no effect. */
  Unavailable = 'unavailable',
  /** No valid response arrived: the call may have taken effect, or may still take effect. */
  Unknown = 'unknown'
}

/** A failed call to the platform. */
export interface PlatformFailure {
  /** How the call failed. */
  kind: PlatformFailureKind
  /** The cause, in one sentence. */
  detail: string
  /** Rows whose precondition failed, if `kind` is `Conflict`. */
  conflicts?: Array<{ table: string, key: string }>
}

/** A row of a table. */
export interface TableRow {
  /** Key of the row. */
  key: string
  /** Version of the row; increases with each write. */
  version: number
  /** JSON value of the row. */
  value: unknown
}

/** One write of a transaction. */
export interface TableWrite {
  /** Name of the table. */
  table: string
  /** Key of the row. */
  key: string
  /** Precondition: version that the row must have, 0 if the row must be absent. No precondition by default. */
  ifVersion?: number
  /** New value of the row; absent to delete the row. */
  value?: unknown
  /** Whether to check only the precondition and leave the row unchanged. */
  checkOnly?: boolean
}

/** The platform's list of machines. It may be out of date. */
export interface MachineList {
  /** Entry instances. */
  instances: InstanceRecord[]
  /** Targets. */
  targets: TargetRecord[]
}

/** Options of a call to the platform. */
export interface PlatformCallOptions {
  /** Timeout of the call, in milliseconds. */
  timeoutMs?: number
}

/** A client of the platform. */
export interface Platform {
  /** Reads one row; `undefined` if there is none. */
  readRow (table: string, key: string, options?: PlatformCallOptions): Promise<Result<TableRow | undefined, PlatformFailure>>
  /** Reads the rows whose key begins with a prefix, in key order. */
  listRows (table: string, prefix: string, options?: PlatformCallOptions): Promise<Result<TableRow[], PlatformFailure>>
  /** Executes all writes in one transaction, or none of them. */
  writeRows (writes: TableWrite[], options?: PlatformCallOptions): Promise<Result<void, PlatformFailure>>
  /** Reads an object; `undefined` if there is none of this name. */
  readObject (name: string, options?: PlatformCallOptions): Promise<Result<Uint8Array | undefined, PlatformFailure>>
  /** Creates or replaces an object. */
  writeObject (name: string, content: Uint8Array, options?: PlatformCallOptions): Promise<Result<void, PlatformFailure>>
  /** Reads the list of machines. */
  listMachines (options?: PlatformCallOptions): Promise<Result<MachineList, PlatformFailure>>
}
