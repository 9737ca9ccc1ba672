/**
 * Records of entry instances and targets, with their lifecycle state.
 *
 * @module
 */

/** Lifecycle state of an instance or a target. */
export enum LifecycleState {
  /** Accepts new requests. */
  Live = 'live',
  /** Accepts no new requests. */
  Leaving = 'leaving'
}

/** Record that an entry instance announces about itself. */
export interface InstanceRecord {
  /** Name of the instance. */
  instance: string
  /** Identifier of this run of the process; each restart has a new one. */
  incarnation: string
  /** Number of starts under this name; the incarnation with the highest number is the current one. Absent counts as 0. */
  start?: number
  /** Failure domain of the instance. */
  failureDomain: string
  /** Region of the instance. */
  region: string
  /** `host:port` of its listener for callers. */
  callerAddress: string
  /** `host:port` of its listener for peers. */
  peerAddress: string
  /** Whether the instance accepts new requests. */
  state: LifecycleState
  /** Whether the instance may dispatch to the targets that it owns; `false` before its first lease on them and while the lease has lapsed. Absent counts as `true`. */
  feeding?: boolean
  /** Counts the announcements of this incarnation; the highest one wins. */
  sequence: number
  /** Current epoch of the pins that the instance issues; see `pin.ts`. */
  pinEpoch: number
}

/** Record of a target, as the platform lists it. */
export interface TargetRecord {
  /** Name of the target. */
  target: string
  /** Service that the target runs. */
  service: string
  /** `host:port` that the target listens on. */
  address: string
  /** Failure domain of the target. */
  failureDomain: string
  /** Region of the target. */
  region: string
  /** Maximum number of requests that the target processes concurrently. */
  slots: number
  /** Maximum number of connections from all instances together. */
  maxConnections: number
  /** Whether the target accepts new requests. */
  state: LifecycleState
}
