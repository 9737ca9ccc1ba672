/**
 * The record by which an instance is known to the others.
 *
 * @module
 */
import type { InstanceRecord } from '@bilberryworks/steering'
import type { Settings } from './settings.ts'
import { randomUUID } from 'node:crypto'
import { MachineState } from '@bilberryworks/steering'

/** The identity of an instance. */
export interface Identity {
  /** Returns the record as it was announced last. */
  getRecord (): InstanceRecord
  /** Creates the next announcement. */
  createAnnouncement (): InstanceRecord
  /** Sets the addresses, once the listeners are open. */
  updateAddresses (addresses: { callers: string, peers: string }): void
  /** Announces the epoch of pins that a function returns. */
  followPinEpoch (getPinEpoch: () => number): void
  /** Sets whether the instance may send to the targets that it feeds. */
  updateFeeding (feeding: boolean): void
  /** Marks the instance as leaving. */
  markLeaving (): void
  /** Whether the instance is leaving. */
  isLeaving (): boolean
}

/**
 * Creates the identity of this run of an instance.
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
    state: MachineState.Live,
    feeding: false,
    sequence: 0,
    pinEpoch: 0
  }
  let getPinEpoch = (): number => 0
  return {
    getRecord: () => record,
    createAnnouncement () {
      record = { ...record, sequence: record.sequence + 1, pinEpoch: getPinEpoch() }
      return record
    },
    updateAddresses (addresses) {
      record = { ...record, callerAddress: addresses.callers, peerAddress: addresses.peers }
    },
    followPinEpoch (getEpoch) {
      getPinEpoch = getEpoch
    },
    updateFeeding (feeding) {
      record = { ...record, feeding }
    },
    markLeaving () {
      record = { ...record, state: MachineState.Leaving }
    },
    isLeaving: () => record.state === MachineState.Leaving
  }
}
