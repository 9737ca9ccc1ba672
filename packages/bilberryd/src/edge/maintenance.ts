/**
 * Periodic maintenance of an entry instance.
 *
 * @module
 */

/** Options of {@linkcode startMaintenance}. */
export interface StartMaintenanceOptions {
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
  /** Called before the tasks if the process was paused, with the duration in milliseconds. */
  onPause: (durationMs: number) => void
  /** Called before the tasks if a run began late by 200 ms or more, with the delay in milliseconds. */
  onDelay: (delayMs: number) => void
  /** Called in each run, with monotonic time in milliseconds. */
  runTasks: (nowMs: number) => void
}

/** Interval between two runs, in milliseconds. */
const intervalMs = 250
/** Time between two runs above which the process is considered to have been paused, in milliseconds. */
const pauseThresholdMs = 1_000
/** Delay of a run from which the event loop counts as held, in milliseconds. */
const delayThresholdMs = 200

/**
 * Starts periodic maintenance.
 *
 * @param options Clock and tasks
 * @returns A handle; dispose it to stop
 */
export function startMaintenance ({ getNowMs, onPause, onDelay, runTasks }: StartMaintenanceOptions): AsyncDisposable {
  let lastRunMs = getNowMs()
  const timer = setInterval(() => {
    const nowMs = getNowMs()
    const elapsedMs = nowMs - lastRunMs
    if (elapsedMs > pauseThresholdMs) onPause(elapsedMs)
    if (elapsedMs - intervalMs >= delayThresholdMs) onDelay(elapsedMs - intervalMs)
    lastRunMs = nowMs
    runTasks(nowMs)
  }, intervalMs)
  return {
    async [Symbol.asyncDispose] () { clearInterval(timer) }
  }
}
