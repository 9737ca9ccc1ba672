/**
 * Stops an instance gracefully, so that requests in flight can end.
 *
 * @module
 */
import type { OpenListener } from './open_listener.ts'

/** Time added to the lifetime of look-up responses before the listeners are drained, in milliseconds. */
const lookUpMarginMs = 1_000
/** Time for peers to learn of the handoff before the peer listener is drained, in milliseconds. */
const peerPropagationMs = 1_000
const pollMs = 20
/** Maximum time for sending the last responses, in milliseconds. */
const flushMs = 100

/** Options of {@linkcode drainInstance}. */
export interface DrainInstanceOptions {
  /** Announces to the platform and peers that the instance is leaving. */
  announce: () => Promise<void>
  /** Time to live of a look-up response, in milliseconds. Until a response expires, callers may use it to connect. */
  lookUpTtlMs: number
  /** Gives up the ownership of all targets. Peers may still forward requests for them until they learn of it. */
  release: () => Promise<void>
  /** Listeners for callers and operators. */
  clientListeners: OpenListener[]
  /** Listener for peers, which stays open until the ownership of all targets has been given up. */
  peerListener: OpenListener
  /** Counts the requests that hold a slot of a target, including those whose caller has disconnected. */
  countInFlight: () => number
  /** Answers the requests whose responses have not begun. */
  endRequests: () => Promise<void>
  /** Longest time to wait for requests in flight, in milliseconds. */
  limitMs: number
}

/**
 * Announces that an instance is leaving, keeps serving until look-up responses have expired, drains the listeners, and answers
 * the requests that have not ended by then.
 *
 * @param options Listeners, callbacks and times
 * @returns The number of requests still in flight when the time limit was reached
 */
export async function drainInstance (options: DrainInstanceOptions): Promise<number> {
  await options.announce()
  await waitMs(options.lookUpTtlMs + lookUpMarginMs)
  await Promise.race([drainListeners(options), waitMs(options.limitMs)])
  const cutOff = Math.max(countOpen(options), options.countInFlight())
  if (cutOff > 0) {
    await options.endRequests()
    const flushedByMs = performance.now() + flushMs
    while (countOpen(options) > 0 && performance.now() < flushedByMs) await waitMs(pollMs)
  }
  return cutOff
}

function countOpen ({ clientListeners, peerListener }: DrainInstanceOptions): number {
  return [...clientListeners, peerListener].reduce((sum, listener) => sum + listener.countOpen(), 0)
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
