/**
 * What an instance does after each poll of the platform, and the state of it.
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
import { createLeavingWatch } from './leaving_watch.ts'
import { createShiftLoop, hasLiveTargets } from './shift_loop.ts'
import { createStatusReader } from './status.ts'

/** Options of {@linkcode createMaintenance}. */
export interface CreateMaintenanceOptions {
  /** Settings of the instance. */
  settings: Settings
  /** What the instance knows. */
  view: ClusterView
  /** The platform. */
  platform: Platform
  /** The other instances. */
  peers: PeerClient
  /** The targets. */
  targets: TargetClient
  /** The weights that the instance applies. */
  regions: RegionChooser
  /** Returns the loops that poll. */
  getSync: () => Sync
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** The upkeep of an instance. */
export interface Maintenance {
  /** The shifts. */
  shifts: ShiftLoop
  /** The state of the system. */
  status: StatusReader
  /** Walks the weights, asks leaving targets and takes the steps that are due. */
  runAfterPoll (): Promise<void>
}

/**
 * Creates the upkeep of an instance.
 *
 * @param options Its parts
 * @returns The upkeep
 */
export function createMaintenance (options: CreateMaintenanceOptions): Maintenance {
  const { settings: { instance, pollMs }, view, platform, peers, targets, regions, getSync, getNowMs } = options
  const shifts = createShiftLoop({
    instance,
    view,
    platform,
    hasCapacity: (service, change) => hasLiveTargets(view, service, { change }) && regions.hasRoom(service, change),
    isPlatformReachable: () => getSync().isPlatformReachable(),
    rankDelayMs: pollMs,
    getNowMs
  })
  const status = createStatusReader({ view, peers, createVersions: () => getSync().createVersions(), getWeights: regions.getWeights, getShiftState: shifts.getState })
  const pollLeavingTargets = createLeavingWatch({ instance, view, readLoad: targets.readLoad, getNowMs })
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
