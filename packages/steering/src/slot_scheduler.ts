/**
 * The slots that an instance feeds and the requests that wait for them, driven by calls alone.
 *
 * @module
 */
import type { Result } from 'neverthrow'
import type { AdmissionItem, AdmissionQueue, AdmissionState, DroppedItem } from './admission.ts'
import type { ServiceDocument } from './document.ts'
import type { TargetRecord } from './inventory.ts'
import type { RequestClass } from './outcomes.ts'
import type { Refusal } from './refusal.ts'
import type { WarmUps } from './slow_start.ts'
import type { ChooseTarget } from './slots.ts'
import type { TargetState } from './target_state.ts'
import { err, ok } from 'neverthrow'
import { createAdmissionQueue } from './admission.ts'
import { isProbeAllowed, TargetSignal } from './circuit.ts'
import { createHoldTimes } from './hold_times.ts'
import { Objective, RefusalReason } from './outcomes.ts'
import { createNotRun } from './refusal.ts'
import { updateReportedLoad } from './reported_load.ts'
import { chooseMostFree } from './slots.ts'
import { computeUsableSlots, createTargetStates, recordTargetSignal } from './target_state.ts'
import { createUploadReserve } from './upload_reserve.ts'

/** A slot of a target, held until it is released. */
export interface Slot {
  /** The target. */
  target: TargetRecord
  /** Gives the slot back, once the target is known to be done; later calls do nothing. */
  release: () => void
  /** Records that the exchange failed; without it a released slot counts as answered. */
  recordFailure: (signal: TargetSignal) => void
}

/** Called once for each request that arrived, with a slot or a refusal. */
export type SettleRequest = (granted: Result<Slot, Refusal>) => void

/** What an instance offers for a service. */
export interface SlotLoad {
  /** Slots that may be used now. */
  slots: number
  /** Those in use. */
  busy: number
  /** Requests that wait. */
  queued: number
}

/** Bounds that the document of a service sets on its queue. */
export interface QueueLimits {
  /** Requests that may wait. */
  maxQueued: number
  /** Share of its remaining time that a request may spend waiting, 0 to 1. */
  waitShare: number
}

/** Options of {@linkcode createSlotScheduler}. */
export interface CreateSlotSchedulerOptions {
  /** Lists the usable targets of a service that this instance feeds now; the same array while nothing changes is cheapest. */
  listOwnedTargets: (service: string) => readonly TargetRecord[]
  /** Returns the bounds of a service. */
  getLimits: (service: string) => QueueLimits
  /** Which targets are cold. */
  warmUps: WarmUps
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
  /** Returns a random number in [0, 1). */
  getRandom: () => number
  /** Chooses the target; the one with the most free slots by default. */
  chooseTarget?: ChooseTarget
}

/** The slots of an instance. */
export interface SlotScheduler {
  /** Takes a request in; `settle` is called at once or later, from another call. */
  arrive (service: string, item: AdmissionItem, settle: SettleRequest): void
  /** Removes a request that waits, without settling it; returns whether it was waiting. */
  remove (service: string, requestId: string): boolean
  /** Refuses what can't be served any more and grants what can be. */
  advance (): void
  /** Takes a target's report of its load over. */
  recordLoad (target: string, busySlots: number): void
  /** Returns what the instance offers for a service. */
  getLoad (service: string): SlotLoad
  /** Returns the slots held at a target. */
  getBusy (target: string): number
  /** Counts the requests that wait. */
  countQueued (): number
  /** Counts the requests that hold a slot. */
  countInFlight (): number
}

/** The queue of one service. */
interface ServiceState {
  service: string
  queue: AdmissionQueue
  waiting: Map<string, SettleRequest>
  holds: ReturnType<typeof createHoldTimes>
  reserve: ReturnType<typeof createUploadReserve>
  listed: readonly TargetRecord[]
  targets: TargetState[]
  turn: number
}

const noTargetRetryAfterMs = 1_000

const defaultMaxQueued = 256
const waitShares: Record<Objective, number> = { [Objective.Headroom]: 0.5, [Objective.Latency]: 0.1 }

/**
 * Returns the bounds that a document sets on the queue of its service.
 *
 * @param document The document in force, where there is one
 * @returns The bounds
 */
export function getQueueLimits (document: ServiceDocument | undefined): QueueLimits {
  return {
    maxQueued: document?.limits.maxQueued ?? defaultMaxQueued,
    waitShare: waitShares[document?.objective ?? Objective.Headroom]
  }
}

/**
 * Creates the slots of an instance, none of them in use.
 *
 * @param options The targets, bounds, clock and random source
 * @returns The slots
 */
export function createSlotScheduler (options: CreateSlotSchedulerOptions): SlotScheduler {
  const { getNowMs, getRandom, warmUps, chooseTarget = chooseMostFree } = options
  const services = new Map<string, ServiceState>()
  const targets = createTargetStates()
  let inFlight = 0

  function getService (service: string): ServiceState {
    const known = services.get(service)
    if (known !== undefined) return known
    const created = createServiceState(service, options)
    services.set(service, created)
    return created
  }

  /** Updates which targets are fed and how many of their slots may be used. */
  function refreshTargets (entry: ServiceState, nowMs: number): AdmissionState {
    const listed = options.listOwnedTargets(entry.service)
    if (listed !== entry.listed) {
      entry.targets = listed.map(targets.getState)
      entry.listed = listed
    }
    let slots = 0
    let freeSlots = 0
    for (const state of entry.targets) {
      state.limit = computeUsableSlots(state, { nowMs, warmUps })
      slots += state.limit
      freeSlots += Math.max(0, state.limit - state.busy)
    }
    return { nowMs, slots, freeSlots, getHoldMs: entry.holds.getHoldMs }
  }

  function settleItem (entry: ServiceState, requestId: string, granted: Result<Slot, Refusal>): void {
    entry.waiting.get(requestId)?.(granted)
    entry.waiting.delete(requestId)
  }

  const settleDropped = (entry: ServiceState, dropped: DroppedItem[]): void => {
    for (const { item, refusal } of dropped) settleItem(entry, item.requestId, err(refusal))
  }

  /** Grants free slots to the requests that wait. */
  function grantSlots (entry: ServiceState, state: AdmissionState): void {
    while (entry.queue.count() > 0) {
      const free = chooseTarget(entry.targets, { getRandom, roundRobinIndex: entry.turn })
      if (free === undefined) break
      const isAllowed = (requestClass: RequestClass): boolean => {
        return entry.reserve.isAllowed(requestClass, state) && isProbeAllowed(free.circuit, requestClass, state.nowMs)
      }
      const item = entry.queue.take(state, isAllowed)
      if (item === undefined) break
      entry.turn++
      state.freeSlots--
      settleItem(entry, item.requestId, ok(createSlot(entry, free, item)))
    }
    settleDropped(entry, entry.queue.collectExpired(state))
  }

  function createSlot (entry: ServiceState, state: TargetState, item: AdmissionItem): Slot {
    const startedMs = getNowMs()
    let held = true
    let signal = TargetSignal.Answered
    state.busy++
    inFlight++
    return {
      target: state.target,
      recordFailure (failure) {
        signal = failure
      },
      release () {
        if (!held) return
        held = false
        state.busy--
        inFlight--
        const nowMs = getNowMs()
        if (signal === TargetSignal.Answered) entry.holds.record(item.requestClass, nowMs - startedMs)
        recordTargetSignal(state, signal, { nowMs, warmUps, getRandom })
        drainService(entry)
      }
    }
  }

  function drainService (entry: ServiceState): void {
    if (entry.queue.count() > 0) grantSlots(entry, refreshTargets(entry, getNowMs()))
  }

  return {
    arrive (service, item, settle) {
      const entry = getService(service)
      const state = refreshTargets(entry, getNowMs())
      if (entry.targets.length === 0) {
        settle(err(createNotRun(RefusalReason.NoUsableTarget, `Service "${service}" has no usable target here`, noTargetRetryAfterMs)))
        return
      }
      entry.reserve.observe(item.requestClass, state.nowMs)
      const admitted = entry.queue.admit(item, state)
      if (admitted.isErr()) {
        settle(err(admitted.error))
        return
      }
      entry.waiting.set(item.requestId, settle)
      settleDropped(entry, admitted.value)
      if (state.freeSlots > 0) grantSlots(entry, state)
    },
    remove (service, requestId) {
      const entry = services.get(service)
      entry?.waiting.delete(requestId)
      return entry?.queue.remove(requestId) ?? false
    },
    advance () {
      for (const entry of services.values()) {
        if (entry.queue.count() === 0) continue
        const state = refreshTargets(entry, getNowMs())
        grantSlots(entry, state)
        settleDropped(entry, entry.queue.sweep(state))
      }
    },
    recordLoad (target, busySlots) {
      const state = targets.findState(target)
      if (state !== undefined) state.report = updateReportedLoad(state.report, { busySlots: Math.min(busySlots, state.target.slots), ownBusy: state.busy }, getNowMs())
    },
    getLoad (service) {
      const entry = getService(service)
      const state = refreshTargets(entry, getNowMs())
      return { slots: state.slots, busy: entry.targets.reduce((sum, each) => sum + each.busy, 0), queued: entry.queue.count() }
    },
    getBusy: target => targets.findState(target)?.busy ?? 0,
    countQueued: () => [...services.values()].reduce((sum, entry) => sum + entry.queue.count(), 0),
    countInFlight: () => inFlight
  }
}

function createServiceState (service: string, options: CreateSlotSchedulerOptions): ServiceState {
  const { getLimits, getRandom } = options
  const getMaxQueued = (): number => getLimits(service).maxQueued
  const getWaitShare = (): number => getLimits(service).waitShare
  return {
    service,
    queue: createAdmissionQueue({ getMaxQueued, getWaitShare, getRandom }),
    waiting: new Map(),
    holds: createHoldTimes(),
    reserve: createUploadReserve(),
    listed: [],
    targets: [],
    turn: 0
  }
}
