/**
 * Records what targets report about themselves in their responses, to this instance or to a peer, and logs each change.
 *
 * @module
 */
import type { RecentTargetReports, RegisteredTarget, TargetRuns } from '@bilberryworks/steering'
import type { ResponseFields } from '@bilberryworks/users-platform'
import type { EntryLog } from './entry_log.ts'
import type { EntryMetrics } from './entry_metrics.ts'
import type { EntryState } from './entry_state.ts'
import { createTargetNotices, recordTargetLoad, recordTargetPause } from '@bilberryworks/steering'
import { TargetReport } from './entry_metrics.ts'

/** Options of {@linkcode createTargetReports}. */
export interface CreateTargetReportsOptions {
  /** Replicated configuration and target registry. */
  state: EntryState
  /** Metrics. */
  metrics: EntryMetrics
  /** Structured log. */
  log: EntryLog
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** The exchange in which a target reports. */
export interface TargetExchange {
  /** Monotonic time at which the request was dispatched to the target, in milliseconds. */
  dispatchedAtMs: number
}

/** Reports of targets. */
export interface TargetReports {
  /** Handles the fields of a response of a target; the answered request must still count as in flight. */
  handleResponse (entry: RegisteredTarget, fields: ResponseFields, exchange: TargetExchange): void
  /** Handles the reports that targets made to a peer. */
  handlePeerReports (peer: string, reports: RecentTargetReports): void
  /** Lists the recent reports to this instance, of which its peers are to be told. */
  listRecent (): RecentTargetReports
}

/** Time since a target last named a rate to this instance, in milliseconds, before which a peer's news that it has ended is ignored: the news may be older. */
const minRateAgeMs = 5_000
/** Number of characters of an unreadable value that are logged. */
const maxLoggedValueLength = 40

/**
 * Creates the handler of targets' reports.
 *
 * @param options Registry, metrics, log and clock
 * @returns The handler
 */
export function createTargetReports ({ state, metrics, log, getNowMs }: CreateTargetReportsOptions): TargetReports {
  const { targets } = state
  const notices = createTargetNotices()

  /** Marks a target as leaving; `peer` is absent if it said so to this instance. */
  function markLeaving ({ target }: RegisteredTarget, peer?: string): void {
    if (!targets.recordLeaving(target.id)) return
    metrics.countTargetReport(TargetReport.Leaving)
    log.info('target_leaving', { target: target.id, isRegisteredAsLeaving: target.leaving, peer })
  }

  /** Returns the time since an event, in milliseconds; `undefined` if it has not happened. */
  function computeAgeMs (atMs = -Infinity): number | undefined {
    return atMs === -Infinity ? undefined : Math.round(getNowMs() - atMs)
  }

  function recordRate (entry: RegisteredTarget, acceptedPerSecond: number | undefined, source: { peer?: string, exchange?: TargetExchange }): void {
    const { peer, exchange } = source
    if (acceptedPerSecond === entry.acceptedPerSecond) return
    metrics.countTargetReport(TargetReport.Rate)
    log.info('target_rate', { target: entry.target.id, acceptedPerSecond: acceptedPerSecond ?? null, before: entry.acceptedPerSecond ?? null, namedAgoMs: computeAgeMs(entry.rateNamedAtMs), dispatchedAgoMs: computeAgeMs(exchange?.dispatchedAtMs), peer })
    if (acceptedPerSecond === undefined && peer === undefined) notices.record('rateEnded', entry.target, getNowMs())
    entry.acceptedPerSecond = acceptedPerSecond
  }

  /** Lists the registered targets of which a peer told, in the same run. */
  function listKnown (runs: TargetRuns): RegisteredTarget[] {
    return Object.entries(runs).flatMap(([id, startedAtMs]) => {
      const entry = targets.find(id)
      return entry?.target.startedAtMs === startedAtMs ? [entry] : []
    })
  }

  return {
    handleResponse (entry, fields, exchange) {
      if (!fields.isFromTarget) return
      const nowMs = getNowMs()
      if (fields.load !== undefined) recordTargetLoad(entry, fields.load, nowMs)
      if (fields.isLeaving && targets.find(entry.target.id) === entry) {
        notices.record('leaving', entry.target, nowMs)
        markLeaving(entry)
      }
      if (fields.pauseMs !== undefined) {
        recordTargetPause(entry, fields.pauseMs, nowMs)
        metrics.countTargetReport(TargetReport.Pause)
        log.info('target_pause', { target: entry.target.id, pauseMs: fields.pauseMs })
      }
      if (fields.unreadableRate !== undefined) {
        metrics.countTargetReport(TargetReport.UnreadableRate)
        log.warn('target_rate_unreadable', { target: entry.target.id, value: fields.unreadableRate.slice(0, maxLoggedValueLength) })
        return
      }
      recordRate(entry, fields.acceptedPerSecond, { exchange })
      if (fields.acceptedPerSecond !== undefined) entry.rateNamedAtMs = nowMs
    },
    handlePeerReports (peer, { leaving, rateEnded }) {
      for (const entry of listKnown(leaving)) markLeaving(entry, peer)
      for (const entry of listKnown(rateEnded)) if (getNowMs() - entry.rateNamedAtMs >= minRateAgeMs) recordRate(entry, undefined, { peer })
    },
    listRecent: () => notices.list(getNowMs())
  }
}
