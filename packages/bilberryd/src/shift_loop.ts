/**
 * Advances the region weights in force on the platform towards those of the document, step by step, by compare-and-set.
 *
 * Every instance may advance every shift. A delay by rank leaves most steps to the first instance in the ranking.
 *
 * @module
 */
import type { Platform } from '@bilberryworks/platform'
import type { AcceptedDocument, ShiftRow, WeightChange } from '@bilberryworks/steering'
import type { ClusterView } from './cluster_view.ts'
import { TableName, writeWithIndex } from '@bilberryworks/platform'
import { createShiftRow, LifecycleState, planShift, rankByRendezvous, ShiftState } from '@bilberryworks/steering'

/** Options of {@linkcode createShiftLoop}. */
export interface CreateShiftLoopOptions {
  /** Name of this instance. */
  instance: string
  /** Cluster view with documents, shifts, instances and targets. */
  view: ClusterView
  /** The platform. */
  platform: Platform
  /** Whether the regions with a higher weight after a change have the capacity for it. */
  hasCapacity: (service: string, change: WeightChange) => boolean
  /** Whether the platform responded to the last poll. */
  isPlatformReachable: () => boolean
  /** Delay per rank of an instance before it takes a step, in milliseconds. */
  rankDelayMs: number
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Advances the shifts of all services. */
export interface ShiftLoop {
  /** Writes the steps that are due. */
  advanceShifts (): Promise<void>
  /** Returns the state of a service's shift, including the reason for which it does not advance. */
  getState (service: string): ShiftState
}

/**
 * Creates the shift loop. The caller must run `advanceShifts` after each poll.
 *
 * @param options Cluster view, platform and conditions of a step
 * @returns The shift loop
 */
export function createShiftLoop (options: CreateShiftLoopOptions): ShiftLoop {
  const { view, platform } = options
  const firstSeen = new Map<string, { step: number, atMs: number }>()

  /** Returns the monotonic time at which the row was first seen with its step, in milliseconds. */
  function observeStep (row: ShiftRow): number {
    const known = firstSeen.get(row.service)
    if (known?.step === row.step) return known.atMs
    const atMs = options.getNowMs()
    firstSeen.set(row.service, { step: row.step, atMs })
    return atMs
  }

  /** Returns the position of this instance among the live ones, ranked for the service. */
  function computeRank (service: string): number {
    const live = view.listInstances().filter(record => record.state === LifecycleState.Live)
    const ranked = rankByRendezvous(service, Object.fromEntries(live.map(record => [record.instance, 1])))
    const rank = ranked.indexOf(options.instance)
    return rank < 0 ? ranked.length : rank
  }

  function plan (accepted: AcceptedDocument, row: ShiftRow): ReturnType<typeof planShift> {
    const seenAtMs = observeStep(row) + computeRank(row.service) * options.rankDelayMs
    return planShift({
      row, accepted, seenAtMs, nowMs: options.getNowMs(), isPlatformReachable: options.isPlatformReachable(), hasCapacity: options.hasCapacity
    })
  }

  /** Writes the next row if the platform still holds the current step and the document revision that the next row follows. */
  async function writeNext (row: ShiftRow, next: ShiftRow): Promise<void> {
    const stored = await platform.readRow(TableName.Shifts, row.service)
    if (stored.isErr()) return
    const current = stored.value?.value as ShiftRow | undefined
    if (current !== undefined) view.mergeShift(current)
    if (current?.step !== row.step) return
    const written = await writeWithIndex(platform, [
      { table: TableName.Shifts, key: row.service, ifVersion: stored.value?.version ?? 0, value: next }
    ], index => index.revisions[row.service] === next.documentRevision
      ? { ...index, shifts: { ...index.shifts, [row.service]: next.step } }
      : undefined)
    if (written.isOk()) view.mergeShift(next)
  }

  /** Writes the first row of a service that has a document but no shift row. */
  async function writeFirst (accepted: AcceptedDocument): Promise<void> {
    const row = createShiftRow(accepted)
    const written = await writeWithIndex(platform, [
      { table: TableName.Shifts, key: row.service, ifVersion: 0, value: row }
    ], index => index.revisions[row.service] === accepted.revision
      ? { ...index, shifts: { ...index.shifts, [row.service]: row.step } }
      : undefined)
    if (written.isOk()) view.mergeShift(row)
  }

  return {
    async advanceShifts () {
      for (const accepted of view.listDocuments()) {
        const row = view.getShift(accepted.document.service)
        if (row === undefined) {
          if (options.isPlatformReachable()) await writeFirst(accepted)
          continue
        }
        const { next } = plan(accepted, row)
        if (next !== undefined) await writeNext(row, next)
      }
    },
    getState (service) {
      const accepted = view.getDocument(service)
      const row = view.getShift(service)
      if (accepted === undefined || row === undefined) return ShiftState.DocumentBehind
      return plan(accepted, row).state
    }
  }
}

/**
 * Returns whether each region with a higher weight after a change has a live target.
 *
 * @param view Cluster view
 * @param service Name of the service
 * @param change The change of weights
 * @returns Whether the change is possible
 */
export function hasLiveTargets (view: ClusterView, service: string, { change }: { change: WeightChange }): boolean {
  const regions = new Set(view.listTargets(service).filter(target => target.state === LifecycleState.Live).map(target => target.region))
  return Object.entries(change.to).every(([region, weight]) => weight <= (change.from[region] ?? 0) || regions.has(region))
}
