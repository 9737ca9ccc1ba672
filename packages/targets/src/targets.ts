/**
 * The interface of a target client: requests, cancellation and load reports.
 *
 * @module
 */
import type { Readable } from 'node:stream'
import type { HeaderFields, ServiceResponse, TargetRecord } from '@bilberryworks/steering'
import type { Result } from 'neverthrow'

/** Why a request to a target failed. */
export enum TargetFailureKind {
  /** The connection was not established, so no byte of the request was sent. */
  ConnectFailed = 'connect_failed',
  /** This host refused the connection, so no byte of the request was sent, and nothing is known of the target. */
  RefusedLocally = 'refused_locally',
  /** The target responded explicitly that it did not run the request. */
  Refused = 'refused',
  /** The connection broke, the response was invalid or the caller disconnected, after the target may have read a part of the request. */
  Lost = 'lost',
  /** The deadline passed after the target may have read a part of the request. */
  TimedOut = 'timed_out'
}

/** A failed request to a target. */
export interface TargetFailure {
  /** Why the request failed. */
  kind: TargetFailureKind
  /** Describes the cause in one sentence. */
  detail: string
  /** Whether the target stated in its response that it is shutting down. */
  leaving: boolean
}

/** A request to a target. */
export interface TargetRequest {
  /** Identifier of the request, by which it can be cancelled. */
  requestId: string
  /** HTTP method in upper case. */
  method: string
  /** Path and query, beginning with a slash. */
  path: string
  /** End-to-end header fields. */
  headers: HeaderFields
  /** Body; not sent with GET and HEAD. */
  body: Readable
  /** Time until the request times out, in milliseconds. */
  deadlineMs: number
  /** Aborted when the caller disconnects. */
  signal: AbortSignal
}

/** A response of a target. */
export interface TargetResponse extends ServiceResponse {
  /** Whether the target stated in the response that it is shutting down. */
  leaving: boolean
}

/** A load report of a target, which may be outdated or wrong. */
export interface TargetLoad {
  /** Number of slots in use. */
  busySlots: number
  /** Total number of slots. */
  slots: number
  /** Whether the target is shutting down. */
  leaving: boolean
}

/** Sends requests to targets. */
export interface TargetClient extends AsyncDisposable {
  /** Sends a request; resolves when the response head has arrived, while the body may still be streaming. */
  send (target: TargetRecord, request: TargetRequest): Promise<Result<TargetResponse, TargetFailure>>
  /** Asks a target to cancel a request; resolves to whether the target confirmed that it has stopped processing it. */
  cancel (target: TargetRecord, requestId: string): Promise<boolean>
  /** Reads the load report of a target; resolves to `undefined` if the target does not return a report. */
  readLoad (target: TargetRecord): Promise<TargetLoad | undefined>
}
