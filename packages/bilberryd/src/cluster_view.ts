/**
 * An instance's view of the cluster: service documents, region weights, instances and targets.
 *
 * Updates arrive from the platform and from peers in any order; an older version never replaces a newer one.
 *
 * @module
 */
import type { MachineList } from '@bilberryworks/platform'
import type { AcceptedDocument, InstanceRecord, ShiftRow, TargetRecord, TargetSelfReport } from '@bilberryworks/steering'
import type { CreateInstanceTableOptions, InstanceWithAge } from './instance_table.ts'
import { LifecycleState } from '@bilberryworks/steering'
import { createInstanceTable } from './instance_table.ts'
import { createTargetTable } from './target_table.ts'

/** Options of {@linkcode createClusterView}: the timeout of instances and the clock. */
export interface CreateClusterViewOptions extends CreateInstanceTableOptions {}

/** An instance's view of the cluster. */
export interface ClusterView {
  /** Returns the newest known document of a service. */
  getDocument (service: string): AcceptedDocument | undefined
  /** Lists the newest known document of each service. */
  listDocuments (): AcceptedDocument[]
  /** Returns the revision of the newest known document, by service. */
  getDocumentRevisions (): Record<string, number>
  /** Stores a document unless one of the same or a later revision is known; returns whether it was stored. */
  mergeDocument (accepted: AcceptedDocument): boolean
  /** Returns the newest known shift row of a service, which holds the region weights in use. */
  getShift (service: string): ShiftRow | undefined
  /** Lists the newest known shift row of each service. */
  listShifts (): ShiftRow[]
  /** Returns the step number of the newest known shift row, by service. */
  getShiftSteps (): Record<string, number>
  /** Stores a shift row unless one of the same or a later step is known; returns whether it was stored. */
  mergeShift (row: ShiftRow): boolean
  /** Stores an instance's announcement unless the same or a later one is known; returns whether it was stored. The age is in milliseconds, 0 by default. */
  mergeInstance (record: InstanceRecord, ageMs?: number): boolean
  /** Returns the last announcement of an instance, regardless of its age. */
  getInstance (instance: string): InstanceRecord | undefined
  /** Stores the targets, as `mergeTargets` does, and the leaving instances of the platform's list of machines. The age is in milliseconds, 0 by default. */
  mergeMachines (list: MachineList, ageMs?: number): void
  /** Stores a list of targets unless a later one is known, or the list is empty and targets are known; the age is in milliseconds. */
  mergeTargets (records: TargetRecord[], ageMs: number): void
  /** Marks an instance as unreachable until a later announcement of it arrives. */
  markInstanceUnreachable (instance: string): void
  /** Returns the time since the last announcement of an instance, in milliseconds; infinite for an unknown instance. */
  getSilenceMs (instance: string): number
  /** Lists the reachable instances with an announcement within the instance timeout, including those that are leaving. */
  listInstances (): InstanceRecord[]
  /** Lists the same instances as `listInstances` with the age of their announcements, most recent first. */
  listInstancesWithAge (): InstanceWithAge[]
  /** Lists the names of instances that were live and are unreachable or have exceeded the instance timeout, up to 10 minutes after their last announcement. */
  listUnreachable (): string[]
  /** Lists the targets of a service, including those that are leaving. */
  listTargets (service: string): TargetRecord[]
  /** Lists all targets. */
  listAllTargets (): TargetRecord[]
  /** Lists the targets as the platform listed them, without applying self-reports and service documents to their state. */
  listPlatformTargets (): TargetRecord[]
  /** Returns the time since the list of targets was requested from the platform, in milliseconds; infinite without a list. */
  getTargetsAgeMs (): number
  /** Records that a target reported itself as leaving. */
  markTargetLeaving (target: string): void
  /** Records that a target reported itself as live again. */
  markTargetLive (target: string): void
  /** Merges a target's self-report that a peer sent. */
  mergeTargetSelfReport (report: TargetSelfReport): void
  /** Lists the self-reports of targets, most recent first. */
  listTargetSelfReports (): TargetSelfReport[]
  /** Registers a function to call after each local update that should be sent to peers immediately: a changed self-report of a target. */
  watchUpdates (listener: () => void): void
}

/**
 * Creates an empty view.
 *
 * @param options The instance timeout and the clock
 * @returns The view
 */
export function createClusterView (options: CreateClusterViewOptions): ClusterView {
  const documents = new Map<string, AcceptedDocument>()
  const shifts = new Map<string, ShiftRow>()
  const instances = createInstanceTable(options)
  const targets = createTargetTable({
    isLeavingByDocument: (service, target) => documents.get(service)?.document.leavingTargets.includes(target) === true,
    getNowMs: options.getNowMs
  })
  const listeners: Array<() => void> = []

  function recordSelfReport (target: string, leaving: boolean): void {
    if (targets.recordSelfReport(target, leaving)) listeners.forEach(listener => listener())
  }

  return {
    getDocument: service => documents.get(service),
    listDocuments: () => [...documents.values()],
    getDocumentRevisions: () => Object.fromEntries([...documents].map(([service, accepted]) => [service, accepted.revision])),
    mergeDocument (accepted) {
      const service = accepted.document.service
      if (accepted.revision <= (documents.get(service)?.revision ?? 0)) return false
      documents.set(service, accepted)
      return true
    },
    getShift: service => shifts.get(service),
    listShifts: () => [...shifts.values()],
    getShiftSteps: () => Object.fromEntries([...shifts].map(([service, row]) => [service, row.step])),
    mergeShift (row) {
      if (row.step <= (shifts.get(row.service)?.step ?? 0)) return false
      shifts.set(row.service, row)
      return true
    },
    mergeInstance: (record, ageMs = 0) => instances.merge({ record, ageMs }),
    getInstance: instances.get,
    mergeMachines (machines, ageMs = 0) {
      targets.mergeList(machines.targets, ageMs)
      const leaving = machines.instances.filter(record => record.state === LifecycleState.Leaving)
      instances.updateLeavingIncarnations(new Set(leaving.map(record => record.incarnation)))
    },
    mergeTargets: targets.mergeList,
    markInstanceUnreachable: instances.markUnreachable,
    getSilenceMs: instances.getSilenceMs,
    listInstances: () => instances.listWithAge().map(entry => entry.record),
    listInstancesWithAge: instances.listWithAge,
    listUnreachable: instances.listUnreachable,
    listTargets: targets.list,
    listAllTargets: () => targets.list(),
    listPlatformTargets: targets.listPlatformTargets,
    getTargetsAgeMs: targets.getAgeMs,
    markTargetLeaving: target => recordSelfReport(target, true),
    markTargetLive: target => recordSelfReport(target, false),
    mergeTargetSelfReport: targets.mergeSelfReport,
    listTargetSelfReports: targets.listSelfReports,
    watchUpdates (listener) {
      listeners.push(listener)
    }
  }
}
