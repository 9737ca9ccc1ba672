/**
 * Records what targets report about themselves in their responses, and logs each change.
 *
 * @module
 */
import type { RegisteredTarget } from '@bilberryworks/steering'
import type { ResponseFields } from '@bilberryworks/users-platform'
import type { EntryLog } from './entry_log.ts'
import type { EntryMetrics } from './entry_metrics.ts'
import type { EntryState } from './entry_state.ts'
import { recordTargetLoad, recordTargetPause } from '@bilberryworks/steering'
import { TargetReport } from './entry_metrics.ts'

/** Options of {@linkcode createTargetReportHandler}. */
export interface CreateTargetReportHandlerOptions {
  /** Replicated configuration and target registry. */
  state: EntryState
  /** Metrics. */
  metrics: EntryMetrics
  /** Structured log. */
  log: EntryLog
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Records the fields of a response of a target; the answered request must still count as in flight. */
export type HandleTargetReport = (entry: RegisteredTarget, fields: ResponseFields) => void

/**
 * Creates the handler of targets' reports.
 *
 * @param options Log and clock
 * @returns The handler
 */
export function createTargetReportHandler ({ state, metrics, log, getNowMs }: CreateTargetReportHandlerOptions): HandleTargetReport {
  return (entry, fields) => {
    if (!fields.isFromTarget) return
    if (fields.load !== undefined) recordTargetLoad(entry, fields.load, getNowMs())
    if (fields.isLeaving && state.targets.find(entry.target.id) === entry && state.targets.recordLeaving(entry.target.id)) {
      metrics.countTargetReport(TargetReport.Leaving)
      log.info('target_leaving', { target: entry.target.id, isRegisteredAsLeaving: entry.target.leaving })
    }
    if (fields.pauseMs !== undefined) {
      recordTargetPause(entry, fields.pauseMs, getNowMs())
      metrics.countTargetReport(TargetReport.Pause)
      log.info('target_pause', { target: entry.target.id, pauseMs: fields.pauseMs })
    }
    if (fields.acceptedPerSecond === entry.acceptedPerSecond) return
    metrics.countTargetReport(TargetReport.Rate)
    log.info('target_rate', { target: entry.target.id, acceptedPerSecond: fields.acceptedPerSecond ?? null, before: entry.acceptedPerSecond ?? null })
    entry.acceptedPerSecond = fields.acceptedPerSecond
  }
}
