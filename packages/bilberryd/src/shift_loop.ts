/**
 * Advances the weights in force on the platform, a step at a time, by compare-and-set.
 *
 * Every instance may advance every shift; a wait by rank leaves most steps to one of them.
 *
 * @module
 */
import type { Platform } from '@bilberryworks/platform'
import type { AcceptedDocument, ShiftRow, WeightChange } from '@bilberryworks/steering'
import type { ClusterView } from './cluster_view.ts'
import { TableName, writeWithIndex } from '@bilberryworks/platform'
import { createShiftRow, MachineState, planShift, rankByRendezvous, ShiftState } from '@bilberryworks/steering'

/** Options of {@linkcode createShiftLoop}. */
export interface CreateShiftLoopOptions {
  /** Name of this instance. */
  instance: string
  /** What the instance knows. */
  view: ClusterView
  /** The platform. */
  platform: Platform
  /** Whether the regions that get more can take it. */
  hasCapacity: (service: string, change: WeightChange) => boolean
  /** Whether the platform answered lately. */
  isPlatformReachable: () => boolean
  /** Milliseconds by which each further instance waits for the ones before it. */
  rankDelayMs: number
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** The shifts as an instance sees them. */
export interface ShiftLoop {
  /** Takes the steps that are due. */
  advanceShifts (): Promise<void>
  /** Returns what the shift of a service is doing, or what holds it. */
  getState (service: string): ShiftState
}

/**
 * Creates the loop's step; the caller schedules it after each poll.
 *
 * @param options What it decides from
 * @returns The shifts
 */
export function createShiftLoop (options: CreateShiftLoopOptions): ShiftLoop {
  const { view, platform } = options
  const firstSeen = new Map<string, { step: number, atMs: number }>()

  /** Returns the time at which the row was first seen with its step. */
  function observeStep (row: ShiftRow): number {
    const known = firstSeen.get(row.service)
    if (known?.step === row.step) return known.atMs
    const atMs = options.getNowMs()
    firstSeen.set(row.service, { step: row.step, atMs })
    return atMs
  }

  function computeRank (service: string): number {
    const live = view.listInstances().filter(record => record.state === MachineState.Live)
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

  /** Writes the next row where the platform still has the present one and the same document. */
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

  /** Writes the first row of a service whose document came without one. */
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
 * Checks that each region that gets more traffic has a live target.
 *
 * @param view What the instance knows
 * @param service Name of the service
 * @param change The change of weights
 * @returns Whether it may be made
 */
export function hasLiveTargets (view: ClusterView, service: string, { change }: { change: WeightChange }): boolean {
  const regions = new Set(view.listTargets(service).filter(target => target.state === MachineState.Live).map(target => target.region))
  return Object.entries(change.to).every(([region, weight]) => weight <= (change.from[region] ?? 0) || regions.has(region))
}
