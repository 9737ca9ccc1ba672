/**
 * Keeps an exception in a callback from ending the process: it fails what the callback was for, and nothing else.
 *
 * @module
 */
import type { EntryLog } from './entry_log.ts'
import type { EntryMetrics } from './entry_metrics.ts'
import { createReportLimiter } from '@bilberryworks/steering'

/** Callbacks that are guarded, by what they are for. */
export enum GuardedCallback {
  /** One request of a caller or another instance: its arrival, body, dispatch, exchange, deadline and end. */
  Request = 'request',
  /** The dispatch of the requests that wait. */
  Dispatch = 'dispatch',
  /** An event of a connection to a target. */
  Connection = 'connection',
  /** A look-up, or a call of another instance. */
  Call = 'call',
  /** A datagram of another instance. */
  Datagram = 'datagram',
  /** Rows of the store. */
  Rows = 'rows',
  /** A task that is repeated by a timer. */
  Task = 'task'
}

/** Runs callbacks. */
export interface CallbackGuard {
  /** Runs a callback; if it throws, reports that and calls `onError`, which is guarded too. */
  run (callback: GuardedCallback, work: () => void, onError?: () => void): void
}

/** Options of {@linkcode createCallbackGuard}. */
export interface CreateCallbackGuardOptions {
  /** Structured log. */
  log: EntryLog
  /** Metrics. */
  metrics: Pick<EntryMetrics, 'countCallbackError'>
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Shortest time between two log lines about the same error, in milliseconds. */
const reportIntervalMs = 1_000
/** Longest stack in a log line, in characters. */
const maxDetailLength = 4_096

/** Runs callbacks without a guard, so that what they throw reaches the caller. */
export const noGuard: CallbackGuard = { run: (_callback, work) => work() }

/**
 * Creates a guard that logs and counts what callbacks throw.
 *
 * @param options Log and metrics
 * @returns The guard
 */
export function createCallbackGuard ({ log, metrics, getNowMs }: CreateCallbackGuardOptions): CallbackGuard {
  const limiter = createReportLimiter({ intervalMs: reportIntervalMs })

  function report (callback: GuardedCallback, error: unknown): void {
    metrics.countCallbackError(callback)
    const detail = error instanceof Error ? error.stack ?? error.message : String(error)
    const errors = limiter.takeReport(callback, getNowMs())
    if (errors !== undefined) log.warn('callback_failed', { callback, detail: detail.slice(0, maxDetailLength), errors })
  }

  function runSafely (callback: GuardedCallback, work: () => void, onError: () => void = () => {}): void {
    try {
      work()
    } catch (error) {
      try {
        report(callback, error)
      } catch {
        // What has failed matters more than the report.
      }
      runSafely(callback, onError)
    }
  }

  return { run: runSafely }
}
