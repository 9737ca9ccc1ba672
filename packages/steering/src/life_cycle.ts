/**
 * What an instance still does for requests while it starts, runs and stops.
 *
 * @module
 */

/** Phase of an instance's life. */
export enum LifePhase {
  /** It accepts and serves requests. */
  Running = 'running',
  /** It has been told to stop, accepts requests that it can complete, and closes each connection after its next response. */
  Leaving = 'leaving',
  /** It accepts no more requests, and completes those that it has accepted. */
  Closing = 'closing',
  /** What it has not completed is answered as it is: as not run, or as unknown. */
  Ending = 'ending'
}

/** Options of {@linkcode createLifeCycle}. */
export interface CreateLifeCycleOptions {
  /** Time from the request to stop the process to its forced termination, in milliseconds. */
  graceMs: number
}

/** The life of an instance. */
export interface LifeCycle {
  /** Records a request to stop; returns whether it is the first one. Only the first one has an effect. */
  recordStop (nowMs: number): boolean
  /** Returns whether the instance has been told to stop. */
  isStopping (): boolean
  /** Returns the phase. */
  getPhase (nowMs: number): LifePhase
  /** Returns the time for which requests can still be completed, in milliseconds; `Infinity` unless the instance stops. */
  getTimeLeftMs (nowMs: number): number
  /** Returns whether a request that takes the given time from now on can be expected to end in time. */
  isCompletable (expectedMs: number, nowMs: number): boolean
}

/** A request body that is being received. */
export interface ArrivingBody {
  /** Number of bytes received. */
  receivedBytes: number
  /** Length of the body, in bytes; `undefined` if the request does not state it. */
  declaredBytes: number | undefined
  /** Time since its first byte could arrive, in milliseconds. */
  elapsedMs: number
}

/** Share of the grace period for which a stopping instance accepts new requests: callers switch to other instances during this time, and the last requests have the rest of the period to complete. */
const acceptShare = 0.42
/** Share of the grace period, counted from its start, after which nothing more can be completed; the rest is for the last answers. */
const completeShare = 0.97
/** Multiple of the mean time of requests that is reserved for one, since their times vary. */
const expectedTimeFactor = 1.5
/** Time from which the bytes that have arrived tell the rate of a body, in milliseconds. */
const minRateMs = 500

/**
 * Creates the life cycle of an instance that runs.
 *
 * @param options Grace period
 * @returns The life cycle
 */
export function createLifeCycle ({ graceMs }: CreateLifeCycleOptions): LifeCycle {
  let stoppedAtMs = Infinity
  const getTimeLeftMs = (nowMs: number): number => Math.max(0, stoppedAtMs + graceMs * completeShare - nowMs)

  return {
    recordStop (nowMs) {
      if (stoppedAtMs !== Infinity) return false
      stoppedAtMs = nowMs
      return true
    },
    isStopping: () => stoppedAtMs !== Infinity,
    getPhase (nowMs) {
      if (stoppedAtMs === Infinity) return LifePhase.Running
      if (getTimeLeftMs(nowMs) === 0) return LifePhase.Ending
      return nowMs < stoppedAtMs + graceMs * acceptShare ? LifePhase.Leaving : LifePhase.Closing
    },
    getTimeLeftMs,
    isCompletable: (expectedMs, nowMs) => stoppedAtMs === Infinity || expectedMs * expectedTimeFactor < getTimeLeftMs(nowMs)
  }
}

/**
 * Estimates how long the rest of a request body takes to arrive, from what has arrived.
 *
 * @param body The body
 * @returns Time in milliseconds; at most the time elapsed so far if that is less than 500 ms, and equal to it if the body's length is unknown or nothing has arrived
 */
export function computeArrivalMs ({ receivedBytes, declaredBytes, elapsedMs }: ArrivingBody): number {
  if (declaredBytes === undefined || receivedBytes === 0) return elapsedMs
  const restMs = elapsedMs * Math.max(0, declaredBytes - receivedBytes) / receivedBytes
  return elapsedMs < minRateMs ? Math.min(restMs, elapsedMs) : restMs
}
