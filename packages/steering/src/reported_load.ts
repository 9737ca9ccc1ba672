/**
 * What a target says of its load, which may lag or mislead: it only lowers what is sent, and counts for less with age.
 *
 * @module
 */

/** The last report of a target, with how far it is believed. */
export interface ReportedLoad {
  /** Slots in use by others than this instance, by the report. */
  othersBusy: number
  /** Monotonic time of the report, in milliseconds. */
  atMs: number
  /** 1 for a report that nothing contradicts, falling to 0. */
  trust: number
}

/** What is known of a target that has said nothing. */
export const noReport: ReportedLoad = { othersBusy: 0, atMs: -Infinity, trust: 1 }

/** Age at which a report counts for nothing, in milliseconds. */
export const loadLifetimeMs = 3_000
/** Factor on the trust for each request that the target answers while it says that others use it. */
const trustPerAnswer = 0.8
const trustPerRefusal = 0.5
const slotRounding = 0.5

/**
 * Takes a report over.
 *
 * @param known What was known
 * @param report Slots in use by the report, own requests among them, and the own requests at that time
 * @param nowMs Monotonic time, in milliseconds
 * @returns What is known now
 */
export function mergeReportedLoad (known: ReportedLoad, report: { busySlots: number, ownBusy: number }, nowMs: number): ReportedLoad {
  return { othersBusy: Math.max(0, report.busySlots - report.ownBusy), atMs: nowMs, trust: known.trust }
}

/**
 * Records that the target refused a request for want of a slot: somebody else holds one.
 *
 * @param known What was known
 * @param nowMs Monotonic time, in milliseconds
 * @returns What is known now
 */
export function recordTargetRefusal (known: ReportedLoad, nowMs: number): ReportedLoad {
  const othersBusy = computeOthersBusy(known, nowMs) + 1
  return { othersBusy, atMs: nowMs, trust: Math.min(1, known.trust + trustPerRefusal) }
}

/**
 * Records that the target answered a request: one that refuses nothing has room, whatever it says.
 *
 * @param known What was known
 * @returns What is known now
 */
export function recordTargetResponse (known: ReportedLoad): ReportedLoad {
  return known.othersBusy > 0 ? { ...known, trust: known.trust * trustPerAnswer } : known
}

/**
 * Computes the slots that others are taken to hold.
 *
 * @param known What is known
 * @param nowMs Monotonic time, in milliseconds
 * @returns Whole slots
 */
export function computeOthersBusy (known: ReportedLoad, nowMs: number): number {
  const freshness = Math.max(0, 1 - (nowMs - known.atMs) / loadLifetimeMs)
  return Math.floor(known.othersBusy * freshness * known.trust + slotRounding)
}
