/**
 * What an instance knows: documents, instances and targets, merged so that nothing goes back.
 *
 * @module
 */
import type { MachineList } from '@bilberryworks/platform'
import type { AcceptedDocument, InstanceRecord, TargetRecord } from '@bilberryworks/steering'
import { MachineState } from '@bilberryworks/steering'

/** An instance with the time at which it was last heard of. */
interface HeardInstance {
  record: InstanceRecord
  heardAtMs: number
}

/** Options of {@linkcode createView}. */
export interface CreateViewOptions {
  /** Milliseconds of silence after which an instance counts as gone. */
  instanceTimeoutMs: number
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** The knowledge of an instance. */
export interface View {
  /** Returns the document in force for a service. */
  getDocument (service: string): AcceptedDocument | undefined
  /** Lists the documents in force. */
  listDocuments (): AcceptedDocument[]
  /** Returns the revision in force by service. */
  getRevisions (): Record<string, number>
  /** Takes a document over unless a newer one is in force; returns whether it was taken. */
  mergeDocument (accepted: AcceptedDocument): boolean
  /** Takes an instance's announcement over unless a newer one is known. */
  mergeInstance (record: InstanceRecord): boolean
  /** Takes the platform's list of machines over. */
  mergeMachines (list: MachineList): void
  /** Marks an instance as not reachable until it is heard of again. */
  dropInstance (instance: string): void
  /** Finds the last record of an instance, also where it has not been heard of lately. */
  findInstance (instance: string): InstanceRecord | undefined
  /** Returns the time since an instance was last heard of, in milliseconds; infinite where it never was. */
  getSilenceMs (instance: string): number
  /** Lists the instances heard of lately. */
  listInstances (): InstanceRecord[]
  /** Lists the targets of a service, leaving ones among them. */
  listTargets (service: string): TargetRecord[]
  /** Lists all targets. */
  listAllTargets (): TargetRecord[]
  /** Marks a target as leaving, by its own word. */
  markTargetLeaving (target: string): void
}

/**
 * Creates an empty view.
 *
 * @param options Time-outs and the clock
 * @returns The view
 */
export function createView (options: CreateViewOptions): View {
  const documents = new Map<string, AcceptedDocument>()
  const instances = new Map<string, HeardInstance>()
  const targets = new Map<string, TargetRecord>()
  const selfLeaving = new Set<string>()

  const isUsable = (target: TargetRecord): TargetRecord => {
    const leaving = selfLeaving.has(target.target) || documents.get(target.service)?.document.leavingTargets.includes(target.target) === true
    return leaving ? { ...target, state: MachineState.Leaving } : target
  }

  return {
    getDocument: service => documents.get(service),
    listDocuments: () => [...documents.values()],
    getRevisions: () => Object.fromEntries([...documents].map(([service, accepted]) => [service, accepted.revision])),
    mergeDocument (accepted) {
      const service = accepted.document.service
      if (accepted.revision <= (documents.get(service)?.revision ?? 0)) return false
      documents.set(service, accepted)
      return true
    },
    mergeInstance (record) {
      const known = instances.get(record.instance)
      if (known !== undefined && known.record.incarnation === record.incarnation && record.sequence <= known.record.sequence) return false
      instances.set(record.instance, { record, heardAtMs: options.getNowMs() })
      return true
    },
    mergeMachines (list) {
      targets.clear()
      for (const target of list.targets) targets.set(target.target, target)
    },
    dropInstance (instance) {
      const known = instances.get(instance)
      if (known !== undefined) known.heardAtMs = -Infinity
    },
    findInstance: instance => instances.get(instance)?.record,
    getSilenceMs: instance => options.getNowMs() - (instances.get(instance)?.heardAtMs ?? -Infinity),
    listInstances () {
      const oldest = options.getNowMs() - options.instanceTimeoutMs
      return [...instances.values()].filter(heard => heard.heardAtMs >= oldest).map(heard => heard.record)
    },
    listTargets: service => [...targets.values()].filter(target => target.service === service).map(isUsable),
    listAllTargets: () => [...targets.values()].map(isUsable),
    markTargetLeaving (target) {
      selfLeaving.add(target)
    }
  }
}
