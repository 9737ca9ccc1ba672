/**
 * Grants slots of the targets that this instance feeds, never more than they have.
 *
 * @module
 */
import type { QueueLimits, SlotLoad, Refusal, RequestClass, ServiceRequest, Slot, TargetRecord } from '@bilberryworks/steering'
import type { Result } from 'neverthrow'
import { createNotRun, createSlotScheduler, createWarmUps, getQueueLimits, RefusalReason } from '@bilberryworks/steering'
import { err } from 'neverthrow'

const advanceIntervalMs = 20
const observeIntervalMs = 500
/** Time for which a list of fed targets is used; the lease is checked again right before each dispatch. */
const listLifetimeMs = 10

/** A request with what was decided about it. */
export interface SlotRequest {
  /** The request. */
  request: ServiceRequest
  /** Its class. */
  requestClass: RequestClass
  /** Order of admission, 0 first. */
  priority: number
  /** Monotonic time by which it must have ended, in milliseconds. */
  deadlineAtMs: number
}

/** Options of {@linkcode createSlotPool}. */
export interface CreateSlotPoolOptions {
  /** Lists the usable targets of a service that this instance feeds now; called a hundred times a second at most. */
  listOwnedTargets: (service: string) => readonly TargetRecord[]
  /** Lists the usable targets of all services, whoever feeds them, to tell cold ones; what is fed by default. */
  listUsableTargets?: () => readonly TargetRecord[]
  /** Returns the bounds of a service's queue; 256 requests and half of their time by default. */
  getLimits?: (service: string) => QueueLimits
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
  /** Returns a random number in [0, 1); `Math.random` by default. */
  getRandom?: () => number
}

/** The slots that an instance feeds and the requests that wait for them. */
export interface SlotPool extends AsyncDisposable {
  /** Waits for a slot, or refuses at once what can't be served in time. */
  reserveSlot (slotRequest: SlotRequest): Promise<Result<Slot, Refusal>>
  /** Takes a target's report of its load over. */
  recordLoad (target: string, busySlots: number): void
  /** Returns what the instance offers for a service now, for its peers. */
  getLoad (service: string): SlotLoad
  /** Returns the slots held at a target. */
  getBusy (target: string): number
  /** Counts the requests that wait. */
  countQueued (): number
  /** Counts the requests that hold a slot. */
  countInFlight (): number
}

/**
 * Creates the feed of an instance.
 *
 * @param options The targets, bounds and the clock
 * @returns The feed; dispose it to stop its timers
 */
export function createSlotPool (options: CreateSlotPoolOptions): SlotPool {
  const { getNowMs, getRandom = Math.random, getLimits = () => getQueueLimits(undefined) } = options
  const warmUps = createWarmUps()
  const targetLists = new Map<string, { targets: readonly TargetRecord[], atMs: number }>()
  const scheduler = createSlotScheduler({ listOwnedTargets: listCachedTargets, getLimits, warmUps, getNowMs, getRandom })
  const timers = [setInterval(() => scheduler.advance(), advanceIntervalMs), setInterval(observeTargets, observeIntervalMs)]

  function listCachedTargets (service: string): readonly TargetRecord[] {
    const nowMs = getNowMs()
    const known = targetLists.get(service)
    if (known !== undefined && nowMs - known.atMs < listLifetimeMs) return known.targets
    const targets = options.listOwnedTargets(service)
    targetLists.set(service, { targets, atMs: nowMs })
    return targets
  }

  function observeTargets (): void {
    const byService = new Map<string, TargetRecord[]>()
    for (const record of options.listUsableTargets?.() ?? []) {
      const group = byService.get(record.service) ?? []
      group.push(record)
      byService.set(record.service, group)
    }
    for (const [service, usable] of byService) warmUps.observe(service, usable, getNowMs())
  }

  return {
    async reserveSlot ({ request, requestClass, priority, deadlineAtMs }) {
      const { requestId, callerKey, service, signal } = request
      return new Promise(resolve => {
        const refuseOnAbort = (): void => {
          if (scheduler.remove(service, requestId)) resolve(err(createNotRun(RefusalReason.CallerGone, 'Caller closed the connection')))
        }
        if (signal.aborted) {
          resolve(err(createNotRun(RefusalReason.CallerGone, 'Caller closed the connection')))
          return
        }
        signal.addEventListener('abort', refuseOnAbort, { once: true })
        scheduler.arrive(service, { requestId, callerKey, requestClass, priority, deadlineAtMs }, granted => {
          signal.removeEventListener('abort', refuseOnAbort)
          resolve(granted)
        })
      })
    },
    recordLoad: scheduler.recordLoad,
    getLoad: scheduler.getLoad,
    getBusy: scheduler.getBusy,
    countQueued: scheduler.countQueued,
    countInFlight: scheduler.countInFlight,
    async [Symbol.asyncDispose] () {
      timers.forEach(timer => clearInterval(timer))
    }
  }
}
