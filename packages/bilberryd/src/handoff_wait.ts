/**
 * Delays requests while the ownership of targets moves to this instance.
 *
 * @module
 */
import { setTimeout } from 'node:timers/promises'

const maxWaitMs = 2_000
const pollIntervalMs = 25
const maxWaitingRequests = 256

/** Options of {@linkcode createHandoffWait}. */
export interface CreateHandoffWaitOptions {
  /** Whether the ownership rows name this instance as owner of a usable target of a service. */
  ownsTarget: (service: string) => boolean
  /** Whether this instance may already use a slot of a target of a service. */
  hasSlots: (service: string) => boolean
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Waits until this instance may use slots of a service; the monotonic deadline is in milliseconds. */
export type WaitForHandoff = (service: string, deadlineAtMs: number) => Promise<void>

/**
 * Creates the function that waits for a handoff of target ownership.
 *
 * A handoff ends as soon as the previous owners have acknowledged it. A request whose body is already being received
 * can't be forwarded to another owner, so it waits for the handoff: for 2 seconds at most, and together with at most
 * 255 other requests.
 *
 * @param options The ownership state and the clock
 * @returns The wait function, which returns at once when no handoff is in progress or 256 requests already wait
 */
export function createHandoffWait (options: CreateHandoffWaitOptions): WaitForHandoff {
  const { getNowMs } = options
  let waitingRequests = 0
  return async (service, deadlineAtMs) => {
    if (options.hasSlots(service) || waitingRequests >= maxWaitingRequests) return
    const endMs = Math.min(deadlineAtMs, getNowMs() + maxWaitMs)
    waitingRequests++
    while (getNowMs() < endMs && !options.hasSlots(service) && options.ownsTarget(service)) await setTimeout(pollIntervalMs)
    waitingRequests--
  }
}
