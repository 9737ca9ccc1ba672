/**
 * Polls targets that reported themselves as leaving, to detect when they accept requests again.
 *
 * @module
 */
import type { TargetRecord } from '@bilberryworks/steering'
import type { TargetLoad } from '@bilberryworks/targets'
import type { ClusterView } from './cluster_view.ts'
import { LifecycleState, rankByRendezvous } from '@bilberryworks/steering'

/** Time for which every report of a target must say that it accepts requests before it counts as live, in milliseconds. */
const minLiveReportMs = 10_000
const maxTargetsPerPoll = 16

/** Options of {@linkcode createLeavingTargetPoller}. */
export interface CreateLeavingTargetPollerOptions {
  /** Name of this instance. */
  instance: string
  /** The instance's view of the cluster. */
  view: ClusterView
  /** Requests the load report of a target; `undefined` when the target did not respond. */
  readLoad: (target: TargetRecord) => Promise<TargetLoad | undefined>
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/**
 * Creates a function that polls leaving targets once; the caller schedules it.
 *
 * A report that a target accepts requests may be outdated, so all its reports must say so for some time. A report of
 * leaving, or a missing report, restarts that time.
 *
 * @param options The instance, its view and the client that reads load reports
 * @returns A function that polls the leaving targets assigned to this instance
 */
export function createLeavingTargetPoller (options: CreateLeavingTargetPollerOptions): () => Promise<void> {
  const { view } = options
  const liveSinceMs = new Map<string, number>()
  let isPolling = false

  /** Whether this instance polls the target. Rendezvous hashing assigns it to one live instance of its region, or of all regions when its region has none. */
  function isAssignedToSelf (target: TargetRecord): boolean {
    const liveInstances = view.listInstances().filter(record => record.state === LifecycleState.Live)
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
