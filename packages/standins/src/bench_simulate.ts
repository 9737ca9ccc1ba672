/**
 * Runs one policy through one scenario on a virtual clock and measures what the callers see.
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

/** A scenario. */
export interface Scenario {
  /** Name in the tables. */
  name: string
  /** Length, in milliseconds. */
  durationMs: number
  /** Load as a share of what all slots can do at the start, by the time. */
  getLoad: (nowMs: number) => number
  /** Changes the world before the start and schedules what happens to it. */
  prepare?: (cluster: SimCluster) => void
  /** Most tries of a refused request, at the time that it was told; 1 by default. */
  maxAttempts?: number
  /** Time after which a refused request is tried again; what the refusal says by default. */
  getRetryDelayMs?: (retryAfterMs: number) => number
}

/** Latencies of a class, in milliseconds. */
export interface ClassLatency {
  p50: number
  p99: number
  p999: number
}

/** What was measured. */
export interface Measurements {
  requests: number
  answered: number
  refused: number
  /** Refused while a slot of the region was free. */
  refusedWithFreeSlot: number
  /** Refusals by reason. */
  reasons: Record<string, number>
  /** Time of the last refusal by the shift cap, in milliseconds; 0 where there was none. */
  lastShiftCapRefusalMs: number
  /** Sum over the targets of the seconds in which one was sent more than it has slots. */
  overloadedTargetSeconds: number
  /** Latencies by class. */
  latency: Record<string, ClassLatency>
  /** Slot time of answered requests over the slot time that there was. */
  slotUtilization: number
  /** Largest share of slots in use in any region over any second. */
  peakRegionUtilization: number
  /** Requests answered outside of the region that the document gives their caller. */
  requestsOutsideHomeRegion: number
  /** Tries in all. */
  attempts: number
  /** Share answered, second by second. */
  answeredShareBySecond: number[]
  /** Share answered outside of the home region, second by second. */
  outsideHomeShareBySecond: number[]
}

const sampleIntervalMs = 50

/**
 * Simulates a policy in a scenario.
 *
 * @param createRouter Creates the policy
 * @param options The deployment, the scenario and the seed
 * @returns What was measured
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
        if ('region' in result) return recorder.recordAnswer(request, result.region)
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

/** Chooses a live instance of the caller's home region, else any. */
function chooseEntryInstance (cluster: SimCluster, request: SimRequest): SimInstance | undefined {
  const liveInstances = cluster.instances.filter(each => each.isAlive)
  const sameRegion = liveInstances.filter(each => each.region === request.homeRegion)
  const candidates = sameRegion.length > 0 ? sameRegion : liveInstances
  return candidates[computeHash(request.callerKey) % Math.max(1, candidates.length)]
}

interface Recorder {
  recordArrival (request: SimRequest): void
  countAttempt (): void
  recordAnswer (request: SimRequest, region: string): void
  recordRefusal (request: SimRequest, reason: string): void
  recordUtilization (): void
  finish (): Measurements
}

function createRecorder (cluster: SimCluster, lengthMs: number): Recorder {
  const seconds = Math.ceil(lengthMs / 1000)
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
  const answered = new Array<number>(seconds).fill(0)
  const outsideHomeBySecond = new Array<number>(seconds).fill(0)
  const utilizationByRegion = new Map<string, number[]>()
  let usedSlotMs = 0
  let availableSlotMs = 0
  const getSecond = (request: SimRequest): number => Math.min(seconds - 1, Math.floor(request.sentAtMs / 1000))

  return {
    recordArrival (request) {
      measurements.requests++
      arrivedBySecond[getSecond(request)]!++
    },
    countAttempt () {
      measurements.attempts++
    },
    recordAnswer (request, region) {
      measurements.answered++
      answered[getSecond(request)]!++
      if (region !== request.homeRegion) {
        measurements.requestsOutsideHomeRegion++
        outsideHomeBySecond[getSecond(request)]!++
      }
      const histogram = histograms.get(request.requestClass) ?? build({ highestTrackableValue: 10_000_000, numberOfSignificantValueDigits: 3 })
      histograms.set(request.requestClass, histogram)
      histogram.recordValue(Math.round((cluster.clock.getNowMs() - request.sentAtMs) * 100))
      if (cluster.clock.getNowMs() <= lengthMs) usedSlotMs += request.serviceTimeMs
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
      measurements.answeredShareBySecond = arrivedBySecond.map((count, second) => count === 0 ? 1 : answered[second]! / count)
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
 * Simulates a scheduler that knows everything: each request takes the slot of the whole deployment where it can start first.
 *
 * @param options The deployment, the scenario and the seed
 * @returns The latencies by class
 */
export function simulateOmniscient (options: { deployment: Deployment, scenario: Scenario, seed: number }): Record<string, ClassLatency> {
  const { scenario, deployment, seed } = options
  const cluster = createSimCluster(deployment, seed)
  const draw = createRequestSource(createRandom(seed + 1))
  const getArrivalRandom = createRandom(seed + 2)
  const slots = cluster.targets.flatMap(target => Array.from({ length: target.record.slots }, () => ({ target, freeAtMs: 0 })))
  const histograms = new Map<RequestClass, ReturnType<typeof build>>()
  let nowMs = 0
  for (;;) {
    nowMs += -Math.log(1 - getArrivalRandom()) * meanServiceTimeMs / slots.length / scenario.getLoad(nowMs)
    if (nowMs >= scenario.durationMs) break
    const request = draw(nowMs)
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
