/**
 * The instance record that an instance writes to the platform and sends to its peers.
 *
 * @module
 */
import type { InstanceRecord } from '@bilberryworks/steering'
import type { Settings } from './settings.ts'
import { randomUUID } from 'node:crypto'
import { LifecycleState } from '@bilberryworks/steering'

/** Holds and updates the instance record of an instance. */
export interface Identity {
  /** Returns the current instance record, with the sequence number of the last one created. */
  getRecord (): InstanceRecord
  /** Creates the next instance record, with the next sequence number and the current pin epoch. */
  createInstanceRecord (): InstanceRecord
  /** Sets the addresses (`host:port`) of the listeners for callers and peers. */
  updateAddresses (addresses: { callers: string, peers: string }): void
  /** Sets the function that supplies the pin epoch of later instance records. */
  setPinEpochSource (getPinEpoch: () => number): void
  /** Sets the field `feeding` of the instance record: whether the instance dispatches requests to the targets that it owns. */
  updateCanDispatch (canDispatch: boolean): void
  /** Sets the state in the instance record to leaving. */
  markLeaving (): void
  /** Whether the state in the instance record is leaving. */
  isLeaving (): boolean
}

/**
 * Creates the identity of an instance with a new incarnation identifier.
 *
 * @param settings The instance's settings
 * @returns The identity
 */
export function createIdentity (settings: Settings): Identity {
  let record: InstanceRecord = {
    instance: settings.instance,
    incarnation: randomUUID(),
    failureDomain: settings.failureDomain,
    region: settings.region,
    callerAddress: '',
    peerAddress: '',
    state: LifecycleState.Live,
    feeding: false,
    sequence: 0,
    pinEpoch: 0
  }
  let getPinEpoch = (): number => 0
  return {
    getRecord: () => record,
    createInstanceRecord () {
      record = { ...record, sequence: record.sequence + 1, pinEpoch: getPinEpoch() }
      return record
    },
    updateAddresses (addresses) {
      record = { ...record, callerAddress: addresses.callers, peerAddress: addresses.peers }
    },
    setPinEpochSource (getEpoch) {
      getPinEpoch = getEpoch
    },
    updateCanDispatch (canDispatch) {
      record = { ...record, feeding: canDispatch }
    },
    markLeaving () {
      record = { ...record, state: LifecycleState.Leaving }
    },
    isLeaving: () => record.state === LifecycleState.Leaving
  }
}
