/**
 * Plans the region weights of a service from the capacity and demand of its regions.
 *
 * A region whose demand exceeds its usable capacity spills a part of it to other regions.
 *
 * @module
 */
import type { RegionWeights } from './weight_ramp.ts'
import { Objective } from './outcomes.ts'
import { computeMovedShare, computeShares } from './weight_ramp.ts'

/** Capacity and demand of a region for one service, as known to an instance. */
export interface RegionLoad {
  /** Slots of the usable targets in the region, at most the slots that the owners of the targets report; 0 if the region has failed. */
  capacity: number
  /** Slots that the requests to the region need, refused requests included; may exceed the capacity. */
  demand: number
}

/** Desired weights, and the state that the next plan needs to avoid oscillation. */
export interface RegionPlan {
  /** Desired weights, adding up to 1; empty if no region is usable. */
  weights: RegionWeights
  /** Regions that spill a part of their demand to other regions. */
  spillingRegions: ReadonlySet<string>
  /** Regions that had capacity in an earlier plan; any other region gets requests as soon as it has some. */
  seenRegions: ReadonlySet<string>
  /** Monotonic time of the last plan in which a seen region had no capacity, by region, in milliseconds. */
  lastDownAtMs: ReadonlyMap<string, number>
}

/** Options of {@linkcode planRegions}. */
export interface PlanRegionsOptions {
  /** Weights in force according to the document and its shift, on any scale; a region without a positive weight gets no requests. */
  weights: RegionWeights
  /** Capacity and demand by region. */
  regionLoads: Record<string, RegionLoad>
  /** Objective of the service, which sets the levels at which regions spill. */
  objective: Objective
  /** Current monotonic time, in milliseconds. */
  nowMs: number
}

/** Initial plan, to pass to the first call of {@linkcode planRegions}. */
export const emptyRegionPlan: RegionPlan = { weights: {}, spillingRegions: new Set(), seenRegions: new Set(), lastDownAtMs: new Map() }

/** Demand per slot above which a region starts to spill, and the lower level to which it spills; it stops spilling when its demand is below that level. */
const spillLevels: Record<Objective, { start: number, end: number }> = {
  [Objective.Headroom]: { start: 0.75, end: 0.65 },
  [Objective.Latency]: { start: 0.9, end: 0.8 }
}
/** Time for which a failed region must have had capacity before it gets requests again, in milliseconds. */
export const recoveryHoldMs = 5_000
/** Minimum share of callers that a new plan moves while a region spills or stops spilling, unless one fails or recovers; smaller moves would use up the shift cap on noise. */
const minChangedShare = 0.02

/**
 * Plans the weights of the regions of a service.
 *
 * The usable slots of a region are its capacity times the level at which it spills. Each region keeps its share of the
 * demand up to its usable slots. The excess goes to regions with usable slots left, in proportion to their weights.
 * If the demand exceeds the usable slots of all regions, it is divided in proportion to them, so that all regions are
 * loaded equally.
 *
 * @param plan The previous plan
 * @param options Weights in force, objective, and capacity and demand of the regions
 * @returns The new plan; keeps the previous weights if the change would be small
 */
export function planRegions (plan: RegionPlan, options: PlanRegionsOptions): RegionPlan {
  const { regionLoads, nowMs } = options
  const hasCapacity = (region: string): boolean => (regionLoads[region]?.capacity ?? 0) > 0
  const lastDownAtMs = updateDownTimes(plan, { ...options, hasCapacity })
  const seenRegions = new Set([...plan.seenRegions, ...Object.keys(options.weights).filter(hasCapacity)])
  const isUsable = (region: string): boolean => hasCapacity(region) && nowMs - (lastDownAtMs.get(region) ?? -Infinity) >= recoveryHoldMs
  const shares = computeShares(Object.fromEntries(Object.entries(options.weights).filter(([region]) => isUsable(region))))
  const regions = Object.keys(shares)
  if (regions.length === 0) return { weights: {}, spillingRegions: new Set(), seenRegions, lastDownAtMs }

  const demand = Object.values(regionLoads).reduce((sum, each) => sum + each.demand, 0)
  const levels = spillLevels[options.objective]
  const spillingRegions = new Set<string>()
  const usableSlots = regions.map(region => {
    const { capacity } = regionLoads[region]!
    const ownDemand = shares[region]! * demand
    if (ownDemand > capacity * (plan.spillingRegions.has(region) ? levels.end : levels.start)) spillingRegions.add(region)
    return capacity * (spillingRegions.has(region) ? levels.end : levels.start)
  })
  const weights = spillingRegions.size === 0 ? shares : spreadDemand(regions, { shares, usableSlots, demand })
  const hasSameRegions = regions.length === Object.keys(plan.weights).length && regions.every(region => plan.weights[region] !== undefined)
  const isSmallChange = hasSameRegions && computeMovedShare(plan.weights, weights) < minChangedShare && (spillingRegions.size > 0 || plan.spillingRegions.size > 0)
  return { weights: isSmallChange ? plan.weights : weights, spillingRegions, seenRegions, lastDownAtMs }
}

/** Records the seen regions that have no capacity, and forgets those that have had capacity for {@linkcode recoveryHoldMs}. */
function updateDownTimes (plan: RegionPlan, { weights, hasCapacity, nowMs }: PlanRegionsOptions & { hasCapacity: (region: string) => boolean }): Map<string, number> {
  const lastDownAtMs = new Map(plan.lastDownAtMs)
  for (const region of Object.keys(weights)) {
    if (!hasCapacity(region)) {
      if (plan.seenRegions.has(region)) lastDownAtMs.set(region, nowMs)
    } else if (nowMs - (lastDownAtMs.get(region) ?? nowMs) >= recoveryHoldMs) lastDownAtMs.delete(region)
  }
  return lastDownAtMs
}

/**
 * Divides a demand among regions by their shares, each limited to its usable slots.
 *
 * Repeats with the unassigned demand and the regions that have slots left, until the demand is assigned.
 */
function spreadDemand (regions: string[], options: { shares: RegionWeights, usableSlots: number[], demand: number }): RegionWeights {
  const { shares, usableSlots, demand } = options
  const total = usableSlots.reduce((sum, slots) => sum + slots, 0)
  if (demand >= total) return computeShares(Object.fromEntries(regions.map((region, index) => [region, usableSlots[index]!])))
  const assigned = usableSlots.map(() => 0)
  let unassigned = demand
  let unfilled = regions.map((_, index) => index)
  while (unassigned > demand * 1e-9 && unfilled.length > 0) {
    const unfilledShare = unfilled.reduce((sum, index) => sum + shares[regions[index]!]!, 0)
    const toAssign = unassigned
    for (const index of unfilled) {
      const portion = Math.min(usableSlots[index]! - assigned[index]!, toAssign * shares[regions[index]!]! / unfilledShare)
      assigned[index]! += portion
      unassigned -= portion
    }
    unfilled = unfilled.filter(index => assigned[index]! < usableSlots[index]! * (1 - 1e-9))
  }
  return computeShares(Object.fromEntries(regions.map((region, index) => [region, assigned[index]!])))
}
