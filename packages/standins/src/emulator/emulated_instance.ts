/**
 * A simulated entry instance on a virtual clock. It makes the decisions of the real instance, such as target selection, queueing and retries, without its sockets.
 *
 * @module
 */
import type { RoutedRequest, RegisteredTarget, SelectTargetOptions, WaitingRequest } from '@bilberryworks/steering'
import type { VirtualClock } from '../bench_clock.ts'
import type { EmulatedTarget, TargetLoad } from './emulated_target.ts'
import type { TargetSelectionPolicy } from './policies.ts'
import { computeCapacity, createFleetRetryBudget, createRetryPacer, createTargetRegistry, createTargetSpeeds, createWaitingRequests, isServedInRegion, isTargetUsable, rankByRegion, rankTargets, recordResponseTime, recordTargetResult, recordTargetLoad, recordTargetDispatch, TargetSignal, waitingCheckIntervalMs } from '@bilberryworks/steering'

/** Outcome of an attempt. */
export enum AttemptOutcome {
  /** A target answered. */
  Answered = 'answered',
  /** The attempt was refused; no target ran it. */
  Refused = 'refused',
  /** The deadline passed after the attempt had been sent to a target. */
  TimedOut = 'timed_out'
}

/** One attempt of a caller to have a request served. */
export interface EmulatedAttempt extends RoutedRequest, WaitingRequest {
  /** Name of the kind of request. */
  kind: string
  /** Mean service time at a target that has cached the object, in milliseconds. */
  warmServiceTimeMs: number
  /** Virtual time at which the caller gives up, in milliseconds. */
  deadlineAtMs: number
  /** Identifiers of the targets that the attempt has been sent to. */
  tried: Set<string>
  /** Called once with the outcome. After a refusal `retryAfterMs` is the time after which the caller may retry, in milliseconds; otherwise it is 0. */
  onEnd: (outcome: AttemptOutcome, retryAfterMs: number) => void
}

/** A simulated target with its region. */
export interface LocatedTarget {
  /** The target. */
  target: EmulatedTarget
  /** Region of the target. */
  region: string
}

/** Options of {@linkcode createEmulatedInstance}. */
export interface CreateEmulatedInstanceOptions {
  /** Region of the instance. */
  region: string
  /** Targets of all regions by identifier. */
  targets: Map<string, LocatedTarget>
  /** Number of slots of each target. */
  slots: number
  /** Number of instances that share the targets. */
  instances: number
  /** One-way latency to a target in the region of the instance, in milliseconds. */
  sameRegionLatencyMs: number
  /** One-way latency to a target in another region, in milliseconds. */
  crossRegionLatencyMs: number
  /** Policy that selects the targets. */
  policy: TargetSelectionPolicy
  /** Returns the share of the objects of callers in the region that targets in the region serve. */
  getRegionShare: () => number | undefined
  /** Virtual clock of the simulation. */
  clock: VirtualClock
  /** Returns a random number in [0, 1). */
  getRandom: () => number
}

/** A simulated entry instance. */
export interface EmulatedInstance {
  /** Accepts an attempt, and reports its outcome through `onEnd`. */
  submit (attempt: EmulatedAttempt): void
  /** Returns the number of requests that wait or are in flight to a target. */
  countRequests (): number
  /** Returns the number of requests that were sent to targets in other regions, and to all targets. */
  countSent (): { crossRegion: number, all: number }
}

/** Maximum number of targets that an attempt is sent to. */
const maxTargetsPerAttempt = 3
/** The platform's limits on retries of all instances together: within a window, a ratio of the requests plus a constant slack. */
const retryBudgetSettings = { ratio: 0.2, slack: 56, windowMs: 10_000 }
const service = 's'

/**
 * Creates a simulated instance that has registered all targets and received no load reports yet.
 *
 * @param options Targets, latencies, policy, clock and random source
 * @returns The instance
 */
export function createEmulatedInstance (options: CreateEmulatedInstanceOptions): EmulatedInstance {
  const { clock, policy, getRandom } = options
  const registry = createTargetRegistry()
  const waiting = createWaitingRequests<EmulatedAttempt>()
  const retryBudget = createFleetRetryBudget({ ...retryBudgetSettings, getInstanceCount: () => options.instances })
  const pacer = createRetryPacer(getRandom)
  const speeds = createTargetSpeeds()
  const rankedTargetsByObject = new Map<string, RegisteredTarget[]>()
  const sent = { crossRegion: 0, all: 0 }
  let isCheckScheduled = false
  for (const [index, [id, { region }]] of [...options.targets].entries()) {
    registry.register({ id, service, address: { host: '10.0.0.1', port: index + 1 }, failureDomain: 'a', slots: options.slots, leaving: false, coldLeftMs: 0, startedAtMs: 1 }, { region, nowMs: 0 })
  }

  function getRankedTargets (objectKey: string): RegisteredTarget[] {
    const ranked = rankedTargetsByObject.get(objectKey) ?? rankTargets(objectKey, registry.list(service))
    rankedTargetsByObject.set(objectKey, ranked)
    const share = policy.prefersOwnRegion ? options.getRegionShare() : undefined
    return share === undefined ? ranked : rankByRegion(ranked, { region: options.region, isOwnFirst: isServedInRegion(objectKey, share) })
  }

  function computeRetryAfterMs (): number {
    const nowMs = clock.getNowMs()
    return pacer.record({ nowMs, queued: waiting.count(), ...computeCapacity(registry.list(service), { instances: options.instances, nowMs }) })
  }

  function refuse (attempt: EmulatedAttempt): void {
    attempt.onEnd(AttemptOutcome.Refused, computeRetryAfterMs())
  }

  function describeAvoidance (nowMs: number): Pick<SelectTargetOptions, 'isAvoided'> {
    if (policy.avoidsSlowTargets !== true) return {}
    return { isAvoided: entry => speeds.isAvoided(entry, { listTargets: () => registry.list(service), getInstanceCount: () => options.instances, nowMs }) }
  }

  function dispatchWaiting (): void {
    const nowMs = clock.getNowMs()
    const placed = waiting.takePlaced(attempt => {
      const chosenTarget = policy.choose(attempt, { ranked: getRankedTargets(attempt.objectKey!), isUsable: each => isTargetUsable(each, nowMs), ...describeAvoidance(nowMs), ...policy.balancesTargets === true ? { hasHandled: (each: RegisteredTarget) => speeds.hasHandled(each, attempt.objectKey!) } : {}, region: options.region, nowMs }, getRandom)
      if (chosenTarget !== undefined) recordTargetDispatch(chosenTarget, nowMs)
      return chosenTarget
    })
    for (const { request, placed: chosenTarget } of placed) sendToTarget(request, chosenTarget)
    for (const attempt of waiting.takeExpired(nowMs)) refuse(attempt)
    if (waiting.count() === 0 || isCheckScheduled) return
    isCheckScheduled = true
    clock.schedule(waitingCheckIntervalMs, () => {
      isCheckScheduled = false
      dispatchWaiting()
    })
  }

  function sendToTarget (attempt: EmulatedAttempt, registeredTarget: RegisteredTarget): void {
    const { id } = registeredTarget.target
    const oneWayMs = registeredTarget.region === options.region ? options.sameRegionLatencyMs : options.crossRegionLatencyMs
    const sentAtMs = clock.getNowMs()
    let hasEnded = false
    sent.all++
    if (registeredTarget.region !== options.region) sent.crossRegion++
    attempt.tried.add(id)
    const recordResult = (signal: TargetSignal, load: TargetLoad | undefined): boolean => {
      if (hasEnded) return false
      hasEnded = true
      const nowMs = clock.getNowMs()
      if (load !== undefined) recordTargetLoad(registeredTarget, load, nowMs)
      const timing = { kind: attempt.kind, objectKey: attempt.objectKey, elapsedMs: nowMs - sentAtMs }
      if (signal === TargetSignal.Answered) {
        recordResponseTime(registeredTarget, timing.elapsedMs)
        speeds.recordResponse(registeredTarget, timing)
      } else if (signal === TargetSignal.Ended) speeds.recordTimeout(registeredTarget, timing)
      recordTargetResult(registeredTarget, signal, { nowMs, getRandom, coldForMs: 0 })
      return true
    }
    const scheduleResponse = (handle: () => void): void => clock.schedule(oneWayMs, handle)
    clock.schedule(attempt.deadlineAtMs - sentAtMs, () => {
      if (!recordResult(TargetSignal.Ended, undefined)) return
      attempt.onEnd(AttemptOutcome.TimedOut, 0)
      dispatchWaiting()
    })
    clock.schedule(oneWayMs, () => options.targets.get(id)!.target.call({
      objectKey: attempt.objectKey!,
      warmServiceTimeMs: attempt.warmServiceTimeMs,
      deadlineAtMs: attempt.deadlineAtMs,
      onDone: load => scheduleResponse(() => {
        if (recordResult(TargetSignal.Answered, load)) attempt.onEnd(AttemptOutcome.Answered, 0)
        dispatchWaiting()
      }),
      onRefused: load => scheduleResponse(() => {
        if (recordResult(TargetSignal.Refused, load)) retryAttempt(attempt)
        dispatchWaiting()
      })
    }))
  }

  function retryAttempt (attempt: EmulatedAttempt): void {
    if (attempt.tried.size < maxTargetsPerAttempt && retryBudget.take(clock.getNowMs())) waiting.add(attempt)
    else refuse(attempt)
  }

  return {
    submit (attempt) {
      retryBudget.recordRequest(clock.getNowMs())
      attempt.expiresAtMs = attempt.arrivedAtMs + (attempt.deadlineAtMs - attempt.arrivedAtMs) * policy.waitShare
      waiting.add(attempt)
      dispatchWaiting()
    },
    countRequests: () => waiting.count() + registry.list(service).reduce((sum, entry) => sum + entry.inFlight, 0),
    countSent: () => ({ ...sent })
  }
}
