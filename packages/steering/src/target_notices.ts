/**
 * Remembers for a short time what targets reported to this instance, so that its peers can be told.
 *
 * @module
 */

/** Runs of targets by identifier: the start time of the run, in Unix milliseconds. */
export type TargetRuns = Record<string, number>

/** What targets reported a short time ago. */
export interface RecentTargetReports {
  /** Targets that are leaving. */
  leaving: TargetRuns
  /** Targets that have stopped naming a rate of requests. */
  rateEnded: TargetRuns
}

/** Recent reports of targets. */
export interface TargetNotices {
  /** Records a report of a run of a target. */
  record (kind: keyof RecentTargetReports, run: { id: string, startedAtMs: number }, nowMs: number): void
  /** Lists the recent reports. */
  list (nowMs: number): RecentTargetReports
}

/** Time for which peers are told of a report, in milliseconds: a few heartbeats, also between regions. */
export const noticeLifetimeMs = 10_000
/** Maximum number of reports of one kind that peers are told of, so that a heartbeat fits into a datagram; the latest ones count. */
const maxNotices = 30

/**
 * Creates an empty memory.
 *
 * @returns The memory
 */
export function createTargetNotices (): TargetNotices {
  const notices: Record<keyof RecentTargetReports, Map<string, { startedAtMs: number, recordedAtMs: number }>> = { leaving: new Map(), rateEnded: new Map() }

  function listKind (kind: keyof RecentTargetReports, nowMs: number): TargetRuns {
    for (const [id, { recordedAtMs }] of notices[kind]) if (nowMs - recordedAtMs >= noticeLifetimeMs) notices[kind].delete(id)
    return Object.fromEntries([...notices[kind]].slice(-maxNotices).map(([id, { startedAtMs }]) => [id, startedAtMs]))
  }

  return {
    record (kind, { id, startedAtMs }, nowMs) {
      notices[kind].delete(id)
      notices[kind].set(id, { startedAtMs, recordedAtMs: nowMs })
    },
    list: nowMs => ({ leaving: listKind('leaving', nowMs), rateEnded: listKind('rateEnded', nowMs) })
  }
}
