/**
 * An instance of the own interface as a process of its own: the real program, with a settings file.
 *
 * @module
 */
import type { ChildProcess, StdioOptions } from 'node:child_process'
import { spawn } from 'node:child_process'
import { createHash } from 'node:crypto'
import { mkdtemp, writeFile } from 'node:fs/promises'
import { createRequire } from 'node:module'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createInterface } from 'node:readline'

/** Options of {@linkcode startOwnProcess}. */
export interface StartOwnProcessOptions {
  /** URL of the store. */
  platformUrl: string
  /** Settings to add or replace; none by default. */
  settings?: Record<string, unknown>
  /** Flags of Node.js; none by default. */
  nodeFlags?: string[]
}

/** A running instance. */
export interface OwnProcess extends AsyncDisposable {
  /** The process, whose standard output and error are pipes. */
  child: ChildProcess
  /** Addresses of its listeners. */
  addresses: { callers: string, operators: string, peers: string }
  /** Resolves with how the process ended. */
  ended: Promise<{ code: number | null, signal: NodeJS.Signals | null }>
  /** Returns what it has written on standard error. */
  readErrors: () => string
}

/** Token of a team that may read the status and metrics. */
export const ownProcessToken = 'token-of-a-process'

const stdio: StdioOptions = ['ignore', 'pipe', 'pipe']
const listen = { host: '127.0.0.1', port: 0 }

/**
 * Starts an instance, and waits until it says its addresses.
 *
 * @param options Store and settings
 * @returns The instance; dispose it to kill it
 */
export async function startOwnProcess ({ platformUrl, settings = {}, nodeFlags = [] }: StartOwnProcessOptions): Promise<OwnProcess> {
  const file = join(await mkdtemp(join(tmpdir(), 'own-process-')), 'settings.json')
  await writeFile(file, JSON.stringify({
    instance: 'entry-0',
    failureDomain: 'sofia-a',
    region: 'sofia',
    platformUrl,
    regions: { 'sofia-a': 'sofia' },
    listen: { callers: listen, operators: listen, peers: listen },
    peerKeys: ['key-between-the-instances'],
    tokens: [{ name: 'test', team: 'operations', sha256: createHash('sha256').update(ownProcessToken).digest('hex') }],
    pollMs: 50,
    heartbeatMs: 100,
    ...settings
  }))
  const program = join(createRequire(import.meta.url).resolve('bilberryd'), '..', 'main.js')
  const child = spawn(process.execPath, [...nodeFlags, program, '--settings', file], { stdio })
  process.once('exit', () => child.kill('SIGKILL'))
  const ended = new Promise<{ code: number | null, signal: NodeJS.Signals | null }>(resolve => child.once('exit', (code, signal) => resolve({ code, signal })))
  let errors = ''
  child.stderr!.on('data', (part: Buffer) => { errors += part.toString() })
  const ready = new Promise<string>(resolve => createInterface(child.stdout!).once('line', resolve))
  const line = await Promise.race([ready, ended.then(() => { throw new Error(`Instance ended while it started: ${errors}`) })])
  return {
    child,
    addresses: JSON.parse(line) as OwnProcess['addresses'],
    ended,
    readErrors: () => errors,
    async [Symbol.asyncDispose] () {
      child.kill('SIGKILL')
      await ended
    }
  }
}
