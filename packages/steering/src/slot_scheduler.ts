/**
 * Schedules waiting requests onto the slots of the targets that an instance owns. Sets no timers: all work is done in calls.
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
import { createNotRunRefusal } from './refusal.ts'
import { updateReportedLoad } from './reported_load.ts'
import { chooseMostFree } from './slots.ts'
import { computeUsableSlots, createTargetStates, recordTargetSignal } from './target_state.ts'
import { createUploadReserve } from './upload_reserve.ts'

/** A slot of a target, held until its release. */
export interface Slot {
  /** The target. */
  target: TargetRecord
  /** Releases the slot once the target has finished the request; further calls have no effect. */
  release: () => void
  /** Records that the exchange failed; without this call, the release counts as an answered request. */
  recordFailure: (signal: TargetSignal) => void
}

/** Called once for each request with a slot or a refusal, unless the request is removed before. */
export type SettleRequest = (result: Result<Slot, Refusal>) => void

/** Load of an instance for a service. */
export interface SlotLoad {
  /** Slots that may be used now. */
  slots: number
  /** Slots in use. */
  busy: number
  /** Number of waiting requests. */
  queued: number
}

/** Limits on the queue of a service, which its document sets. */
export interface QueueLimits {
  /** Maximum number of waiting requests. */
  maxQueued: number
  /** Maximum share of its remaining time that a request may wait, 0 to 1. */
  waitShare: number
}

/** Options of {@linkcode createSlotScheduler}. */
export interface CreateSlotSchedulerOptions {
  /** Lists the usable targets of a service that this instance owns now; should return the same array while nothing changes, which saves updates. */
  listOwnedTargets: (service: string) => readonly TargetRecord[]
  /** Returns the queue limits of a service. */
  getLimits: (service: string) => QueueLimits
  /** Warm-ups of the targets. */
  warmUps: WarmUps
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
  /** Returns a random number in [0, 1). */
  getRandom: () => number
  /** Chooses the target of a request; by default the one with the most free slots. */
  chooseTarget?: ChooseTarget
}

/** Schedules requests onto the slots of an instance. */
export interface SlotScheduler {
  /** Submits a request; `settle` is called during this call, or later when a slot is released or another method is called. */
  submit (service: string, item: AdmissionItem, settle: SettleRequest): void
  /** Removes a waiting request without settling it; returns whether it was waiting. */
  remove (service: string, requestId: string): boolean
  /** Grants free slots to waiting requests and refuses those that can't be served in time. */
  advance (): void
  /** Records a target's report of its load. */
  recordLoad (target: string, busySlots: number): void
  /** Returns the load of the instance for a service. */
  getLoad (service: string): SlotLoad
  /** Returns the number of slots held at a target. */
  getBusySlots (target: string): number
  /** Returns the number of waiting requests. */
  countQueued (): number
  /** Returns the number of requests that hold a slot. */
  countInFlight (): number
}

/** Queue and targets of one service. */
interface ServiceState {
  service: string
  queue: AdmissionQueue
  /** Callbacks of the waiting requests, by request identifier. */
  waiting: Map<string, SettleRequest>
  holdTimes: ReturnType<typeof createHoldTimes>
  reserve: ReturnType<typeof createUploadReserve>
  listedTargets: readonly TargetRecord[]
  targets: TargetState[]
  roundRobinIndex: number
}

const noTargetRetryAfterMs = 1_000

const defaultMaxQueued = 256
const waitShares: Record<Objective, number> = { [Objective.Headroom]: 0.5, [Objective.Latency]: 0.1 }

/**
 * Returns the limits that a document sets on the queue of its service.
 *
 * @param document The document in force, or `undefined` for the default limits
 * @returns The limits
 */
export function getQueueLimits (document: ServiceDocument | undefined): QueueLimits {
  return {
    maxQueued: document?.limits.maxQueued ?? defaultMaxQueued,
    waitShare: waitShares[document?.objective ?? Objective.Headroom]
  }
}

/**
 * Creates a scheduler with no slots in use.
 *
 * @param options Targets, limits, clock and random source
 * @returns The scheduler
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

  /** Updates the owned targets and the number of slots that may be used at each; returns the totals. */
  function refreshTargets (entry: ServiceState, nowMs: number): AdmissionState {
    const listed = options.listOwnedTargets(entry.service)
    if (listed !== entry.listedTargets) {
      entry.targets = listed.map(targets.getState)
      entry.listedTargets = listed
    }
    let slots = 0
    let freeSlots = 0
    for (const state of entry.targets) {
      state.limit = computeUsableSlots(state, { nowMs, warmUps })
      slots += state.limit
      freeSlots += Math.max(0, state.limit - state.busy)
    }
    return { nowMs, slots, freeSlots, getHoldMs: entry.holdTimes.getHoldMs }
  }

  function settleItem (entry: ServiceState, requestId: string, result: Result<Slot, Refusal>): void {
    entry.waiting.get(requestId)?.(result)
    entry.waiting.delete(requestId)
  }

  const settleDropped = (entry: ServiceState, dropped: DroppedItem[]): void => {
    for (const { item, refusal } of dropped) settleItem(entry, item.requestId, err(refusal))
  }

  /** Grants free slots to waiting requests and refuses those that have expired. */
  function grantSlots (entry: ServiceState, state: AdmissionState): void {
    while (entry.queue.count() > 0) {
      const freeTarget = chooseTarget(entry.targets, { getRandom, roundRobinIndex: entry.roundRobinIndex })
      if (freeTarget === undefined) break
      const isAllowed = (requestClass: RequestClass): boolean => {
        return entry.reserve.isAllowed(requestClass, state) && isProbeAllowed(freeTarget.circuit, requestClass, state.nowMs)
      }
      const item = entry.queue.take(state, isAllowed)
      if (item === undefined) break
      entry.roundRobinIndex++
      state.freeSlots--
      settleItem(entry, item.requestId, ok(createSlot(entry, freeTarget, item)))
    }
    settleDropped(entry, entry.queue.collectExpired(state))
  }

  function createSlot (entry: ServiceState, state: TargetState, item: AdmissionItem): Slot {
    const startedAtMs = getNowMs()
    let isHeld = true
    let signal = TargetSignal.Answered
    state.busy++
    inFlight++
    return {
      target: state.target,
      recordFailure (failure) {
        signal = failure
      },
      release () {
        if (!isHeld) return
        isHeld = false
        state.busy--
        inFlight--
        const nowMs = getNowMs()
        if (signal === TargetSignal.Answered) entry.holdTimes.record(item.requestClass, nowMs - startedAtMs)
        recordTargetSignal(state, signal, { nowMs, warmUps, getRandom })
        grantReleasedSlots(entry)
      }
    }
  }

  function grantReleasedSlots (entry: ServiceState): void {
    if (entry.queue.count() > 0) grantSlots(entry, refreshTargets(entry, getNowMs()))
  }

  return {
    submit (service, item, settle) {
      const entry = getService(service)
      const state = refreshTargets(entry, getNowMs())
      if (entry.targets.length === 0) {
        settle(err(createNotRunRefusal(RefusalReason.NoUsableTarget, `Service "${service}" has no usable target on this instance`, noTargetRetryAfterMs)))
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
    getBusySlots: target => targets.findState(target)?.busy ?? 0,
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
    holdTimes: createHoldTimes(),
    reserve: createUploadReserve(),
    listedTargets: [],
    targets: [],
    roundRobinIndex: 0
  }
}
