/**
 * Periodic work of an instance after each poll of the platform, and the status that it reports to operators.
 *
 * @module
 */
import type { PeerClient } from '@bilberryworks/instances'
import type { Platform } from '@bilberryworks/platform'
import type { TargetClient } from '@bilberryworks/targets'
import type { RegionChooser } from './regions.ts'
import type { Settings } from './settings.ts'
import type { ShiftLoop } from './shift_loop.ts'
import type { StatusReader } from './status.ts'
import type { Sync } from './sync.ts'
import type { ClusterView } from './cluster_view.ts'
import { createLeavingTargetPoller } from './leaving_target_poller.ts'
import { createShiftLoop, hasLiveTargets } from './shift_loop.ts'
import { createStatusReader } from './status.ts'

/** Options of {@linkcode createMaintenance}. */
export interface CreateMaintenanceOptions {
  /** Settings of the instance. */
  settings: Settings
  /** The instance's view of the cluster. */
  view: ClusterView
  /** The platform. */
  platform: Platform
  /** Client that calls the other instances. */
  peers: PeerClient
  /** Client that reads the load reports of targets. */
  targets: TargetClient
  /** Supplies the region weights that the instance applies. */
  regions: RegionChooser
  /** Returns the component that polls the platform. */
  getSync: () => Sync
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Periodic maintenance of an instance. */
export interface Maintenance {
  /** Moves the region weights of services towards those of their documents, step by step. */
  shifts: ShiftLoop
  /** Reads the status of instances and services. */
  status: StatusReader
  /** Updates the applied region weights, polls leaving targets and takes the weight steps that are due. */
  runAfterPoll (): Promise<void>
}

/**
 * Creates the maintenance of an instance.
 *
 * @param options The components that it uses
 * @returns The maintenance
 */
export function createMaintenance (options: CreateMaintenanceOptions): Maintenance {
  const { settings: { instance, pollMs }, view, platform, peers, targets, regions, getSync, getNowMs } = options
  const shifts = createShiftLoop({
    instance,
    view,
    platform,
    hasCapacity: (service, change) => hasLiveTargets(view, service, { change }) && regions.hasCapacity(service, change),
    isPlatformReachable: () => getSync().isPlatformReachable(),
    rankDelayMs: pollMs,
    getNowMs
  })
  const status = createStatusReader({ view, peers, createVersions: () => getSync().createVersions(), getWeights: regions.getWeights, getShiftState: shifts.getState })
  const pollLeavingTargets = createLeavingTargetPoller({ instance, view, readLoad: targets.readLoad, getNowMs })
  return {
    shifts,
    status,
    async runAfterPoll () {
      view.listDocuments().forEach(accepted => regions.getWeights(accepted.document.service))
      pollLeavingTargets().catch(() => {})
      await shifts.advanceShifts()
    }
  }
}
