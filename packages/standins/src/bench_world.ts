/**
 * The instances, targets and requests of a deployment on a virtual clock.
 *
 * @module
 */
import type { ServiceDocument, TargetRecord } from '@bilberryworks/steering'
import type { VirtualClock } from './bench_clock.ts'
import type { Deployment, DeploymentService } from './deployments.ts'
import { MachineState, RequestClass } from '@bilberryworks/steering'
import { createVirtualClock, createRandom } from './bench_clock.ts'
import { createDocument, instanceCount, listFailureDomains } from './deployments.ts'

/** Latency inside a failure domain, one way, in milliseconds. */
const localLatencyMs = 0.1
/** Time to find that nothing listens at an address, in milliseconds. */
const connectFailureMs = 2
const callerCount = 400
/** Exponent of the share of requests by caller; one address in front of many people is the first. */
const callerSkew = 0.6

/** Where something is. */
export interface Place {
  /** Its failure domain. */
  failureDomain: string
  /** Its region. */
  region: string
}

/** An entry instance. */
export interface SimInstance extends Place {
  name: string
  alive: boolean
}

/** How a run on a target ended. */
export enum RunEnd {
  Answered = 'answered',
  /** The target had no slot free: it was sent too much. */
  Shed = 'shed',
  /** Nothing listens there. */
  Unreachable = 'unreachable'
}

/** A target. */
export interface SimTarget extends Place {
  record: TargetRecord
  alive: boolean
  leaving: boolean
  /** Requests that run. */
  busy: number
  /** Requests sent and not known to have ended. */
  assigned: number
  /** Requests that still meet a cold cache. */
  coldRequests: number
  /** Seconds in which it was sent more than it has slots. */
  overloadedSeconds: Set<number>
}

/** A request of a caller. */
export interface SimRequest {
  id: string
  callerKey: string
  requestClass: RequestClass
  priority: number
  /** Time that its run takes, in milliseconds. */
  holdMs: number
  /** Time at which the caller sent it first. */
  sentAtMs: number
  /** Time by which it must have ended. */
  deadlineAtMs: number
  /** How often it has been tried. */
  attempts: number
  /** Region that the weights of the document give its caller. */
  homeRegion: string
}

/** The parts of a simulation. */
export interface SimWorld {
  clock: VirtualClock
  getRandom: () => number
  deployment: Deployment
  service: DeploymentService
  document: ServiceDocument
  instances: SimInstance[]
  targets: SimTarget[]
  /** Changes whenever a target or an instance dies, leaves or returns. */
  epoch: number
  /** Region whose instances are cut off from those of the others. */
  cutRegion: string | undefined
}

/** Mean run times and shares of the classes. */
export const classMix = [
  { requestClass: RequestClass.LookUp, share: 0.7, holdMs: 30, deadlineMs: 3_000, priority: 1 },
  { requestClass: RequestClass.AtMostOnce, share: 0.28, holdMs: 60, deadlineMs: 5_000, priority: 0 },
  { requestClass: RequestClass.Upload, share: 0.02, holdMs: 600, deadlineMs: 60_000, priority: 2 }
]

/** Mean time that a request holds a slot, in milliseconds. */
export const meanHoldMs = classMix.reduce((sum, each) => sum + each.share * each.holdMs, 0)

/** Extra time of a request at a cold target, in milliseconds. */
export const coldMs = 400

/**
 * Creates a deployment at its size of today.
 *
 * @param deployment The deployment
 * @param seed Seed of all randomness
 * @returns The world at time 0
 */
export function createWorld (deployment: Deployment, seed: number): SimWorld {
  const [service] = deployment.services
  const domains = listFailureDomains(deployment)
  const instances = Array.from({ length: instanceCount }, (_, index) => ({ name: `entry-${index}`, alive: true, ...domains[index % domains.length]! }))
  const targets = Array.from({ length: service.targets }, (_, index): SimTarget => {
    const place = domains[index % domains.length]!
    const record = { target: `target-${index}`, service: service.name, address: '', slots: service.slots, maxConnections: 330, state: MachineState.Live, ...place }
    return { record, alive: true, leaving: false, busy: 0, assigned: 0, coldRequests: 0, overloadedSeconds: new Set(), ...place }
  })
  const clock = createVirtualClock()
  return { clock, getRandom: createRandom(seed), deployment, service, document: createDocument(deployment, service), instances, targets, epoch: 0, cutRegion: undefined }
}

/**
 * Tells whether two places can reach each other.
 *
 * @param world The world
 * @param from One place
 * @param to The other
 * @returns Whether no cut is between them
 */
export function isReachable (world: SimWorld, from: Place, to: Place): boolean {
  return from.region === to.region || (from.region !== world.cutRegion && to.region !== world.cutRegion)
}

/**
 * Computes the one-way latency between two places.
 *
 * @param world The world
 * @param from One place
 * @param to The other
 * @returns Milliseconds
 */
export function computeLatencyMs (world: SimWorld, from: Place, to: Place): number {
  if (from.region !== to.region) return world.deployment.regionLatencyMs
  return from.failureDomain === to.failureDomain ? localLatencyMs : world.deployment.domainLatencyMs
}

/**
 * Runs a request on a target, from when it is sent until its answer is back.
 *
 * @param world The world
 * @param request The request
 * @param options The target, where the request is sent from, and what to call at the end
 */
export function runOnTarget (world: SimWorld, request: SimRequest, options: { target: SimTarget, from: Place, end: (end: RunEnd) => void }): void {
  const { target, from } = options
  const latencyMs = computeLatencyMs(world, from, target)
  target.assigned++
  const finish = (end: RunEnd, delayMs: number): void => world.clock.schedule(delayMs, () => {
    target.assigned--
    options.end(end)
  })
  world.clock.schedule(latencyMs, () => {
    if (!target.alive) return finish(RunEnd.Unreachable, connectFailureMs)
    if (target.busy >= target.record.slots) {
      target.overloadedSeconds.add(Math.floor(world.clock.getNowMs() / 1000))
      return finish(RunEnd.Shed, latencyMs)
    }
    target.busy++
    const isCold = target.coldRequests > 0
    if (isCold) target.coldRequests--
    world.clock.schedule(request.holdMs + (isCold ? coldMs : 0), () => {
      target.busy--
      finish(target.alive ? RunEnd.Answered : RunEnd.Unreachable, latencyMs)
    })
  })
}

/**
 * Creates the source of requests: classes, run times and callers by fixed shares.
 *
 * @param getRandom The random source
 * @returns The function that draws the next request at a time
 */
export function createRequestSource (getRandom: () => number): (nowMs: number) => SimRequest {
  const callerShares: number[] = []
  let total = 0
  for (let index = 0; index < callerCount; index++) callerShares.push(total += (index + 1) ** -callerSkew)
  let count = 0
  return nowMs => {
    const drawn = getRandom()
    const mix = drawn < 0.7 ? classMix[0]! : drawn < 0.98 ? classMix[1]! : classMix[2]!
    const point = getRandom() * total
    const caller = callerShares.findIndex(sum => sum >= point)
    return {
      id: `r${count++}`,
      callerKey: `192.0.2.${caller}`,
      requestClass: mix.requestClass,
      priority: mix.priority,
      holdMs: mix.holdMs * computeLogNormal(getRandom),
      sentAtMs: nowMs,
      deadlineAtMs: nowMs + mix.deadlineMs,
      attempts: 1,
      homeRegion: ''
    }
  }
}

const logSigma = 0.5

/** Draws a factor of mean 1. */
function computeLogNormal (getRandom: () => number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - getRandom())) * Math.cos(2 * Math.PI * getRandom())
  return Math.exp(logSigma * normal - logSigma * logSigma / 2)
}
