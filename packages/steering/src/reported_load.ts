/**
 * Load that a target reports. Reports may lag or be wrong, so they can only lower the number of requests sent to the
 * target, and they count less with age.
 *
 * @module
 */

/** Last load report of a target, with the trust in it. */
export interface ReportedLoad {
  /** Slots in use by other instances, according to the report. */
  othersBusy: number
  /** Monotonic time of the report, in milliseconds. */
  atMs: number
  /** Weight of the report, from 1 where nothing contradicts it down to 0. */
  trust: number
}

/** Value for a target that has reported nothing. */
export const noReport: ReportedLoad = { othersBusy: 0, atMs: -Infinity, trust: 1 }

/** Age from which a report is ignored, in milliseconds. */
export const loadReportLifetimeMs = 3_000
/** Factor on the trust for each response of a target that has reported slots in use by other instances. */
const trustFactorPerResponse = 0.8
const trustGainPerRefusal = 0.5
const roundingOffset = 0.5

/**
 * Replaces the report of a target with a new one and keeps the trust.
 *
 * @param known The previous report
 * @param report Slots in use according to the target, including this instance's, and slots held by this instance at that time
 * @param nowMs Monotonic time, in milliseconds
 * @returns The new report
 */
export function updateReportedLoad (known: ReportedLoad, report: { busySlots: number, ownBusy: number }, nowMs: number): ReportedLoad {
  return { othersBusy: Math.max(0, report.busySlots - report.ownBusy), atMs: nowMs, trust: known.trust }
}

/**
 * Records that a target refused a request because it had no free slot, so another instance must hold one.
 *
 * @param known The last report
 * @param nowMs Monotonic time, in milliseconds
 * @returns The updated report
 */
export function recordTargetRefusal (known: ReportedLoad, nowMs: number): ReportedLoad {
  const othersBusy = computeOthersBusy(known, nowMs) + 1
  return { othersBusy, atMs: nowMs, trust: Math.min(1, known.trust + trustGainPerRefusal) }
}

/**
 * Records that a target responded to a request: it had a free slot, so its report of slots in use by other instances loses
 * trust.
 *
 * @param known The last report
 * @returns The updated report
 */
export function recordTargetResponse (known: ReportedLoad): ReportedLoad {
  return known.othersBusy > 0 ? { ...known, trust: known.trust * trustFactorPerResponse } : known
}

/**
 * Computes the number of slots that other instances are assumed to hold.
 *
 * @param known The last report
 * @param nowMs Monotonic time, in milliseconds
 * @returns Whole slots
 */
export function computeOthersBusy (known: ReportedLoad, nowMs: number): number {
  const freshness = Math.max(0, 1 - (nowMs - known.atMs) / loadReportLifetimeMs)
  return Math.floor(known.othersBusy * freshness * known.trust + roundingOffset)
}
