/**
 * Grants slots of the targets that this instance feeds, never more than they have.
 *
 * @module
 */
import type { AdmissionItem, AdmissionQueue, Refusal, RequestClass, ServiceRequest, TargetRecord } from '@bilberryworks/steering'
import type { Result } from 'neverthrow'
import { chooseTarget, createAdmissionQueue, createNotRun, createSlotLedger, RefusalReason } from '@bilberryworks/steering'
import { err, ok } from 'neverthrow'

const initialHoldMs = 50
const holdSmoothing = 0.1
const retryAfterMs = 1_000
const expireIntervalMs = 20
const defaultMaxQueued = 256

/** A request with what was decided about it. */
export interface FeedRequest {
  /** The request. */
  request: ServiceRequest
  /** Its class. */
  requestClass: RequestClass
  /** Order of admission, 0 first. */
  priority: number
  /** Monotonic time by which it must have ended, in milliseconds. */
  deadlineAtMs: number
}

/** A slot of a target, held until it is released. */
export interface Slot {
  /** The target. */
  target: TargetRecord
  /** Gives the slot back, once the target is known to be done; later calls do nothing. */
  release: () => void
}

/** Options of {@linkcode createFeed}. */
export interface CreateFeedOptions {
  /** Lists the usable targets of a service that this instance feeds now. */
  listFedTargets: (service: string) => TargetRecord[]
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** The slots that an instance feeds and the requests that wait for them. */
export interface Feed extends AsyncDisposable {
  /** Waits for a slot, or refuses at once what can't be served in time. */
  reserveSlot (feedRequest: FeedRequest): Promise<Result<Slot, Refusal>>
  /** Returns the slots held at a target. */
  getBusy (target: string): number
  /** Counts the requests that wait. */
  countQueued (): number
  /** Counts the requests that hold a slot. */
  countInFlight (): number
}

/** The queue of one service with the requests that wait in it. */
interface ServiceQueue {
  queue: AdmissionQueue
  waiting: Map<string, (granted: Result<Slot, Refusal>) => void>
  meanHoldMs: number
}

/**
 * Creates the feed of an instance.
 *
 * @param options The targets and the clock
 * @returns The feed; dispose it to stop its timer
 */
export function createFeed (options: CreateFeedOptions): Feed {
  const ledger = createSlotLedger()
  const services = new Map<string, ServiceQueue>()
  let inFlight = 0
  const timer = setInterval(() => services.forEach((_, service) => drainQueue(service)), expireIntervalMs)

  function getQueue (service: string): ServiceQueue {
    const known = services.get(service)
    if (known !== undefined) return known
    const created = { queue: createAdmissionQueue(defaultMaxQueued), waiting: new Map(), meanHoldMs: initialHoldMs }
    services.set(service, created)
    return created
  }

  function drainQueue (service: string): void {
    const entry = getQueue(service)
    for (const item of entry.queue.expire(options.getNowMs())) {
      settleItem(entry, item, err(createNotRun(RefusalReason.DeadlinePassed, 'Deadline passed before a slot was free', retryAfterMs)))
    }
    while (entry.queue.count() > 0) {
      const target = chooseTarget(options.listFedTargets(service), ledger)
      const item = target === undefined ? undefined : entry.queue.take(options.getNowMs())
      if (target === undefined || item === undefined) return
      settleItem(entry, item, ok(createSlot(service, target)))
    }
  }

  function createSlot (service: string, target: TargetRecord): Slot {
    const startedMs = options.getNowMs()
    let held = true
    ledger.reserve(target.target)
    inFlight++
    return {
      target,
      release () {
        if (!held) return
        held = false
        const entry = getQueue(service)
        entry.meanHoldMs += holdSmoothing * (options.getNowMs() - startedMs - entry.meanHoldMs)
        ledger.release(target.target)
        inFlight--
        drainQueue(service)
      }
    }
  }

  function settleItem (entry: ServiceQueue, item: AdmissionItem, granted: Result<Slot, Refusal>): void {
    entry.waiting.get(item.requestId)?.(granted)
    entry.waiting.delete(item.requestId)
  }

  return {
    async reserveSlot ({ request, priority, deadlineAtMs }) {
      const entry = getQueue(request.service)
      const usable = options.listFedTargets(request.service)
      if (usable.length === 0) return err(createNotRun(RefusalReason.NoUsableTarget, `Service "${request.service}" has no usable target here`, retryAfterMs))
      const slots = usable.reduce((sum, target) => sum + target.slots, 0)
      const item = { requestId: request.requestId, priority, deadlineAtMs }
      const admitted = entry.queue.admit(item, { nowMs: options.getNowMs(), slots, meanHoldMs: entry.meanHoldMs })
      if (admitted.isErr()) return err(admitted.error)
      return new Promise(resolve => {
        entry.waiting.set(request.requestId, resolve)
        request.signal.addEventListener('abort', () => {
          if (!entry.queue.remove(request.requestId)) return
          settleItem(entry, item, err(createNotRun(RefusalReason.CallerGone, 'Caller closed the connection')))
        }, { once: true })
        drainQueue(request.service)
      })
    },
    getBusy: ledger.getBusy,
    countQueued: () => [...services.values()].reduce((sum, entry) => sum + entry.queue.count(), 0),
    countInFlight: () => inFlight,
    async [Symbol.asyncDispose] () {
      clearInterval(timer)
    }
  }
}
