/**
 * Routers of the benchmark: each implements a policy for the requests that reach an entry instance.
 *
 * @module
 */
import type { AcceptedDocument, ChooseTarget, OwnerState, InstanceRecord, RankOwners, Refusal, RegionReport, Slot, SlotScheduler, TargetOccupancy, TargetRecord } from '@bilberryworks/steering'
import type { RegionChooser, ClusterView } from 'bilberryd'
import type { SimInstance, SimRequest, SimTarget, SimCluster } from './bench_cluster.ts'
import { chooseMostFree, computeHash, createNotRunRefusal, createSlotScheduler, createWarmUps, LifecycleState, RefusalReason, TargetSignal } from '@bilberryworks/steering'
import { createRegionChooser } from 'bilberryd'
import { computeLatencyMs, isReachable, RunOutcome, runOnTarget } from './bench_cluster.ts'

/** Completes a request with the region whose target answered it, or with a refusal. */
export type CompleteRequest = (result: { region: string } | { refusal: Refusal }) => void

/** Routes a request that has reached an entry instance, and calls `complete` once with the result. */
export type SimRouter = (request: SimRequest, entry: SimInstance, complete: CompleteRequest) => void

/** Creates the router that implements a policy on a simulated cluster. */
export type CreateRouter = (cluster: SimCluster) => SimRouter

/** Age and accuracy of the load reports that reach the instances. */
export interface ReportOptions {
  /** Maximum age of the reports that instances use, in milliseconds. A newer report replaces the one in use every second. */
  lagMs: number
  /** Returns the number of requests that a target reports instead of the true one, from its number of slots; reports are true by default. */
  getFalseLoad?: (slots: number) => number
}

/** Options of {@linkcode createOwnerRouter}. */
export interface OwnerRouterOptions {
  /** Ranks the owners of a region, best first. */
  rankOwners: RankOwners
  /** Chooses among the targets of an owner; the one with the most free slots by default. */
  chooseTarget?: ChooseTarget
  /** Share of its remaining time that a request may wait for a slot; 0.5 by default. */
  waitShare?: number
  /** Whether targets that join get a slow start; true by default. */
  usesSlowStart?: boolean
  /** Age and accuracy of load reports; at most 1 s old and true by default. */
  reports?: ReportOptions
  /** Whether owners report their load only once a second instead of with each response; false by default. */
  usesPeriodicReportsOnly?: boolean
  /** Whether a request that an owner refuses as overloaded is forwarded to one other owner; false by default. */
  shouldRetryAnotherOwner?: boolean
  /** Whether each instance owns a share of the slots of every target in its region, instead of whole targets; false by default. */
  usesSlotShares?: boolean
}

const maxAttempts = 3
const schedulerTickMs = 20
const reportIntervalMs = 1_000
const warmUpCheckIntervalMs = 500
const retryAfterMs = 1_000

/**
 * Creates a router with target ownership: one instance owns each target and is the only one to dispatch to it, so it counts the free slots exactly.
 * With {@linkcode OwnerRouterOptions.usesSlotShares} each instance owns a share of the slots of each target in its region.
 *
 * @param cluster The simulated cluster
 * @param options The variant of the policy
 * @returns The router
 */
export function createOwnerRouter (cluster: SimCluster, options: OwnerRouterOptions): SimRouter {
  const reports = options.reports ?? { lagMs: reportIntervalMs }
  const nodes = new Map(cluster.instances.map(instance => [instance.name, createRouterNode(cluster, instance, options)]))
  const loadSnapshots: Array<{ atMs: number, byInstance: Map<string, { slots: number, busy: number, queued: number }> }> = []
  scheduleEvery(cluster, reportIntervalMs, () => {
    const byInstance = new Map([...nodes].map(([name, node]) => [name, node.scheduler.getLoad(cluster.service.name)]))
    loadSnapshots.push({ atMs: cluster.clock.getNowMs(), byInstance })
    if (reports.getFalseLoad !== undefined) for (const target of cluster.targets) nodes.get(findOwner(cluster, target)?.name ?? '')?.scheduler.recordLoad(target.record.target, reports.getFalseLoad(target.record.slots))
  })
  const findLoadSnapshot = (): typeof loadSnapshots[number] | undefined => loadSnapshots.findLast(each => each.atMs <= cluster.clock.getNowMs() - reports.lagMs + reportIntervalMs)
  for (const node of nodes.values()) {
    node.regions = createRegionChooser({ view: createClusterView(cluster, node.instance), getNowMs: cluster.clock.getNowMs, getRegionReport: (_, region) => computeRegionReport(cluster, { region, reader: node.instance }, findLoadSnapshot()) })
  }

  /** Lists the owners in a region with the state that an instance has observed. */
  function listOwnerStates (node: RouterNode, region: string): OwnerState[] {
    const nowMs = cluster.clock.getNowMs()
    const snapshot = findLoadSnapshot()
    return cluster.instances.filter(each => each.isAlive && each.region === region && isReachable(cluster, node.instance, each)).map(instance => {
      const load = snapshot?.byInstance.get(instance.name)
      const periodicReport = load === undefined ? undefined : { slots: load.slots, load: load.busy + load.queued, atMs: snapshot!.atMs }
      const lastReport = options.usesPeriodicReportsOnly === true ? periodicReport : node.lastReports.get(instance.name)
      const slots = sumOwnedSlots(cluster, nodes.get(instance.name)!)
      return {
        instance: instance.name,
        slots: lastReport !== undefined && nowMs - lastReport.atMs < reportIntervalMs ? Math.min(slots, lastReport.slots) : slots,
        forwardedInFlight: node.inFlight.get(instance.name) ?? 0,
        reportedLoad: lastReport?.load,
        reportAgeMs: nowMs - (lastReport?.atMs ?? 0),
        isLocal: instance === node.instance,
        isInSameFailureDomain: instance.failureDomain === node.instance.failureDomain
      }
    })
  }

  /** Forwards a request to the best-ranked owner, and to the next one if the first is overloaded and the options allow it. */
  function forwardToOwner (call: { node: RouterNode, request: SimRequest, region: string, ranked: OwnerState[] }, complete: CompleteRequest): void {
    const { node, request, region, ranked: [best, ...remainingOwners] } = call
    const owner = best === undefined ? undefined : nodes.get(best.instance)
    if (owner === undefined) return complete({ refusal: createNotRunRefusal(RefusalReason.NoUsableTarget, 'No instance in the region owns a target', retryAfterMs) })
    const { name } = owner.instance
    const hopMs = owner === node ? 0 : computeLatencyMs(cluster, node.instance, owner.instance)
    node.inFlight.set(name, (node.inFlight.get(name) ?? 0) + 1)
    cluster.clock.schedule(hopMs, () => dispatchAtOwner(cluster, { owner, request, attempt: 1 }, result => {
      const load = owner.scheduler.getLoad(cluster.service.name)
      cluster.clock.schedule(hopMs, () => {
        node.inFlight.set(name, node.inFlight.get(name)! - 1)
        node.lastReports.set(name, { slots: load.slots, load: load.busy + load.queued, atMs: cluster.clock.getNowMs() })
        const isOverloaded = 'refusal' in result && result.refusal.reason === RefusalReason.Overloaded
        if (isOverloaded && options.shouldRetryAnotherOwner === true && remainingOwners.length > 0) {
          forwardToOwner({ ...call, ranked: remainingOwners.slice(0, 1) }, complete)
          return
        }
        node.regions!.recordOutcome(cluster.service.name, region, isOverloaded)
        complete(result)
      })
    }))
  }

  return (request, entry, complete) => {
    const node = nodes.get(entry.name)!
    const region = node.regions!.chooseRegion(cluster.service.name, request.callerKey)
    if (region.isErr()) return complete({ refusal: region.error })
    const ranked = options.rankOwners(listOwnerStates(node, region.value), { callerKey: request.callerKey, getRandom: cluster.getRandom })
    forwardToOwner({ node, request, region: region.value, ranked }, complete)
  }
}

interface RouterNode {
  instance: SimInstance
  scheduler: SlotScheduler
  inFlight: Map<string, number>
  /** Usable slots and load of each owner, as of its last response. */
  lastReports: Map<string, { slots: number, load: number, atMs: number }>
  regions: RegionChooser | undefined
  listOwnedTargets: () => readonly TargetRecord[]
}

function createRouterNode (cluster: SimCluster, instance: SimInstance, options: OwnerRouterOptions): RouterNode {
  let listedTopologyVersion = -1
  let ownedTargets: TargetRecord[] = []
  const listOwnedTargets = (): readonly TargetRecord[] => {
    if (listedTopologyVersion !== cluster.topologyVersion) {
      listedTopologyVersion = cluster.topologyVersion
      ownedTargets = cluster.targets.filter(target => !target.leaving).flatMap(target => {
        const slots = options.usesSlotShares === true ? computeSlotShare(cluster, target, instance) : findOwner(cluster, target) === instance ? target.record.slots : 0
        return slots > 0 ? [{ ...target.record, slots }] : []
      })
    }
    return ownedTargets
  }
  const warmUps = createWarmUps()
  const scheduler = createSlotScheduler({
    listOwnedTargets,
    getLimits: () => ({ maxQueued: cluster.document.limits.maxQueued, waitShare: options.waitShare ?? 0.5 }),
    warmUps,
    getNowMs: cluster.clock.getNowMs,
    getRandom: cluster.getRandom,
    chooseTarget: options.chooseTarget ?? chooseMostFree
  })
  scheduleEvery(cluster, schedulerTickMs, () => scheduler.advance())
  if (options.usesSlowStart !== false) {
    scheduleEvery(cluster, warmUpCheckIntervalMs, () => warmUps.observe(cluster.service.name, cluster.targets.filter(each => each.isAlive && !each.leaving).map(each => each.record), cluster.clock.getNowMs()))
  }
  return { instance, scheduler, inFlight: new Map(), lastReports: new Map(), regions: undefined, listOwnedTargets }
}

function dispatchAtOwner (cluster: SimCluster, call: { owner: RouterNode, request: SimRequest, attempt: number }, complete: CompleteRequest): void {
  const { owner, request, attempt } = call
  const { id: requestId, callerKey, requestClass, priority, deadlineAtMs } = request
  if (!owner.instance.isAlive) return complete({ refusal: createNotRunRefusal(RefusalReason.PeerUnreachable, 'Owner of the target is unreachable', retryAfterMs) })
  owner.scheduler.submit(cluster.service.name, { requestId: `${requestId}.${request.attempts}.${attempt}`, callerKey, requestClass, priority, deadlineAtMs }, granted => {
    if (granted.isErr()) return complete({ refusal: granted.error })
    const target = cluster.targets.find(each => each.record.target === granted.value.target.target)!
    runOnTarget(cluster, request, { target, from: owner.instance, onEnd: result => finishRun(cluster, { ...call, slot: granted.value, result, region: target.region }, complete) })
  })
}

function finishRun (cluster: SimCluster, run: { owner: RouterNode, request: SimRequest, attempt: number, slot: Slot, result: RunOutcome, region: string }, complete: CompleteRequest): void {
  const { slot, result, attempt } = run
  if (result === RunOutcome.Unreachable) slot.recordFailure(TargetSignal.ConnectFailed)
  if (result === RunOutcome.Shed) slot.recordFailure(TargetSignal.Refused)
  slot.release()
  if (result === RunOutcome.Answered) complete({ region: run.region })
  else if (attempt < maxAttempts) dispatchAtOwner(cluster, { ...run, attempt: attempt + 1 }, complete)
  else complete({ refusal: createNotRunRefusal(RefusalReason.TargetRefused, 'Target refused the request or was unreachable at the last attempt', retryAfterMs) })
}

/** Chooses among the targets of a region by the state that an instance has observed, or returns `undefined` if there is none to choose. */
export type ChooseObservedTarget = (targets: ObservedTarget[], cluster: SimCluster) => ObservedTarget | undefined

/** The state of a target as observed by an instance that does not own it. */
export interface ObservedTarget extends TargetOccupancy {
  simTarget: SimTarget
  /** Number of running requests in the report that the instance uses; 0 before the first report. */
  reportedRequests: number
}

/**
 * Creates a router without target ownership: each instance sends requests directly to any target of the region, and retries a request at another target if one fails or refuses it.
 *
 * @param cluster The simulated cluster
 * @param options The function that chooses the target, and the load reports
 * @returns The router
 */
export function createDirectRouter (cluster: SimCluster, options: { choose: ChooseObservedTarget, reports?: ReportOptions }): SimRouter {
  const reports = options.reports ?? { lagMs: reportIntervalMs }
  const inFlightByInstanceAndTarget = new Map<string, number>()
  const reportHistory: Array<{ atMs: number, busy: Map<SimTarget, number> }> = []
  scheduleEvery(cluster, reportIntervalMs, () => {
    const busy = new Map(cluster.targets.map(target => [target, reports.getFalseLoad?.(target.record.slots) ?? target.busy]))
    reportHistory.push({ atMs: cluster.clock.getNowMs(), busy })
  })

  function sendToTarget (call: { request: SimRequest, entry: SimInstance, attempt: number, tried: Set<SimTarget> }, complete: CompleteRequest): void {
    const { request, entry, attempt, tried } = call
    const region = cluster.instances.some(each => each.isAlive && each.region === request.homeRegion) ? request.homeRegion : entry.region
    const snapshot = reportHistory.findLast(each => each.atMs <= cluster.clock.getNowMs() - reports.lagMs + reportIntervalMs)
    const observedTargets = cluster.targets.filter(each => !each.leaving && each.region === region && !tried.has(each)).map((simTarget): ObservedTarget => {
      const key = `${entry.name} ${simTarget.record.target}`
      return { simTarget, target: simTarget.record, busy: inFlightByInstanceAndTarget.get(key) ?? 0, limit: Infinity, reportedRequests: snapshot?.busy.get(simTarget) ?? 0 }
    })
    const chosen = options.choose(observedTargets, cluster)
    if (chosen === undefined || attempt > maxAttempts) return complete({ refusal: createNotRunRefusal(RefusalReason.Overloaded, 'No target of the region accepted the request', retryAfterMs) })
    const key = `${entry.name} ${chosen.simTarget.record.target}`
    inFlightByInstanceAndTarget.set(key, (inFlightByInstanceAndTarget.get(key) ?? 0) + 1)
    runOnTarget(cluster, request, {
      target: chosen.simTarget,
      from: entry,
      onEnd: result => {
        inFlightByInstanceAndTarget.set(key, inFlightByInstanceAndTarget.get(key)! - 1)
        if (result === RunOutcome.Answered) complete({ region })
        else sendToTarget({ request, entry, attempt: attempt + 1, tried: new Set([...tried, chosen.simTarget]) }, complete)
      }
    })
  }

  return (request, entry, complete) => sendToTarget({ request, entry, attempt: 1, tried: new Set() }, complete)
}

/** Finds the owner of a target by rendezvous hashing over the live instances in its failure domain, or in its region if the domain has none. */
function findOwner (cluster: SimCluster, target: SimTarget): SimInstance | undefined {
  const liveInstances = cluster.instances.filter(each => each.isAlive && each.region === target.region)
  const domainInstances = liveInstances.filter(each => each.failureDomain === target.failureDomain)
  const candidates = domainInstances.length > 0 ? domainInstances : liveInstances
  const score = (each: SimInstance): number => computeHash(`${each.name}\u0000${target.record.target}`)
  return candidates.reduce<SimInstance | undefined>((best, each) => best === undefined || score(each) > score(best) ? each : best, undefined)
}

/** Computes an instance's share of the slots of a target. The slots are divided evenly among the instances in its region, live or not; a hash of the target decides which of them get the remaining slots. */
function computeSlotShare (cluster: SimCluster, target: SimTarget, instance: SimInstance): number {
  const sharingInstances = cluster.instances.filter(each => each.region === target.region)
  const index = sharingInstances.indexOf(instance)
  if (index < 0) return 0
  const first = computeHash(target.record.target) % sharingInstances.length
  const offset = (index - first + sharingInstances.length) % sharingInstances.length
  return Math.floor(target.record.slots / sharingInstances.length) + (offset < target.record.slots % sharingInstances.length ? 1 : 0)
}

function sumOwnedSlots (cluster: SimCluster, node: RouterNode): number {
  return node.listOwnedTargets().reduce((sum, record) => sum + record.slots, 0)
}

function computeRegionReport (cluster: SimCluster, { region, reader }: { region: string, reader: SimInstance }, snapshot: { atMs: number, byInstance: Map<string, { slots: number, busy: number }> } | undefined): RegionReport | undefined {
  if (snapshot === undefined) return undefined
  const report = { slots: 0, busy: 0, ageMs: cluster.clock.getNowMs() - snapshot.atMs }
  for (const instance of cluster.instances) {
    const load = instance.region === region && isReachable(cluster, reader, instance) ? snapshot.byInstance.get(instance.name) : undefined
    report.slots += load?.slots ?? 0
    report.busy += load?.busy ?? 0
  }
  return report
}

function createClusterView (cluster: SimCluster, reader: SimInstance): ClusterView {
  return {
    getDocument: () => ({ revision: 1, document: cluster.document }) as AcceptedDocument,
    getShift: () => undefined,
    listInstances: () => cluster.instances.filter(each => each.isAlive && isReachable(cluster, reader, each)).map(each => ({ instance: each.name, region: each.region }) as InstanceRecord),
    listTargets: () => cluster.targets.map(each => ({ ...each.record, state: each.leaving ? LifecycleState.Leaving : LifecycleState.Live }))
  } as unknown as ClusterView
}

function scheduleEvery (cluster: SimCluster, intervalMs: number, call: () => void): void {
  cluster.clock.schedule(intervalMs, () => {
    call()
    scheduleEvery(cluster, intervalMs, call)
  })
}
