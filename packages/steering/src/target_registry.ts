/**
 * Registry of the targets that an instance dispatches to directly, with their load, health and warm-up.
 *
 * @module
 */
import type { Circuit } from './circuit.ts'
import type { ServingTarget } from './routing.ts'
import type { TargetRate } from './target_rate.ts'
import type { RateClaim } from './target_rate_senders.ts'
import { advanceCircuit, CircuitState, closedCircuit, getCircuitState, TargetSignal } from './circuit.ts'
import { createTargetRate } from './target_rate.ts'
import { createRateClaim } from './target_rate_senders.ts'

/** A registered target, with the state that this instance tracks for it. */
export interface RegisteredTarget {
  /** Registration of the target. */
  target: ServingTarget
  /** Region of the target. */
  region: string
  /** Requests of this instance that are in transit to the target or processed by it. */
  inFlight: number
  /** Requests of other instances at the target, according to its last load report. */
  othersBusy: number
  /** Moving average of the reported requests of all instances per slot; 0 before the first report. */
  meanLoad: number
  /** Monotonic time of the last load report, in milliseconds. */
  reportedAtMs: number
  /** Circuit breaker of the target. */
  circuit: Circuit
  /** Monotonic time of the last failed exchange or connection, in milliseconds. */
  failedAtMs: number
  /** Monotonic time until which the target counts as cold, in milliseconds. */
  coldUntilMs: number
  /** Monotonic time at which its run was last seen to have ended, in milliseconds; until another run registers, whatever listens at its address is cold. */
  endedAtMs: number
  /** Monotonic time until which the target counts as cold because it may have restarted, in milliseconds. */
  doubtedUntilMs: number
  /** Monotonic time of the last request sent while the target was cold, in milliseconds. */
  lastColdRequestAtMs: number
  /** Monotonic time of the last response, in milliseconds. */
  respondedAtMs: number
  /** Monotonic time of the last request sent, in milliseconds. */
  lastRequestAtMs: number
  /** Monotonic time of the last request that was the first one to the target for some time without a response, in milliseconds; `-Infinity` if there was none. */
  contactedAtMs: number
  /** Whether the target itself has reported, by a response, that it is leaving; holds until its registration changes from leaving to not leaving, or until it restarts. */
  reportsLeaving: boolean
  /** Monotonic time until which the target has asked this instance to send nothing, in milliseconds. */
  pausedUntilMs: number
  /** Rate that the target accepts from all instances together. */
  rate: TargetRate
  /** Claim of this instance on a part of that rate. */
  rateClaim: RateClaim
  /** Monotonic time since which requests have been in flight without any response, in milliseconds; `Infinity` without requests. */
  silentSinceMs: number
  /** Moving average of the response time, in milliseconds; `undefined` before the first response. */
  meanResponseMs: number | undefined
}

/** Why an instance counts a target as cold. */
export enum ColdEvidence {
  /** Its registration states how long it stays cold. */
  Registered = 'registered',
  /** It responds again after this instance could not reach it, so it may have restarted. */
  Returned = 'returned',
  /** Its run has ended, as far as this instance saw. */
  Ended = 'ended',
  /** Its run has ended, as a peer saw. */
  EndedAtPeer = 'ended_at_peer',
  /** Its failure domain was evacuated, and is taken back. */
  TakenBack = 'taken_back',
  /** Its failure domain was out of reach of this instance and is reached again, and no other instance vouches for it. */
  Reached = 'reached',
  /** A peer does not reach its failure domain, and no instance vouches for it. */
  Doubted = 'doubted'
}

/** Registered targets by service. */
export interface TargetRegistry {
  /** Adds or updates a target; a restarted target loses its recorded state and is cold for the time that its registration states. */
  register (target: ServingTarget, options: { region: string, nowMs: number }): RegisteredTarget
  /** Removes a target. */
  remove (id: string): void
  /** Returns a target, or `undefined` if it is not registered. */
  find (id: string): RegisteredTarget | undefined
  /** Lists the targets of a service, including leaving ones. */
  list (service: string): RegisteredTarget[]
  /** Lists the services that have targets. */
  listServices (): string[]
  /** Returns a counter that rises when a target is added, replaced or removed, or changes its leaving state or failure domain. */
  getRevision (): number
  /** Returns the number of targets. */
  count (): number
  /** Returns the number of targets whose circuit is not closed. */
  countFailing (nowMs: number): number
  /** Records that a target has reported, by a response, that it is leaving; returns whether that is news. */
  recordLeaving (id: string): boolean
  /** Excludes pauses of this process from the time for which targets have been silent, since it reads no responses during a pause. To be called at least every 250 ms, and before targets are selected. */
  observeTime (nowMs: number): void
}

/** Age from which a target's load report is ignored, in milliseconds: about the time that a request takes. */
const reportLifetimeMs = 1_000
/** Number of mean response times without any response after which a target counts as silent; a request for a cold object takes about three times as long as one for a warm object. */
const silentResponseTimes = 4
/** Minimum time without a response after which a target counts as silent, in milliseconds; covers the latency between regions with one lost packet. */
export const minSilenceMs = 600
/** Maximum time without a response after which a target counts as silent, in milliseconds; follows from the time-outs of routes. */
export const maxSilenceMs = 2_500
/** Time between two observations above which the process is considered to have been paused, in milliseconds: twice the longest interval between them. */
const pauseThresholdMs = 500
/** Assumed time for which a request holds a slot if no target has responded yet, in milliseconds: the order of magnitude of the routes' latency objectives. */
const defaultHoldMs = 500
/** Longest pause that a target may ask for, in milliseconds; longer ones are mistakes. */
const maxPauseMs = 600_000
/** Maximum number of removed targets whose restrictions are kept: more than the targets of a large deployment that leave within an outage. */
const maxRemovedEntries = 1_000
/** Time for which the end of a run makes its target count as cold, in milliseconds: the time without a heartbeat after which the platform removes the registration, and as much again for a store that is away. */
const endedLifetimeMs = 10_000
/** Age of the last response above which a target may have restarted unnoticed, in milliseconds: less than machines and processes take to start again. */
const contactLifetimeMs = 2_000
/** Time after the first request to such a target within which no other follows before its response, in milliseconds: the window in which requests to cold targets are counted. */
const maxContactMs = 1_000
/** Weight of the latest load report in the moving average. */
const latestLoadWeight = 0.1
/** Weight of the latest response time in the moving average. */
const latestResponseWeight = 0.2

/**
 * Creates an empty registry.
 *
 * @returns The registry
 */
export function createTargetRegistry (): TargetRegistry {
  const byId = new Map<string, RegisteredTarget>()
  const byService = new Map<string, RegisteredTarget[]>()
  /** Removed targets, oldest first. Requests in flight may still bring restrictions, which hold if the same run registers again. */
  const removedEntries = new Map<string, RegisteredTarget>()
  let revision = 0
  let observedAtMs = -Infinity

  function removeTarget (id: string): void {
    const entry = byId.get(id)
    if (entry === undefined) return
    byId.delete(id)
    retainRemoved(entry)
    const list = byService.get(entry.target.service)!.filter(other => other !== entry)
    if (list.length > 0) byService.set(entry.target.service, list)
    else byService.delete(entry.target.service)
    revision++
  }

  function retainRemoved (entry: RegisteredTarget): void {
    removedEntries.delete(entry.target.id)
    removedEntries.set(entry.target.id, entry)
    for (const id of removedEntries.keys()) {
      if (removedEntries.size <= maxRemovedEntries) return
      removedEntries.delete(id)
    }
  }

  /** Takes the restrictions of a removed target if it is the same run of the target. */
  function takeRestrictions (target: ServingTarget, nowMs: number): Partial<RegisteredTarget> {
    const removed = removedEntries.get(target.id)
    removedEntries.delete(target.id)
    if (removed === undefined || !isSameRun(removed.target, target)) return {}
    const { reportsLeaving, pausedUntilMs, rate, lastRequestAtMs, coldUntilMs, doubtedUntilMs, lastColdRequestAtMs } = removed
    return { reportsLeaving, pausedUntilMs, rate, lastRequestAtMs, lastColdRequestAtMs, doubtedUntilMs, coldUntilMs: Math.max(coldUntilMs, nowMs + target.coldLeftMs) }
  }

  function addTarget (target: ServingTarget, options: { region: string, nowMs: number }): RegisteredTarget {
    const entry: RegisteredTarget = {
      target,
      region: options.region,
      inFlight: 0,
      othersBusy: 0,
      meanLoad: 0,
      reportedAtMs: -Infinity,
      circuit: closedCircuit,
      failedAtMs: -Infinity,
      coldUntilMs: options.nowMs + target.coldLeftMs,
      endedAtMs: -Infinity,
      doubtedUntilMs: -Infinity,
      lastColdRequestAtMs: -Infinity,
      lastRequestAtMs: -Infinity,
      contactedAtMs: -Infinity,
      respondedAtMs: -Infinity,
      rate: createTargetRate(),
      rateClaim: createRateClaim(),
      reportsLeaving: false,
      pausedUntilMs: -Infinity,
      silentSinceMs: Infinity,
      meanResponseMs: undefined,
      ...takeRestrictions(target, options.nowMs)
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
      if (!isSameRun(before, target)) {
        removeTarget(target.id)
        return addTarget(target, options)
      }
      known.target = target
      if (before.leaving && !target.leaving) known.reportsLeaving = false
      if (before.leaving !== target.leaving || before.failureDomain !== target.failureDomain) revision++
      if (target.coldLeftMs > 0) known.coldUntilMs = Math.max(known.coldUntilMs, options.nowMs + target.coldLeftMs)
      return known
    },
    remove: removeTarget,
    find: id => byId.get(id),
    list: service => byService.get(service) ?? [],
    listServices: () => [...byService.keys()],
    getRevision: () => revision,
    count: () => byId.size,
    countFailing: nowMs => [...byId.values()].filter(entry => getCircuitState(entry.circuit, nowMs) !== CircuitState.Closed).length,
    recordLeaving (id) {
      const entry = byId.get(id)
      if (entry === undefined || entry.reportsLeaving) return false
      entry.reportsLeaving = true
      revision++
      return true
    },
    observeTime (nowMs) {
      const pauseMs = nowMs - observedAtMs
      observedAtMs = nowMs
      if (pauseMs < pauseThresholdMs || pauseMs === Infinity) return
      for (const entry of byId.values()) if (entry.silentSinceMs < Infinity) entry.silentSinceMs = Math.min(nowMs, entry.silentSinceMs + pauseMs)
    }
  }
}

function isSameRun (a: ServingTarget, b: ServingTarget): boolean {
  return a.startedAtMs === b.startedAtMs && a.service === b.service && a.address.host === b.address.host && a.address.port === b.address.port
}

/**
 * Returns whether a target is leaving, by its registration or by its own report.
 *
 * @param entry The target
 * @returns Whether it must get no new requests
 */
export function isTargetLeaving (entry: RegisteredTarget): boolean {
  return entry.target.leaving || entry.reportsLeaving
}

/**
 * Returns whether a target is cold as far as this instance knows, so that it gets fewer requests.
 *
 * @param entry The target
 * @param nowMs Monotonic time, in milliseconds
 * @returns Whether it is cold
 */
export function isTargetCold (entry: RegisteredTarget, nowMs: number): boolean {
  return entry.coldUntilMs > nowMs || entry.doubtedUntilMs > nowMs || nowMs - entry.endedAtMs < endedLifetimeMs
}

/**
 * Computes the number of requests at a target: those of this instance, and an estimate of those of other instances.
 *
 * A load report counts less with age, because the requests that it counted end over time.
 *
 * @param entry The target
 * @param nowMs Monotonic time, in milliseconds
 * @returns Number of requests, which may be fractional
 */
export function computeTargetLoad (entry: RegisteredTarget, nowMs: number): number {
  const freshness = Math.max(0, 1 - (nowMs - entry.reportedAtMs) / reportLifetimeMs)
  return entry.inFlight + entry.othersBusy * freshness
}

/**
 * Records the load that a target reported along with a response.
 *
 * @param entry The target, which is modified; the answered request must still count as in flight
 * @param load Numbers of requests that the target processes and that wait there, including the answered one
 * @param nowMs Monotonic time, in milliseconds
 */
export function recordTargetLoad (entry: RegisteredTarget, load: { running: number, waiting: number }, nowMs: number): void {
  entry.othersBusy = Math.max(0, load.running + load.waiting - entry.inFlight)
  entry.meanLoad += ((load.running + load.waiting) / entry.target.slots - entry.meanLoad) * latestLoadWeight
  entry.reportedAtMs = nowMs
}

/**
 * Records that a request was dispatched to a target.
 *
 * @param entry The target, which is modified
 * @param nowMs Monotonic time, in milliseconds
 */
export function recordTargetDispatch (entry: RegisteredTarget, nowMs: number): void {
  if (entry.inFlight === 0 && nowMs - entry.respondedAtMs > contactLifetimeMs) entry.contactedAtMs = nowMs
  entry.inFlight++
  entry.lastRequestAtMs = nowMs
  if (entry.silentSinceMs === Infinity) entry.silentSinceMs = nowMs
  if (isTargetCold(entry, nowMs)) entry.lastColdRequestAtMs = nowMs
}

/**
 * Returns whether a target has a request of this instance that is the first one for some time, and may not be expected to
 * have responded yet. Where registrations don't arrive, such a target may have restarted unnoticed.
 *
 * @param entry The target
 * @param nowMs Monotonic time, in milliseconds
 * @returns Whether to wait with further requests
 */
export function isContactPending (entry: RegisteredTarget, nowMs: number): boolean {
  return entry.inFlight > 0 && entry.contactedAtMs > entry.respondedAtMs && nowMs - entry.contactedAtMs < maxContactMs
}

/**
 * Records how an exchange with a target ended.
 *
 * @param entry The target, which is modified
 * @param signal How it ended
 * @param options Monotonic time, random source returning [0, 1), and time for which a target counts as cold after it was unreachable; times in milliseconds
 */
export function recordTargetResult (entry: RegisteredTarget, signal: TargetSignal, options: { nowMs: number, getRandom: () => number, coldForMs: number }): void {
  const { nowMs } = options
  entry.inFlight = Math.max(0, entry.inFlight - 1)
  const isAlive = signal === TargetSignal.Answered || signal === TargetSignal.Refused
  const wasOpen = getCircuitState(entry.circuit, nowMs) !== CircuitState.Closed
  if (isAlive) entry.respondedAtMs = nowMs
  if (signal === TargetSignal.ConnectFailed || signal === TargetSignal.Lost) entry.failedAtMs = nowMs
  entry.circuit = advanceCircuit(entry.circuit, signal, { ...options, opensOnFirstFailure: signal === TargetSignal.ConnectFailed })
  // A target that was unreachable may have restarted at the same address, and is then cold.
  if (isAlive && (wasOpen || nowMs - entry.endedAtMs < endedLifetimeMs)) {
    recordCold(entry, options.coldForMs, nowMs)
    entry.endedAtMs = -Infinity
  }
  if (entry.inFlight === 0) entry.silentSinceMs = Infinity
  else if (isAlive) entry.silentSinceMs = nowMs
}

/**
 * Counts a target as cold for some time, unless it does already for longer.
 *
 * @param entry The target, which is modified
 * @param coldForMs The time, in milliseconds
 * @param nowMs Monotonic time, in milliseconds
 * @returns Whether it has not counted as cold before
 */
export function recordCold (entry: RegisteredTarget, coldForMs: number, nowMs: number): boolean {
  const wasCold = isTargetCold(entry, nowMs)
  entry.coldUntilMs = Math.max(entry.coldUntilMs, nowMs + coldForMs)
  return !wasCold && isTargetCold(entry, nowMs)
}

/**
 * Records that the run of a target has ended.
 *
 * @param entry The target, which is modified
 * @param endedAtMs Monotonic time of the end, in milliseconds
 * @param nowMs Monotonic time, in milliseconds
 * @returns Whether the target has not counted as cold before; an end before its last response changes nothing
 */
export function recordTargetEnd (entry: RegisteredTarget, endedAtMs: number, nowMs: number): boolean {
  if (endedAtMs <= entry.respondedAtMs) return false
  const wasCold = isTargetCold(entry, nowMs)
  entry.endedAtMs = Math.max(entry.endedAtMs, endedAtMs)
  return !wasCold && isTargetCold(entry, nowMs)
}

/**
 * Counts a target as cold for some time because it may have restarted, until the doubt is dropped.
 *
 * @param entry The target, which is modified
 * @param doubtedUntilMs Monotonic time until which it counts as cold, in milliseconds
 * @param nowMs Monotonic time, in milliseconds
 * @returns Whether it has not counted as cold before
 */
export function recordTargetDoubt (entry: RegisteredTarget, doubtedUntilMs: number, nowMs: number): boolean {
  const wasCold = isTargetCold(entry, nowMs)
  entry.doubtedUntilMs = doubtedUntilMs
  return !wasCold && isTargetCold(entry, nowMs)
}

/**
 * Drops the doubt on a target, which has not restarted.
 *
 * @param entry The target, which is modified
 */
export function dropTargetDoubt (entry: RegisteredTarget): void {
  entry.doubtedUntilMs = -Infinity
}

/**
 * Closes the circuits of targets that have failed only because this instance had no network path to them, and does not count
 * the time without responses.
 *
 * @param entries The targets, which are modified
 * @param options Monotonic times in milliseconds: when the path failed, and now
 */
export function closeCircuits (entries: Iterable<RegisteredTarget>, { sinceMs, nowMs }: { sinceMs: number, nowMs: number }): void {
  for (const entry of entries) {
    if (entry.failedAtMs >= sinceMs) entry.circuit = closedCircuit
    if (entry.silentSinceMs < Infinity) entry.silentSinceMs = nowMs
  }
}

/**
 * Lets requests probe targets at once whose circuits have opened since all instances lost their paths to them.
 *
 * @param entries The targets, which are modified
 * @param options Monotonic times in milliseconds: when the paths failed, and now
 */
export function advanceProbes (entries: Iterable<RegisteredTarget>, { sinceMs, nowMs }: { sinceMs: number, nowMs: number }): void {
  for (const entry of entries) if (entry.failedAtMs >= sinceMs) entry.circuit = { ...entry.circuit, probeAtMs: Math.min(entry.circuit.probeAtMs, nowMs) }
}

/**
 * Records that a target wants no request from this instance for some time.
 *
 * @param entry The target, which is modified; a longer pause that it asked for before stays in force
 * @param pauseMs The time, in milliseconds; limited to ten minutes
 * @param nowMs Monotonic time, in milliseconds
 */
export function recordTargetPause (entry: RegisteredTarget, pauseMs: number, nowMs: number): void {
  entry.pausedUntilMs = Math.max(entry.pausedUntilMs, nowMs + Math.min(maxPauseMs, pauseMs))
}

/**
 * Returns when the first of some targets accepts requests of this instance again.
 *
 * @param entries The targets
 * @param options Identifiers of targets that don't count, and the monotonic time in milliseconds
 * @returns Monotonic time, in milliseconds; `-Infinity` if a target accepts requests already, or if there is none
 */
export function findPauseEndMs (entries: Iterable<RegisteredTarget>, { tried, nowMs }: { tried: ReadonlySet<string>, nowMs: number }): number {
  let earliestMs = Infinity
  for (const entry of entries) {
    if (tried.has(entry.target.id)) continue
    if (entry.pausedUntilMs <= nowMs) return -Infinity
    earliestMs = Math.min(earliestMs, entry.pausedUntilMs)
  }
  return earliestMs === Infinity ? -Infinity : earliestMs
}

/**
 * Records a response time of a target.
 *
 * @param entry The target, which is modified
 * @param elapsedMs Time from the dispatch of the request to the response head, in milliseconds
 */
export function recordResponseTime (entry: RegisteredTarget, elapsedMs: number): void {
  entry.meanResponseMs = entry.meanResponseMs === undefined ? elapsedMs : entry.meanResponseMs + (elapsedMs - entry.meanResponseMs) * latestResponseWeight
}

/**
 * Returns whether a target with requests in flight has sent no response for longer than its responses take.
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
 * Estimates how long a request holds a slot of a target, from the requests of this instance.
 *
 * Response times cover only requests that have ended. When a target becomes slow, the requests that are still in flight
 * are the first to take longer, so a longer time without any response takes precedence.
 *
 * @param entry The target
 * @param nowMs Monotonic time, in milliseconds
 * @returns Time in milliseconds; `undefined` if the target has neither responded nor left a request unanswered
 */
export function computeHoldMs (entry: RegisteredTarget, nowMs: number): number | undefined {
  const silentMs = nowMs - entry.silentSinceMs
  if (entry.meanResponseMs === undefined) return silentMs > 0 ? silentMs : undefined
  return Math.max(entry.meanResponseMs, silentMs)
}

/**
 * Lists the targets that will serve a backlog: the usable ones, or if there is none, those that are silent but reachable.
 *
 * If all targets become slow at the same time, they all appear silent for a while, and will still respond.
 *
 * @param entries The targets
 * @param nowMs Monotonic time, in milliseconds
 * @returns The targets
 */
export function listServingTargets (entries: readonly RegisteredTarget[], nowMs: number): RegisteredTarget[] {
  const usable = entries.filter(entry => isTargetUsable(entry, nowMs))
  return usable.length > 0 ? usable : entries.filter(entry => entry.pausedUntilMs <= nowMs && getCircuitState(entry.circuit, nowMs) === CircuitState.Closed)
}

/**
 * Estimates the capacity of a group of targets for one instance.
 *
 * @param entries The targets
 * @param options Number of instances that share the targets, and the monotonic time, in milliseconds
 * @returns The instance's share of the slots, and the mean time that a request holds a slot, in milliseconds
 */
export function computeCapacity (entries: readonly RegisteredTarget[], options: { instances: number, nowMs: number }): { slots: number, holdMs: number } {
  const holdTimesMs = entries.flatMap(entry => computeHoldMs(entry, options.nowMs) ?? [])
  const slots = entries.reduce((sum, entry) => sum + entry.target.slots, 0) / options.instances
  return { slots, holdMs: holdTimesMs.length === 0 ? defaultHoldMs : holdTimesMs.reduce((sum, holdMs) => sum + holdMs, 0) / holdTimesMs.length }
}

/**
 * Returns whether a target appears to be unreachable: it is silent, and its circuit is not closed, as after a failed
 * connection.
 *
 * @param entry The target
 * @param nowMs Monotonic time, in milliseconds
 * @returns Whether requests that may be repeated should be sent to another target instead of waiting for this one
 */
export function isTargetUnreachable (entry: RegisteredTarget, nowMs: number): boolean {
  return getCircuitState(entry.circuit, nowMs) !== CircuitState.Closed && isTargetSilent(entry, nowMs)
}

/**
 * Returns whether the health of a target allows another request.
 *
 * @param entry The target
 * @param nowMs Monotonic time, in milliseconds
 * @returns Whether a request may be sent; a target with a half-open circuit gets one request at a time as a probe, a silent one gets none
 */
export function isTargetUsable (entry: RegisteredTarget, nowMs: number): boolean {
  if (nowMs < entry.pausedUntilMs) return false
  const state = getCircuitState(entry.circuit, nowMs)
  if (state === CircuitState.Open) return false
  if (state === CircuitState.HalfOpen) return entry.inFlight === 0
  return !isTargetSilent(entry, nowMs)
}
