/**
 * Child processes of the demonstration and of tests.
 *
 * @module
 */
import type { ChildProcess } from 'node:child_process'
import { spawn } from 'node:child_process'
import { closeSync, openSync } from 'node:fs'
import { createInterface } from 'node:readline'

const killAfterMs = 20_000

/** A child process that has said that it is ready. */
export interface Child<T> extends AsyncDisposable {
  /** The process. */
  process: ChildProcess
  /** The first line that it wrote, parsed as JSON. */
  ready: T
  /** Sends a signal and waits for the end; kills it after 20 seconds. */
  stop (signal: NodeJS.Signals): Promise<number | null>
}

/** Options of {@linkcode startChild}. */
export interface StartChildOptions {
  /** File that standard error is appended to; that of this process by default. */
  logFile?: string | undefined
  /** Kills the child when aborted. */
  signal?: AbortSignal | undefined
}

/**
 * Starts a script and waits for its first line of output.
 *
 * @param script Path of the compiled script
 * @param args Its arguments
 * @param options Where its log goes and what ends it
 * @returns The child
 * @throws {Error} If it ends before it is ready
 */
export async function startChild<T> (script: string, args: string[], options: StartChildOptions = {}): Promise<Child<T>> {
  const log = options.logFile === undefined ? undefined : openSync(options.logFile, 'a')
  const signal = options.signal === undefined ? {} : { signal: options.signal, killSignal: 'SIGKILL' as const }
  const child = spawn(process.execPath, [script, ...args], { stdio: ['ignore', 'pipe', log ?? 'inherit', 'ipc'], ...signal })
  if (log !== undefined) closeSync(log)
  child.on('error', () => {})
  const ended = new Promise<number | null>(resolve => child.once('exit', resolve))
  const line = await new Promise<string>((resolve, reject) => {
    createInterface({ input: child.stdout! }).once('line', resolve)
    ended.then(code => reject(new Error(`"${script}" ended with ${code} before it was ready`)), reject)
  })
  async function stop (stopSignal: NodeJS.Signals): Promise<number | null> {
    child.kill(stopSignal)
    const timer = setTimeout(() => child.kill('SIGKILL'), killAfterMs)
    const code = await ended
    clearTimeout(timer)
    return code
  }
  return {
    process: child,
    ready: JSON.parse(line) as T,
    stop,
    async [Symbol.asyncDispose] () {
      await stop('SIGKILL')
    }
  }
}
