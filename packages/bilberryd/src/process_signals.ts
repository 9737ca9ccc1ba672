/**
 * The signals by which operators and supervisors stop a process and make it reload its settings.
 *
 * @module
 */

/** Signals that stop the process gracefully. */
const stopSignals = ['SIGTERM', 'SIGINT'] as const

/** A request to stop the process. */
export interface StopRequest {
  /** The signal. */
  signal: NodeJS.Signals
  /** Monotonic time at which it arrived, in milliseconds. */
  atMs: number
}

/** What a process does on signals; may be changed at any time. */
export interface SignalHandlers {
  /** Called on each SIGHUP. */
  reload: () => void
  /** Called on each stop signal after the first one. */
  handleRepeated: (signal: NodeJS.Signals) => void
}

/** Signals of this process. */
export interface ProcessSignals {
  /** Handlers, which do nothing at first. */
  handlers: SignalHandlers
  /** Resolves with the first request to stop. */
  stopRequested: Promise<StopRequest>
  /** Returns whether a stop was requested. */
  isStopRequested (): boolean
}

/**
 * Takes over the signals of this process, whose default is to end it. To be called before anything else, so that a signal
 * during the start has the effect of a later one; handlers are never removed, so that a repeated one doesn't end the process.
 *
 * @returns The signals
 */
export function listenForSignals (): ProcessSignals {
  const handlers: SignalHandlers = { reload: () => {}, handleRepeated: () => {} }
  let request: StopRequest | undefined
  const stopRequested = new Promise<StopRequest>(resolve => {
    for (const signal of stopSignals) {
      process.on(signal, () => {
        if (request !== undefined) return handlers.handleRepeated(signal)
        request = { signal, atMs: performance.now() }
        resolve(request)
      })
    }
  })
  process.on('SIGHUP', () => handlers.reload())
  return { handlers, stopRequested, isStopRequested: () => request !== undefined }
}
