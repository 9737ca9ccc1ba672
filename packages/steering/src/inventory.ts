/**
 * The instances and targets that the system knows of.
 *
 * @module
 */

/** Whether a machine takes new work. */
export enum MachineState {
  Live = 'live',
  Leaving = 'leaving'
}

/** An entry instance as it announces itself. */
export interface InstanceRecord {
  /** Name of the instance. */
  instance: string
  /** Identifier of this run of its process; a restart has a new one. */
  incarnation: string
  /** Counts the starts under this name; the incarnation with the highest is the present one. Absent counts as 0. */
  start?: number
  /** Failure domain that it is in. */
  failureDomain: string
  /** Region that it is in. */
  region: string
  /** `host:port` of its listener for callers. */
  callerAddress: string
  /** `host:port` of its listener for peers. */
  peerAddress: string
  /** Whether it takes new work. */
  state: MachineState
  /** Whether it may send to the targets that it feeds; not so between its start and its first lease on them. */
  feeding?: boolean
  /** Counts this incarnation's announcements; the highest wins. */
  sequence: number
  /** Epoch under which keys are remembered now; see `pin.ts`. */
  pinEpoch: number
}

/** A target as the platform lists it. */
export interface TargetRecord {
  /** Name of the target. */
  target: string
  /** Service that it runs. */
  service: string
  /** `host:port` that it listens on. */
  address: string
  /** Failure domain that it is in. */
  failureDomain: string
  /** Region that it is in. */
  region: string
  /** Requests that it works on at once. */
  slots: number
  /** Connections that it takes from all instances together. */
  maxConnections: number
  /** Whether it takes new work. */
  state: MachineState
}
