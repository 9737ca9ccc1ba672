/**
 * Grants slots of the targets that this instance owns to requests, at most as many as the instance may use.
 *
 * @module
 */
import type { QueueLimits, SlotLoad, Refusal, RequestClass, ServiceRequest, Slot, TargetRecord } from '@bilberryworks/steering'
import type { Result } from 'neverthrow'
import { createNotRunRefusal, createSlotScheduler, createWarmUps, getQueueLimits, RefusalReason } from '@bilberryworks/steering'
import { err } from 'neverthrow'

const advanceIntervalMs = 20
const observeIntervalMs = 500
/** Time for which a list of owned targets is cached, in milliseconds. The lease is checked again before each dispatch. */
const listLifetimeMs = 10

/** A request with its class, priority and deadline. */
export interface SlotRequest {
  /** The request. */
  request: ServiceRequest
  /** Class of the request. */
  requestClass: RequestClass
  /** Priority of admission; 0 is admitted first. */
  priority: number
  /** Monotonic time by which the request must have ended, in milliseconds. */
  deadlineAtMs: number
}

/** Options of {@linkcode createSlotPool}. */
export interface CreateSlotPoolOptions {
  /** Lists the usable targets of a service that this instance owns, with the slots it may use; called at most 100 times per second for each service. */
  listOwnedTargets: (service: string) => readonly TargetRecord[]
  /** Lists the usable targets of all services, whichever instance owns them, to detect new targets that must warm up; none by default. */
  listUsableTargets?: () => readonly TargetRecord[]
  /** Returns the limits of a service's queue; by default, 256 requests, each waiting for at most half of its time until the deadline. */
  getLimits?: (service: string) => QueueLimits
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
  /** Returns a random number in [0, 1); `Math.random` by default. */
  getRandom?: () => number
}

/** Slots that an instance may use, and the queue of requests for them. */
export interface SlotPool extends AsyncDisposable {
  /** Resolves to a slot once one is free, or to a refusal as soon as the caller disconnects or the request can't be served in time. */
  reserveSlot (slotRequest: SlotRequest): Promise<Result<Slot, Refusal>>
  /** Records the number of busy slots that a target reported. */
  recordLoad (target: string, busySlots: number): void
  /** Returns the slots and requests of this instance for a service, to report to peers. */
  getLoad (service: string): SlotLoad
  /** Returns the number of slots held at a target. */
  getBusySlots (target: string): number
  /** Counts the queued requests. */
  countQueued (): number
  /** Counts the requests that hold a slot. */
  countInFlight (): number
}

/**
 * Creates the slot pool of an instance and starts its timers.
 *
 * @param options Targets, queue limits and clock
 * @returns The slot pool; dispose it to stop its timers
 */
export function createSlotPool (options: CreateSlotPoolOptions): SlotPool {
  const { getNowMs, getRandom = Math.random, getLimits = () => getQueueLimits(undefined) } = options
  const warmUps = createWarmUps()
  const targetLists = new Map<string, { targets: readonly TargetRecord[], atMs: number }>()
  const scheduler = createSlotScheduler({ listOwnedTargets: listCachedTargets, getLimits, warmUps, getNowMs, getRandom })
  const timers = [setInterval(() => scheduler.advance(), advanceIntervalMs), setInterval(observeTargets, observeIntervalMs)]

  function listCachedTargets (service: string): readonly TargetRecord[] {
    const nowMs = getNowMs()
    const cached = targetLists.get(service)
    if (cached !== undefined && nowMs - cached.atMs < listLifetimeMs) return cached.targets
    const targets = options.listOwnedTargets(service)
    targetLists.set(service, { targets, atMs: nowMs })
    return targets
  }

  function observeTargets (): void {
    const byService = new Map<string, TargetRecord[]>()
    for (const record of options.listUsableTargets?.() ?? []) {
      const targets = byService.get(record.service) ?? []
      targets.push(record)
      byService.set(record.service, targets)
    }
    for (const [service, usable] of byService) warmUps.observe(service, usable, getNowMs())
  }

  return {
    async reserveSlot ({ request, requestClass, priority, deadlineAtMs }) {
      const { requestId, callerKey, service, signal } = request
      return new Promise(resolve => {
        const refuseOnAbort = (): void => {
          if (scheduler.remove(service, requestId)) resolve(err(createNotRunRefusal(RefusalReason.CallerGone, 'Caller closed the connection before a slot was granted')))
        }
        if (signal.aborted) {
          resolve(err(createNotRunRefusal(RefusalReason.CallerGone, 'Caller closed the connection before a slot was granted')))
          return
        }
        signal.addEventListener('abort', refuseOnAbort, { once: true })
        scheduler.submit(service, { requestId, callerKey, requestClass, priority, deadlineAtMs }, result => {
          signal.removeEventListener('abort', refuseOnAbort)
          resolve(result)
        })
      })
    },
    recordLoad: scheduler.recordLoad,
    getLoad: scheduler.getLoad,
    getBusySlots: scheduler.getBusySlots,
    countQueued: scheduler.countQueued,
    countInFlight: scheduler.countInFlight,
    async [Symbol.asyncDispose] () {
      timers.forEach(timer => clearInterval(timer))
    }
  }
}
