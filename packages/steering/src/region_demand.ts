/**
 * The demand on the regions of one service, from what their feeders report and what became of the own requests.
 *
 * @module
 */

/** What the feeders of a region report together. */
export interface RegionReport {
  /** Slots that may be used. */
  slots: number
  /** Requests that hold one. */
  busy: number
  /** Age of the oldest of the reports, in milliseconds. */
  ageMs: number
}

/** What is known of a region. */
export interface KnownRegion {
  /** Slots of the usable targets there. */
  capacity: number
  /** What its feeders report. */
  report: RegionReport | undefined
}

/** Counts of the requests that this instance sent to each region. */
export interface RegionDemand {
  /** Counts a request that was sent to a region. */
  record (region: string, wasRefused: boolean, nowMs: number): void
  /**
   * Computes the slots that the requests for each region need, refused ones among them.
   *
   * A region of which nothing is known counts as the others do for each request sent.
   */
  computeDemands (regions: Record<string, KnownRegion>, nowMs: number): Record<string, number>
}

interface Counts {
  sent: number
  refused: number
  /** Mean of the reported busy slots; `undefined` before the first report. */
  busy: number | undefined
  atMs: number
}

/** Time over which requests are forgotten, in milliseconds. */
const memoryMs = 5_000
/** Requests below which the refused share says nothing. */
const minSent = 5
/** Share of refused requests from which a region without a report counts as full. */
const fullShare = 0.02
const maxRefusedShare = 0.9
/** Age at which a report of a region counts for nothing, in milliseconds. */
export const regionReportLifetimeMs = 10_000

/**
 * Creates the counts of one service.
 *
 * @returns The counts, nothing sent
 */
export function createRegionDemand (): RegionDemand {
  const regions = new Map<string, Counts>()

  function getCounts (region: string, nowMs: number): Counts {
    const counts = regions.get(region) ?? { sent: 0, refused: 0, busy: undefined, atMs: nowMs }
    regions.set(region, counts)
    const factor = Math.exp((counts.atMs - nowMs) / memoryMs)
    counts.sent *= factor
    counts.refused *= factor
    counts.atMs = nowMs
    return counts
  }

  /** Smooths the reported busy slots, since at any moment a few more or fewer are busy than in the mean. */
  function updateBusy (region: string, report: RegionReport | undefined, nowMs: number): number {
    const before = regions.get(region)?.atMs ?? nowMs
    const counts = getCounts(region, nowMs)
    const weight = 1 - Math.exp((before - nowMs) / memoryMs)
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
      const unknown: string[] = []
      let knownDemand = 0
      let knownSent = 0
      for (const [region, { capacity, report }] of Object.entries(known)) {
        const isReported = report !== undefined && report.ageMs <= regionReportLifetimeMs
        const busy = updateBusy(region, isReported ? report : undefined, nowMs)
        const { sent, refused } = getCounts(region, nowMs)
        const refusedShare = sent < minSent ? 0 : Math.min(maxRefusedShare, refused / sent)
        const isFull = refusedShare >= fullShare
        if (!isFull && !isReported) unknown.push(region)
        demands[region] = (isFull ? Math.max(busy, capacity) : busy) / (1 - refusedShare)
        if (!isFull && !isReported) continue
        knownDemand += demands[region]
        knownSent += sent
      }
      for (const region of unknown) demands[region] = knownSent === 0 ? 0 : getCounts(region, nowMs).sent * knownDemand / knownSent
      return demands
    }
  }
}
