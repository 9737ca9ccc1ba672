/**
 * How long requests of each class hold a slot, measured.
 *
 * @module
 */
import { RequestClass } from './outcomes.ts'

/** Measured times by class. */
export interface HoldTimes {
  /** Takes a measurement over, in milliseconds. */
  record (requestClass: RequestClass, holdMs: number): void
  /** Returns the mean of a class, in milliseconds; a guess until the first measurement. */
  getHoldMs (requestClass: RequestClass): number
}

/** Shortest time that counts, in milliseconds. */
const minHoldMs = 0.1
const smoothing = 0.05
/** Measurements that the guess counts for, so that one slow first request doesn't look like an overload. */
const guessWeight = 5
/** Measurements after which the mean is only smoothed. */
const warmMeasurements = 1 / smoothing

const initialHoldMs: Record<RequestClass, number> = {
  [RequestClass.AtMostOnce]: 50, [RequestClass.LookUp]: 25, [RequestClass.Upload]: 500
}

/**
 * Creates the measured times of one service.
 *
 * @returns The times
 */
export function createHoldTimes (): HoldTimes {
  const means = { ...initialHoldMs }
  const counts: Partial<Record<RequestClass, number>> = {}
  return {
    record (requestClass, holdMs) {
      const count = Math.min(warmMeasurements, (counts[requestClass] ?? guessWeight) + 1)
      counts[requestClass] = count
      means[requestClass] += (Math.max(minHoldMs, holdMs) - means[requestClass]) / count
    },
    getHoldMs: requestClass => means[requestClass]
  }
}
