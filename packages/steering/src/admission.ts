/**
 * Admission of requests to the slots that this instance feeds: bounded, by class, aware of deadlines, fair to callers.
 *
 * @module
 */
import type { Result } from 'neverthrow'
import type { FairItem, FairQueue } from './fairness.ts'
import type { Refusal } from './refusal.ts'
import { err, ok } from 'neverthrow'
import { createFairQueue } from './fairness.ts'
import { RefusalReason, RequestClass } from './outcomes.ts'
import { createNotRun } from './refusal.ts'
import { createRetryPacer } from './retry_after.ts'

/** A request that asks for a slot. */
export interface AdmissionItem extends FairItem {
  /** Its class. */
  requestClass: RequestClass
  /** Order of admission, 0 first; the class decides between equals. */
  priority: number
  /** Monotonic time by which the request must have ended, in milliseconds. */
  deadlineAtMs: number
}

/** What the queue decides from besides its own content. */
export interface AdmissionState {
  /** Monotonic time now, in milliseconds. */
  nowMs: number
  /** Slots that this instance may use. */
  slots: number
  /** Those of them that are free. */
  freeSlots: number
  /** Returns the mean time that a request of a class holds a slot, in milliseconds. */
  getHoldMs: (requestClass: RequestClass) => number
}

/** A request that the queue gave up on. */
export interface DroppedItem {
  /** The request. */
  item: AdmissionItem
  /** What to answer. */
  refusal: Refusal
}

/** A bounded queue of requests that wait for a slot. */
export interface AdmissionQueue {
  /** Admits a request, or refuses it at once where it can't be served in time; returns what had to give way. */
  admit (item: AdmissionItem, state: AdmissionState): Result<DroppedItem[], Refusal>
  /** Takes the request to dispatch next; `isAllowed` may hold classes back. */
  take (state: AdmissionState, isAllowed?: (requestClass: RequestClass) => boolean): AdmissionItem | undefined
  /** Returns the requests that `take` passed over since their deadline had passed. */
  collectExpired (state: AdmissionState): DroppedItem[]
  /** Removes the requests that can't be served in time any more and returns them. */
  sweep (state: AdmissionState): DroppedItem[]
  /** Removes one request; returns whether it was waiting. */
  remove (requestId: string): boolean
  /** Counts the waiting requests. */
  count (): number
}

/** Options of {@linkcode createAdmissionQueue}. */
export interface CreateAdmissionQueueOptions {
  /** Returns the most requests that may wait. */
  getMaxQueued: () => number
  /** Returns the share of its remaining time that a request may spend waiting, 0 to 1; 0.5 by default. */
  getWaitShare?: () => number
  /** Returns a random number in [0, 1). */
  getRandom: () => number
}

/** Requests of one priority and class. */
interface Lane {
  rank: number
  requestClass: RequestClass
  queue: FairQueue<AdmissionItem>
  /** Slot time granted to better lanes while this one waited, in milliseconds. */
  passedMs: number
}

/** Slot time that better lanes get for each millisecond of a worse one that waits. */
const priorityRatio = 15
const lateDetail = 'Deadline passed before a slot was free'
const defaultWaitShare = 0.5

const classOrder: Record<RequestClass, number> = {
  [RequestClass.AtMostOnce]: 0, [RequestClass.LookUp]: 1, [RequestClass.Upload]: 2
}
const classCount = Object.keys(classOrder).length

/**
 * Creates an empty queue.
 *
 * @param options Bounds and the random source
 * @returns The queue
 */
export function createAdmissionQueue (options: CreateAdmissionQueueOptions): AdmissionQueue {
  const { getMaxQueued, getWaitShare = () => defaultWaitShare, getRandom } = options
  const lanes: Lane[] = []
  const laneOf = new Map<string, Lane>()
  let expired: AdmissionItem[] = []
  const pacer = createRetryPacer(getRandom)

  function getLane (item: AdmissionItem): Lane {
    const rank = item.priority * classCount + classOrder[item.requestClass]
    const index = lanes.findIndex(lane => lane.rank >= rank)
    const found = lanes[index]
    if (found?.rank === rank) return found
    const lane = { rank, requestClass: item.requestClass, queue: createFairQueue<AdmissionItem>(), passedMs: 0 }
    lanes.splice(index < 0 ? lanes.length : index, 0, lane)
    return lane
  }

  /** Computes the wait of a request that would be the `position`-th of its lane, 0 the first. */
  function computeWaitMs (lane: Lane, position: number, state: AdmissionState): number {
    let workMs = (position + 1) * state.getHoldMs(lane.requestClass)
    for (const other of lanes) {
      if (other.rank >= lane.rank) break
      workMs += other.queue.count() * state.getHoldMs(other.requestClass)
    }
    return workMs / state.slots
  }

  function isInTime (item: AdmissionItem, waitMs: number, state: AdmissionState): boolean {
    const leftMs = item.deadlineAtMs - state.nowMs
    return waitMs <= leftMs * getWaitShare() && waitMs + state.getHoldMs(item.requestClass) <= leftMs
  }

  function refuseItem (item: AdmissionItem, detail: string, state: AdmissionState): Refusal {
    const { nowMs, slots } = state
    const retryAfterMs = pacer.record({ nowMs, slots, queued: laneOf.size, holdMs: state.getHoldMs(item.requestClass) })
    const reason = item.deadlineAtMs <= nowMs ? RefusalReason.DeadlinePassed : RefusalReason.Overloaded
    return createNotRun(reason, detail, retryAfterMs)
  }

  function removeItem (requestId: string): AdmissionItem | undefined {
    const lane = laneOf.get(requestId)
    laneOf.delete(requestId)
    return lane?.queue.remove(requestId)
  }

  /** Finds what gives way to a request in a full queue: of the worst lane, or of a caller that has more waiting. */
  function findDisplaced (lane: Lane, item: AdmissionItem): AdmissionItem | undefined {
    const worst = lanes.findLast(each => each.queue.count() > 0)
    const excess = worst?.queue.findEvictionCandidate()
    if (worst === undefined || excess === undefined || worst.rank < lane.rank) return undefined
    if (worst.rank > lane.rank) return excess
    return worst.queue.countForCaller(excess.callerKey) > lane.queue.countForCaller(item.callerKey) + 1 ? excess : undefined
  }

  function chooseLane (isAllowed: (requestClass: RequestClass) => boolean, state: AdmissionState): Lane | undefined {
    const ready = lanes.filter(lane => lane.queue.count() > 0 && isAllowed(lane.requestClass))
    const overdue = ready.find(lane => lane.passedMs >= priorityRatio * state.getHoldMs(lane.requestClass))
    return overdue ?? ready[0]
  }

  function recordGrant (lane: Lane, state: AdmissionState): void {
    lane.passedMs = 0
    const holdMs = state.getHoldMs(lane.requestClass)
    for (const other of lanes) {
      if (other.rank > lane.rank) other.passedMs = other.queue.count() > 0 ? other.passedMs + holdMs : 0
    }
  }

  function takeNext (state: AdmissionState, isAllowed: (requestClass: RequestClass) => boolean): AdmissionItem | undefined {
    for (;;) {
      const lane = chooseLane(isAllowed, state)
      const item = lane?.queue.take()
      if (lane === undefined || item === undefined) return undefined
      laneOf.delete(item.requestId)
      if (item.deadlineAtMs > state.nowMs) {
        recordGrant(lane, state)
        return item
      }
      expired.push(item)
    }
  }

  function admit (item: AdmissionItem, state: AdmissionState): Result<DroppedItem[], Refusal> {
    if (item.deadlineAtMs <= state.nowMs) return err(refuseItem(item, lateDetail, state))
    const lane = getLane(item)
    if (state.freeSlots <= laneOf.size) {
      const queued = lane.queue.countForCaller(item.callerKey)
      const callers = lane.queue.countCallers() + (queued === 0 ? 1 : 0)
      // Other callers take their turns meanwhile, those that have yet to come among them.
      const position = (queued + 1) * callers - 1
      if (state.slots <= 0 || !isInTime(item, computeWaitMs(lane, position, state), state)) {
        return err(refuseItem(item, 'No slot will be free in time', state))
      }
    }
    const displaced: DroppedItem[] = []
    if (laneOf.size >= getMaxQueued()) {
      const other = findDisplaced(lane, item)
      if (other === undefined) return err(refuseItem(item, 'Too many requests wait', state))
      removeItem(other.requestId)
      displaced.push({ item: other, refusal: refuseItem(other, 'Gave way to another request', state) })
    }
    lane.queue.add(item)
    laneOf.set(item.requestId, lane)
    return ok(displaced)
  }

  return {
    admit,
    take: (state, isAllowed = () => true) => takeNext(state, isAllowed),
    collectExpired (state) {
      const dropped = expired.map(item => ({ item, refusal: refuseItem(item, lateDetail, state) }))
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
          dropped.push({ item, refusal: refuseItem(item, 'No slot will be free in time', state) })
        }
      }
      return dropped
    },
    remove: requestId => removeItem(requestId) !== undefined,
    count: () => laneOf.size
  }
}
