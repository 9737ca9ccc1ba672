/**
 * The state of the system as operators see it, asked of each live instance.
 *
 * @module
 */
import type { PeerClient } from '@bilberryworks/instances'
import type { AcceptedDocument, InstanceRecord, RegionWeights, ShiftRow, ShiftState } from '@bilberryworks/steering'
import type { InstanceVersions } from './gossip_messages.ts'
import type { ClusterView } from './cluster_view.ts'
import { PeerMethodName } from './gossip_messages.ts'

const callTimeoutMs = 1_000
const maxConcurrentCalls = 32

/** Options of {@linkcode createStatusReader}. */
export interface CreateStatusReaderOptions {
  /** What the instance knows. */
  view: ClusterView
  /** The other instances. */
  peers: PeerClient
  /** Describes what this instance has in force. */
  createVersions: () => InstanceVersions
  /** Returns the weights that this instance applies. */
  getWeights: (service: string) => RegionWeights
  /** Returns what a service's shift is doing. */
  getShiftState: (service: string) => ShiftState
}

/** An instance with what it has in force. */
export type InstanceStatus = InstanceRecord & { reachable: boolean } & Partial<InstanceVersions>

/** The state of all instances. */
export interface InstancesStatus {
  /** Instances heard of lately; `reachable` says whether they answered just now. */
  instances: InstanceStatus[]
  /** Names of instances that did not answer, or that fell silent without leaving. */
  unreachable: string[]
}

/** The state of a service. */
export interface ServiceStatus {
  /** Name of the service. */
  service: string
  /** Revision in force here. */
  revision: number
  /** The shift under way. */
  shift: { state: ShiftState, row: ShiftRow | undefined, desired: AcceptedDocument['document']['regionWeights'] }
  /** Weights that this instance applies. */
  appliedWeights: RegionWeights
  /** What each instance has in force. */
  instances: Array<{ instance: string, reachable: boolean, revision?: number, step?: number }>
  /** Names of instances that did not answer, or that fell silent without leaving. */
  unreachable: string[]
}

/** Reads the state of the system. */
export interface StatusReader {
  /** Asks each live instance what it has in force. */
  readInstances (): Promise<InstancesStatus>
  /** Reads the state of a service whose document is known. */
  readService (service: string): Promise<ServiceStatus | undefined>
}

/**
 * Creates the reader.
 *
 * @param options What it asks
 * @returns The reader
 */
export function createStatusReader (options: CreateStatusReaderOptions): StatusReader {
  const { view, peers } = options

  async function readInstance (record: InstanceRecord): Promise<InstanceStatus> {
    const own = options.createVersions()
    if (record.instance === own.instance) return { ...record, reachable: true, ...own }
    const reply = await peers.call<InstanceVersions>(record.peerAddress, PeerMethodName.Versions, { params: {}, timeoutMs: callTimeoutMs })
    if (reply.isErr() || reply.value.instance !== record.instance) return { ...record, reachable: false }
    return { ...record, reachable: true, ...reply.value }
  }

  async function readInstances (): Promise<InstancesStatus> {
    const records = view.listInstances().sort((a, b) => a.instance < b.instance ? -1 : 1)
    const instances: InstanceStatus[] = []
    for (let first = 0; first < records.length; first += maxConcurrentCalls) {
      instances.push(...await Promise.all(records.slice(first, first + maxConcurrentCalls).map(readInstance)))
    }
    const silent = instances.filter(status => !status.reachable).map(status => status.instance)
    return { instances, unreachable: [...new Set([...silent, ...view.listUnreachable()])].sort() }
  }

  return {
    readInstances,
    async readService (service) {
      const accepted = view.getDocument(service)
      if (accepted === undefined) return undefined
      const { instances, unreachable } = await readInstances()
      return {
        service,
        revision: accepted.revision,
        shift: { state: options.getShiftState(service), row: view.getShift(service), desired: accepted.document.regionWeights },
        appliedWeights: options.getWeights(service),
        instances: instances.map(({ instance, reachable, revisions, steps }) => {
          return reachable ? { instance, reachable, revision: revisions?.[service] ?? 0, step: steps?.[service] ?? 0 } : { instance, reachable }
        }),
        unreachable
      }
    }
  }
}
