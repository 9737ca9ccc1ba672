/**
 * Limits how often a repeated event is reported.
 *
 * @module
 */

/** Limits the reports of events, by kind. */
export interface ReportLimiter {
  /** Counts an event; returns the number of events of its kind since the last report if another one is due, else `undefined`. */
  takeReport (kind: string, nowMs: number): number | undefined
}

/** Options of {@linkcode createReportLimiter}. */
export interface CreateReportLimiterOptions {
  /** Shortest time between two reports of a kind, in milliseconds. */
  intervalMs: number
}

/**
 * Creates a limiter; the first event of each kind is reported.
 *
 * @param options Interval
 * @returns The limiter
 */
export function createReportLimiter ({ intervalMs }: CreateReportLimiterOptions): ReportLimiter {
  const kinds = new Map<string, { reportedAtMs: number, events: number }>()
  return {
    takeReport (kind, nowMs) {
      const { reportedAtMs, events } = kinds.get(kind) ?? { reportedAtMs: -Infinity, events: 0 }
      const isDue = nowMs - reportedAtMs >= intervalMs
      kinds.set(kind, isDue ? { reportedAtMs: nowMs, events: 0 } : { reportedAtMs, events: events + 1 })
      return isDue ? events + 1 : undefined
    }
  }
}
