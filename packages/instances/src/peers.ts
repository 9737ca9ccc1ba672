/**
 * Interface of the client that an instance uses to call other instances.
 *
 * @module
 */
import type { InstanceRecord, Refusal, ServiceResponse, ServiceRequest } from '@bilberryworks/steering'
import type { Result } from 'neverthrow'

/** How a call to a peer failed. */
export enum PeerFailureKind {
  /** No connection was established: no byte of the call was sent. */
  ConnectFailed = 'connect_failed',
  /** No valid response arrived: the connection closed, or the call timed out; the method may have run. */
  NoResponse = 'lost',
  /** The peer responded with an error. */
  Refused = 'refused'
}

/** A failed call to a peer. */
export interface PeerFailure {
  /** How the call failed. */
  kind: PeerFailureKind
  /** The cause, in one sentence. */
  detail: string
}

/** A request whose forwarding failed. */
export interface ForwardFailure {
  /** Whether no byte was sent, so that the request may be forwarded to another instance. */
  isUnsent: boolean
  /** Refusal to send to the caller, unless another instance handles the request. */
  refusal: Refusal
}

/** A client of the other instances. */
export interface PeerClient extends AsyncDisposable {
  /** Calls a JSON-RPC method of a peer. */
  call<T> (peerAddress: string, method: string, options: PeerCallOptions): Promise<Result<T, PeerFailure>>
  /** Forwards a caller's request to a peer, which must not forward it again. Aborts it after `remainingMs`, the time until the caller's deadline in milliseconds. */
  forward (peer: InstanceRecord, request: ServiceRequest, remainingMs: number): Promise<Result<ServiceResponse, ForwardFailure>>
}

/** Options of a JSON-RPC call. */
export interface PeerCallOptions {
  /** Parameters of the method. */
  params: unknown
  /** Timeout of the call, in milliseconds; 1 second by default. */
  timeoutMs?: number
  /** Called with the size of the request and response bodies together, in bytes, once the response has arrived. */
  recordBytes?: (bytes: number) => void
}
