/**
 * Decides whether a line of a log is written, while its output may fail.
 *
 * @module
 */

/** What is done with a line. */
export enum OutputStep {
  /** It is written. */
  Write = 'write',
  /** It is lost, and the output is tried with an empty line. */
  Probe = 'probe',
  /** It is lost. */
  Lose = 'lose'
}

/** Paces the use of an output that fails. */
export interface OutputPace {
  /** Chooses what is done with the next line. */
  choose (nowMs: number): OutputStep
  /** Records that a write has failed. */
  recordFailure (nowMs: number): void
  /** Records that a probe has succeeded. */
  recordSuccess (): void
}

/** Time from a failed write to the next probe, in milliseconds. */
const probeIntervalMs = 250

/**
 * Creates the pace of an output that works.
 *
 * @returns The pace
 */
export function createOutputPace (): OutputPace {
  let isFailing = false
  let probeAtMs = 0
  return {
    choose (nowMs) {
      if (!isFailing) return OutputStep.Write
      if (nowMs < probeAtMs) return OutputStep.Lose
      probeAtMs = nowMs + probeIntervalMs
      return OutputStep.Probe
    },
    recordFailure (nowMs) {
      isFailing = true
      probeAtMs = nowMs + probeIntervalMs
    },
    recordSuccess () {
      isFailing = false
    }
  }
}
