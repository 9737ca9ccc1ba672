/**
 * Admission queue for the target slots that an instance may use.
 *
 * The queue is bounded. It dispatches by priority and request class, round robin among the callers of each, and
 * refuses a request on arrival if its deadline leaves too little time to wait for a slot and run.
 *
 * @module
 */
import type { Result } from 'neverthrow'
import type { FairItem, FairQueue } from './fair_queue.ts'
import type { Refusal } from './refusal.ts'
import { err, ok } from 'neverthrow'
import { createFairQueue } from './fair_queue.ts'
import { RefusalReason, RequestClass } from './outcomes.ts'
import { createNotRunRefusal } from './refusal.ts'
import { createRetryPacer } from './retry_after.ts'

/** A request that needs a slot. */
export interface AdmissionItem extends FairItem {
  /** Class of the request. */
  requestClass: RequestClass
  /** Priority, 0 the highest; among requests of equal priority the class decides. */
  priority: number
  /** Monotonic time of the deadline by which the request must have ended, in milliseconds. */
  deadlineAtMs: number
}

/** Time and capacity that the queue bases a decision on. */
export interface AdmissionState {
  /** Current monotonic time, in milliseconds. */
  nowMs: number
  /** Number of slots that this instance may use, free and busy. */
  slots: number
  /** Number of those slots that are free. */
  freeSlots: number
  /** Returns the mean time for which a request of a class occupies a slot, in milliseconds. */
  getHoldMs: (requestClass: RequestClass) => number
}

/** A request that the queue dropped after it had admitted it. */
export interface DroppedItem {
  /** The dropped request. */
  item: AdmissionItem
  /** Refusal to send to the caller. */
  refusal: Refusal
}

/** A bounded queue of requests that wait for a slot, created by {@linkcode createAdmissionQueue}. */
export interface AdmissionQueue {
  /**
   * Admits a request, or refuses it if no slot will be free in time or the queue is full.
   *
   * Returns the requests that were evicted from a full queue to make room.
   */
  admit (item: AdmissionItem, state: AdmissionState): Result<DroppedItem[], Refusal>
  /**
   * Removes and returns the next request to dispatch; `undefined` if there is none.
   *
   * Skips the classes for which `isAllowed` returns `false`, and discards requests whose deadline has passed.
   */
  take (state: AdmissionState, isAllowed?: (requestClass: RequestClass) => boolean): AdmissionItem | undefined
  /** Removes and returns the expired requests that `take` has discarded. */
  collectExpired (state: AdmissionState): DroppedItem[]
  /** Removes and returns the requests for which no slot will be free before their deadline. */
  sweep (state: AdmissionState): DroppedItem[]
  /** Removes a request; returns whether it was in the queue. */
  remove (requestId: string): boolean
  /** Returns the number of waiting requests. */
  count (): number
}

/** Options of {@linkcode createAdmissionQueue}. */
export interface CreateAdmissionQueueOptions {
  /** Returns the maximum number of waiting requests. */
  getMaxQueued: () => number
  /** Returns the share of the time until its deadline that a request may spend in the queue, 0 to 1; 0.5 by default. */
  getWaitShare?: () => number
  /** Returns a random number in [0, 1), used to jitter the retry delay of refused requests. */
  getRandom: () => number
}

/** The waiting requests of one priority and class. */
interface Lane {
  /** Position in the order of dispatch, the lowest first. */
  rank: number
  requestClass: RequestClass
  queue: FairQueue<AdmissionItem>
  /** Slot time granted to preceding lanes since the last grant to this one, in milliseconds; 0 while no request waits here. */
  bypassedMs: number
}

/** Maximum slot time granted to preceding lanes while a lane waits, as a multiple of the lane's mean hold time, so that no lane starves. */
const maxBypassRatio = 15
const deadlinePassedDetail = 'Deadline passed before a slot became free'
const defaultWaitShare = 0.5

const classRanks: Record<RequestClass, number> = {
  [RequestClass.AtMostOnce]: 0, [RequestClass.LookUp]: 1, [RequestClass.Upload]: 2
}
const classCount = Object.keys(classRanks).length

/**
 * Creates an empty admission queue.
 *
 * @param options Bounds of the queue and the random source
 * @returns The empty queue
 */
export function createAdmissionQueue (options: CreateAdmissionQueueOptions): AdmissionQueue {
  const { getMaxQueued, getWaitShare = () => defaultWaitShare, getRandom } = options
  const lanes: Lane[] = []
  const lanesByRequestId = new Map<string, Lane>()
  let expired: AdmissionItem[] = []
  const pacer = createRetryPacer(getRandom)

  function getOrCreateLane (item: AdmissionItem): Lane {
    const rank = item.priority * classCount + classRanks[item.requestClass]
    const index = lanes.findIndex(lane => lane.rank >= rank)
    const found = lanes[index]
    if (found?.rank === rank) return found
    const lane = { rank, requestClass: item.requestClass, queue: createFairQueue<AdmissionItem>(), bypassedMs: 0 }
    lanes.splice(index < 0 ? lanes.length : index, 0, lane)
    return lane
  }

  /** Computes the expected wait of the request at a position of a lane, in milliseconds; position 0 is dispatched first. */
  function computeWaitMs (lane: Lane, position: number, state: AdmissionState): number {
    let workMs = (position + 1) * state.getHoldMs(lane.requestClass)
    for (const other of lanes) {
      if (other.rank >= lane.rank) break
      workMs += other.queue.count() * state.getHoldMs(other.requestClass)
    }
    return workMs / state.slots
  }

  function isInTime (item: AdmissionItem, waitMs: number, state: AdmissionState): boolean {
    const remainingMs = item.deadlineAtMs - state.nowMs
    return waitMs <= remainingMs * getWaitShare() && waitMs + state.getHoldMs(item.requestClass) <= remainingMs
  }

  function refuseItem (item: AdmissionItem, detail: string, state: AdmissionState): Refusal {
    const { nowMs, slots } = state
    const retryAfterMs = pacer.record({ nowMs, slots, queued: lanesByRequestId.size, holdMs: state.getHoldMs(item.requestClass) })
    const reason = item.deadlineAtMs <= nowMs ? RefusalReason.DeadlinePassed : RefusalReason.Overloaded
    return createNotRunRefusal(reason, detail, retryAfterMs)
  }

  function removeItem (requestId: string): AdmissionItem | undefined {
    const lane = lanesByRequestId.get(requestId)
    lanesByRequestId.delete(requestId)
    return lane?.queue.remove(requestId)
  }

  /**
   * Finds the request to evict from a full queue in favour of a new one.
   *
   * The candidate is the last request of the caller with the most waiting requests in the last lane that is not empty.
   * If this is the lane of the new request, that caller must have more requests waiting than the new request's caller
   * would have.
   */
  function findEvictionCandidate (lane: Lane, item: AdmissionItem): AdmissionItem | undefined {
    const lastLane = lanes.findLast(each => each.queue.count() > 0)
    const candidate = lastLane?.queue.findEvictionCandidate()
    if (lastLane === undefined || candidate === undefined || lastLane.rank < lane.rank) return undefined
    if (lastLane.rank > lane.rank) return candidate
    return lastLane.queue.countForCaller(candidate.callerKey) > lane.queue.countForCaller(item.callerKey) + 1 ? candidate : undefined
  }

  function chooseLane (isAllowed: (requestClass: RequestClass) => boolean, state: AdmissionState): Lane | undefined {
    const ready = lanes.filter(lane => lane.queue.count() > 0 && isAllowed(lane.requestClass))
    const overdue = ready.find(lane => lane.bypassedMs >= maxBypassRatio * state.getHoldMs(lane.requestClass))
    return overdue ?? ready[0]
  }

  function recordGrant (lane: Lane, state: AdmissionState): void {
    lane.bypassedMs = 0
    const holdMs = state.getHoldMs(lane.requestClass)
    for (const other of lanes) {
      if (other.rank > lane.rank) other.bypassedMs = other.queue.count() > 0 ? other.bypassedMs + holdMs : 0
    }
  }

  function takeNextItem (state: AdmissionState, isAllowed: (requestClass: RequestClass) => boolean): AdmissionItem | undefined {
    for (;;) {
      const lane = chooseLane(isAllowed, state)
      const item = lane?.queue.take()
      if (lane === undefined || item === undefined) return undefined
      lanesByRequestId.delete(item.requestId)
      if (item.deadlineAtMs > state.nowMs) {
        recordGrant(lane, state)
        return item
      }
      expired.push(item)
    }
  }

  function admit (item: AdmissionItem, state: AdmissionState): Result<DroppedItem[], Refusal> {
    if (item.deadlineAtMs <= state.nowMs) return err(refuseItem(item, deadlinePassedDetail, state))
    const lane = getOrCreateLane(item)
    if (state.freeSlots <= lanesByRequestId.size) {
      const queued = lane.queue.countForCaller(item.callerKey)
      const callers = lane.queue.countCallers() + (queued === 0 ? 1 : 0)
      // Callers are served round robin: for each slot of this caller, each other caller may get one first, also for
      // requests that arrive later.
      const position = (queued + 1) * callers - 1
      if (state.slots <= 0 || !isInTime(item, computeWaitMs(lane, position, state), state)) {
        return err(refuseItem(item, 'Expected wait for a slot is too long for the deadline', state))
      }
    }
    const evicted: DroppedItem[] = []
    if (lanesByRequestId.size >= getMaxQueued()) {
      const evictedItem = findEvictionCandidate(lane, item)
      if (evictedItem === undefined) return err(refuseItem(item, 'Admission queue is full', state))
      removeItem(evictedItem.requestId)
      evicted.push({ item: evictedItem, refusal: refuseItem(evictedItem, 'Evicted from the full admission queue by another request', state) })
    }
    lane.queue.add(item)
    lanesByRequestId.set(item.requestId, lane)
    return ok(evicted)
  }

  return {
    admit,
    take: (state, isAllowed = () => true) => takeNextItem(state, isAllowed),
    collectExpired (state) {
      const dropped = expired.map(item => ({ item, refusal: refuseItem(item, deadlinePassedDetail, state) }))
      expired = []
      return dropped
    },
    sweep (state) {
      const dropped: DroppedItem[] = []
      for (const lane of lanes) {
        let position = 0
        for (const item of lane.queue.list()) {
          const waitMs = state.slots <= 0 ? Infinity : computeWaitMs(lane, position, state) - state.getHoldMs(lane.requestClass) / state.slots
          if (state.nowMs + waitMs < item.deadlineAtMs) {
            position++
            continue
          }
          removeItem(item.requestId)
          dropped.push({ item, refusal: refuseItem(item, 'Expected wait for a slot is too long for the deadline', state) })
        }
      }
      return dropped
    },
    remove: requestId => removeItem(requestId) !== undefined,
    count: () => lanesByRequestId.size
  }
}
