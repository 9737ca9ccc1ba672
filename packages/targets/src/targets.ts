/**
 * What the system needs of a target.
 *
 * @module
 */
import type { Readable } from 'node:stream'
import type { HeaderFields, ServiceResponse, TargetRecord } from '@bilberryworks/steering'
import type { Result } from 'neverthrow'

/** How an exchange with a target failed. */
export enum TargetFailureKind {
  /** No connection: no byte of the request was sent. */
  ConnectFailed = 'connect_failed',
  /** The target answered explicitly that it did not run the request. */
  Refused = 'refused',
  /** The connection broke after a byte may have been read. */
  Lost = 'lost',
  /** The deadline passed after a byte may have been read. */
  TimedOut = 'timed_out'
}

/** A failed exchange. */
export interface TargetFailure {
  /** How it failed. */
  kind: TargetFailureKind
  /** One sentence with the cause. */
  detail: string
  /** Whether the target said that it is leaving. */
  leaving: boolean
}

/** One request to one target. */
export interface TargetRequest {
  /** Identifies the request for cancellation. */
  requestId: string
  /** HTTP method, in capitals. */
  method: string
  /** Path and query, with its leading slash. */
  path: string
  /** End-to-end header fields. */
  headers: HeaderFields
  /** The body. */
  body: Readable
  /** Milliseconds that the target may take. */
  deadlineMs: number
  /** Aborted when the caller is gone. */
  signal: AbortSignal
}

/** A target's answer with the load that it reported beside it. */
export interface TargetResponse extends ServiceResponse {
  /** Whether the target said that it is leaving. */
  leaving: boolean
}

/** A target's own report of its load, which may lag or mislead. */
export interface TargetLoad {
  /** Slots in use. */
  busySlots: number
  /** Slots in all. */
  slots: number
  /** Whether the target is leaving. */
  leaving: boolean
}

/** The targets, as the rest of the system sees them. */
export interface TargetClient extends AsyncDisposable {
  /** Sends a request; the answer's body may still be on its way when this resolves. */
  send (target: TargetRecord, request: TargetRequest): Promise<Result<TargetResponse, TargetFailure>>
  /** Asks a target to stop working on a request; resolves to whether it said that it is done with it. */
  cancel (target: TargetRecord, requestId: string): Promise<boolean>
  /** Asks a target for its load; `undefined` where it did not answer. */
  readLoad (target: TargetRecord): Promise<TargetLoad | undefined>
}
