/**
 * The weights by region that a service should have, given what its regions can take now.
 *
 * @module
 */
import type { RegionWeights } from './weight_ramp.ts'
import { Objective } from './outcomes.ts'
import { computeMovedShare, computeShares } from './weight_ramp.ts'

/** What an instance knows of a region for one service. */
export interface RegionSituation {
  /** Slots of the usable targets there, lowered by what their feeders report; 0 for a region that has failed. */
  capacity: number
  /** Slots that the requests sent there need, refused ones among them; may be above the capacity. */
  demand: number
}

/** The desired weights with what they remember, so that they don't swing. */
export interface RegionPlan {
  /** Desired weights, adding up to 1; empty where no region can be used. */
  weights: RegionWeights
  /** Regions of which a part is sent elsewhere. */
  spilling: ReadonlySet<string>
  /** Monotonic time at which each region without capacity was last seen so, in milliseconds. */
  downAtMs: ReadonlyMap<string, number>
}

/** What a plan is made from. */
export interface PlanRegionsOptions {
  /** Weights in force by the document and its shift, on any scale; a region without weight gets nothing. */
  weights: RegionWeights
  /** The regions by name. */
  situations: Record<string, RegionSituation>
  /** What the service favours. */
  objective: Objective
  /** Monotonic time, in milliseconds. */
  nowMs: number
}

/** The plan of an instance that has not made one. */
export const emptyPlan: RegionPlan = { weights: {}, spilling: new Set(), downAtMs: new Map() }

/** Demand per slot above which a region's requests go elsewhere, and the level that they are brought to. */
const spillLevels: Record<Objective, { start: number, end: number }> = {
  [Objective.Headroom]: { start: 0.75, end: 0.65 },
  [Objective.Latency]: { start: 0.9, end: 0.8 }
}
/** Time for which a region must have had capacity before it gets requests again, in milliseconds. */
export const recoveryHoldMs = 5_000
/** Smallest change of the weights that is made unless a region fails or comes back; a smaller one would use the cap up for noise. */
const minChange = 0.02

/**
 * Plans the weights of the regions.
 *
 * Each region keeps its share as far as it has room; the rest goes to regions that have room, by their weights.
 * Where the demand is above all room, the regions share it by capacity, so that none is fuller than another.
 *
 * @param plan The plan before
 * @param options Weights in force and what is known of the regions
 * @returns The plan; the same weights where the change would be small
 */
export function planRegions (plan: RegionPlan, options: PlanRegionsOptions): RegionPlan {
  const { situations, nowMs } = options
  const downAtMs = updateDown(plan, options)
  const isUsable = (region: string): boolean => nowMs - (downAtMs.get(region) ?? -Infinity) >= recoveryHoldMs
  const shares = computeShares(Object.fromEntries(Object.entries(options.weights).filter(([region]) => isUsable(region))))
  const regions = Object.keys(shares)
  if (regions.length === 0) return { weights: {}, spilling: new Set(), downAtMs }

  const demand = Object.values(situations).reduce((sum, each) => sum + each.demand, 0)
  const level = spillLevels[options.objective]
  const spilling = new Set<string>()
  const rooms = regions.map(region => {
    const { capacity } = situations[region]!
    const own = shares[region]! * demand
    if (own > capacity * (plan.spilling.has(region) ? level.end : level.start)) spilling.add(region)
    return capacity * (spilling.has(region) ? level.end : level.start)
  })
  const weights = spilling.size === 0 ? shares : spreadDemand(regions, { shares, rooms, demand })
  const sameRegions = regions.length === Object.keys(plan.weights).length && regions.every(region => plan.weights[region] !== undefined)
  const isSmall = sameRegions && computeMovedShare(plan.weights, weights) < minChange && (spilling.size > 0 || plan.spilling.size > 0)
  return { weights: isSmall ? plan.weights : weights, spilling, downAtMs }
}

/** Takes note of regions without capacity; one that was never seen with any is held back no longer than until it has some. */
function updateDown (plan: RegionPlan, { weights, situations, nowMs }: PlanRegionsOptions): Map<string, number> {
  const downAtMs = new Map(plan.downAtMs)
  const isFirst = Object.keys(plan.weights).length === 0 && plan.downAtMs.size === 0
  for (const region of Object.keys(weights)) {
    if ((situations[region]?.capacity ?? 0) <= 0) downAtMs.set(region, nowMs)
    else if (isFirst || nowMs - (downAtMs.get(region) ?? nowMs) >= recoveryHoldMs) downAtMs.delete(region)
  }
  return downAtMs
}

/** Spreads a demand over the rooms of regions: by share, then by share of what is left, as long as there is room. */
function spreadDemand (regions: string[], options: { shares: RegionWeights, rooms: number[], demand: number }): RegionWeights {
  const { shares, rooms, demand } = options
  const total = rooms.reduce((sum, room) => sum + room, 0)
  if (demand >= total) return computeShares(Object.fromEntries(regions.map((region, index) => [region, rooms[index]!])))
  const placed = rooms.map(() => 0)
  let left = demand
  let open = regions.map((_, index) => index)
  while (left > demand * 1e-9 && open.length > 0) {
    const openShare = open.reduce((sum, index) => sum + shares[regions[index]!]!, 0)
    const pour = left
    for (const index of open) {
      const part = Math.min(rooms[index]! - placed[index]!, pour * shares[regions[index]!]! / openShare)
      placed[index]! += part
      left -= part
    }
    open = open.filter(index => placed[index]! < rooms[index]! * (1 - 1e-9))
  }
  return computeShares(Object.fromEntries(regions.map((region, index) => [region, placed[index]!])))
}
