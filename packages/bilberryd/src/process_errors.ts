/**
 * Exceptions and rejections that nothing has caught.
 *
 * @module
 */
import type { StopRequest } from './process_signals.ts'
import { ExitStatus } from './exit_status.ts'

/** What a process does on an error; may be changed at any time. */
export interface ErrorHandlers {
  /** Called with each error. */
  report: (error: UncaughtError) => void
}

/** An error that nothing caught. */
export interface UncaughtError {
  /** Whether it was thrown, or a promise was rejected with it. */
  origin: NodeJS.UncaughtExceptionOrigin
  /** The stack, or the error itself if it has none. */
  detail: string
}

/** Errors of this process that nothing caught. */
export interface ProcessErrors {
  /** Handlers; at first the error is printed on standard error. */
  handlers: ErrorHandlers
  /** Resolves with the first error: the process is to stop, since its state may be wrong. */
  stopRequested: Promise<Pick<StopRequest, 'atMs'>>
  /** Returns whether there was an error. */
  hasOccurred: () => boolean
  /** Reports the error that has ended the program, and ends the process. */
  endProcess: (error: unknown) => never
}

/** Longest stack that is reported, in characters. */
const maxDetailLength = 4_096

/**
 * Takes over the errors of this process that nothing catches, whose default is to end it with all that it has accepted. The
 * first one requests a stop; a second one ends the process at once.
 *
 * @returns The errors
 */
export function listenForErrors (): ProcessErrors {
  const handlers: ErrorHandlers = { report: ({ detail }) => console.error(detail) }
  let isStopRequested = false

  function report (error: unknown, origin: NodeJS.UncaughtExceptionOrigin): void {
    try {
      handlers.report({ origin, detail: describeError(error) })
    } catch {}
  }

  const stopRequested = new Promise<Pick<StopRequest, 'atMs'>>(resolve => {
    process.on('uncaughtException', (error, origin) => {
      report(error, origin)
      if (isStopRequested) process.exit(ExitStatus.UncaughtError)
      isStopRequested = true
      process.exitCode = ExitStatus.UncaughtError
      resolve({ atMs: performance.now() })
    })
  })
  return {
    handlers,
    stopRequested,
    hasOccurred: () => isStopRequested,
    endProcess (error) {
      report(error, 'unhandledRejection')
      process.exit(ExitStatus.UncaughtError)
    }
  }
}

function describeError (error: unknown): string {
  const text = error instanceof Error ? error.stack ?? error.message : String(error)
  return text.slice(0, maxDetailLength)
}
