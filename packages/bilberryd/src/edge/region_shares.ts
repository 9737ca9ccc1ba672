/**
 * Measures the demand of this instance by service, and tracks the share of its region's objects that targets in the region
 * serve.
 *
 * @module
 */
import type { EntrySettings, RegionRoom, RegionShare } from '@bilberryworks/steering'
import type { EntryState } from './entry_state.ts'
import type { PeerHeartbeat } from './peer_view.ts'
import { createRegionShare, isTargetLeaving, isTargetUsable } from '@bilberryworks/steering'

/** Demand and region shares of an instance. */
export interface RegionShares {
  /** Returns the share of the objects of callers in this instance's region that targets in the region serve; `undefined` if targets are to be chosen in all regions alike. */
  getShare (service: string): number | undefined
  /** Returns the smoothed demand of this instance by service, in slots. */
  getDemand (): Record<string, number>
  /** Measures the demand and advances the shares; to be called at short intervals. */
  advance (nowMs: number): void
}

/** Options of {@linkcode createRegionShares}. */
export interface CreateRegionSharesOptions {
  /** Settings of the instance. */
  settings: EntrySettings
  /** Replicated configuration and target registry. */
  state: EntryState
  /** Counts the requests of a service that wait here or are in flight to a target. */
  countRequests: (service: string) => number
  /** Lists the latest heartbeats of the other live instances. */
  listPeers: () => PeerHeartbeat[]
}

/** Time constant of the smoothing of the demand, in milliseconds: several times what a request takes. */
const smoothingMs = 5_000
/** Demand is stated in steps of a tenth of a slot. */
const stepsPerSlot = 10

/**
 * Creates the shares of an instance that has had no requests.
 *
 * @param options Settings, state and sources of the demand
 * @returns The shares
 */
export function createRegionShares (options: CreateRegionSharesOptions): RegionShares {
  const { settings: { region, regions }, state } = options
  const regionNames = new Set([...regions.values(), region])
  const shares = new Map<string, RegionShare>()
  const demand = new Map<string, number>()
  let advancedAtMs: number | undefined

  function listRooms (service: string, peers: PeerHeartbeat[], nowMs: number): Map<string, RegionRoom> {
    const rooms = new Map<string, RegionRoom>([...regionNames].map(name => [name, { targets: 0, slots: 0, demand: 0 }]))
    for (const entry of state.targets.list(service)) {
      const room = rooms.get(entry.region)
      const isAvailable = !isTargetLeaving(entry) && !state.isEvacuated(entry.target.failureDomain) && isTargetUsable(entry, nowMs)
      if (room === undefined || !isAvailable) continue
      room.targets++
      room.slots += entry.target.slots
    }
    rooms.get(region)!.demand += demand.get(service) ?? 0
    for (const peer of peers) {
      const room = rooms.get(peer.region)
      if (room !== undefined) room.demand += peer.demand[service] ?? 0
    }
    return rooms
  }

  return {
    getShare: service => shares.get(service)?.get(),
    getDemand: () => Object.fromEntries([...demand].map(([service, slots]) => [service, Math.round(slots * stepsPerSlot) / stepsPerSlot])),
    advance (nowMs) {
      const weight = advancedAtMs === undefined ? 0 : 1 - Math.exp((advancedAtMs - nowMs) / smoothingMs)
      advancedAtMs = nowMs
      const peers = options.listPeers()
      for (const service of state.targets.listServices()) {
        const before = demand.get(service) ?? 0
        demand.set(service, before + (options.countRequests(service) - before) * weight)
        const share = shares.get(service) ?? createRegionShare(region)
        shares.set(service, share)
        share.advance(listRooms(service, peers, nowMs), nowMs)
      }
    }
  }
}
