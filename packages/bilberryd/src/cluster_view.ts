/**
 * What an instance knows: documents, shifts, instances and targets, merged so that nothing goes back.
 *
 * @module
 */
import type { MachineList } from '@bilberryworks/platform'
import type { AcceptedDocument, InstanceRecord, ShiftRow, TargetRecord, TargetSelfReport } from '@bilberryworks/steering'
import type { CreateInstanceTableOptions, InstanceWithAge } from './instance_table.ts'
import { MachineState } from '@bilberryworks/steering'
import { createInstanceTable } from './instance_table.ts'
import { createTargetTable } from './target_table.ts'

/** Options of {@linkcode createClusterView}. */
export interface CreateClusterViewOptions extends CreateInstanceTableOptions {}

/** The knowledge of an instance. */
export interface ClusterView {
  /** Returns the document in force for a service. */
  getDocument (service: string): AcceptedDocument | undefined
  /** Lists the documents in force. */
  listDocuments (): AcceptedDocument[]
  /** Returns the revision in force by service. */
  getRevisions (): Record<string, number>
  /** Takes a document over unless a newer one is in force; returns whether it was taken. */
  mergeDocument (accepted: AcceptedDocument): boolean
  /** Returns the newest shift row known for a service, whose weights are in force. */
  getShift (service: string): ShiftRow | undefined
  /** Lists the newest shift rows known. */
  listShifts (): ShiftRow[]
  /** Returns the step of the newest shift row known, by service. */
  getSteps (): Record<string, number>
  /** Takes a shift row over unless one of the same or a later step is known; returns whether it was taken. */
  mergeShift (row: ShiftRow): boolean
  /** Takes an instance's announcement over unless a later one is known; its age is 0 milliseconds by default. */
  mergeInstance (record: InstanceRecord, ageMs?: number): boolean
  /** Returns the last announcement of an instance, however old. */
  getInstance (instance: string): InstanceRecord | undefined
  /** Takes the platform's list of machines over, unless a later one is known; its age is 0 milliseconds by default. */
  mergeMachines (list: MachineList, ageMs?: number): void
  /** Takes a list of targets over, unless a later one is known; its age is in milliseconds. */
  mergeTargets (records: TargetRecord[], ageMs: number): void
  /** Marks an instance as not reachable until it is heard of again. */
  dropInstance (instance: string): void
  /** Returns the time since an instance was last heard of, in milliseconds; infinite where it never was. */
  getSilenceMs (instance: string): number
  /** Lists the instances heard of lately, leaving ones among them. */
  listInstances (): InstanceRecord[]
  /** Lists the instances heard of lately with the age of that, latest first. */
  listInstancesWithAge (): InstanceWithAge[]
  /** Lists the names of instances that were live and can't be reached now. */
  listUnreachable (): string[]
  /** Lists the targets of a service, leaving ones among them. */
  listTargets (service: string): TargetRecord[]
  /** Lists all targets. */
  listAllTargets (): TargetRecord[]
  /** Lists the targets as the platform listed them, without what is known beside. */
  listPlatformTargets (): TargetRecord[]
  /** Milliseconds since the list of targets was asked for at the platform; infinite where there is none. */
  getTargetsAgeMs (): number
  /** Marks a target as leaving, by its own word. */
  markTargetLeaving (target: string): void
  /** Marks a target as live again, by its own word. */
  markTargetLive (target: string): void
  /** Merges a target's own word that a peer knows. */
  mergeTargetSelfReport (report: TargetSelfReport): void
  /** Lists the targets' own words, latest first. */
  listTargetSelfReports (): TargetSelfReport[]
  /** Calls a function whenever something was learnt here that peers should know at once. */
  watchUpdates (listener: () => void): void
}

/**
 * Creates an empty view.
 *
 * @param options The timeout of instances and the clock
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
    getRevisions: () => Object.fromEntries([...documents].map(([service, accepted]) => [service, accepted.revision])),
    mergeDocument (accepted) {
      const service = accepted.document.service
      if (accepted.revision <= (documents.get(service)?.revision ?? 0)) return false
      documents.set(service, accepted)
      return true
    },
    getShift: service => shifts.get(service),
    listShifts: () => [...shifts.values()],
    getSteps: () => Object.fromEntries([...shifts].map(([service, row]) => [service, row.step])),
    mergeShift (row) {
      if (row.step <= (shifts.get(row.service)?.step ?? 0)) return false
      shifts.set(row.service, row)
      return true
    },
    mergeInstance: (record, ageMs = 0) => instances.merge({ record, ageMs }),
    getInstance: instances.get,
    mergeMachines (machines, ageMs = 0) {
      targets.mergeList(machines.targets, ageMs)
      const leaving = machines.instances.filter(record => record.state === MachineState.Leaving)
      instances.updateLeavingIncarnations(new Set(leaving.map(record => record.incarnation)))
    },
    mergeTargets: targets.mergeList,
    dropInstance: instances.markUnreachable,
    getSilenceMs: instances.getSilenceMs,
    listInstances: () => instances.listWithAge().map(heard => heard.record),
    listInstancesWithAge: instances.listWithAge,
    listUnreachable: instances.listUnreachable,
    listTargets: targets.list,
    listAllTargets: () => targets.list(),
    listPlatformTargets: targets.listListed,
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
