/**
 * Asks targets that said they are leaving whether they take work again.
 *
 * @module
 */
import type { TargetRecord } from '@bilberryworks/steering'
import type { TargetLoad } from '@bilberryworks/targets'
import type { ClusterView } from './cluster_view.ts'
import { MachineState, rankByRendezvous } from '@bilberryworks/steering'

/** Milliseconds for which a target must report without a break that it takes work. */
const minLiveReportMs = 10_000
const maxTargetsPerPoll = 16

/** Options of {@linkcode createLeavingWatch}. */
export interface CreateLeavingWatchOptions {
  /** Name of this instance. */
  instance: string
  /** What the instance knows. */
  view: ClusterView
  /** Asks a target for its load; `undefined` where it did not answer. */
  readLoad: (target: TargetRecord) => Promise<TargetLoad | undefined>
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/**
 * Creates the function that asks once; the caller schedules it.
 *
 * A report that it takes work may lag, so it must hold for a while; a report of leaving, or none, starts anew.
 *
 * @param options Whom to ask
 * @returns A function that asks the targets that this instance minds
 */
export function createLeavingWatch (options: CreateLeavingWatchOptions): () => Promise<void> {
  const { view } = options
  const liveSinceMs = new Map<string, number>()
  let isPolling = false

  /** Whether this instance asks the target: one of the live instances of its region, or of all where there is none. */
  function isAssignedToSelf (target: TargetRecord): boolean {
    const liveInstances = view.listInstances().filter(record => record.state === MachineState.Live)
    const inTargetRegion = liveInstances.filter(record => record.region === target.region)
    const candidates = inTargetRegion.length > 0 ? inTargetRegion : liveInstances
    return rankByRendezvous(target.target, Object.fromEntries(candidates.map(record => [record.instance, 1])))[0] === options.instance
  }

  function listAssignedTargets (): TargetRecord[] {
    const platformTargets = new Map(view.listPlatformTargets().map(record => [record.target, record]))
    return view.listTargetSelfReports().flatMap(report => {
      const record = platformTargets.get(report.target)
      return report.leaving && record?.address === report.address && isAssignedToSelf(record) ? record : []
    }).slice(0, maxTargetsPerPoll)
  }

  async function pollTarget (target: TargetRecord): Promise<void> {
    const load = await options.readLoad(target)
    if (load?.leaving !== false) {
      liveSinceMs.delete(target.target)
      return
    }
    const sinceMs = liveSinceMs.get(target.target) ?? options.getNowMs()
    liveSinceMs.set(target.target, sinceMs)
    if (options.getNowMs() - sinceMs < minLiveReportMs) return
    liveSinceMs.delete(target.target)
    view.markTargetLive(target.target)
  }

  return async () => {
    if (isPolling) return
    isPolling = true
    const assignedTargets = listAssignedTargets()
    const names = new Set(assignedTargets.map(record => record.target))
    for (const name of liveSinceMs.keys()) {
      if (!names.has(name)) liveSinceMs.delete(name)
    }
    await Promise.all(assignedTargets.map(pollTarget))
    isPolling = false
  }
}
