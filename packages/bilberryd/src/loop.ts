/**
 * Runs a task periodically, with random jitter between runs.
 *
 * @module
 */
import { setTimeout } from 'node:timers/promises'

const jitterRatio = 0.2

/** Options of {@linkcode startLoop}. */
export interface StartLoopOptions {
  /** Maximum time between the end of a run and the start of the next, in milliseconds; jitter shortens it by up to 20 %. */
  intervalMs: number | (() => number)
  /** Returns a random number from 0 to 1. */
  getRandom: () => number
}

/**
 * Starts a periodic task; its first run begins immediately.
 *
 * @param step One run of the task, which must not reject
 * @param options The interval and the source of jitter
 * @returns The periodic task; dispose it to stop it and wait for the end of the current run
 */
export function startLoop (step: () => Promise<void>, options: StartLoopOptions): AsyncDisposable {
  const stopController = new AbortController()
  const ended = runSteps(step, { ...options, signal: stopController.signal })
  return {
    async [Symbol.asyncDispose] () {
      stopController.abort()
      await ended
    }
  }
}

async function runSteps (step: () => Promise<void>, options: StartLoopOptions & { signal: AbortSignal }): Promise<void> {
  const { signal } = options
  while (!signal.aborted) {
    await step()
    const intervalMs = typeof options.intervalMs === 'number' ? options.intervalMs : options.intervalMs()
    const waitMs = intervalMs * (1 - jitterRatio * options.getRandom())
    await setTimeout(waitMs, undefined, { signal }).catch(() => {})
  }
}
