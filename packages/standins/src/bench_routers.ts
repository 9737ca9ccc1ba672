/**
 * The policies that the benchmark compares, as routers of the requests that reach an entry instance.
 *
 * @module
 */
import type { AcceptedDocument, ChooseTarget, OwnerState, InstanceRecord, RankOwners, Refusal, RegionReport, Slot, SlotScheduler, TargetOccupancy, TargetRecord } from '@bilberryworks/steering'
import type { RegionChooser, ClusterView } from 'bilberryd'
import type { SimInstance, SimRequest, SimTarget, SimWorld } from './bench_world.ts'
import { chooseMostFree, computeHash, createNotRun, createSlotScheduler, createWarmUps, MachineState, RefusalReason, TargetSignal } from '@bilberryworks/steering'
import { createRegionChooser } from 'bilberryd'
import { computeLatencyMs, isReachable, RunEnd, runOnTarget } from './bench_world.ts'

/** What became of a request: the region that answered, or a refusal. */
export type EndRequest = (end: { region: string } | { refusal: Refusal }) => void

/** Routes a request that has reached an instance. */
export type SimRouter = (request: SimRequest, entry: SimInstance, end: EndRequest) => void

/** Creates the router of a policy. */
export type CreateRouter = (world: SimWorld) => SimRouter

/** How reports of load reach the instances. */
export interface ReportOptions {
  /** Age of the reports that are in use, in milliseconds. */
  lagMs: number
  /** What the targets report in place of the truth, by their slots; the truth where absent. */
  lie?: (slots: number) => number
}

/** Options of {@linkcode createOwnerRouter}. */
export interface OwnerRouterOptions {
  /** Ranks the feeders of a region. */
  rankFeeders: RankOwners
  /** Chooses the target; the one with the most free slots by default. */
  chooseTarget?: ChooseTarget
  /** Share of its remaining time that a request may wait; 0.5 by default. */
  waitShare?: number
  /** Whether targets that join are warmed up; true by default. */
  slowStart?: boolean
  /** How reports reach the instances; 1 s late and true by default. */
  reports?: ReportOptions
  /** Whether feeders report their load only once a second, and not with each answer; false by default. */
  pollOnly?: boolean
  /** Whether a request that a feeder refuses for want of slots is sent to one other feeder; false by default. */
  askAnother?: boolean
  /** Whether each instance feeds a share of the slots of every target of its region, in place of whole targets. */
  leasedShares?: boolean
}

const maxAttempts = 3
const advanceMs = 20
const reportMs = 1_000
const observeMs = 500
const retryAfterMs = 1_000

/**
 * Creates the router by feeders: each target is fed by one instance, which counts its slots exactly.
 *
 * @param world The world
 * @param options The choices to compare
 * @returns The router
 */
export function createOwnerRouter (world: SimWorld, options: OwnerRouterOptions): SimRouter {
  const reports = options.reports ?? { lagMs: reportMs }
  const nodes = new Map(world.instances.map(instance => [instance.name, createNode(world, instance, options)]))
  const loads: Array<{ atMs: number, byInstance: Map<string, { slots: number, busy: number, queued: number }> }> = []
  scheduleEvery(world, reportMs, () => {
    const byInstance = new Map([...nodes].map(([name, node]) => [name, node.feed.getLoad(world.service.name)]))
    loads.push({ atMs: world.clock.getNowMs(), byInstance })
    if (reports.lie !== undefined) for (const target of world.targets) nodes.get(findFeeder(world, target)?.name ?? '')?.feed.recordLoad(target.record.target, reports.lie(target.record.slots))
  })
  const getLoads = (): typeof loads[number] | undefined => loads.findLast(each => each.atMs <= world.clock.getNowMs() - reports.lagMs + reportMs)
  for (const node of nodes.values()) {
    node.regions = createRegionChooser({ view: createView(world, node.instance), getNowMs: world.clock.getNowMs, getRegionReport: (_, region) => sumRegion(world, { region, reader: node.instance }, getLoads()) })
  }

  /** Describes the feeders of a region as an instance sees them. */
  function listFeeders (node: Node, region: string): OwnerState[] {
    const nowMs = world.clock.getNowMs()
    const snapshot = getLoads()
    return world.instances.filter(each => each.alive && each.region === region && isReachable(world, node.instance, each)).map(instance => {
      const load = snapshot?.byInstance.get(instance.name)
      const polled = load === undefined ? undefined : { slots: load.slots, load: load.busy + load.queued, atMs: snapshot!.atMs }
      const heard = options.pollOnly === true ? polled : node.heard.get(instance.name)
      const slots = sumFedSlots(world, nodes.get(instance.name)!)
      return {
        instance: instance.name,
        slots: heard !== undefined && nowMs - heard.atMs < reportMs ? Math.min(slots, heard.slots) : slots,
        ownInFlight: node.inFlight.get(instance.name) ?? 0,
        reportedLoad: heard?.load,
        reportAgeMs: nowMs - (heard?.atMs ?? 0),
        isLocal: instance === node.instance,
        isNear: instance.failureDomain === node.instance.failureDomain
      }
    })
  }

  /** Sends a request to one feeder after another, until one has answered or refused for good. */
  function forwardToFeeder (call: { node: Node, request: SimRequest, region: string, ranked: OwnerState[] }, end: EndRequest): void {
    const { node, request, region, ranked: [best, ...others] } = call
    const feeder = best === undefined ? undefined : nodes.get(best.instance)
    if (feeder === undefined) return end({ refusal: createNotRun(RefusalReason.NoUsableTarget, 'No feeder', retryAfterMs) })
    const { name } = feeder.instance
    const hopMs = feeder === node ? 0 : computeLatencyMs(world, node.instance, feeder.instance)
    node.inFlight.set(name, (node.inFlight.get(name) ?? 0) + 1)
    world.clock.schedule(hopMs, () => dispatchAtFeeder(world, { feeder, request, attempt: 1 }, result => {
      const load = feeder.feed.getLoad(world.service.name)
      world.clock.schedule(hopMs, () => {
        node.inFlight.set(name, node.inFlight.get(name)! - 1)
        node.heard.set(name, { slots: load.slots, load: load.busy + load.queued, atMs: world.clock.getNowMs() })
        const isOverloaded = 'refusal' in result && result.refusal.reason === RefusalReason.Overloaded
        if (isOverloaded && options.askAnother === true && others.length > 0) {
          forwardToFeeder({ ...call, ranked: others.slice(0, 1) }, end)
          return
        }
        node.regions!.recordRegion(world.service.name, region, isOverloaded)
        end(result)
      })
    }))
  }

  return (request, entry, end) => {
    const node = nodes.get(entry.name)!
    const region = node.regions!.chooseRegion(world.service.name, request.callerKey)
    if (region.isErr()) return end({ refusal: region.error })
    const ranked = options.rankFeeders(listFeeders(node, region.value), { callerKey: request.callerKey, getRandom: world.getRandom })
    forwardToFeeder({ node, request, region: region.value, ranked }, end)
  }
}

interface Node {
  instance: SimInstance
  feed: SlotScheduler
  inFlight: Map<string, number>
  /** Usable slots and load of each feeder by its last answer. */
  heard: Map<string, { slots: number, load: number, atMs: number }>
  regions: RegionChooser | undefined
  listFed: () => readonly TargetRecord[]
}

function createNode (world: SimWorld, instance: SimInstance, options: OwnerRouterOptions): Node {
  let epoch = -1
  let fed: TargetRecord[] = []
  const listFed = (): readonly TargetRecord[] => {
    if (epoch !== world.epoch) {
      epoch = world.epoch
      fed = world.targets.filter(target => !target.leaving).flatMap(target => {
        const slots = options.leasedShares === true ? computeLeasedShare(world, target, instance) : findFeeder(world, target) === instance ? target.record.slots : 0
        return slots > 0 ? [{ ...target.record, slots }] : []
      })
    }
    return fed
  }
  const warmUps = createWarmUps()
  const feed = createSlotScheduler({
    listOwnedTargets: listFed,
    getLimits: () => ({ maxQueued: world.document.limits.maxQueued, waitShare: options.waitShare ?? 0.5 }),
    warmUps,
    getNowMs: world.clock.getNowMs,
    getRandom: world.getRandom,
    chooseTarget: options.chooseTarget ?? chooseMostFree
  })
  scheduleEvery(world, advanceMs, () => feed.advance())
  if (options.slowStart !== false) {
    scheduleEvery(world, observeMs, () => warmUps.observe(world.service.name, world.targets.filter(each => each.alive && !each.leaving).map(each => each.record), world.clock.getNowMs()))
  }
  return { instance, feed, inFlight: new Map(), heard: new Map(), regions: undefined, listFed }
}

function dispatchAtFeeder (world: SimWorld, call: { feeder: Node, request: SimRequest, attempt: number }, end: EndRequest): void {
  const { feeder, request, attempt } = call
  const { id: requestId, callerKey, requestClass, priority, deadlineAtMs } = request
  if (!feeder.instance.alive) return end({ refusal: createNotRun(RefusalReason.PeerUnreachable, 'The feeder is gone', retryAfterMs) })
  feeder.feed.arrive(world.service.name, { requestId: `${requestId}.${request.attempts}.${attempt}`, callerKey, requestClass, priority, deadlineAtMs }, granted => {
    if (granted.isErr()) return end({ refusal: granted.error })
    const target = world.targets.find(each => each.record.target === granted.value.target.target)!
    runOnTarget(world, request, { target, from: feeder.instance, end: result => finishRun(world, { ...call, slot: granted.value, result, region: target.region }, end) })
  })
}

function finishRun (world: SimWorld, run: { feeder: Node, request: SimRequest, attempt: number, slot: Slot, result: RunEnd, region: string }, end: EndRequest): void {
  const { slot, result, attempt } = run
  if (result === RunEnd.Unreachable) slot.recordFailure(TargetSignal.ConnectFailed)
  if (result === RunEnd.Shed) slot.recordFailure(TargetSignal.Refused)
  slot.release()
  if (result === RunEnd.Answered) end({ region: run.region })
  else if (attempt < maxAttempts) dispatchAtFeeder(world, { ...run, attempt: attempt + 1 }, end)
  else end({ refusal: createNotRun(RefusalReason.TargetRefused, 'The target refused', retryAfterMs) })
}

/** Chooses a target among those of a region, from what an instance sees. */
export type ChooseDirect = (targets: SeenTarget[], world: SimWorld) => SeenTarget | undefined

/** A target as an instance sees it without being its feeder. */
export interface SeenTarget extends TargetOccupancy {
  sim: SimTarget
  /** Requests by its last report. */
  reported: number
}

/**
 * Creates a router without feeders: each instance sends to any target of the region, and tries another one when it is refused.
 *
 * @param world The world
 * @param options The choice of target and the reports
 * @returns The router
 */
export function createDirectRouter (world: SimWorld, options: { choose: ChooseDirect, reports?: ReportOptions }): SimRouter {
  const reports = options.reports ?? { lagMs: reportMs }
  const own = new Map<string, number>()
  const history: Array<{ atMs: number, busy: Map<SimTarget, number> }> = []
  scheduleEvery(world, reportMs, () => {
    const busy = new Map(world.targets.map(target => [target, reports.lie?.(target.record.slots) ?? target.busy]))
    history.push({ atMs: world.clock.getNowMs(), busy })
  })

  function sendToTarget (call: { request: SimRequest, entry: SimInstance, attempt: number, tried: Set<SimTarget> }, end: EndRequest): void {
    const { request, entry, attempt, tried } = call
    const region = world.instances.some(each => each.alive && each.region === request.homeRegion) ? request.homeRegion : entry.region
    const snapshot = history.findLast(each => each.atMs <= world.clock.getNowMs() - reports.lagMs + reportMs)
    const seen = world.targets.filter(each => !each.leaving && each.region === region && !tried.has(each)).map((sim): SeenTarget => {
      const key = `${entry.name} ${sim.record.target}`
      return { sim, target: sim.record, busy: own.get(key) ?? 0, limit: Infinity, reported: snapshot?.busy.get(sim) ?? 0 }
    })
    const chosen = options.choose(seen, world)
    if (chosen === undefined || attempt > maxAttempts) return end({ refusal: createNotRun(RefusalReason.Overloaded, 'The targets refused', retryAfterMs) })
    const key = `${entry.name} ${chosen.sim.record.target}`
    own.set(key, (own.get(key) ?? 0) + 1)
    runOnTarget(world, request, {
      target: chosen.sim,
      from: entry,
      end: result => {
        own.set(key, own.get(key)! - 1)
        if (result === RunEnd.Answered) end({ region })
        else sendToTarget({ request, entry, attempt: attempt + 1, tried: new Set([...tried, chosen.sim]) }, end)
      }
    })
  }

  return (request, entry, end) => sendToTarget({ request, entry, attempt: 1, tried: new Set() }, end)
}

/** Finds the instance that feeds a target: of its failure domain, else of its region. */
function findFeeder (world: SimWorld, target: SimTarget): SimInstance | undefined {
  const live = world.instances.filter(each => each.alive && each.region === target.region)
  const near = live.filter(each => each.failureDomain === target.failureDomain)
  const circle = near.length > 0 ? near : live
  const score = (each: SimInstance): number => computeHash(`${each.name}\u0000${target.record.target}`)
  return circle.reduce<SimInstance | undefined>((best, each) => best === undefined || score(each) > score(best) ? each : best, undefined)
}

/** Divides the slots of a target among all instances that may be in its region, the odd ones by turns. */
function computeLeasedShare (world: SimWorld, target: SimTarget, instance: SimInstance): number {
  const sharers = world.instances.filter(each => each.region === target.region)
  const index = sharers.indexOf(instance)
  if (index < 0) return 0
  const first = computeHash(target.record.target) % sharers.length
  const turn = (index - first + sharers.length) % sharers.length
  return Math.floor(target.record.slots / sharers.length) + (turn < target.record.slots % sharers.length ? 1 : 0)
}

function sumFedSlots (world: SimWorld, node: Node): number {
  return node.listFed().reduce((sum, record) => sum + record.slots, 0)
}

function sumRegion (world: SimWorld, { region, reader }: { region: string, reader: SimInstance }, snapshot: { atMs: number, byInstance: Map<string, { slots: number, busy: number }> } | undefined): RegionReport | undefined {
  if (snapshot === undefined) return undefined
  const report = { slots: 0, busy: 0, ageMs: world.clock.getNowMs() - snapshot.atMs }
  for (const instance of world.instances) {
    const load = instance.region === region && isReachable(world, reader, instance) ? snapshot.byInstance.get(instance.name) : undefined
    report.slots += load?.slots ?? 0
    report.busy += load?.busy ?? 0
  }
  return report
}

function createView (world: SimWorld, reader: SimInstance): ClusterView {
  return {
    getDocument: () => ({ revision: 1, document: world.document }) as AcceptedDocument,
    getShift: () => undefined,
    listInstances: () => world.instances.filter(each => each.alive && isReachable(world, reader, each)).map(each => ({ instance: each.name, region: each.region }) as InstanceRecord),
    listTargets: () => world.targets.map(each => ({ ...each.record, state: each.leaving ? MachineState.Leaving : MachineState.Live }))
  } as unknown as ClusterView
}

function scheduleEvery (world: SimWorld, everyMs: number, call: () => void): void {
  world.clock.schedule(everyMs, () => {
    call()
    scheduleEvery(world, everyMs, call)
  })
}
