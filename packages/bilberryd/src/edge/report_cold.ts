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

/** Options of {@linkcode createColdReporter}. */
export interface CreateColdReporterOptions {
  /** Structured log. */
  log: EntryLog
  /** Metrics. */
  metrics: Pick<EntryMetrics, 'countColdEvidence'>
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
}

/**
 * Creates the function that reports cold targets.
 *
 * @param options Log, metrics and clock
 * @returns The function
 */
export function createColdReporter ({ log, metrics, getNowMs }: CreateColdReporterOptions): ReportCold {
  return ({ target, coldUntilMs, lastRequestAtMs, circuit }, evidence) => {
    const nowMs = getNowMs()
    metrics.countColdEvidence(evidence)
    log.info('target_cold', {
      target: target.id,
      evidence,
      coldForMs: coldUntilMs > nowMs ? Math.round(coldUntilMs - nowMs) : undefined,
      lastRequestAgoMs: lastRequestAtMs === -Infinity ? undefined : Math.round(nowMs - lastRequestAtMs),
      failures: circuit.failures
    })
  }
}
