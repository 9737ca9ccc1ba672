/**
 * Child processes of the demonstration and of tests.
 *
 * @module
 */
import type { ChildProcess } from 'node:child_process'
import { spawn } from 'node:child_process'
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

/**
 * Starts a script and waits for its first line of output.
 *
 * @param script Path of the compiled script
 * @param args Its arguments
 * @returns The child
 * @throws {Error} If it ends before it is ready
 */
export async function startChild<T> (script: string, args: string[]): Promise<Child<T>> {
  const child = spawn(process.execPath, [script, ...args], { stdio: ['ignore', 'pipe', 'inherit', 'ipc'] })
  const ended = new Promise<number | null>(resolve => child.once('exit', resolve))
  const line = await new Promise<string>((resolve, reject) => {
    createInterface({ input: child.stdout! }).once('line', resolve)
    ended.then(code => reject(new Error(`"${script}" ended with ${code} before it was ready`)), reject)
  })
  async function stop (signal: NodeJS.Signals): Promise<number | null> {
    child.kill(signal)
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
