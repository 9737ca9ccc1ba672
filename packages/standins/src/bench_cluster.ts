/**
 * A simulated cluster on a virtual clock: the entry instances and targets of a deployment, and the requests of its callers.
 *
 * @module
 */
import type { ServiceDocument, TargetRecord } from '@bilberryworks/steering'
import type { VirtualClock } from './bench_clock.ts'
import type { Deployment, DeploymentService } from './deployments.ts'
import { LifecycleState, RequestClass } from '@bilberryworks/steering'
import { createVirtualClock, createRandom } from './bench_clock.ts'
import { createDocument, instanceCount, listFailureDomains } from './deployments.ts'

/** One-way latency within a failure domain, in milliseconds. */
const localLatencyMs = 0.1
/** Time until a connection to an address without a listener fails, in milliseconds. */
const connectFailureMs = 2
const callerCount = 400
/** Exponent of the Zipf distribution of requests over callers. A caller is a client address; the first callers send the most requests, like the NAT address of many users. */
const callerZipfExponent = 0.6

/** Failure domain and region of an instance or target. */
export interface Location {
  /** Failure domain. */
  failureDomain: string
  /** Region. */
  region: string
}

/** A simulated entry instance. */
export interface SimInstance extends Location {
  name: string
  isAlive: boolean
}

/** Outcome of a request at a target. */
export enum RunOutcome {
  Answered = 'answered',
  /** The target refused the request because it had no free slot: it was sent more requests than it has slots. */
  Shed = 'shed',
  /** The target was not running when the request arrived, or stopped before it answered. */
  Unreachable = 'unreachable'
}

/** A simulated target. */
export interface SimTarget extends Location {
  record: TargetRecord
  isAlive: boolean
  leaving: boolean
  /** Number of requests that hold a slot. */
  busy: number
  /** Number of requests that were sent to the target and whose result has not reached the sender yet. */
  inFlight: number
  /** Number of further requests that will find a cold cache. */
  remainingColdRequests: number
  /** Seconds, counted from the start, in which the target was sent more requests than it has slots. */
  overloadedSeconds: Set<number>
}

/** A simulated request of a caller. */
export interface SimRequest {
  id: string
  callerKey: string
  requestClass: RequestClass
  priority: number
  /** Time that the request holds a slot of a warm target, in milliseconds. */
  serviceTimeMs: number
  /** Virtual time at which the caller first sent the request, in milliseconds. */
  sentAtMs: number
  /** Virtual time by which the request must have ended, in milliseconds. */
  deadlineAtMs: number
  /** Number of attempts so far, including the current one. */
  attempts: number
  /** Home region of the caller, by the region weights of the service document. */
  homeRegion: string
}

/** A simulated cluster with its clock and random source. */
export interface SimCluster {
  clock: VirtualClock
  getRandom: () => number
  deployment: Deployment
  service: DeploymentService
  document: ServiceDocument
  instances: SimInstance[]
  targets: SimTarget[]
  /** Version that grows whenever instances or targets fail, leave, return or are partitioned. */
  topologyVersion: number
  /** Region that a network partition separates from all others; `undefined` if there is no partition. */
  partitionedRegion: string | undefined
}

/** Share of all requests, mean service time, deadline and priority of each request class. */
export const requestMix = [
  { requestClass: RequestClass.LookUp, share: 0.7, meanServiceTimeMs: 30, deadlineMs: 3_000, priority: 1 },
  { requestClass: RequestClass.AtMostOnce, share: 0.28, meanServiceTimeMs: 60, deadlineMs: 5_000, priority: 0 },
  { requestClass: RequestClass.Upload, share: 0.02, meanServiceTimeMs: 600, deadlineMs: 60_000, priority: 2 }
]

/** Mean service time of all requests, in milliseconds. */
export const meanServiceTimeMs = requestMix.reduce((sum, each) => sum + each.share * each.meanServiceTimeMs, 0)

/** Additional service time of a request that finds a cold cache, in milliseconds. */
export const coldPenaltyMs = 400

/**
 * Creates a simulated cluster with the instances and the targets of a deployment's first service.
 *
 * @param deployment The deployment
 * @param seed Seed of the random source
 * @returns The cluster at time 0
 */
export function createSimCluster (deployment: Deployment, seed: number): SimCluster {
  const [service] = deployment.services
  const domains = listFailureDomains(deployment)
  const instances = Array.from({ length: instanceCount }, (_, index) => ({ name: `entry-${index}`, isAlive: true, ...domains[index % domains.length]! }))
  const targets = Array.from({ length: service.targets }, (_, index): SimTarget => {
    const location = domains[index % domains.length]!
    const record = { target: `target-${index}`, service: service.name, address: '', slots: service.slots, maxConnections: 330, state: LifecycleState.Live, ...location }
    return { record, isAlive: true, leaving: false, busy: 0, inFlight: 0, remainingColdRequests: 0, overloadedSeconds: new Set(), ...location }
  })
  const clock = createVirtualClock()
  return { clock, getRandom: createRandom(seed), deployment, service, document: createDocument(deployment, service), instances, targets, topologyVersion: 0, partitionedRegion: undefined }
}

/**
 * Returns whether two locations can reach each other.
 *
 * @param cluster The simulated cluster
 * @param from One location
 * @param to The other location
 * @returns Whether no network partition separates them
 */
export function isReachable (cluster: SimCluster, from: Location, to: Location): boolean {
  return from.region === to.region || (from.region !== cluster.partitionedRegion && to.region !== cluster.partitionedRegion)
}

/**
 * Computes the one-way latency between two locations.
 *
 * @param cluster The simulated cluster
 * @param from One location
 * @param to The other location
 * @returns The latency, in milliseconds
 */
export function computeLatencyMs (cluster: SimCluster, from: Location, to: Location): number {
  if (from.region !== to.region) return cluster.deployment.regionLatencyMs
  return from.failureDomain === to.failureDomain ? localLatencyMs : cluster.deployment.domainLatencyMs
}

/**
 * Simulates a request to a target, from when it is sent until its result is back at the sender.
 *
 * @param cluster The simulated cluster
 * @param request The request
 * @param options The target, the location of the sender, and the callback for the outcome
 */
export function runOnTarget (cluster: SimCluster, request: SimRequest, options: { target: SimTarget, from: Location, onEnd: (outcome: RunOutcome) => void }): void {
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
 * Creates a source of random requests, whose classes, service times and callers follow fixed distributions.
 *
 * @param getRandom Returns a random number in [0, 1)
 * @returns The function that draws a request sent at a time, in milliseconds
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

/** Draws a log-normal random number with a mean of 1. */
function computeLogNormal (getRandom: () => number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - getRandom())) * Math.cos(2 * Math.PI * getRandom())
  return Math.exp(logNormalSigma * normal - logNormalSigma * logNormalSigma / 2)
}
