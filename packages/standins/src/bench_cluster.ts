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
const callerZipfExponent = 0.6

/** Where something is. */
export interface Location {
  /** Its failure domain. */
  failureDomain: string
  /** Its region. */
  region: string
}

/** An entry instance. */
export interface SimInstance extends Location {
  name: string
  isAlive: boolean
}

/** How a run on a target ended. */
export enum RunOutcome {
  Answered = 'answered',
  /** The target had no slot free: it was sent too much. */
  Shed = 'shed',
  /** Nothing listens there. */
  Unreachable = 'unreachable'
}

/** A target. */
export interface SimTarget extends Location {
  record: TargetRecord
  isAlive: boolean
  leaving: boolean
  /** Requests that run. */
  busy: number
  /** Requests sent and not known to have ended. */
  inFlight: number
  /** Requests that still meet a cold cache. */
  remainingColdRequests: number
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
  serviceTimeMs: number
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
export interface SimCluster {
  clock: VirtualClock
  getRandom: () => number
  deployment: Deployment
  service: DeploymentService
  document: ServiceDocument
  instances: SimInstance[]
  targets: SimTarget[]
  /** Changes whenever a target or an instance dies, leaves or returns. */
  topologyVersion: number
  /** Region whose instances are cut off from those of the others. */
  partitionedRegion: string | undefined
}

/** Mean run times and shares of the classes. */
export const requestMix = [
  { requestClass: RequestClass.LookUp, share: 0.7, meanServiceTimeMs: 30, deadlineMs: 3_000, priority: 1 },
  { requestClass: RequestClass.AtMostOnce, share: 0.28, meanServiceTimeMs: 60, deadlineMs: 5_000, priority: 0 },
  { requestClass: RequestClass.Upload, share: 0.02, meanServiceTimeMs: 600, deadlineMs: 60_000, priority: 2 }
]

/** Mean time that a request holds a slot, in milliseconds. */
export const meanServiceTimeMs = requestMix.reduce((sum, each) => sum + each.share * each.meanServiceTimeMs, 0)

/** Extra time of a request at a cold target, in milliseconds. */
export const coldPenaltyMs = 400

/**
 * Creates a deployment at its size of today.
 *
 * @param deployment The deployment
 * @param seed Seed of all randomness
 * @returns The world at time 0
 */
export function createSimCluster (deployment: Deployment, seed: number): SimCluster {
  const [service] = deployment.services
  const domains = listFailureDomains(deployment)
  const instances = Array.from({ length: instanceCount }, (_, index) => ({ name: `entry-${index}`, isAlive: true, ...domains[index % domains.length]! }))
  const targets = Array.from({ length: service.targets }, (_, index): SimTarget => {
    const location = domains[index % domains.length]!
    const record = { target: `target-${index}`, service: service.name, address: '', slots: service.slots, maxConnections: 330, state: MachineState.Live, ...location }
    return { record, isAlive: true, leaving: false, busy: 0, inFlight: 0, remainingColdRequests: 0, overloadedSeconds: new Set(), ...location }
  })
  const clock = createVirtualClock()
  return { clock, getRandom: createRandom(seed), deployment, service, document: createDocument(deployment, service), instances, targets, topologyVersion: 0, partitionedRegion: undefined }
}

/**
 * Tells whether two places can reach each other.
 *
 * @param cluster The world
 * @param from One place
 * @param to The other
 * @returns Whether no cut is between them
 */
export function isReachable (cluster: SimCluster, from: Location, to: Location): boolean {
  return from.region === to.region || (from.region !== cluster.partitionedRegion && to.region !== cluster.partitionedRegion)
}

/**
 * Computes the one-way latency between two places.
 *
 * @param cluster The world
 * @param from One place
 * @param to The other
 * @returns Milliseconds
 */
export function computeLatencyMs (cluster: SimCluster, from: Location, to: Location): number {
  if (from.region !== to.region) return cluster.deployment.regionLatencyMs
  return from.failureDomain === to.failureDomain ? localLatencyMs : cluster.deployment.domainLatencyMs
}

/**
 * Runs a request on a target, from when it is sent until its answer is back.
 *
 * @param cluster The world
 * @param request The request
 * @param options The target, where the request is sent from, and what to call at the end
 */
export function runOnTarget (cluster: SimCluster, request: SimRequest, options: { target: SimTarget, from: Location, onEnd: (end: RunOutcome) => void }): void {
  const { target, from } = options
  const latencyMs = computeLatencyMs(cluster, from, target)
  target.inFlight++
  const scheduleOutcome = (outcome: RunOutcome, delayMs: number): void => cluster.clock.schedule(delayMs, () => {
    target.inFlight--
    options.onEnd(outcome)
  })
  cluster.clock.schedule(latencyMs, () => {
    if (!target.isAlive) return scheduleOutcome(RunOutcome.Unreachable, connectFailureMs)
    if (target.busy >= target.record.slots) {
      target.overloadedSeconds.add(Math.floor(cluster.clock.getNowMs() / 1000))
      return scheduleOutcome(RunOutcome.Shed, latencyMs)
    }
    target.busy++
    const isCold = target.remainingColdRequests > 0
    if (isCold) target.remainingColdRequests--
    cluster.clock.schedule(request.serviceTimeMs + (isCold ? coldPenaltyMs : 0), () => {
      target.busy--
      scheduleOutcome(target.isAlive ? RunOutcome.Answered : RunOutcome.Unreachable, latencyMs)
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
  const cumulativeShares: number[] = []
  let totalShare = 0
  for (let index = 0; index < callerCount; index++) cumulativeShares.push(totalShare += (index + 1) ** -callerZipfExponent)
  let count = 0
  return nowMs => {
    const classPoint = getRandom()
    const selected = classPoint < 0.7 ? requestMix[0]! : classPoint < 0.98 ? requestMix[1]! : requestMix[2]!
    const callerPoint = getRandom() * totalShare
    const caller = cumulativeShares.findIndex(sum => sum >= callerPoint)
    return {
      id: `r${count++}`,
      callerKey: `192.0.2.${caller}`,
      requestClass: selected.requestClass,
      priority: selected.priority,
      serviceTimeMs: selected.meanServiceTimeMs * computeLogNormal(getRandom),
      sentAtMs: nowMs,
      deadlineAtMs: nowMs + selected.deadlineMs,
      attempts: 1,
      homeRegion: ''
    }
  }
}

const logNormalSigma = 0.5

/** Draws a factor of mean 1. */
function computeLogNormal (getRandom: () => number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - getRandom())) * Math.cos(2 * Math.PI * getRandom())
  return Math.exp(logNormalSigma * normal - logNormalSigma * logNormalSigma / 2)
}
