/**
 * Admission of requests to the slots that this instance feeds: bounded, by priority, aware of deadlines.
 *
 * @module
 */
import type { Result } from 'neverthrow'
import type { Refusal } from './refusal.ts'
import { err, ok } from 'neverthrow'
import { RefusalReason } from './outcomes.ts'
import { createNotRun } from './refusal.ts'

/** A request that asks for a slot. */
export interface AdmissionItem {
  /** Identifies the request. */
  requestId: string
  /** Order of admission, 0 first. */
  priority: number
  /** Monotonic time by which the request must have been dispatched, in milliseconds. */
  deadlineAtMs: number
}

/** What the queue decides from besides its own content. */
export interface AdmissionState {
  /** Monotonic time now, in milliseconds. */
  nowMs: number
  /** Slots that this instance feeds. */
  slots: number
  /** Mean time that a request holds a slot, in milliseconds. */
  meanHoldMs: number
}

/** A bounded queue of requests that wait for a slot. */
export interface AdmissionQueue {
  /** Admits a request to the queue, or refuses it at once where it can't be served in time. */
  admit (item: AdmissionItem, state: AdmissionState): Result<void, Refusal>
  /** Takes the request to dispatch next. */
  take (nowMs: number): AdmissionItem | undefined
  /** Removes the requests whose deadline has passed and returns them. */
  expire (nowMs: number): AdmissionItem[]
  /** Removes one request; returns whether it was waiting. */
  remove (requestId: string): boolean
  /** Counts the waiting requests. */
  count (): number
}

/**
 * Creates an empty queue.
 *
 * @param maxQueued Most requests that may wait
 * @returns The queue
 */
export function createAdmissionQueue (maxQueued: number): AdmissionQueue {
  const items: AdmissionItem[] = []
  return {
    admit (item, state) {
      const ahead = items.filter(other => other.priority <= item.priority).length
      const waitMs = state.slots === 0 ? Infinity : (ahead + 1) * state.meanHoldMs / state.slots
      if (items.length >= maxQueued || state.nowMs + waitMs > item.deadlineAtMs) {
        const drainMs = state.slots === 0 ? 1_000 : (items.length + 1) * state.meanHoldMs / state.slots
        return err(createNotRun(RefusalReason.Overloaded, 'No slot will be free in time', drainMs))
      }
      const index = items.findIndex(other => other.priority > item.priority)
      items.splice(index < 0 ? items.length : index, 0, item)
      return ok(undefined)
    },
    take (nowMs) {
      const index = items.findIndex(item => item.deadlineAtMs > nowMs)
      return index < 0 ? undefined : items.splice(index, 1)[0]
    },
    expire (nowMs) {
      const expired = items.filter(item => item.deadlineAtMs <= nowMs)
      for (const item of expired) items.splice(items.indexOf(item), 1)
      return expired
    },
    remove (requestId) {
      const index = items.findIndex(item => item.requestId === requestId)
      if (index >= 0) items.splice(index, 1)
      return index >= 0
    },
    count: () => items.length
  }
}
