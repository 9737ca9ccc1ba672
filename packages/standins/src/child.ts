/**
 * Starts and stops Node.js child processes for the demonstration, tests and benchmarks.
 *
 * @module
 */
import type { ChildProcess } from 'node:child_process'
import { spawn } from 'node:child_process'
import { closeSync, openSync } from 'node:fs'
import { createInterface } from 'node:readline'

const killTimeoutMs = 20_000

/** A child process that has reported that it is ready. */
export interface Child<T> extends AsyncDisposable {
  /** The process. */
  process: ChildProcess
  /** First line of its standard output, parsed as JSON. */
  ready: T
  /**
   * Sends a signal and waits for the exit; kills the process after 20 s. Returns the exit code, or `null` if a signal
   * ended the process.
   */
  stop (signal: NodeJS.Signals): Promise<number | null>
}

/** Options of {@linkcode startChild}. */
export interface StartChildOptions {
  /** File that standard error is appended to; by default it goes to the standard error of this process. */
  logFile?: string | undefined
  /** Signal that kills the child process when aborted. */
  signal?: AbortSignal | undefined
}

/**
 * Starts a script and waits for its first line of standard output, which reports that it is ready.
 *
 * @param script Path of the compiled script
 * @param args Command-line arguments of the script
 * @param options Log file and abort signal
 * @returns The child process; dispose it to kill it
 * @throws {Error} If the process can't be started, or exits before it is ready
 */
export async function startChild<T> (script: string, args: string[], options: StartChildOptions = {}): Promise<Child<T>> {
  const logFileDescriptor = options.logFile === undefined ? undefined : openSync(options.logFile, 'a')
  const signalOptions = options.signal === undefined ? {} : { signal: options.signal, killSignal: 'SIGKILL' as const }
  const child = spawn(process.execPath, [script, ...args], { stdio: ['ignore', 'pipe', logFileDescriptor ?? 'inherit', 'ipc'], ...signalOptions })
  if (logFileDescriptor !== undefined) closeSync(logFileDescriptor)
  const exited = new Promise<number | null>(resolve => child.once('exit', resolve))
  const readyLine = await new Promise<string>((resolve, reject) => {
    // Stays for the life of the process: an abort of the signal emits an error as well.
    child.on('error', error => reject(new Error(`Script "${script}" failed: ${error.message}`)))
    createInterface({ input: child.stdout! }).once('line', resolve)
    exited.then(code => reject(new Error(`Script "${script}" exited with code ${code} before it was ready`)), reject)
  })
  async function stop (stopSignal: NodeJS.Signals): Promise<number | null> {
    child.kill(stopSignal)
    const timer = setTimeout(() => child.kill('SIGKILL'), killTimeoutMs)
    const code = await exited
    clearTimeout(timer)
    return code
  }
  return {
    process: child,
    ready: JSON.parse(readyLine) as T,
    stop,
    async [Symbol.asyncDispose] () {
      await stop('SIGKILL')
    }
  }
}
