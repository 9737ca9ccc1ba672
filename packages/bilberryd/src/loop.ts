/**
 * Runs a step again and again, at jittered intervals.
 *
 * @module
 */
import { setTimeout } from 'node:timers/promises'

const jitterRatio = 0.2

/** Options of {@linkcode startLoop}. */
export interface StartLoopOptions {
  /** Longest time between the end of a step and the start of the next, in milliseconds. */
  intervalMs: number | (() => number)
  /** Returns a random number from 0 to 1. */
  getRandom: () => number
}

/**
 * Starts a loop, with its first step at once.
 *
 * @param step The step, which does not reject
 * @param options The interval
 * @returns The loop; dispose it to stop after the step under way
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
