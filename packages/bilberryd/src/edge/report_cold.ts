/**
 * Logs and counts what makes this instance treat targets as cold.
 *
 * @module
 */
import type { ColdEvidence, RegisteredTarget } from '@bilberryworks/steering'
import type { EntryLog } from './entry_log.ts'
import type { EntryMetrics } from './entry_metrics.ts'

/** Reports that a target counts as cold from now on. */
export type ReportCold = (entry: RegisteredTarget, evidence: ColdEvidence) => void

/** Reports that targets of a failure domain count as cold from now on; does nothing if there are none. */
export type ReportGroupCold = (entries: RegisteredTarget[], evidence: ColdEvidence) => void

/** Reports cold targets. */
export interface ColdReporter {
  /** Reports a single target. */
  reportCold: ReportCold
  /** Reports several targets of one failure domain by one line. */
  reportGroupCold: ReportGroupCold
}

/** Options of {@linkcode createColdReporter}. */
export interface CreateColdReporterOptions {
  /** Log. */
  log: EntryLog
  /** Metrics. */
  metrics: Pick<EntryMetrics, 'countColdEvidence'>
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
}

/**
 * Creates the functions that report cold targets.
 *
 * @param options Log, metrics and clock
 * @returns The functions
 */
export function createColdReporter ({ log, metrics, getNowMs }: CreateColdReporterOptions): ColdReporter {
  return {
    reportCold ({ target, coldUntilMs, lastRequestAtMs, circuit }, evidence) {
      const nowMs = getNowMs()
      metrics.countColdEvidence(evidence)
      log.info('target_cold', {
        target: target.id,
        evidence,
        coldForMs: coldUntilMs > nowMs ? Math.round(coldUntilMs - nowMs) : undefined,
        lastRequestAgoMs: lastRequestAtMs === -Infinity ? undefined : Math.round(nowMs - lastRequestAtMs),
        failures: circuit.failures
      })
    },
    reportGroupCold (entries, evidence) {
      const [first] = entries
      if (first === undefined) return
      for (let count = 0; count < entries.length; count++) metrics.countColdEvidence(evidence)
      const lastRequestAtMs = Math.max(...entries.map(entry => entry.lastRequestAtMs))
      log.info('targets_cold', {
        service: first.target.service,
        failureDomain: first.target.failureDomain,
        targets: entries.length,
        evidence,
        lastRequestAgoMs: lastRequestAtMs === -Infinity ? undefined : Math.round(getNowMs() - lastRequestAtMs)
      })
    }
  }
}
