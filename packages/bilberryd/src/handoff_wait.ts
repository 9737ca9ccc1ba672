/**
 * Lets requests wait while the targets that this instance owns are being handed over to it.
 *
 * @module
 */
import { setTimeout } from 'node:timers/promises'

const maxWaitMs = 2_000
const pollIntervalMs = 25
const maxWaitingRequests = 256

/** Options of {@linkcode createHandoffWait}. */
export interface CreateHandoffWaitOptions {
  /** Whether this instance owns a usable target of a service, by the feed rows. */
  ownsTarget: (service: string) => boolean
  /** Whether it may use a slot of one now. */
  hasSlots: (service: string) => boolean
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Waits until slots may be used, at most until a monotonic time, in milliseconds. */
export type WaitForHandoff = (service: string, deadlineAtMs: number) => Promise<void>

/**
 * Creates the wait of an instance.
 *
 * A hand-over ends as soon as the instances before have acknowledged it; a request whose body is on its way here
 * can't be sent to another feeder, so it waits for that, for 2 seconds at most and beside 255 others.
 *
 * @param options What this instance owns and may use
 * @returns The wait, which is over at once where nothing is being handed over
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
