/**
 * Polls the platform: reads the index row, the list of machines, and the rows that the index row shows to have changed.
 *
 * @module
 */
import type { IndexRow, MachineList, Platform } from '@bilberryworks/platform'
import type { AcceptedDocument, ShiftRow } from '@bilberryworks/steering'
import type { ClusterView } from './cluster_view.ts'
import { readIndex, TableName } from '@bilberryworks/platform'

/** Options of {@linkcode createPoller}. */
export interface CreatePollerOptions {
  /** Cluster view to merge into. */
  view: ClusterView
  /** The platform. */
  platform: Platform
  /** Reads the rows of all instances; resolves to whether the platform responded. */
  readInstances: () => Promise<boolean>
  /** Reads further rows that have a newer revision in the index row. */
  applyIndex?: (index: IndexRow) => Promise<void>
  /** Called with each list of machines that the platform returns. */
  recordMachines?: (list: MachineList) => void
  /** Longest time between two reads of the instances' rows while the index row shows no change, in milliseconds. */
  instancesIntervalMs: number
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Result of a poll. */
export interface PollResult {
  /** Whether the platform returned the index row. */
  isIndexRead: boolean
  /** Whether no read of machines or instances failed, and the view holds all revisions and steps of the index row, or later ones. */
  isComplete: boolean
}

/**
 * Creates a function that polls the platform once per call.
 *
 * @param options Platform, view and callbacks
 * @returns The function
 */
export function createPoller (options: CreatePollerOptions): () => Promise<PollResult> {
  const { view, platform } = options
  /** Counter of joined and left instances in the index row at the last read of the instances' rows. */
  let lastMembers = -1
  let instancesReadAtMs = -Infinity

  /** Reads a document; resolves to whether the revision in the index row, or a later one, is known. */
  async function readDocument (service: string, revision: number): Promise<boolean> {
    const row = await platform.readRow(TableName.Documents, service)
    if (row.isOk() && row.value !== undefined) view.mergeDocument(row.value.value as AcceptedDocument)
    return (view.getDocument(service)?.revision ?? 0) >= revision
  }

  /** Reads a shift; resolves to whether the step in the index row, or a later one, is known. */
  async function readShift (service: string, step: number): Promise<boolean> {
    const row = await platform.readRow(TableName.Shifts, service)
    if (row.isOk() && row.value !== undefined) view.mergeShift(row.value.value as ShiftRow)
    return (view.getShift(service)?.step ?? 0) >= step
  }

  async function readMachines (): Promise<boolean> {
    const requestedAtMs = options.getNowMs()
    const machines = await platform.listMachines()
    if (machines.isOk()) {
      view.mergeMachines(machines.value, options.getNowMs() - requestedAtMs)
      options.recordMachines?.(machines.value)
    }
    return machines.isOk()
  }

  async function readInstances (members: number): Promise<boolean> {
    const nowMs = options.getNowMs()
    if (members === lastMembers && nowMs - instancesReadAtMs < options.instancesIntervalMs) return true
    const areInstancesRead = await options.readInstances()
    if (areInstancesRead) {
      lastMembers = members
      instancesReadAtMs = nowMs
    }
    return areInstancesRead
  }

  return async () => {
    const read = await readIndex(platform)
    if (read.isErr()) return { isIndexRead: false, isComplete: false }
    const { index } = read.value
    const revisions = view.getDocumentRevisions()
    const steps = view.getShiftSteps()
    const [areMachinesRead, ...rowsRead] = await Promise.all([
      readMachines(),
      readInstances(index.members),
      ...listNewer(index.revisions, revisions).map(service => readDocument(service, index.revisions[service] ?? 0)),
      ...listNewer(index.shifts, steps).map(service => readShift(service, index.shifts[service] ?? 0))
    ])
    await options.applyIndex?.(index)
    return { isIndexRead: true, isComplete: areMachinesRead && rowsRead.every(Boolean) }
  }
}

/** Lists the names that have a higher number in the first record. */
function listNewer (latest: Record<string, number>, known: Record<string, number>): string[] {
  return Object.keys(latest).filter(name => (latest[name] ?? 0) > (known[name] ?? 0))
}
