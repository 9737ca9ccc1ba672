/**
 * One poll of the platform: the index row, and what it says has changed.
 *
 * @module
 */
import type { IndexRow, MachineList, Platform } from '@bilberryworks/platform'
import type { AcceptedDocument, ShiftRow } from '@bilberryworks/steering'
import type { ClusterView } from './cluster_view.ts'
import { readIndex, TableName } from '@bilberryworks/platform'

/** Options of {@linkcode createPoller}. */
export interface CreatePollerOptions {
  /** What the instance knows. */
  view: ClusterView
  /** The platform. */
  platform: Platform
  /** Reads the rows of all instances; resolves to whether the platform answered. */
  readInstances: () => Promise<boolean>
  /** Reads what else the index row names. */
  followIndex?: (index: IndexRow) => Promise<void>
  /** Called with each list of machines. */
  recordMachines?: (list: MachineList) => void
  /** Longest time between two readings of the instances' rows, in milliseconds. */
  instancesEveryMs: number
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** How a poll ended. */
export interface PollResult {
  /** Whether the platform answered. */
  answered: boolean
  /** Whether all that the index row names is known here now. */
  complete: boolean
}

/**
 * Creates the function that polls.
 *
 * @param options The platform and where to keep what it says
 * @returns A function that polls once
 */
export function createPoller (options: CreatePollerOptions): () => Promise<PollResult> {
  const { view, platform } = options
  let membersRead = -1
  let instancesReadAtMs = -Infinity

  /** Resolves to whether the revision that the index row names, or a later one, is known. */
  async function readDocument (service: string, revision: number): Promise<boolean> {
    const row = await platform.readRow(TableName.Documents, service)
    if (row.isOk() && row.value !== undefined) view.mergeDocument(row.value.value as AcceptedDocument)
    return (view.getDocument(service)?.revision ?? 0) >= revision
  }

  /** Resolves to whether the step that the index row names, or a later one, is known. */
  async function readShift (service: string, step: number): Promise<boolean> {
    const row = await platform.readRow(TableName.Shifts, service)
    if (row.isOk() && row.value !== undefined) view.mergeShift(row.value.value as ShiftRow)
    return (view.getShift(service)?.step ?? 0) >= step
  }

  async function readMachines (): Promise<boolean> {
    const askedAtMs = options.getNowMs()
    const machines = await platform.listMachines()
    if (machines.isOk()) {
      view.mergeMachines(machines.value, options.getNowMs() - askedAtMs)
      options.recordMachines?.(machines.value)
    }
    return machines.isOk()
  }

  async function readInstances (members: number): Promise<boolean> {
    const nowMs = options.getNowMs()
    if (members === membersRead && nowMs - instancesReadAtMs < options.instancesEveryMs) return true
    const answered = await options.readInstances()
    if (answered) {
      membersRead = members
      instancesReadAtMs = nowMs
    }
    return answered
  }

  return async () => {
    const read = await readIndex(platform)
    if (read.isErr()) return { answered: false, complete: false }
    const { index } = read.value
    const revisions = view.getRevisions()
    const steps = view.getSteps()
    const [machinesRead, ...fetched] = await Promise.all([
      readMachines(),
      readInstances(index.members),
      ...listNewer(index.revisions, revisions).map(service => readDocument(service, index.revisions[service] ?? 0)),
      ...listNewer(index.shifts, steps).map(service => readShift(service, index.shifts[service] ?? 0))
    ])
    await options.followIndex?.(index)
    return { answered: true, complete: machinesRead && fetched.every(Boolean) }
  }
}

function listNewer (theirs: Record<string, number>, ours: Record<string, number>): string[] {
  return Object.keys(theirs).filter(name => (theirs[name] ?? 0) > (ours[name] ?? 0))
}
