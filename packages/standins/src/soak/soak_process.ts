/**
 * The process of an instance of a soak, one run after the other.
 *
 * @module
 */
import type { ChildProcess } from 'node:child_process'
import type { EntryFiles, StartEntryProcessOptions } from '../entry_process.ts'
import { execFileSync } from 'node:child_process'
import { appendFileSync, closeSync, constants, openSync, readdirSync, readFileSync, rmSync } from 'node:fs'
import { Socket } from 'node:net'
import { hasSignalHandlers, startEntryProcess } from '../entry_process.ts'
import { readResidentBytes } from '../process_usage.ts'

/** A process that can be started again and again. */
export interface SoakProcess extends AsyncDisposable {
  /** Starts the process, unless it runs. */
  start (): void
  /** Returns the latest run. */
  getChild (): ChildProcess | undefined
  /** Resolves when the latest run has ended. */
  waitForExit (): Promise<unknown>
  /** Sets whether the process is meant to end; it is not started again by itself then. */
  setEnding (isEnding: boolean): void
  /** Returns whether the process has been disposed of. */
  isDisposed (): boolean
  /** Returns whether the program handles signals; before that, while Node.js starts, they end any process. */
  isHandlingSignals (): boolean
  /** Closes the reading end of standard output. */
  closeOutput (): void
  /** Records the number of descriptors that are open now, without load. */
  recordIdleDescriptors (): void
  /** Returns the number of descriptors that were open without load. */
  getIdleDescriptors (): number
  /** Samples the memory. */
  sampleUsage (): void
  /** Returns the largest resident memory that was sampled, in bytes. */
  getPeakBytes (): number
  /** Records an end that nothing of the soak caused, with the end of the output. */
  recordUnexpectedEnd (text: string): void
}

/** Options of {@linkcode createSoakProcess}. */
export interface CreateSoakProcessOptions extends Pick<StartEntryProcessOptions, 'flags' | 'nodeFlags' | 'program'> {
  /** Whether standard output goes through a pipe that may be closed. */
  hasPipe: boolean
  /** Texts of the ends that nothing of the soak caused. */
  unexpectedEnds: string[]
}

const restartDelayMs = 300
const maxPrintedBytes = 1_000

/**
 * Creates a process, which does not run yet. After an end that nothing of the soak caused it is started again, as the platform does.
 *
 * @param files Settings and log
 * @param options Program
 * @returns The process; dispose it to end it
 */
export function createSoakProcess (files: EntryFiles, { hasPipe, unexpectedEnds, ...options }: CreateSoakProcessOptions): SoakProcess {
  let child: ChildProcess | undefined
  let reader: Socket | undefined
  let exited: Promise<unknown> = Promise.resolve()
  let peakBytes = 0
  let idleDescriptors = 0
  let isEnding = false
  let isDisposed = false

  const soakProcess: SoakProcess = {
    start () {
      if (isDisposed || (child !== undefined && child.exitCode === null && child.signalCode === null)) return
      const startedAtMs = performance.now()
      const output = hasPipe ? openPipe() : undefined
      const started = startEntryProcess(files, { logsErrors: true, ...options, output })
      if (output !== undefined) closeSync(output)
      child = started
      started.once('exit', (code, signal) => {
        if (isEnding || isDisposed) return
        soakProcess.recordUnexpectedEnd(`${files.name} ended with ${signal ?? code} at ${new Date().toISOString()}, ${Math.round(performance.now() - startedAtMs)} ms after its start`)
        setTimeout(() => { if (!isEnding) soakProcess.start() }, restartDelayMs)
      })
      exited = new Promise(resolve => {
        started.once('exit', resolve)
        started.once('error', resolve)
      })
    },
    getChild: () => child,
    waitForExit: () => exited,
    setEnding (next) { isEnding = next },
    isDisposed: () => isDisposed,
    isHandlingSignals: () => child?.pid !== undefined && hasSignalHandlers(child.pid),
    closeOutput () { reader?.destroy() },
    recordIdleDescriptors () { idleDescriptors = readdirSync(`/proc/${child!.pid}/fd`).length },
    getIdleDescriptors: () => idleDescriptors,
    sampleUsage () {
      try {
        if (child?.pid !== undefined) peakBytes = Math.max(peakBytes, readResidentBytes(child.pid))
      } catch {}
    },
    getPeakBytes: () => peakBytes,
    recordUnexpectedEnd (text) {
      unexpectedEnds.push(`${text}; end of its output: ${readFileSync(files.logFile, 'utf8').slice(-maxPrintedBytes)}`)
    },
    async [Symbol.asyncDispose] () {
      isDisposed = true
      child?.kill('SIGCONT')
      child?.kill('SIGKILL')
      await exited
      reader?.destroy()
    }
  }

  /** Opens a pipe whose lines are appended to the log, and returns its writing end. */
  function openPipe (): number {
    const pipeFile = `${files.logFile}.pipe`
    rmSync(pipeFile, { force: true })
    execFileSync('mkfifo', [pipeFile])
    reader?.destroy()
    reader = new Socket({ fd: openSync(pipeFile, constants.O_RDONLY | constants.O_NONBLOCK), readable: true, writable: false })
    reader.on('data', data => appendFileSync(files.logFile, data))
    reader.on('error', () => {})
    return openSync(pipeFile, constants.O_WRONLY)
  }

  return soakProcess
}
