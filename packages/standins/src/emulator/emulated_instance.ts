/**
 * An instance on a virtual clock: the product's decisions, without its sockets.
 *
 * @module
 */
import type { RoutedRequest, RegisteredTarget, WaitingRequest } from '@bilberryworks/steering'
import type { VirtualClock } from '../bench_clock.ts'
import type { EmulatedTarget, TargetLoad } from './emulated_target.ts'
import type { TargetSelectionPolicy } from './policies.ts'
import { computeCapacity, createFleetRetryBudget, createRetryPacer, createTargetRegistry, createWaitingRequests, isTargetUsable, rankTargets, recordResponseTime, recordTargetEnd, recordTargetLoad, recordTargetStart, TargetSignal, waitingCheckMs } from '@bilberryworks/steering'

/** How an attempt ended. */
export enum AttemptOutcome {
  /** A target answered. */
  Answered = 'answered',
  /** It was refused and has not run. */
  Refused = 'refused',
  /** Its time was over at a target. */
  TimedOut = 'timed_out'
}

/** An attempt of a caller. */
export interface EmulatedAttempt extends RoutedRequest, WaitingRequest {
  /** Time that it holds a slot where the target is warm for its object, in milliseconds. */
  warmServiceTimeMs: number
  /** Virtual time after which its caller no longer waits, in milliseconds. */
  deadlineAtMs: number
  /** Targets that it was sent to. */
  tried: Set<string>
  /** Called once with its end, and with the time after which its caller may come back, in milliseconds, where it was refused. */
  onEnd: (end: AttemptOutcome, retryAfterMs: number) => void
}

/** A target in its region. */
export interface LocatedTarget {
  /** The target. */
  target: EmulatedTarget
  /** Region that it is in. */
  region: string
}

/** Options of {@linkcode createEmulatedInstance}. */
export interface CreateEmulatedInstanceOptions {
  /** Region that it is in. */
  region: string
  /** The targets by identifier. */
  targets: Map<string, LocatedTarget>
  /** Slots of each. */
  slots: number
  /** Instances that share them. */
  instances: number
  /** One-way time to a target of the own region, in milliseconds. */
  sameRegionLatencyMs: number
  /** One-way time to a target of another region, in milliseconds. */
  crossRegionLatencyMs: number
  /** How requests are placed. */
  policy: TargetSelectionPolicy
  /** The clock. */
  clock: VirtualClock
  /** Returns a random number in [0, 1). */
  getRandom: () => number
}

/** An instance. */
export interface EmulatedInstance {
  /** Takes an attempt. */
  submit (attempt: EmulatedAttempt): void
}

/** Targets that an attempt may be sent to. */
const maxTargetsPerAttempt = 3
/** Repeats allowed for each request, and besides, as the platform's pages state them. */
const retryBudgetSettings = { ratio: 0.2, slack: 56, windowMs: 10_000 }
const service = 's'

/**
 * Creates an instance that knows all targets and nothing of their load.
 *
 * @param options What it sends to, and how
 * @returns The instance
 */
export function createEmulatedInstance (options: CreateEmulatedInstanceOptions): EmulatedInstance {
  const { clock, policy, getRandom } = options
  const registry = createTargetRegistry()
  const waiting = createWaitingRequests<EmulatedAttempt>()
  const retryBudget = createFleetRetryBudget({ ...retryBudgetSettings, getInstances: () => options.instances })
  const pacer = createRetryPacer(getRandom)
  const rankedTargetsByObject = new Map<string, RegisteredTarget[]>()
  let isCheckScheduled = false
  for (const [index, [id, { region }]] of [...options.targets].entries()) {
    registry.register({ id, service, address: { host: '10.0.0.1', port: index + 1 }, failureDomain: 'a', slots: options.slots, leaving: false, coldLeftMs: 0, startedAtMs: 1 }, { region, nowMs: 0 })
  }

  function getRankedTargets (objectKey: string): RegisteredTarget[] {
    const ranked = rankedTargetsByObject.get(objectKey) ?? rankTargets(objectKey, registry.list(service))
    rankedTargetsByObject.set(objectKey, ranked)
    return ranked
  }

  function computeRetryAfterMs (): number {
    const nowMs = clock.getNowMs()
    return pacer.record({ nowMs, queued: waiting.count(), ...computeCapacity(registry.list(service), { instances: options.instances, nowMs }) })
  }

  function refuse (attempt: EmulatedAttempt): void {
    attempt.onEnd(AttemptOutcome.Refused, computeRetryAfterMs())
  }

  function dispatchWaiting (): void {
    const nowMs = clock.getNowMs()
    const placed = waiting.takePlaced(attempt => {
      const entry = policy.choose(attempt, { ranked: getRankedTargets(attempt.objectKey!), isUsable: each => isTargetUsable(each, nowMs), region: options.region, nowMs }, getRandom)
      if (entry !== undefined) recordTargetStart(entry, nowMs)
      return entry
    })
    for (const { request, placed: entry } of placed) sendToTarget(request, entry)
    for (const attempt of waiting.takeExpired(nowMs)) refuse(attempt)
    if (waiting.count() === 0 || isCheckScheduled) return
    isCheckScheduled = true
    clock.schedule(waitingCheckMs, () => {
      isCheckScheduled = false
      dispatchWaiting()
    })
  }

  function sendToTarget (attempt: EmulatedAttempt, entry: RegisteredTarget): void {
    const { id } = entry.target
    const oneWayMs = entry.region === options.region ? options.sameRegionLatencyMs : options.crossRegionLatencyMs
    const sentAtMs = clock.getNowMs()
    let hasEnded = false
    attempt.tried.add(id)
    const finishSend = (signal: TargetSignal, load: TargetLoad | undefined): boolean => {
      if (hasEnded) return false
      hasEnded = true
      const nowMs = clock.getNowMs()
      if (load !== undefined) recordTargetLoad(entry, load, nowMs)
      if (signal === TargetSignal.Answered) recordResponseTime(entry, nowMs - sentAtMs)
      recordTargetEnd(entry, signal, { nowMs, getRandom, coldForMs: 0 })
      return true
    }
    const scheduleArrivalOfResponse = (handle: () => void): void => clock.schedule(oneWayMs, handle)
    clock.schedule(attempt.deadlineAtMs - sentAtMs, () => {
      if (!finishSend(TargetSignal.Ended, undefined)) return
      attempt.onEnd(AttemptOutcome.TimedOut, 0)
      dispatchWaiting()
    })
    clock.schedule(oneWayMs, () => options.targets.get(id)!.target.call({
      objectKey: attempt.objectKey!,
      warmServiceTimeMs: attempt.warmServiceTimeMs,
      deadlineAtMs: attempt.deadlineAtMs,
      onDone: load => scheduleArrivalOfResponse(() => {
        if (finishSend(TargetSignal.Answered, load)) attempt.onEnd(AttemptOutcome.Answered, 0)
        dispatchWaiting()
      }),
      onRefused: load => scheduleArrivalOfResponse(() => {
        if (finishSend(TargetSignal.Refused, load)) retryAttempt(attempt)
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
      attempt.refuseAtMs = attempt.arrivedAtMs + (attempt.deadlineAtMs - attempt.arrivedAtMs) * policy.waitShare
      waiting.add(attempt)
      dispatchWaiting()
    }
  }
}
