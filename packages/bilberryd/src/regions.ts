/**
 * Chooses the region for each caller's requests, and moves callers between regions within the shift cap of the document.
 *
 * @module
 */
import type { Refusal, RegionDemand, RegionPlan, RegionReport, RegionLoad, RegionWeights, ServiceDocument, TargetRecord, WeightChange, WeightRamp } from '@bilberryworks/steering'
import type { Result } from 'neverthrow'
import type { ClusterView } from './cluster_view.ts'
import { computeShares, createNotRunRefusal, createRegionDemand, emptyRegionPlan, LifecycleState, planRegions, rankByRendezvous, RefusalReason, advanceWeights } from '@bilberryworks/steering'
import { err, ok } from 'neverthrow'

const retryAfterMs = 1_000
/** Time for which planned weights are used before the next plan, in milliseconds. */
const planIntervalMs = 100
/** Age up to which the slots in a report lower the capacity of a region, in milliseconds. */
const maxReportAgeMs = 1_000

/**
 * Time for which a new instance applies the weights in force unless all regions have shown capacity, in milliseconds.
 * A region without capacity may merely be unknown to a new instance, and moving its callers would be needless.
 */
const startGraceMs = 5_000

/** Options of {@linkcode createRegionChooser}. */
export interface CreateRegionChooserOptions {
  /** Cluster view with documents, shifts, instances and targets. */
  view: ClusterView
  /** Whether an owner of a target is reachable. By default, whether any instance of the target's region has a recent heartbeat. */
  hasReachableOwner?: (target: TargetRecord) => boolean
  /** Returns the sum of the last reports of a region's owners for a service; `undefined` unless all have reported. */
  getRegionReport?: (service: string, region: string) => RegionReport | undefined
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Chooses a region for each caller. */
export interface RegionChooser {
  /** Returns the region weights that this instance applies to a service now. */
  getWeights (service: string): RegionWeights
  /** Returns the region for a caller's requests, or a refusal. */
  chooseRegion (service: string, callerKey: string): Result<string, Refusal>
  /** Whether each region with a higher weight after the change has the capacity for the demand known to this instance. */
  hasCapacity (service: string, change: WeightChange): boolean
  /** Records a request sent to a region, and whether it was refused because its owners were overloaded. */
  recordOutcome (service: string, region: string, wasRefused: boolean): void
}

/** Weights, demand and capacity of the regions of one service. */
interface ServiceRegions {
  ramp: WeightRamp | undefined
  plan: RegionPlan
  plannedAtMs: number
  /** Monotonic time of the first use in milliseconds; -Infinity once all regions have shown capacity. */
  startedAtMs: number
  stepMs: number
  demand: RegionDemand
  /** Slots needed by the requests for each region. */
  demands: Record<string, number>
  /** Usable slots of each region. */
  capacities: Record<string, number>
}

/**
 * Creates the chooser of an instance.
 *
 * @param options Cluster view, state of owners and clock
 * @returns The chooser
 */
export function createRegionChooser (options: CreateRegionChooserOptions): RegionChooser {
  const { view, getNowMs } = options
  const services = new Map<string, ServiceRegions>()

  function getService (service: string): ServiceRegions {
    const existing = services.get(service)
    if (existing !== undefined) return existing
    const created = { ramp: undefined, plan: emptyRegionPlan, plannedAtMs: -Infinity, startedAtMs: getNowMs(), stepMs: 0, demand: createRegionDemand(), demands: {}, capacities: {} }
    services.set(service, created)
    return created
  }

  /**
   * Sums the usable slots of each region from the targets in the view, which keeps them during a platform outage.
   *
   * A target counts if one of its owners is reachable. Reports of the owners can only lower the sum.
   */
  function sumCapacities (service: string): Record<string, number> {
    const reachableRegions = new Set(view.listInstances().map(record => record.region))
    const hasReachableOwner = options.hasReachableOwner ?? ((target: TargetRecord) => reachableRegions.has(target.region))
    const capacities: Record<string, number> = {}
    for (const target of view.listTargets(service)) {
      const isUsable = target.state === LifecycleState.Live && hasReachableOwner(target)
      capacities[target.region] = (capacities[target.region] ?? 0) + (isUsable ? target.slots : 0)
    }
    for (const region of Object.keys(capacities)) {
      const report = options.getRegionReport?.(service, region)
      if (report !== undefined && report.ageMs < maxReportAgeMs) capacities[region] = Math.min(capacities[region]!, report.slots)
    }
    return capacities
  }

  function planService (service: string, document: ServiceDocument): ServiceRegions {
    const entry = getService(service)
    const nowMs = getNowMs()
    if (nowMs - entry.plannedAtMs < planIntervalMs) return entry
    entry.plannedAtMs = nowMs
    entry.stepMs = document.shiftStepMs
    entry.capacities = sumCapacities(service)
    const weightsInForce = view.getShift(service)?.weights ?? computeShares(document.regionWeights)
    const knownRegions = Object.fromEntries(Object.keys(weightsInForce).map(region => {
      return [region, { capacity: entry.capacities[region] ?? 0, report: options.getRegionReport?.(service, region) }]
    }))
    const demands = entry.demand.computeDemands(knownRegions, nowMs)
    entry.demands = demands
    const regionLoads: Record<string, RegionLoad> = {}
    for (const [region, { capacity }] of Object.entries(knownRegions)) regionLoads[region] = { capacity, demand: demands[region] ?? 0 }
    entry.plan = planRegions(entry.plan, { weights: weightsInForce, regionLoads, objective: document.objective, nowMs })
    const isEveryRegionUsable = Object.values(regionLoads).every(each => each.capacity > 0)
    if (isEveryRegionUsable) entry.startedAtMs = -Infinity
    const isPlanUsable = Object.keys(entry.plan.weights).length > 0 && nowMs - entry.startedAtMs >= startGraceMs
    const limits = { cap: document.shiftCap, stepMs: document.shiftStepMs, nowMs }
    entry.ramp = advanceWeights(entry.ramp ?? { applied: weightsInForce, moves: [] }, isPlanUsable ? entry.plan.weights : weightsInForce, limits)
    return entry
  }

  /** Returns the time until the shift cap permits the next move of callers, but at least `retryAfterMs`, in milliseconds. */
  function computeNextMoveMs (entry: ServiceRegions): number {
    const oldest = entry.ramp?.moves[0]
    return oldest === undefined ? retryAfterMs : Math.max(retryAfterMs, oldest.atMs + entry.stepMs - getNowMs())
  }

  return {
    getWeights (service) {
      const document = view.getDocument(service)?.document
      return document === undefined ? {} : planService(service, document).ramp?.applied ?? {}
    },
    chooseRegion (service, callerKey) {
      const document = view.getDocument(service)?.document
      const entry = document === undefined ? undefined : planService(service, document)
      const [region] = rankByRendezvous(callerKey, entry?.ramp?.applied ?? {})
      if (entry === undefined || region === undefined) {
        return err(createNotRunRefusal(RefusalReason.NoUsableTarget, `Service "${service}" has no document or no region with a weight`, retryAfterMs))
      }
      if ((entry.capacities[region] ?? 0) > 0) return ok(region)
      const isCapped = Object.values(entry.capacities).some(capacity => capacity > 0)
      return err(isCapped
        ? createNotRunRefusal(RefusalReason.ShiftCap, `Region "${region}" has no usable target, and the shift cap does not yet permit moving its callers elsewhere`, computeNextMoveMs(entry))
        : createNotRunRefusal(RefusalReason.NoUsableTarget, `Service "${service}" has no usable target`, retryAfterMs))
    },
    hasCapacity (service, { from, to }) {
      const document = view.getDocument(service)?.document
      if (document === undefined) return false
      const { demands, capacities } = planService(service, document)
      const total = Object.values(demands).reduce((sum, demand) => sum + demand, 0)
      return Object.entries(to).every(([region, weight]) => {
        const capacity = capacities[region] ?? 0
        return weight <= (from[region] ?? 0) || (capacity > 0 && total * weight <= capacity)
      })
    },
    recordOutcome (service, region, wasRefused) {
      getService(service).demand.record(region, wasRefused, getNowMs())
    }
  }
}
