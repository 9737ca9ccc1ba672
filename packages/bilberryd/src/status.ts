/**
 * Reads the state of the system for operators, by a call to each live instance.
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
  /** Cluster view with documents, shifts and instances. */
  view: ClusterView
  /** Client for calls to the other instances. */
  peers: PeerClient
  /** Returns the revisions and steps in force at this instance. */
  createVersions: () => InstanceVersions
  /** Returns the region weights that this instance applies to a service. */
  getWeights: (service: string) => RegionWeights
  /** Returns the state of a service's shift. */
  getShiftState: (service: string) => ShiftState
}

/** An instance with the revisions and steps in force there. */
export type InstanceStatus = InstanceRecord & { reachable: boolean } & Partial<InstanceVersions>

/** State of all instances. */
export interface InstancesStatus {
  /** Instances with a recent heartbeat. `reachable` is whether the instance responded to this call. */
  instances: InstanceStatus[]
  /** Names of instances that did not respond, or whose heartbeats stopped without a planned stop. */
  unreachable: string[]
}

/** State of a service. */
export interface ServiceStatus {
  /** Name of the service. */
  service: string
  /** Document revision in force at this instance. */
  revision: number
  /** State and row of the shift, and the weights of the document. */
  shift: { state: ShiftState, row: ShiftRow | undefined, desired: AcceptedDocument['document']['regionWeights'] }
  /** Region weights that this instance applies. */
  appliedWeights: RegionWeights
  /** Document revision and shift step in force at each instance. */
  instances: Array<{ instance: string, reachable: boolean, revision?: number, step?: number }>
  /** Names of instances that did not respond, or whose heartbeats stopped without a planned stop. */
  unreachable: string[]
}

/** Reads the state of the system. */
export interface StatusReader {
  /** Reads the revisions and steps in force from each live instance. */
  readInstances (): Promise<InstancesStatus>
  /** Reads the state of a service; `undefined` if this instance knows no document of it. */
  readService (service: string): Promise<ServiceStatus | undefined>
}

/**
 * Creates a status reader.
 *
 * @param options Cluster view, peers and state of this instance
 * @returns The reader
 */
export function createStatusReader (options: CreateStatusReaderOptions): StatusReader {
  const { view, peers } = options

  async function readInstance (record: InstanceRecord): Promise<InstanceStatus> {
    const ownVersions = options.createVersions()
    if (record.instance === ownVersions.instance) return { ...record, reachable: true, ...ownVersions }
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
    const unanswered = instances.filter(status => !status.reachable).map(status => status.instance)
    return { instances, unreachable: [...new Set([...unanswered, ...view.listUnreachable()])].sort() }
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
