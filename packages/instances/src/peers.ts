/**
 * What an instance needs of another instance.
 *
 * @module
 */
import type { InstanceRecord, Refusal, ServiceResponse, ServiceRequest } from '@bilberryworks/steering'
import type { Result } from 'neverthrow'

/** How a call to a peer failed. */
export enum PeerFailureKind {
  /** No connection: no byte of the call was sent. */
  ConnectFailed = 'connect_failed',
  /** The connection broke, or the answer did not come in time. */
  Lost = 'lost',
  /** The peer answered with an error. */
  Refused = 'refused'
}

/** A failed call. */
export interface PeerFailure {
  /** How it failed. */
  kind: PeerFailureKind
  /** One sentence with the cause. */
  detail: string
}

/** What became of a request that was forwarded. */
export interface ForwardFailure {
  /** Set where no byte was sent, so that another instance may be asked. */
  unsent: boolean
  /** What to tell the caller if nobody else is asked. */
  refusal: Refusal
}

/** The other instances, as the rest of the system sees them. */
export interface PeerClient extends AsyncDisposable {
  /** Calls a JSON-RPC method of a peer. */
  call<T> (peerAddress: string, method: string, options: PeerCallOptions): Promise<Result<T, PeerFailure>>
  /** Forwards a caller's request to a peer, which may not forward it again. */
  forward (peer: InstanceRecord, request: ServiceRequest, remainingMs: number): Promise<Result<ServiceResponse, ForwardFailure>>
}

/** Options of a JSON-RPC call. */
export interface PeerCallOptions {
  /** Parameters of the method. */
  params: unknown
  /** Milliseconds after which the call is given up on; 1 s by default. */
  timeoutMs?: number
  /** Called with the bytes of the bodies of an answered call. */
  recordBytes?: (bytes: number) => void
}
