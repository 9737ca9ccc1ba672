import type { ChildProcess } from 'node:child_process'
import { spawn } from 'node:child_process'
import { mkdtemp, writeFile } from 'node:fs/promises'
import { createRequire } from 'node:module'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as wait } from 'node:timers/promises'
import test from 'ava'
import { listenOnLoopback } from './listeners.ts'

/** Time after SIGTERM within which a start that waits must have ended, in milliseconds. */
const endToleranceMs = 500
/** Time that a process may take to load its program and to respond, in milliseconds. */
const startMs = 30_000
const pollMs = 20
const listeners = ['callers', 'operators', 'peers'] as const
type Listener = typeof listeners[number]

/** How a process ended. */
interface ProcessEnd { code: number | null, signal: NodeJS.Signals | null }

/** Writes the settings of an instance, one of whose addresses is taken. */
async function createStart (taken?: Listener) {
  const server = createServer()
  const { port } = await listenOnLoopback(server)
  const listen = Object.fromEntries(listeners.map(name => [name, { host: '127.0.0.1', port: name === taken ? port : 0 }]))
  const settingsFile = join(await mkdtemp(join(tmpdir(), 'own-start-test-')), 'settings.json')
  const text = JSON.stringify({ instance: 'entry-0', failureDomain: 'sofia-a', region: 'sofia', platformUrl: 'http://127.0.0.1:9', regions: { 'sofia-a': 'sofia' }, listen, peerKeys: ['key-between-the-instances'], tokens: [], lookUpTtlSeconds: 1 })
  await writeFile(settingsFile, text)
  const children: ChildProcess[] = []
  return {
    settingsFile,
    text,
    release: () => server.close(),
    start (nodeFlags: string[] = []): { child: ChildProcess, ended: Promise<ProcessEnd>, output: { stdout: string, stderr: string } } {
      const program = join(createRequire(import.meta.url).resolve('bilberryd'), '..', 'main.js')
      const child = spawn(process.execPath, [...nodeFlags, program, '--settings', settingsFile], { stdio: ['ignore', 'pipe', 'pipe'] })
      children.push(child)
      const output = { stdout: '', stderr: '' }
      for (const name of ['stdout', 'stderr'] as const) child[name].on('data', (part: Buffer) => { output[name] += String(part) })
      return { child, ended: new Promise(resolve => child.once('close', (code, signal) => resolve({ code, signal }))), output }
    },
    async [Symbol.asyncDispose] () {
      server.close()
      for (const child of children) child.kill('SIGKILL')
    }
  }
}

function countMatches (text: string, pattern: RegExp): number {
  return [...text.matchAll(pattern)].length
}

/** Polls a condition until it is true, for 30 s; returns whether it became true. */
async function waitUntil (check: () => boolean): Promise<boolean> {
  const deadlineMs = performance.now() + startMs
  while (!check() && performance.now() < deadlineMs) await wait(pollMs)
  return check()
}

for (const listener of listeners) {
  test.serial(`a start of the own interface waits while the address for ${listener} is taken`, async t => {
    await using started = await createStart(listener)
    const { child, output } = started.start()
    t.true(await waitUntil(() => child.exitCode !== null || output.stderr.includes('tried again')))
    await wait(1_500)
    t.is(child.exitCode, null)
    t.is(output.stdout, '')
    started.release()
    t.true(await waitUntil(() => output.stdout.includes('"ready":true')))
    t.deepEqual([countMatches(output.stderr, /tried again/g), countMatches(output.stderr, /Listener opened/g)], [1, 1])
  })
}

test.serial('SIGTERM ends a start of the own interface that waits for an address at once', async t => {
  await using started = await createStart('callers')
  const { child, ended, output } = started.start()
  t.true(await waitUntil(() => output.stderr.includes('tried again')))
  const signalledAtMs = performance.now()
  child.kill('SIGTERM')
  t.deepEqual(await ended, { code: 0, signal: null })
  t.true(performance.now() - signalledAtMs < endToleranceMs)
})

test.serial('a start of the own interface whose address stays taken ends with status 69 and without a stack trace', async t => {
  await using started = await createStart('operators')
  const { ended, output } = started.start()
  t.deepEqual(await ended, { code: 69, signal: null })
  t.is(countMatches(output.stderr, /Start failed/g), 1)
  t.notRegex(output.stderr, /^\s+at /m)
})

test.serial('a start of the own interface waits while its settings file is cut short', async t => {
  await using started = await createStart()
  await writeFile(started.settingsFile, started.text.slice(0, started.text.length / 2))
  const { child, output } = started.start()
  t.true(await waitUntil(() => child.exitCode !== null || output.stderr.includes('Settings are read again')))
  await wait(1_500)
  t.is(child.exitCode, null)
  await writeFile(started.settingsFile, started.text)
  t.true(await waitUntil(() => output.stdout.includes('"ready":true')))
})

/** Lets accepting a connection fail ten times on each listener, at SIGUSR2. */
const failAccepts = `
  import { Server } from 'node:net'
  const { listen } = Server.prototype
  Server.prototype.listen = function (...options) {
    process.on('SIGUSR2', () => { for (let index = 0; index < 10; index++) this._handle.onconnection(-24) })
    return listen.apply(this, options)
  }`

test.serial('connections that can not be accepted do not end the own interface', async t => {
  await using started = await createStart()
  const { child, output } = started.start(['--import', `data:text/javascript,${encodeURIComponent(failAccepts)}`])
  t.true(await waitUntil(() => output.stdout.includes('"ready":true')))
  child.kill('SIGUSR2')
  t.true(await waitUntil(() => child.exitCode !== null || countMatches(output.stderr, /failed to accept/g) === listeners.length))
  t.is(child.exitCode, null)
  const { operators } = JSON.parse(output.stdout) as { operators: string }
  const metrics = await (await fetch(`http://${operators}/metrics`)).text()
  for (const listener of listeners) t.true(metrics.includes(`bilberry_listener_errors_total{listener="${listener}"} 10\n`), listener)
  t.is(countMatches(output.stderr, /failed to accept/g), listeners.length)
})
