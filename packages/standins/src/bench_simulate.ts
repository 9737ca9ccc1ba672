/**
 * Runs one policy through one scenario on a virtual clock and measures what the callers see.
 *
 * @module
 */
import type { RequestClass } from '@bilberryworks/steering'
import type { CreateRouter } from './bench_routers.ts'
import type { SimInstance, SimRequest, SimWorld } from './bench_world.ts'
import type { Deployment } from './deployments.ts'
import { computeHash, rankByRendezvous, RefusalReason } from '@bilberryworks/steering'
import { build } from 'hdr-histogram-js'
import { createRandom } from './bench_clock.ts'
import { computeLatencyMs, createRequestSource, createWorld, meanHoldMs } from './bench_world.ts'

/** A scenario. */
export interface Scenario {
  /** Name in the tables. */
  name: string
  /** Length, in milliseconds. */
  lengthMs: number
  /** Load as a share of what all slots can do at the start, by the time. */
  getLoad: (nowMs: number) => number
  /** Changes the world before the start and schedules what happens to it. */
  prepare?: (world: SimWorld) => void
  /** Most tries of a refused request, at the time that it was told; 1 by default. */
  maxTries?: number
  /** Time after which a refused request is tried again; what the refusal says by default. */
  getRetryMs?: (retryAfterMs: number) => number
}

/** Latencies of a class, in milliseconds. */
export interface ClassLatency {
  p50: number
  p99: number
  p999: number
}

/** What was measured. */
export interface Measured {
  requests: number
  answered: number
  refused: number
  /** Refused while a slot of the region was free. */
  refusedWhileFree: number
  /** Refusals by reason. */
  reasons: Record<string, number>
  /** Time of the last refusal by the shift cap, in milliseconds; 0 where there was none. */
  lastShiftCapMs: number
  /** Sum over the targets of the seconds in which one was sent more than it has slots. */
  overloadSeconds: number
  /** Latencies by class. */
  latency: Record<string, ClassLatency>
  /** Slot time of answered requests over the slot time that there was. */
  usedShare: number
  /** Largest share of slots in use in any region over any second. */
  fullestRegion: number
  /** Requests answered outside of the region that the document gives their caller. */
  movedRequests: number
  /** Tries in all. */
  tries: number
  /** Share answered, second by second. */
  answeredShare: number[]
  /** Share answered outside of the home region, second by second. */
  movedShare: number[]
}

const sampleMs = 50

/**
 * Simulates a policy in a scenario.
 *
 * @param createRouter Creates the policy
 * @param options The deployment, the scenario and the seed
 * @returns What was measured
 */
export function simulate (createRouter: CreateRouter, options: { deployment: Deployment, scenario: Scenario, seed: number }): Measured {
  const { scenario, deployment, seed } = options
  const world = createWorld(deployment, seed)
  const { clock } = world
  const slots = world.targets.reduce((sum, each) => sum + each.record.slots, 0)
  const draw = createRequestSource(createRandom(seed + 1))
  const getArrivalRandom = createRandom(seed + 2)
  const route = createRouter(world)
  const recorder = createRecorder(world, scenario.lengthMs)
  scenario.prepare?.(world)

  function sendRequest (request: SimRequest): void {
    const entry = chooseEntry(world, request)
    recorder.countTry()
    if (entry === undefined) return recorder.refuse(request, 'no_instance')
    const clientMs = deployment.clientLatencyMs + (entry.region === request.homeRegion ? 0 : deployment.regionLatencyMs)
    clock.schedule(clientMs, () => route(request, entry, end => {
      clock.schedule(clientMs, () => {
        if ('region' in end) return recorder.answer(request, end.region)
        const { reason, retryAfterMs = 0 } = end.refusal
        if (request.attempts >= (scenario.maxTries ?? 1)) return recorder.refuse(request, reason)
        request.attempts++
        clock.schedule(scenario.getRetryMs?.(retryAfterMs) ?? retryAfterMs, () => {
          const spentMs = clock.getNowMs() - request.sentAtMs
          request.deadlineAtMs += spentMs
          sendRequest(request)
        })
      })
    }))
  }

  function scheduleArrival (): void {
    const ratePerMs = slots / meanHoldMs * scenario.getLoad(clock.getNowMs())
    clock.schedule(-Math.log(1 - getArrivalRandom()) / ratePerMs, () => {
      const nowMs = clock.getNowMs()
      if (nowMs >= scenario.lengthMs) return
      const request = draw(nowMs)
      request.homeRegion = rankByRendezvous(request.callerKey, world.document.regionWeights)[0]!
      recorder.arrive(request)
      sendRequest(request)
      scheduleArrival()
    })
  }

  scheduleArrival()
  for (let atMs = sampleMs; atMs <= scenario.lengthMs; atMs += sampleMs) {
    clock.advance(atMs)
    recorder.sample()
  }
  clock.advance(scenario.lengthMs + 70_000)
  return recorder.finish()
}

/** Chooses a live instance of the caller's home region, else any. */
function chooseEntry (world: SimWorld, request: SimRequest): SimInstance | undefined {
  const live = world.instances.filter(each => each.alive)
  const near = live.filter(each => each.region === request.homeRegion)
  const circle = near.length > 0 ? near : live
  return circle[computeHash(request.callerKey) % Math.max(1, circle.length)]
}

interface Recorder {
  arrive (request: SimRequest): void
  countTry (): void
  answer (request: SimRequest, region: string): void
  refuse (request: SimRequest, reason: string): void
  sample (): void
  finish (): Measured
}

function createRecorder (world: SimWorld, lengthMs: number): Recorder {
  const seconds = Math.ceil(lengthMs / 1000)
  const histograms = new Map<RequestClass, ReturnType<typeof build>>()
  const measured: Measured = {
    requests: 0,
    answered: 0,
    refused: 0,
    refusedWhileFree: 0,
    reasons: {},
    lastShiftCapMs: 0,
    overloadSeconds: 0,
    latency: {},
    usedShare: 0,
    fullestRegion: 0,
    movedRequests: 0,
    tries: 0,
    answeredShare: [],
    movedShare: []
  }
  const arrived = new Array<number>(seconds).fill(0)
  const answered = new Array<number>(seconds).fill(0)
  const moved = new Array<number>(seconds).fill(0)
  const busySum = new Map<string, number[]>()
  let usedMs = 0
  let slotMs = 0
  const getSecond = (request: SimRequest): number => Math.min(seconds - 1, Math.floor(request.sentAtMs / 1000))

  return {
    arrive (request) {
      measured.requests++
      arrived[getSecond(request)]!++
    },
    countTry () {
      measured.tries++
    },
    answer (request, region) {
      measured.answered++
      answered[getSecond(request)]!++
      if (region !== request.homeRegion) {
        measured.movedRequests++
        moved[getSecond(request)]!++
      }
      const histogram = histograms.get(request.requestClass) ?? build({ highestTrackableValue: 10_000_000, numberOfSignificantValueDigits: 3 })
      histograms.set(request.requestClass, histogram)
      histogram.recordValue(Math.round((world.clock.getNowMs() - request.sentAtMs) * 100))
      if (world.clock.getNowMs() <= lengthMs) usedMs += request.holdMs
    },
    refuse (request, reason) {
      measured.refused++
      measured.reasons[reason] = (measured.reasons[reason] ?? 0) + 1
      if (reason === RefusalReason.ShiftCap) measured.lastShiftCapMs = request.sentAtMs
      const isFree = world.targets.some(each => each.alive && !each.leaving && each.region === request.homeRegion && each.assigned < each.record.slots)
      if (isFree) measured.refusedWhileFree++
    },
    sample () {
      const second = Math.floor((world.clock.getNowMs() - 1) / 1000)
      for (const region of world.deployment.regions) {
        const targets = world.targets.filter(each => each.region === region && each.alive)
        const regionSlots = targets.reduce((sum, each) => sum + each.record.slots, 0)
        const busy = targets.reduce((sum, each) => sum + each.busy, 0)
        const sums = busySum.get(region) ?? new Array<number>(seconds).fill(0)
        busySum.set(region, sums)
        if (regionSlots > 0) sums[second]! += busy / regionSlots * sampleMs / 1000
        slotMs += regionSlots * sampleMs
      }
    },
    finish () {
      measured.usedShare = usedMs / slotMs
      measured.fullestRegion = Math.max(...[...busySum.values()].flat())
      measured.overloadSeconds = world.targets.reduce((sum, each) => sum + each.overloadedSeconds.size, 0)
      measured.answeredShare = arrived.map((count, second) => count === 0 ? 1 : answered[second]! / count)
      measured.movedShare = arrived.map((count, second) => count === 0 ? 0 : moved[second]! / count)
      for (const [requestClass, histogram] of histograms) {
        const get = (percentile: number): number => histogram.getValueAtPercentile(percentile) / 100
        measured.latency[requestClass] = { p50: get(50), p99: get(99), p999: get(99.9) }
      }
      return measured
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
  const world = createWorld(deployment, seed)
  const draw = createRequestSource(createRandom(seed + 1))
  const getArrivalRandom = createRandom(seed + 2)
  const slots = world.targets.flatMap(target => Array.from({ length: target.record.slots }, () => ({ target, freeAtMs: 0 })))
  const histograms = new Map<RequestClass, ReturnType<typeof build>>()
  let nowMs = 0
  for (;;) {
    nowMs += -Math.log(1 - getArrivalRandom()) * meanHoldMs / slots.length / scenario.getLoad(nowMs)
    if (nowMs >= scenario.lengthMs) break
    const request = draw(nowMs)
    request.homeRegion = rankByRendezvous(request.callerKey, world.document.regionWeights)[0]!
    const entry = chooseEntry(world, request)!
    const atEntryMs = nowMs + deployment.clientLatencyMs
    let best = slots[0]!
    let bestEndMs = Infinity
    for (const slot of slots) {
      const latencyMs = computeLatencyMs(world, entry, slot.target)
      const endMs = Math.max(slot.freeAtMs, atEntryMs + latencyMs) + request.holdMs + latencyMs
      if (endMs < bestEndMs) {
        best = slot
        bestEndMs = endMs
      }
    }
    best.freeAtMs = bestEndMs - computeLatencyMs(world, entry, best.target)
    const histogram = histograms.get(request.requestClass) ?? build({ highestTrackableValue: 10_000_000, numberOfSignificantValueDigits: 3 })
    histograms.set(request.requestClass, histogram)
    histogram.recordValue(Math.round((bestEndMs + deployment.clientLatencyMs - request.sentAtMs) * 100))
  }
  return Object.fromEntries([...histograms].map(([requestClass, histogram]) => {
    const get = (percentile: number): number => histogram.getValueAtPercentile(percentile) / 100
    return [requestClass, { p50: get(50), p99: get(99), p999: get(99.9) }]
  }))
}
