/**
 * Drains an entry instance that stops: it goes on accepting requests for a while, refuses later ones, and waits for those in flight.
 *
 * @module
 */
import type { Server } from 'node:http'
import { setTimeout as wait } from 'node:timers/promises'

/** Options of {@linkcode drainRequests}. */
export interface DrainRequestsOptions {
  /** Monotonic time of the request to stop the process, in milliseconds. */
  stoppedAtMs: number
  /** Time from the request to stop the process to its forced termination, in milliseconds. */
  graceMs: number
  /** Listener for callers. */
  callers: Server
  /** Returns the number of requests of callers and other instances whose responses have not ended. */
  countOpen: () => number
  /** Called when requests are no longer accepted. */
  onClosing: () => void
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Share of the grace period for which a stopping instance accepts new requests: callers switch to other instances during this time, and the last requests have the rest of the period to complete. */
const acceptShare = 0.42
/** Share of the grace period, counted from its start, for which a stopping instance waits for requests in flight. */
const drainShare = 0.97
const drainPollIntervalMs = 20

/**
 * Drains an instance; to be called when it is requested to stop.
 *
 * @param options Grace period, listener and callbacks
 */
export async function drainRequests ({ stoppedAtMs, graceMs, callers, countOpen, onClosing, getNowMs }: DrainRequestsOptions): Promise<void> {
  const deadlineMs = stoppedAtMs + graceMs * drainShare
  await wait(Math.max(0, stoppedAtMs + graceMs * acceptShare - getNowMs()))
  onClosing()
  callers.close()
  while (getNowMs() < deadlineMs && countOpen() > 0) {
    callers.closeIdleConnections()
    await wait(drainPollIntervalMs)
  }
}
