/**
 * Writes the lines of a log to an output that may be slow, full or closed, without delaying or ending the process.
 *
 * @module
 */
import type { Writable } from 'node:stream'
import { createOutputPace, OutputStep } from '@bilberryworks/steering'

/** Writes lines. */
export interface LineOutput {
  /** Writes a line, unless the output fails or its reader is too slow. */
  write (line: string): void
  /** Returns the number of lines that were dropped because the reader is slow. */
  countDropped (): number
  /** Returns the number of lines that were lost because the output failed. */
  countLost (): number
}

/** Options of {@linkcode createLineOutput}. */
export interface CreateLineOutputOptions {
  /** Called before the next line is written after lines were dropped, with their number; may write lines. */
  reportDropped: (lines: number) => void
  /** Called when the output works again after lines were lost, with their number; may write lines. */
  reportLost: (lines: number) => void
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Size of the stream's write buffer above which lines are dropped, in bytes. */
const maxPendingBytes = 1_048_576

/**
 * Creates an output of lines.
 *
 * @param output Stream that the lines are written to
 * @param options Callbacks
 * @returns The output
 */
export function createLineOutput (output: Writable, { reportDropped, reportLost, getNowMs }: CreateLineOutputOptions): LineOutput {
  const pace = createOutputPace()
  let [dropped, reportedDropped, lost, reportedLost] = [0, 0, 0, 0]
  let handleWritten = countFailure
  // Failed writes are counted by their callbacks.
  output.on('error', () => {})

  function send (text: string, onWritten: (error?: Error | null) => void): void {
    try {
      output.write(text, onWritten)
    } catch (error) {
      onWritten(error as Error)
    }
  }

  function countFailure (error?: Error | null): void {
    if (error == null) return
    lost++
    pace.recordFailure(getNowMs())
  }

  function handleProbe (error?: Error | null): void {
    if (error != null) return pace.recordFailure(getNowMs())
    pace.recordSuccess()
    reportNewLost()
  }

  function reportNewLost (): void {
    const lines = lost - reportedLost
    if (lines === 0) return
    reportedLost = lost
    handleWritten = error => {
      if (error != null) reportedLost -= lines
      countFailure(error)
    }
    reportLost(lines)
    handleWritten = countFailure
  }

  function reportNewDropped (): void {
    const lines = dropped - reportedDropped
    if (lines === 0) return
    reportedDropped = dropped
    reportDropped(lines)
  }

  return {
    write (line) {
      if (output.writableLength > maxPendingBytes) {
        dropped++
        return
      }
      const step = pace.choose(getNowMs())
      if (step !== OutputStep.Write) lost++
      if (step === OutputStep.Probe) send('\n', handleProbe)
      if (step !== OutputStep.Write) return
      reportNewDropped()
      send(line, handleWritten)
    },
    countDropped: () => dropped,
    countLost: () => lost
  }
}
