/**
 * Decides which share of the objects of a region's callers is served by targets in that region.
 *
 * Answers the load of a fleet whose regions differ in callers and targets: an object whose callers are in one region is
 * served there, which saves bytes and latency between regions, unless the region lacks room for all of its objects. An
 * object that moves to another region is cold there, so the share moves slowly, and not for small differences.
 *
 * @module
 */
import type { RegisteredTarget } from './target_registry.ts'
import { computeHash } from './rendezvous.ts'

/** Targets and demand of a region for one service. */
export interface RegionRoom {
  /** Number of usable targets in the region. */
  targets: number
  /** Slots of the usable targets in the region. */
  slots: number
  /** Slots that the requests of callers in the region take or wait for, wherever they are served. */
  demand: number
}

/** The share of one region and service. */
export interface RegionShare {
  /** Returns the share of the objects of callers in the region that targets in the region serve; `undefined` if targets are to be chosen in all regions alike. */
  get (): number | undefined
  /** Moves the share toward the one that the room allows. */
  advance (rooms: ReadonlyMap<string, RegionRoom>, nowMs: number): void
}

/** Part of a region's slots up to which it serves all objects of its callers, also while other regions are less loaded; the rest is for bursts and cold objects. */
const ownUse = 0.5
/** Number of targets from which a region serves objects of its callers by itself, and number below which it no longer does: objects load a smaller number of targets too unevenly. */
const minTargets = 20
const minTargetsOnceChosen = 10
/** Difference from the share that the room allows up to which the share stays. */
const minChange = 0.1
/** Maximum change of the share per second; well below what a site may move between regions within 2 s. */
const maxChangePerSecond = 0.04
const msPerSecond = 1_000
const uint32Range = 0x1_0000_0000

/**
 * Computes the share of its objects that a region has room for.
 *
 * A region keeps all objects while their demand takes at most half of its slots. Beyond that it keeps as many as load it
 * like the other regions. Without any demand, callers are assumed to be spread evenly over the regions.
 *
 * @param region The region
 * @param rooms Slots and demand by region
 * @returns Share in [0, 1]
 */
export function computeRegionShare (region: string, rooms: ReadonlyMap<string, RegionRoom>): number {
  const own = rooms.get(region)
  const all = [...rooms.values()]
  const slots = all.reduce((sum, room) => sum + room.slots, 0)
  const demand = all.reduce((sum, room) => sum + room.demand, 0)
  if (own === undefined || own.slots === 0) return 0
  if (demand === 0) return Math.min(1, rooms.size * own.slots / slots)
  if (own.demand === 0) return 1
  return Math.min(1, Math.max(ownUse * own.slots / own.demand, own.slots / slots * demand / own.demand))
}

/**
 * Creates the share of a region. It begins with what the region's part of the slots allows, once the region has enough targets.
 *
 * @param region The region
 * @returns The share
 */
export function createRegionShare (region: string): RegionShare {
  let share: number | undefined
  let advancedAtMs = 0
  let isMoving = false
  return {
    get: () => share,
    advance (rooms, nowMs) {
      const wanted = computeRegionShare(region, rooms)
      const targets = rooms.get(region)?.targets ?? 0
      const maxChange = maxChangePerSecond * (nowMs - advancedAtMs) / msPerSecond
      advancedAtMs = nowMs
      if (targets < (share === undefined ? minTargets : minTargetsOnceChosen)) {
        share = undefined
        return
      }
      if (share === undefined) {
        share = wanted
        return
      }
      const difference = wanted - share
      isMoving = difference !== 0 && (isMoving || Math.abs(difference) >= minChange)
      if (isMoving) share += Math.sign(difference) * Math.min(Math.abs(difference), maxChange)
    }
  }
}

/**
 * Returns whether targets in its callers' region serve an object.
 *
 * All instances of the region agree, up to the difference of their shares; a change of the share moves as few objects as
 * possible.
 *
 * @param objectKey Identifies the object
 * @param share Share of the objects that the region serves
 * @returns Whether the region serves the object
 */
export function isServedInRegion (objectKey: string, share: number): boolean {
  return computeHash(`region\u0000${objectKey}`) / uint32Range < share
}

/**
 * Orders an object's ranked targets so that those of its callers' region come first, or last.
 *
 * @param ranked Targets as ranked for the object
 * @param options Region of the instance, and whether its targets come first
 * @returns The targets, best first
 */
export function rankByRegion (ranked: readonly RegisteredTarget[], options: { region: string, isOwnFirst: boolean }): RegisteredTarget[] {
  const own = ranked.filter(entry => entry.region === options.region)
  const others = ranked.filter(entry => entry.region !== options.region)
  return options.isOwnFirst ? [...own, ...others] : [...others, ...own]
}
