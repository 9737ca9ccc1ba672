/**
 * Times in which the process of the soak itself could not run, so that what it records is late.
 *
 * @module
 */
import type { TimeSpan } from './soak_instance.ts'

/** A watch of the event loop. */
export interface HoldWatch extends AsyncDisposable {
  /** Times in which the event loop was held for 50 ms or more. */
  spans: TimeSpan[]
}

const intervalMs = 10
const minHoldMs = 50

/**
 * Watches the event loop of this process.
 *
 * @returns The watch; dispose it to end it
 */
export function watchHolds (): HoldWatch {
  const spans: TimeSpan[] = []
  let lastMs = performance.now()
  const timer = setInterval(() => {
    const nowMs = performance.now()
    if (nowMs - lastMs >= minHoldMs) spans.push({ fromMs: lastMs, toMs: nowMs })
    lastMs = nowMs
  }, intervalMs)
  return {
    spans,
    async [Symbol.asyncDispose] () { clearInterval(timer) }
  }
}
