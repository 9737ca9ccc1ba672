/**
 * Remembers for a short time what targets reported to this instance, so that its peers can be told.
 *
 * @module
 */

/** Runs of targets by identifier: the start time of the run, in Unix milliseconds. */
export type TargetRuns = Record<string, number>

/** What a target said of the rate that it accepts. */
export interface RateNotice {
  /** Start time of the run of the target, in Unix milliseconds. */
  startedAtMs: number
  /** Rate that it named, in requests per second; `null` if it has ceased to name one. */
  perSecond: number | null
  /** Time since it said so, in milliseconds. */
  ageMs: number
}

/** The end of the run of a target. */
export interface EndNotice {
  /** Start time of the run, in Unix milliseconds. */
  startedAtMs: number
  /** Time since it was seen to have ended, in milliseconds. */
  ageMs: number
}

/** What targets reported a short time ago. */
export interface RecentTargetReports {
  /** Targets that are leaving. */
  leaving: TargetRuns
  /** Rates that targets accept, by identifier of the target. */
  rates: Record<string, RateNotice>
  /** Runs of targets that have ended, by identifier of the target; absent if there is none, and in heartbeats of earlier versions. */
  ended?: Record<string, EndNotice>
  /** Identifiers of the targets of whose rate the instance claims a part. */
  claims: string[]
}

/** A run of a target. */
export interface TargetRun {
  /** Identifier of the target. */
  id: string
  /** Start time of the run, in Unix milliseconds. */
  startedAtMs: number
}

/** Recent reports of targets. */
export interface TargetNotices {
  /** Records that a run of a target is leaving. */
  recordLeaving (run: TargetRun, nowMs: number): void
  /** Records that a run of a target has named a rate, in requests per second, or that it has ceased to name one (`undefined`). */
  recordRate (run: TargetRun, perSecond: number | undefined, nowMs: number): void
  /** Records that a run of a target has ended. */
  recordEnd (run: TargetRun, nowMs: number): void
  /** Drops what was recorded of the rate of a target, because a peer has received a later statement. */
  dropRate (id: string): void
  /** Lists the recent reports. */
  list (nowMs: number): Omit<RecentTargetReports, 'claims'>
}

/** Time for which peers are told of a report, in milliseconds: a few heartbeats, also between regions. */
export const noticeLifetimeMs = 10_000
/** Maximum number of reports of one kind that peers are told of, so that a heartbeat fits into a datagram; the latest ones count. */
const maxNotices = 20

interface Notice { startedAtMs: number, recordedAtMs: number, perSecond: number | null }

/**
 * Creates an empty memory.
 *
 * @returns The memory
 */
export function createTargetNotices (): TargetNotices {
  const leaving = new Map<string, Notice>()
  const rates = new Map<string, Notice>()
  const ended = new Map<string, Notice>()

  /** Records a notice as the latest one. */
  function record (notices: Map<string, Notice>, id: string, notice: Notice): void {
    notices.delete(id)
    notices.set(id, notice)
  }

  function listRecent (notices: Map<string, Notice>, nowMs: number): Array<[string, Notice]> {
    for (const [id, { recordedAtMs }] of notices) if (nowMs - recordedAtMs >= noticeLifetimeMs) notices.delete(id)
    return [...notices].slice(-maxNotices)
  }

  function listEnded (nowMs: number): Pick<RecentTargetReports, 'ended'> {
    const notices = listRecent(ended, nowMs)
    return notices.length === 0 ? {} : { ended: Object.fromEntries(notices.map(([id, { startedAtMs, recordedAtMs }]) => [id, { startedAtMs, ageMs: Math.round(nowMs - recordedAtMs) }])) }
  }

  return {
    recordLeaving: ({ id, startedAtMs }, nowMs) => record(leaving, id, { startedAtMs, recordedAtMs: nowMs, perSecond: null }),
    recordRate: ({ id, startedAtMs }, perSecond, nowMs) => record(rates, id, { startedAtMs, recordedAtMs: nowMs, perSecond: perSecond ?? null }),
    recordEnd: ({ id, startedAtMs }, nowMs) => record(ended, id, { startedAtMs, recordedAtMs: nowMs, perSecond: null }),
    dropRate: id => rates.delete(id),
    list: nowMs => ({
      ...listEnded(nowMs),
      leaving: Object.fromEntries(listRecent(leaving, nowMs).map(([id, { startedAtMs }]) => [id, startedAtMs])),
      rates: Object.fromEntries(listRecent(rates, nowMs).map(([id, { startedAtMs, perSecond, recordedAtMs }]) => [id, { startedAtMs, perSecond, ageMs: Math.round(nowMs - recordedAtMs) }]))
    })
  }
}
