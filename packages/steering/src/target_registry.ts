/**
 * What an instance knows of the targets that it sends to directly: registration, load, health and warmth.
 *
 * @module
 */
import type { Circuit } from './circuit.ts'
import type { ServingTarget } from './routing.ts'
import { advanceCircuit, CircuitState, closedCircuit, getCircuitState, TargetSignal } from './circuit.ts'

/** A target with what this instance knows of it. */
export interface RegisteredTarget {
  /** Its registration. */
  target: ServingTarget
  /** Region that it is in. */
  region: string
  /** Requests of this instance that it works on or that are on their way. */
  inFlight: number
  /** Requests of other instances there, by its last report. */
  othersBusy: number
  /** Monotonic time of the last report, in milliseconds. */
  reportedAtMs: number
  /** Its circuit. */
  circuit: Circuit
  /** Monotonic time until which it counts as cold, in milliseconds. */
  coldUntilMs: number
  /** Monotonic time of the last request that was sent while it was cold, in milliseconds. */
  coldSentAtMs: number
  /** Monotonic time since which requests are there without any answer, in milliseconds; `Infinity` where none is. */
  silentSinceMs: number
  /** Mean time until its answers, in milliseconds; `undefined` before the first. */
  meanResponseMs: number | undefined
}

/** The targets by service. */
export interface TargetRegistry {
  /** Takes a registration over; a target that started anew is cold for what it says, and nothing else is known of it. */
  register (target: ServingTarget, options: { region: string, nowMs: number }): RegisteredTarget
  /** Forgets a target. */
  remove (id: string): void
  /** Finds a target. */
  find (id: string): RegisteredTarget | undefined
  /** Lists the targets of a service, leaving ones among them. */
  list (service: string): RegisteredTarget[]
  /** Counts changes of who is registered and where. */
  getRevision (): number
  /** Counts all targets. */
  count (): number
}

/** Time after which the last report of a target's load counts for nothing, in milliseconds: about the time that its requests take. */
const reportLifetimeMs = 1_000
/** Silence of a target with requests that is as long as this many of its answers take counts as the loss of it: cold work takes about three times as long as warm. */
const silentResponseTimes = 4
/** Bounds of the time after which a target with requests counts as silent, in milliseconds: the way between regions with a packet lost, and the time-outs of routes. */
export const minSilenceMs = 600
export const maxSilenceMs = 2_500
/** Time that a request holds a slot where no target has answered yet, in milliseconds: the order of the objectives of routes. */
const defaultHoldMs = 500
/** Weight of the latest answer in the mean time until a target's answers. */
const latestResponseWeight = 0.2

/**
 * Creates an empty registry.
 *
 * @returns The registry
 */
export function createTargetRegistry (): TargetRegistry {
  const byId = new Map<string, RegisteredTarget>()
  const byService = new Map<string, RegisteredTarget[]>()
  let revision = 0

  function removeTarget (id: string): void {
    const entry = byId.get(id)
    if (entry === undefined) return
    byId.delete(id)
    const list = byService.get(entry.target.service)!.filter(other => other !== entry)
    if (list.length > 0) byService.set(entry.target.service, list)
    else byService.delete(entry.target.service)
    revision++
  }

  function addTarget (target: ServingTarget, options: { region: string, nowMs: number }): RegisteredTarget {
    const entry: RegisteredTarget = {
      target,
      region: options.region,
      inFlight: 0,
      othersBusy: 0,
      reportedAtMs: -Infinity,
      circuit: closedCircuit,
      coldUntilMs: options.nowMs + target.coldLeftMs,
      coldSentAtMs: -Infinity,
      silentSinceMs: Infinity,
      meanResponseMs: undefined
    }
    byId.set(target.id, entry)
    byService.set(target.service, [...byService.get(target.service) ?? [], entry])
    revision++
    return entry
  }

  return {
    register (target, options) {
      const known = byId.get(target.id)
      if (known === undefined) return addTarget(target, options)
      const before = known.target
      const isSameRun = before.startedAtMs === target.startedAtMs && before.service === target.service &&
        before.address.host === target.address.host && before.address.port === target.address.port
      if (!isSameRun) {
        removeTarget(target.id)
        return addTarget(target, options)
      }
      known.target = target
      if (before.leaving !== target.leaving || before.failureDomain !== target.failureDomain) revision++
      if (target.coldLeftMs > 0) known.coldUntilMs = Math.max(known.coldUntilMs, options.nowMs + target.coldLeftMs)
      return known
    },
    remove: removeTarget,
    find: id => byId.get(id),
    list: service => byService.get(service) ?? [],
    getRevision: () => revision,
    count: () => byId.size
  }
}

/**
 * Computes how many requests a target has, its own instance's and what others are taken to have there.
 *
 * A report counts for less with age, since what it counted has ended meanwhile.
 *
 * @param entry The target
 * @param nowMs Monotonic time, in milliseconds
 * @returns Requests, a fraction
 */
export function computeTargetLoad (entry: RegisteredTarget, nowMs: number): number {
  const freshness = Math.max(0, 1 - (nowMs - entry.reportedAtMs) / reportLifetimeMs)
  return entry.inFlight + entry.othersBusy * freshness
}

/**
 * Records what a target said of its load beside an answer.
 *
 * @param entry The target, which is changed; the answered request still counts as in flight
 * @param load Requests that it works on and that wait there, the answered one among them
 * @param nowMs Monotonic time, in milliseconds
 */
export function recordTargetLoad (entry: RegisteredTarget, load: { running: number, waiting: number }, nowMs: number): void {
  entry.othersBusy = Math.max(0, load.running + load.waiting - entry.inFlight)
  entry.reportedAtMs = nowMs
}

/**
 * Records that a request is on its way to a target.
 *
 * @param entry The target, which is changed
 * @param nowMs Monotonic time, in milliseconds
 */
export function recordTargetStart (entry: RegisteredTarget, nowMs: number): void {
  entry.inFlight++
  if (entry.silentSinceMs === Infinity) entry.silentSinceMs = nowMs
  if (entry.coldUntilMs > nowMs) entry.coldSentAtMs = nowMs
}

/**
 * Records how an exchange with a target ended.
 *
 * @param entry The target, which is changed
 * @param signal How it ended
 * @param options The monotonic time, in milliseconds, a random source, returning [0, 1), and the time for which a target that was out of reach counts as cold, in milliseconds
 */
export function recordTargetEnd (entry: RegisteredTarget, signal: TargetSignal, options: { nowMs: number, getRandom: () => number, coldForMs: number }): void {
  const { nowMs } = options
  entry.inFlight = Math.max(0, entry.inFlight - 1)
  const isAlive = signal === TargetSignal.Answered || signal === TargetSignal.Refused
  const wasOpen = getCircuitState(entry.circuit, nowMs) !== CircuitState.Closed
  entry.circuit = advanceCircuit(entry.circuit, signal, { ...options, opensAtOnce: signal === TargetSignal.ConnectFailed })
  // It may have started again behind an address that it kept.
  if (isAlive && wasOpen) entry.coldUntilMs = Math.max(entry.coldUntilMs, nowMs + options.coldForMs)
  if (entry.inFlight === 0) entry.silentSinceMs = Infinity
  else if (isAlive) entry.silentSinceMs = nowMs
}

/**
 * Records how long a target took to answer.
 *
 * @param entry The target, which is changed
 * @param elapsedMs Time from the hand-over of the request to the head of its answer, in milliseconds
 */
export function recordResponseTime (entry: RegisteredTarget, elapsedMs: number): void {
  entry.meanResponseMs = entry.meanResponseMs === undefined ? elapsedMs : entry.meanResponseMs + (elapsedMs - entry.meanResponseMs) * latestResponseWeight
}

/**
 * Tells whether a target that has requests has answered nothing for longer than its answers take.
 *
 * @param entry The target
 * @param nowMs Monotonic time, in milliseconds
 * @returns Whether it is silent
 */
export function isTargetSilent (entry: RegisteredTarget, nowMs: number): boolean {
  const limitMs = entry.meanResponseMs === undefined ? maxSilenceMs : Math.min(maxSilenceMs, Math.max(minSilenceMs, entry.meanResponseMs * silentResponseTimes))
  return nowMs - entry.silentSinceMs >= limitMs
}

/**
 * Computes how long a request holds a slot of a target, as far as this instance can tell.
 *
 * Answers that have come tell of the past only: a target that becomes slow shows it first by what is still there.
 *
 * @param entry The target
 * @param nowMs Monotonic time, in milliseconds
 * @returns Milliseconds; `undefined` where nothing was sent there yet
 */
export function computeHoldMs (entry: RegisteredTarget, nowMs: number): number | undefined {
  const silentMs = nowMs - entry.silentSinceMs
  if (entry.meanResponseMs === undefined) return silentMs > 0 ? silentMs : undefined
  return Math.max(entry.meanResponseMs, silentMs)
}

/**
 * Computes what a group of targets can take of one instance, as far as it can tell.
 *
 * @param entries The targets
 * @param options Instances that share them, and the monotonic time, in milliseconds
 * @returns The slots that fall to the instance, and the mean time that a request holds one, in milliseconds
 */
export function computeCapacity (entries: readonly RegisteredTarget[], options: { instances: number, nowMs: number }): { slots: number, holdMs: number } {
  const holdTimesMs = entries.flatMap(entry => computeHoldMs(entry, options.nowMs) ?? [])
  const slots = entries.reduce((sum, entry) => sum + entry.target.slots, 0) / options.instances
  return { slots, holdMs: holdTimesMs.length === 0 ? defaultHoldMs : holdTimesMs.reduce((sum, holdMs) => sum + holdMs, 0) / holdTimesMs.length }
}

/**
 * Tells whether a target is lost as far as this instance can tell: silent, and out of reach for new connections too.
 *
 * @param entry The target
 * @param nowMs Monotonic time, in milliseconds
 * @returns Whether requests that may run again should go elsewhere rather than wait for it
 */
export function isTargetLost (entry: RegisteredTarget, nowMs: number): boolean {
  return getCircuitState(entry.circuit, nowMs) !== CircuitState.Closed && isTargetSilent(entry, nowMs)
}

/**
 * Tells whether a target may be sent a request as far as its health is known.
 *
 * @param entry The target
 * @param nowMs Monotonic time, in milliseconds
 * @returns Whether it may; one request at a time probes a target whose circuit was open or that is silent
 */
export function isTargetUsable (entry: RegisteredTarget, nowMs: number): boolean {
  const state = getCircuitState(entry.circuit, nowMs)
  if (state === CircuitState.Open) return false
  if (state === CircuitState.HalfOpen) return entry.inFlight === 0
  return !isTargetSilent(entry, nowMs)
}
