/**
 * The planned stop of an instance, which cuts off no request in flight.
 *
 * @module
 */
import type { OpenListener } from './open_listener.ts'

const leavingMarginMs = 1_000
const pollMs = 20

/** Options of {@linkcode drainInstance}. */
export interface DrainInstanceOptions {
  /** Tells the platform and peers that the instance is leaving. */
  announce: () => Promise<void>
  /** Lifetime of a look-up's answer, in milliseconds. */
  lookUpTtlMs: number
  /** Hands over the targets that the instance feeds. */
  release: () => Promise<void>
  /** Listeners to drain. */
  listeners: OpenListener[]
  /** Counts the requests that hold a slot of a target, the caller being there or not. */
  countInFlight: () => number
  /** Longest time to wait for requests in flight, in milliseconds. */
  limitMs: number
}

/**
 * Announces that an instance is leaving, serves on for a time, and lets the requests in flight end.
 *
 * @param options What to drain
 * @returns The number of requests that had not ended when the limit was reached
 */
export async function drainInstance (options: DrainInstanceOptions): Promise<number> {
  await options.announce()
  await waitMs(options.lookUpTtlMs + leavingMarginMs)
  await options.release()
  const drained = Promise.all(options.listeners.map(listener => listener.drain())).then(() => waitForRuns(options))
  await Promise.race([drained, waitMs(options.limitMs)])
  const open = options.listeners.reduce((sum, listener) => sum + listener.countOpen(), 0)
  return Math.max(open, options.countInFlight())
}

async function waitForRuns (options: DrainInstanceOptions): Promise<void> {
  const deadlineMs = performance.now() + options.limitMs
  while (options.countInFlight() > 0 && performance.now() < deadlineMs) await waitMs(pollMs)
}

async function waitMs (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}
