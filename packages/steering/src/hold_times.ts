/**
 * Measures how long requests of each class occupy a slot of a target.
 *
 * @module
 */
import { RequestClass } from './outcomes.ts'

/** Mean times for which requests occupy a slot, by class. */
export interface HoldTimes {
  /** Records how long a request occupied a slot, in milliseconds. */
  record (requestClass: RequestClass, holdMs: number): void
  /** Returns the mean time of a class, in milliseconds; an initial estimate until the first measurement. */
  getHoldMs (requestClass: RequestClass): number
}

/** Lower limit of a measurement, in milliseconds. */
const minHoldMs = 0.1
const smoothingFactor = 0.05
/** Weight of the initial estimate, in measurements, so that a slow first request does not appear as an overload. */
const initialWeight = 5
/** Number of measurements, the initial weight included, after which the arithmetic mean becomes an exponential moving average. */
const maxCountedMeasurements = 1 / smoothingFactor

const initialHoldMs: Record<RequestClass, number> = {
  [RequestClass.AtMostOnce]: 50, [RequestClass.LookUp]: 25, [RequestClass.Upload]: 500
}

/**
 * Creates the hold times of one service, with the initial estimates.
 *
 * @returns The hold times
 */
export function createHoldTimes (): HoldTimes {
  const means = { ...initialHoldMs }
  const counts: Partial<Record<RequestClass, number>> = {}
  return {
    record (requestClass, holdMs) {
      const count = Math.min(maxCountedMeasurements, (counts[requestClass] ?? initialWeight) + 1)
      counts[requestClass] = count
      means[requestClass] += (Math.max(minHoldMs, holdMs) - means[requestClass]) / count
    },
    getHoldMs: requestClass => means[requestClass]
  }
}
