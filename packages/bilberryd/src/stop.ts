/**
 * The planned stop of an instance, which cuts off no request in flight.
 *
 * @module
 */
import type { OpenListener } from './open_listener.ts'

const lookUpMarginMs = 1_000
const peerPropagationMs = 1_000
const pollMs = 20

/** Options of {@linkcode drainInstance}. */
export interface DrainInstanceOptions {
  /** Tells the platform and peers that the instance is leaving. */
  announce: () => Promise<void>
  /** Lifetime of a look-up's answer, in milliseconds. */
  lookUpTtlMs: number
  /** Hands over what the instance feeds; others may still send requests for it until they hear of it. */
  release: () => Promise<void>
  /** Listeners for callers and operators. */
  clientListeners: OpenListener[]
  /** Listener for peers, which is needed until all that the instance feeds is handed over. */
  peerListener: OpenListener
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
  await waitMs(options.lookUpTtlMs + lookUpMarginMs)
  await Promise.race([drainListeners(options), waitMs(options.limitMs)])
  const open = [...options.clientListeners, options.peerListener].reduce((sum, listener) => sum + listener.countOpen(), 0)
  return Math.max(open, options.countInFlight())
}

async function drainListeners (options: DrainInstanceOptions): Promise<void> {
  await Promise.all(options.clientListeners.map(listener => listener.drain()))
  await options.release()
  await waitMs(peerPropagationMs)
  await options.peerListener.drain()
  await waitForInFlight(options)
}

async function waitForInFlight (options: DrainInstanceOptions): Promise<void> {
  const deadlineMs = performance.now() + options.limitMs
  while (options.countInFlight() > 0 && performance.now() < deadlineMs) await waitMs(pollMs)
}

async function waitMs (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}
