/**
 * The region that each caller's requests go to, moved no faster than the document's cap.
 *
 * @module
 */
import type { Refusal, RegionDemand, RegionPlan, RegionReport, RegionSituation, RegionWeights, ServiceDocument, TargetRecord, WeightChange, WeightRamp } from '@bilberryworks/steering'
import type { Result } from 'neverthrow'
import type { ClusterView } from './cluster_view.ts'
import { computeShares, createNotRun, createRegionDemand, emptyPlan, MachineState, planRegions, rankByRendezvous, RefusalReason, advanceWeights } from '@bilberryworks/steering'
import { err, ok } from 'neverthrow'

const retryAfterMs = 1_000
/** Time for which weights are used before they are planned again, in milliseconds. */
const planIntervalMs = 100
/** Age up to which the slots of a report are believed, in milliseconds. */
const freshReportMs = 1_000

/** Time for which a new instance waits to learn of all regions before it moves callers away from one, in milliseconds. */
const startGraceMs = 5_000

/** Options of {@linkcode createRegionChooser}. */
export interface CreateRegionChooserOptions {
  /** What the instance knows. */
  view: ClusterView
  /** Tells whether an instance that feeds a target can be reached; one of its region that is heard of by default. */
  hasReachableOwner?: (target: TargetRecord) => boolean
  /** Returns what the feeders of a region last reported for a service; `undefined` where they have not. */
  getRegionReport?: (service: string, region: string) => RegionReport | undefined
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Chooses regions for callers. */
export interface RegionChooser {
  /** Returns the weights that this instance applies now to a service. */
  getWeights (service: string): RegionWeights
  /** Chooses the region of a caller, or refuses. */
  chooseRegion (service: string, callerKey: string): Result<string, Refusal>
  /** Whether regions have room for a change of weights, by the demand known here. */
  hasRoom (service: string, change: WeightChange): boolean
  /** Records whether a region refused a request for want of slots. */
  recordRegion (service: string, region: string, wasRefused: boolean): void
}

/** What is remembered of a service. */
interface ServiceRegions {
  walk: WeightRamp | undefined
  plan: RegionPlan
  plannedAtMs: number
  /** Time of the first plan until all regions have been seen with capacity, in milliseconds. */
  startedAtMs: number
  stepMs: number
  demand: RegionDemand
  /** Slots that the requests for each region need. */
  demands: Record<string, number>
  capacities: Record<string, number>
}

/**
 * Creates the chooser of an instance.
 *
 * @param options What it decides from
 * @returns The chooser
 */
export function createRegionChooser (options: CreateRegionChooserOptions): RegionChooser {
  const { view, getNowMs } = options
  const services = new Map<string, ServiceRegions>()

  function getService (service: string): ServiceRegions {
    const known = services.get(service)
    if (known !== undefined) return known
    const created = { walk: undefined, plan: emptyPlan, plannedAtMs: -Infinity, startedAtMs: getNowMs(), stepMs: 0, demand: createRegionDemand(), demands: {}, capacities: {} }
    services.set(service, created)
    return created
  }

  /**
   * Sums the slots of each region from the list of targets in memory, which an outage of the platform leaves in force.
   *
   * A target counts where an instance that feeds it can be reached; reports of its feeders only lower its slots.
   */
  function sumCapacities (service: string): Record<string, number> {
    const heard = new Set(view.listInstances().map(record => record.region))
    const isFed = options.hasReachableOwner ?? ((target: TargetRecord) => heard.has(target.region))
    const capacities: Record<string, number> = {}
    for (const target of view.listTargets(service)) {
      const isUsable = target.state === MachineState.Live && isFed(target)
      capacities[target.region] = (capacities[target.region] ?? 0) + (isUsable ? target.slots : 0)
    }
    for (const region of Object.keys(capacities)) {
      const report = options.getRegionReport?.(service, region)
      if (report !== undefined && report.ageMs < freshReportMs) capacities[region] = Math.min(capacities[region]!, report.slots)
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
    const inForce = view.getShift(service)?.weights ?? computeShares(document.regionWeights)
    const known = Object.fromEntries(Object.keys(inForce).map(region => {
      return [region, { capacity: entry.capacities[region] ?? 0, report: options.getRegionReport?.(service, region) }]
    }))
    const demands = entry.demand.computeDemands(known, nowMs)
    entry.demands = demands
    const situations: Record<string, RegionSituation> = {}
    for (const [region, { capacity }] of Object.entries(known)) situations[region] = { capacity, demand: demands[region] ?? 0 }
    entry.plan = planRegions(entry.plan, { weights: inForce, situations, objective: document.objective, nowMs })
    const isComplete = Object.values(situations).every(each => each.capacity > 0)
    if (isComplete) entry.startedAtMs = -Infinity
    const isUsable = Object.keys(entry.plan.weights).length > 0 && nowMs - entry.startedAtMs >= startGraceMs
    const limits = { cap: document.shiftCap, stepMs: document.shiftStepMs, nowMs }
    entry.walk = advanceWeights(entry.walk ?? { applied: inForce, moves: [] }, isUsable ? entry.plan.weights : inForce, limits)
    return entry
  }

  /** Computes when the cap lets the next move happen. */
  function computeNextMoveMs (entry: ServiceRegions): number {
    const oldest = entry.walk?.moves[0]
    return oldest === undefined ? retryAfterMs : Math.max(retryAfterMs, oldest.atMs + entry.stepMs - getNowMs())
  }

  return {
    getWeights (service) {
      const document = view.getDocument(service)?.document
      return document === undefined ? {} : planService(service, document).walk?.applied ?? {}
    },
    chooseRegion (service, callerKey) {
      const document = view.getDocument(service)?.document
      const entry = document === undefined ? undefined : planService(service, document)
      const [region] = rankByRendezvous(callerKey, entry?.walk?.applied ?? {})
      if (entry === undefined || region === undefined) {
        return err(createNotRun(RefusalReason.NoUsableTarget, `Service "${service}" has no region`, retryAfterMs))
      }
      if ((entry.capacities[region] ?? 0) > 0) return ok(region)
      const isCapped = Object.values(entry.capacities).some(capacity => capacity > 0)
      return err(isCapped
        ? createNotRun(RefusalReason.ShiftCap, `Region "${region}" is out, and its callers move no faster than the cap`, computeNextMoveMs(entry))
        : createNotRun(RefusalReason.NoUsableTarget, `Service "${service}" has no usable target`, retryAfterMs))
    },
    hasRoom (service, { from, to }) {
      const document = view.getDocument(service)?.document
      if (document === undefined) return false
      const { demands, capacities } = planService(service, document)
      const total = Object.values(demands).reduce((sum, demand) => sum + demand, 0)
      return Object.entries(to).every(([region, weight]) => {
        const capacity = capacities[region] ?? 0
        return weight <= (from[region] ?? 0) || (capacity > 0 && total * weight <= capacity)
      })
    },
    recordRegion (service, region, wasRefused) {
      getService(service).demand.record(region, wasRefused, getNowMs())
    }
  }
}
