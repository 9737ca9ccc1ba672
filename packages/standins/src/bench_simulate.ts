/**
 * Simulates one routing policy in one scenario on a virtual clock, and measures the outcomes and latencies that callers see.
 *
 * @module
 */
import type { RequestClass } from '@bilberryworks/steering'
import type { CreateRouter } from './bench_routers.ts'
import type { SimInstance, SimRequest, SimCluster } from './bench_cluster.ts'
import type { Deployment } from './deployments.ts'
import { computeHash, rankByRendezvous, RefusalReason } from '@bilberryworks/steering'
import { build } from 'hdr-histogram-js'
import { createRandom } from './bench_clock.ts'
import { computeLatencyMs, createRequestSource, createSimCluster, meanServiceTimeMs } from './bench_cluster.ts'

/** A scenario: the load over time, and the events that change the cluster. */
export interface Scenario {
  /** Name in the tables of results. */
  name: string
  /** Duration, in milliseconds. */
  durationMs: number
  /** Returns the offered load at a time, as a share of the capacity of all slots at the start. */
  getLoad: (nowMs: number) => number
  /** Prepares the cluster before the start and schedules the events of the scenario; none by default. */
  prepare?: (cluster: SimCluster) => void
  /** Maximum number of attempts of a caller whose request is refused; 1 by default. */
  maxAttempts?: number
  /** Returns the delay before a retry, in milliseconds, from the delay that the refusal asks for; the latter by default. */
  getRetryDelayMs?: (retryAfterMs: number) => number
}

/** Latency percentiles of a request class, in milliseconds. */
export interface ClassLatency {
  p50: number
  p99: number
  p999: number
}

/** Measurements of one simulation. */
export interface Measurements {
  requests: number
  answered: number
  refused: number
  /** Requests that were refused while a usable target in the home region of the caller had a free slot. */
  refusedWithFreeSlot: number
  /** Number of refused requests by reason. */
  reasons: Record<string, number>
  /** Time of the first attempt of the request that the shift cap refused last, in milliseconds; 0 if it refused none. */
  lastShiftCapRefusalMs: number
  /** Number of seconds in which a target was sent more requests than it has slots, summed over all targets. */
  overloadedTargetSeconds: number
  /** Latency percentiles by request class. */
  latency: Record<string, ClassLatency>
  /** Slot time that answered requests used, as a share of the slot time of all live targets. */
  slotUtilization: number
  /** Highest share of busy slots in any region, averaged over each second. */
  peakRegionUtilization: number
  /** Requests that were answered outside the home region of their caller. */
  requestsOutsideHomeRegion: number
  /** Attempts of all requests. */
  attempts: number
  /** Share of requests answered, by second of their first attempt; 1 in a second without requests. */
  answeredShareBySecond: number[]
  /** Share of requests answered outside the home region of their caller, by second of their first attempt; 0 in a second without requests. */
  outsideHomeShareBySecond: number[]
}

const sampleIntervalMs = 50

/**
 * Simulates a routing policy in a scenario. The same seed gives the same result.
 *
 * @param createRouter Creates the router that implements the policy
 * @param options The deployment, the scenario and the seed
 * @returns The measurements
 */
export function simulate (createRouter: CreateRouter, options: { deployment: Deployment, scenario: Scenario, seed: number }): Measurements {
  const { scenario, deployment, seed } = options
  const cluster = createSimCluster(deployment, seed)
  const { clock } = cluster
  const slots = cluster.targets.reduce((sum, each) => sum + each.record.slots, 0)
  const drawRequest = createRequestSource(createRandom(seed + 1))
  const getArrivalRandom = createRandom(seed + 2)
  const route = createRouter(cluster)
  const recorder = createRecorder(cluster, scenario.durationMs)
  scenario.prepare?.(cluster)

  function sendRequest (request: SimRequest): void {
    const entry = chooseEntryInstance(cluster, request)
    recorder.countAttempt()
    if (entry === undefined) return recorder.recordRefusal(request, 'no_instance')
    const clientLatencyMs = deployment.clientLatencyMs + (entry.region === request.homeRegion ? 0 : deployment.regionLatencyMs)
    clock.schedule(clientLatencyMs, () => route(request, entry, result => {
      clock.schedule(clientLatencyMs, () => {
        if ('region' in result) return recorder.recordResponse(request, result.region)
        const { reason, retryAfterMs = 0 } = result.refusal
        if (request.attempts >= (scenario.maxAttempts ?? 1)) return recorder.recordRefusal(request, reason)
        request.attempts++
        clock.schedule(scenario.getRetryDelayMs?.(retryAfterMs) ?? retryAfterMs, () => {
          const spentMs = clock.getNowMs() - request.sentAtMs
          request.deadlineAtMs += spentMs
          sendRequest(request)
        })
      })
    }))
  }

  function scheduleArrival (): void {
    const ratePerMs = slots / meanServiceTimeMs * scenario.getLoad(clock.getNowMs())
    clock.schedule(-Math.log(1 - getArrivalRandom()) / ratePerMs, () => {
      const nowMs = clock.getNowMs()
      if (nowMs >= scenario.durationMs) return
      const request = drawRequest(nowMs)
      request.homeRegion = rankByRendezvous(request.callerKey, cluster.document.regionWeights)[0]!
      recorder.recordArrival(request)
      sendRequest(request)
      scheduleArrival()
    })
  }

  scheduleArrival()
  for (let atMs = sampleIntervalMs; atMs <= scenario.durationMs; atMs += sampleIntervalMs) {
    clock.advance(atMs)
    recorder.recordUtilization()
  }
  clock.advance(scenario.durationMs + 70_000)
  return recorder.finish()
}

/** Chooses a live instance in the home region of the caller, or in any region if there is none, by a hash of the caller. */
function chooseEntryInstance (cluster: SimCluster, request: SimRequest): SimInstance | undefined {
  const liveInstances = cluster.instances.filter(each => each.isAlive)
  const regionInstances = liveInstances.filter(each => each.region === request.homeRegion)
  const candidates = regionInstances.length > 0 ? regionInstances : liveInstances
  return candidates[computeHash(request.callerKey) % Math.max(1, candidates.length)]
}

interface Recorder {
  recordArrival (request: SimRequest): void
  countAttempt (): void
  recordResponse (request: SimRequest, region: string): void
  recordRefusal (request: SimRequest, reason: string): void
  recordUtilization (): void
  finish (): Measurements
}

function createRecorder (cluster: SimCluster, durationMs: number): Recorder {
  const seconds = Math.ceil(durationMs / 1000)
  const histograms = new Map<RequestClass, ReturnType<typeof build>>()
  const measurements: Measurements = {
    requests: 0,
    answered: 0,
    refused: 0,
    refusedWithFreeSlot: 0,
    reasons: {},
    lastShiftCapRefusalMs: 0,
    overloadedTargetSeconds: 0,
    latency: {},
    slotUtilization: 0,
    peakRegionUtilization: 0,
    requestsOutsideHomeRegion: 0,
    attempts: 0,
    answeredShareBySecond: [],
    outsideHomeShareBySecond: []
  }
  const arrivedBySecond = new Array<number>(seconds).fill(0)
  const answeredBySecond = new Array<number>(seconds).fill(0)
  const outsideHomeBySecond = new Array<number>(seconds).fill(0)
  const utilizationByRegion = new Map<string, number[]>()
  let usedSlotMs = 0
  let availableSlotMs = 0
  const computeSecond = (request: SimRequest): number => Math.min(seconds - 1, Math.floor(request.sentAtMs / 1000))

  return {
    recordArrival (request) {
      measurements.requests++
      arrivedBySecond[computeSecond(request)]!++
    },
    countAttempt () {
      measurements.attempts++
    },
    recordResponse (request, region) {
      measurements.answered++
      answeredBySecond[computeSecond(request)]!++
      if (region !== request.homeRegion) {
        measurements.requestsOutsideHomeRegion++
        outsideHomeBySecond[computeSecond(request)]!++
      }
      const histogram = histograms.get(request.requestClass) ?? build({ highestTrackableValue: 10_000_000, numberOfSignificantValueDigits: 3 })
      histograms.set(request.requestClass, histogram)
      histogram.recordValue(Math.round((cluster.clock.getNowMs() - request.sentAtMs) * 100))
      if (cluster.clock.getNowMs() <= durationMs) usedSlotMs += request.serviceTimeMs
    },
    recordRefusal (request, reason) {
      measurements.refused++
      measurements.reasons[reason] = (measurements.reasons[reason] ?? 0) + 1
      if (reason === RefusalReason.ShiftCap) measurements.lastShiftCapRefusalMs = request.sentAtMs
      const hasFreeSlot = cluster.targets.some(each => each.isAlive && !each.leaving && each.region === request.homeRegion && each.inFlight < each.record.slots)
      if (hasFreeSlot) measurements.refusedWithFreeSlot++
    },
    recordUtilization () {
      const second = Math.floor((cluster.clock.getNowMs() - 1) / 1000)
      for (const region of cluster.deployment.regions) {
        const targets = cluster.targets.filter(each => each.region === region && each.isAlive)
        const regionSlots = targets.reduce((sum, each) => sum + each.record.slots, 0)
        const busy = targets.reduce((sum, each) => sum + each.busy, 0)
        const utilizationBySecond = utilizationByRegion.get(region) ?? new Array<number>(seconds).fill(0)
        utilizationByRegion.set(region, utilizationBySecond)
        if (regionSlots > 0) utilizationBySecond[second]! += busy / regionSlots * sampleIntervalMs / 1000
        availableSlotMs += regionSlots * sampleIntervalMs
      }
    },
    finish () {
      measurements.slotUtilization = usedSlotMs / availableSlotMs
      measurements.peakRegionUtilization = Math.max(...[...utilizationByRegion.values()].flat())
      measurements.overloadedTargetSeconds = cluster.targets.reduce((sum, each) => sum + each.overloadedSeconds.size, 0)
      measurements.answeredShareBySecond = arrivedBySecond.map((count, second) => count === 0 ? 1 : answeredBySecond[second]! / count)
      measurements.outsideHomeShareBySecond = arrivedBySecond.map((count, second) => count === 0 ? 0 : outsideHomeBySecond[second]! / count)
      for (const [requestClass, histogram] of histograms) {
        const getPercentileMs = (percentile: number): number => histogram.getValueAtPercentile(percentile) / 100
        measurements.latency[requestClass] = { p50: getPercentileMs(50), p99: getPercentileMs(99), p999: getPercentileMs(99.9) }
      }
      return measurements
    }
  }
}

/**
 * Simulates an omniscient scheduler as the reference for latencies. The scheduler knows the state of all slots of the deployment, and assigns each request to the slot that finishes the request first.
 *
 * @param options The deployment, the scenario and the seed
 * @returns The latency percentiles by request class
 */
export function simulateOmniscient (options: { deployment: Deployment, scenario: Scenario, seed: number }): Record<string, ClassLatency> {
  const { scenario, deployment, seed } = options
  const cluster = createSimCluster(deployment, seed)
  const drawRequest = createRequestSource(createRandom(seed + 1))
  const getArrivalRandom = createRandom(seed + 2)
  const slots = cluster.targets.flatMap(target => Array.from({ length: target.record.slots }, () => ({ target, freeAtMs: 0 })))
  const histograms = new Map<RequestClass, ReturnType<typeof build>>()
  let nowMs = 0
  for (;;) {
    nowMs += -Math.log(1 - getArrivalRandom()) * meanServiceTimeMs / slots.length / scenario.getLoad(nowMs)
    if (nowMs >= scenario.durationMs) break
    const request = drawRequest(nowMs)
    request.homeRegion = rankByRendezvous(request.callerKey, cluster.document.regionWeights)[0]!
    const entry = chooseEntryInstance(cluster, request)!
    const atEntryMs = nowMs + deployment.clientLatencyMs
    let earliestSlot = slots[0]!
    let earliestEndMs = Infinity
    for (const slot of slots) {
      const latencyMs = computeLatencyMs(cluster, entry, slot.target)
      const endMs = Math.max(slot.freeAtMs, atEntryMs + latencyMs) + request.serviceTimeMs + latencyMs
      if (endMs < earliestEndMs) {
        earliestSlot = slot
        earliestEndMs = endMs
      }
    }
    earliestSlot.freeAtMs = earliestEndMs - computeLatencyMs(cluster, entry, earliestSlot.target)
    const histogram = histograms.get(request.requestClass) ?? build({ highestTrackableValue: 10_000_000, numberOfSignificantValueDigits: 3 })
    histograms.set(request.requestClass, histogram)
    histogram.recordValue(Math.round((earliestEndMs + deployment.clientLatencyMs - request.sentAtMs) * 100))
  }
  return Object.fromEntries([...histograms].map(([requestClass, histogram]) => {
    const getPercentileMs = (percentile: number): number => histogram.getValueAtPercentile(percentile) / 100
    return [requestClass, { p50: getPercentileMs(50), p99: getPercentileMs(99), p999: getPercentileMs(99.9) }]
  }))
}
