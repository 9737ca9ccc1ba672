/**
 * Estimates the demand on the regions of one service, from the load that target owners report and from the refusals of
 * this instance's own requests.
 *
 * @module
 */

/** Load of a region, summed over the reports of the instances that own its targets. */
export interface RegionReport {
  /** Usable slots. */
  slots: number
  /** Number of requests that hold a slot. */
  busy: number
  /** Age of the oldest of the reports, in milliseconds. */
  ageMs: number
}

/** Capacity and reported load of a region. */
export interface KnownRegion {
  /** Slots of the usable targets in the region. */
  capacity: number
  /** Load that the target owners report; `undefined` without a report. */
  report: RegionReport | undefined
}

/** Counts the requests that this instance sent to each region, and estimates the demand from them. */
export interface RegionDemand {
  /** Counts a request that was sent to a region. */
  record (region: string, wasRefused: boolean, nowMs: number): void
  /**
   * Estimates the number of slots that the requests for each region need, including refused requests.
   *
   * A region that is not full and has no current report is assumed to need as many slots per sent request as the other
   * regions.
   */
  computeDemands (regions: Record<string, KnownRegion>, nowMs: number): Record<string, number>
}

interface RegionCounts {
  sent: number
  refused: number
  /** Smoothed number of reported busy slots; `undefined` without a report. */
  busy: number | undefined
  atMs: number
}

/** Time constant of the exponential decay of the counts, in milliseconds. */
const decayMs = 5_000
/** Number of sent requests below which the share of refused ones is ignored. */
const minSentRequests = 5
/** Share of refused requests from which a region counts as full, also without a report. */
const fullRefusedShare = 0.02
/** Upper bound of the refused share, which bounds the estimated demand. */
const maxRefusedShare = 0.9
/** Age above which a report of a region is ignored, in milliseconds. */
export const regionReportLifetimeMs = 10_000

/**
 * Creates the demand estimate of one service, with no requests counted.
 *
 * @returns The demand estimate
 */
export function createRegionDemand (): RegionDemand {
  const regions = new Map<string, RegionCounts>()

  function getCounts (region: string, nowMs: number): RegionCounts {
    const counts = regions.get(region) ?? { sent: 0, refused: 0, busy: undefined, atMs: nowMs }
    regions.set(region, counts)
    const factor = Math.exp((counts.atMs - nowMs) / decayMs)
    counts.sent *= factor
    counts.refused *= factor
    counts.atMs = nowMs
    return counts
  }

  /** Smooths the reported number of busy slots, because it fluctuates around its mean. */
  function updateBusy (region: string, report: RegionReport | undefined, nowMs: number): number {
    const previousAtMs = regions.get(region)?.atMs ?? nowMs
    const counts = getCounts(region, nowMs)
    const weight = 1 - Math.exp((previousAtMs - nowMs) / decayMs)
    if (report === undefined) counts.busy = undefined
    else counts.busy = counts.busy === undefined ? report.busy : counts.busy + (report.busy - counts.busy) * weight
    return counts.busy ?? 0
  }

  return {
    record (region, wasRefused, nowMs) {
      const counts = getCounts(region, nowMs)
      counts.sent++
      if (wasRefused) counts.refused++
    },
    computeDemands (known, nowMs) {
      const demands: Record<string, number> = {}
      const unreportedRegions: string[] = []
      let knownDemand = 0
      let knownSent = 0
      for (const [region, { capacity, report }] of Object.entries(known)) {
        const isReported = report !== undefined && report.ageMs <= regionReportLifetimeMs
        const busy = updateBusy(region, isReported ? report : undefined, nowMs)
        const { sent, refused } = getCounts(region, nowMs)
        const refusedShare = sent < minSentRequests ? 0 : Math.min(maxRefusedShare, refused / sent)
        const isFull = refusedShare >= fullRefusedShare
        if (!isFull && !isReported) unreportedRegions.push(region)
        demands[region] = (isFull ? Math.max(busy, capacity) : busy) / (1 - refusedShare)
        if (!isFull && !isReported) continue
        knownDemand += demands[region]
        knownSent += sent
      }
      for (const region of unreportedRegions) demands[region] = knownSent === 0 ? 0 : getCounts(region, nowMs).sent * knownDemand / knownSent
      return demands
    }
  }
}
