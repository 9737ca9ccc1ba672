/**
 * Trouble with costly bytes beside other callers of an instance that is a process of its own, with the memory of the run line.
 *
 * @module
 */
import type { ExecutionContext } from 'ava'
import type { ChildProcess } from 'node:child_process'
import type { Socket } from 'node:net'
import type { SocketAddress } from '@bilberryworks/steering'
import type { EntryFiles } from './entry_process.ts'
import { once, setMaxListeners } from 'node:events'
import { mkdtemp } from 'node:fs/promises'
import { Agent, request } from 'node:http'
import { connect, createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as wait } from 'node:timers/promises'
import test from 'ava'
import { createCleanupStack } from '@bilberryworks/steering'
import { isEntryReady, startEntryProcess, writeEntryFiles } from './entry_process.ts'
import { listenOnLoopback } from './listeners.ts'
import { readResidentBytes } from './process_usage.ts'
import { createTargetRow } from './target_rows.ts'
import { createTestSite, testSiteHost, waitUntil } from './test_site.ts'

const bytesPerMb = 1_048_576
const memoryMb = 350
const otherCallers = 12
const otherPauseMs = 60
const calmDurationMs = 1_000
const troubleDurationMs = 5_000
const sampleIntervalMs = 20
/** Time left that requests state, in milliseconds. */
export const timeLeftMs = 4_000
const minServedShare = 0.99
/** Latency objective of the route of the other callers, in milliseconds. */
const objectiveMs = 500
/** Bound of the 99th percentile of the response times of others, as a multiple of that in calm. */
const maxSlowdown = 2
let siteCount = 0

/** A call of a caller. */
export interface Call { status: number | undefined, elapsedMs: number }

/** Starts a store, four sound targets, one that sends costly bytes for `/faulty/`, and an instance as a process of its own. */
async function startSite (faultyAddress: string | undefined) {
  const cleanup = createCleanupStack()
  const site = cleanup.add(await createTestSite())
  for (let index = 0; index < 4; index++) await site.openTarget(`t${index}`, { slots: 6, processingMs: 20 })
  if (faultyAddress !== undefined) site.store.writeRow('servers', 'faulty', createTargetRow({ service: 'faulty', address: faultyAddress, failureDomain: 'a-1', slots: 400 }))
  site.writeConfig({ timeout: `${timeLeftMs}ms` }, { faulty: site.createRoute('unsafe', { prefix: '/faulty/', service: 'faulty', timeout: `${timeLeftMs}ms`, max_attempts: 1 }) })
  const { socketAddress } = await site.store.openEndpoint()
  const folder = await mkdtemp(join(tmpdir(), 'received-bytes-test-'))
  const files = await writeEntryFiles({ index: 0, site: siteCount++, failureDomains: ['a-1'], store: socketAddress, folder, limits: { memory_mb: memoryMb } })
  const child = startEntryProcess(files)
  const ended = once(child, 'exit')
  cleanup.add({
    async [Symbol.asyncDispose] () {
      child.kill('SIGKILL')
      await ended
    }
  })
  if (!await waitUntil(() => isEntryReady(files))) throw new Error(`Instance is not ready; see its log in "${folder}"`)
  return { files, child, [Symbol.asyncDispose]: () => cleanup[Symbol.asyncDispose]() }
}

/** Sends a request; resolves with its status, `undefined` without a complete response, and the time it took. */
export function sendCall ({ callers }: EntryFiles, { id, path, agent }: { id: string, path: string, agent?: Agent }): Promise<Call> {
  const startedMs = performance.now()
  return new Promise(resolve => {
    const finish = (status: number | undefined): void => resolve({ status, elapsedMs: performance.now() - startedMs })
    const call = request({ ...callers, agent: agent ?? false, path, method: 'GET', timeout: timeLeftMs, headers: { Host: testSiteHost, 'X-Request-Id': id, 'X-Timeout-Ms': String(timeLeftMs) } }, response => {
      response.resume().on('close', () => finish(response.complete ? response.statusCode : undefined))
    })
    call.on('timeout', () => call.destroy()).on('error', () => finish(undefined)).end()
  })
}

/** Sends requests of other callers one after the other until a time. */
async function runOthers (files: EntryFiles, endMs: number): Promise<Call[]> {
  const callers = Array.from({ length: otherCallers }, async (_, caller) => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    const calls: Call[] = []
    while (performance.now() < endMs) {
      calls.push(await sendCall(files, { id: `other-${caller}-${calls.length}`, path: '/safe/x', agent }))
      await wait(otherPauseMs)
    }
    agent.destroy()
    return calls
  })
  return (await Promise.all(callers)).flat()
}

function computePercentile (calls: Call[], share: number): number {
  const times = calls.map(({ elapsedMs }) => elapsedMs).sort((a, b) => a - b)
  return Math.round(times[Math.min(times.length - 1, Math.floor(times.length * share))] ?? 0)
}

/** Runs senders of trouble beside other callers, and reports what became of the instance and of the others. */
async function runTrouble ({ files, child }: { files: EntryFiles, child: ChildProcess }, runSender: (signal: AbortSignal) => Promise<unknown>) {
  const calm = await runOthers(files, performance.now() + calmDurationMs)
  const abort = new AbortController()
  setMaxListeners(0, abort.signal)
  const endMs = performance.now() + troubleDurationMs
  const others = runOthers(files, endMs)
  const sending = runSender(abort.signal)
  let peakBytes = 0
  for (; performance.now() < endMs && child.exitCode === null && child.signalCode === null; await wait(sampleIntervalMs)) peakBytes = Math.max(peakBytes, readResidentBytes(child.pid!))
  const end = child.exitCode ?? child.signalCode
  abort.abort()
  await sending
  return { calm, others: await others, end, peakMb: Math.round(peakBytes / bytesPerMb) }
}

type TroubleResult = Awaited<ReturnType<typeof runTrouble>>

/** Checks that the instance lives within its memory, and that its other callers are served. */
function checkTrouble (t: ExecutionContext, { calm, others, end, peakMb }: TroubleResult): void {
  const served = others.filter(({ status }) => status === 200).length
  const [calmMs, troubleMs] = [calm, others].map(calls => computePercentile(calls, 0.99)) as [number, number]
  t.log(`${peakMb} MB resident, others ${served} of ${others.length}, 99th percentile ${troubleMs} ms, ${calmMs} ms in calm`)
  t.is(end, null)
  t.true(peakMb < memoryMb, `${peakMb} MB`)
  t.true(served >= others.length * minServedShare, `${served} of ${others.length}`)
}

/** Checks that the other callers of a run are served about as fast as in calm. */
function checkTimes (t: ExecutionContext, result: TroubleResult | undefined): void {
  const [calmMs, troubleMs] = [result?.calm ?? [], result?.others ?? []].map(calls => computePercentile(calls, 0.99)) as [number, number]
  t.not(result, undefined)
  t.true(troubleMs <= Math.max(objectiveMs, calmMs * maxSlowdown), `${troubleMs} ms`)
}

/** Options of {@linkcode addTroubleTest}. */
export interface AddTroubleTestOptions {
  /** Number of senders at the same time. */
  count: number
  /** Sends costly bytes once; called again when it has resolved, until the signal aborts. */
  send: (files: EntryFiles, options: { id: string, signal: AbortSignal }) => Promise<unknown>
  /** Opens the target that `/faulty/` leads to; none by default. */
  openTarget?: () => Promise<AsyncDisposable & { address: string }>
}

/**
 * Adds the tests that an instance serves other callers while senders send costly bytes, and about as fast as in calm.
 *
 * @param title Title of the test
 * @param options Senders
 */
export function addTroubleTest (title: string, { count, send, openTarget }: AddTroubleTestOptions): void {
  let result: TroubleResult | undefined
  test.serial(title, async t => {
    await using cleanup = createCleanupStack()
    const target = openTarget === undefined ? undefined : cleanup.add(await openTarget())
    const site = cleanup.add(await startSite(target?.address))
    result = await runTrouble(site, signal => Promise.all(Array.from({ length: count }, async (_, sender) => {
      for (let index = 0; !signal.aborted; index++) {
        const startedMs = performance.now()
        await send(site.files, { id: `faulty-${sender}-${index}`, signal })
        await wait(Math.max(0, otherPauseMs - (performance.now() - startedMs)))
      }
    })))
    checkTrouble(t, result)
  })
  test.serial(`${title}, as fast as in calm`, t => checkTimes(t, result))
}

/**
 * Opens a target that sends the start of a response to each request, and nothing more.
 *
 * @param createStart Creates what it sends, for the identifier of a request
 * @returns The target
 */
export async function openStallingTarget (createStart: (id: string) => string): Promise<AsyncDisposable & { address: string }> {
  const sockets = new Set<Socket>()
  const server = createServer(socket => {
    sockets.add(socket)
    socket.on('error', () => {}).once('close', () => sockets.delete(socket))
    socket.on('data', data => socket.write(createStart(/x-request-id: (\S+)/i.exec(String(data))?.[1] ?? '')))
  })
  const { host, port } = await listenOnLoopback(server)
  return {
    address: `${host}:${port}`,
    async [Symbol.asyncDispose] () {
      for (const socket of sockets) socket.destroy()
      await new Promise<void>(resolve => server.close(() => resolve()))
    }
  }
}

/**
 * Sends bytes, and others over and over.
 *
 * @param address Address of a listener
 * @param options Bytes to send first, bytes to repeat without end, and a signal that closes the connection
 * @returns Resolves when the connection has closed
 */
export async function sendBytes (address: SocketAddress, { start, repeated, signal }: { start: string, repeated?: string, signal: AbortSignal }): Promise<void> {
  const socket = connect({ ...address, noDelay: true }).on('error', () => {}).resume()
  const closed = new Promise<void>(resolve => socket.once('close', () => resolve()))
  const abort = (): void => { socket.destroy() }
  signal.addEventListener('abort', abort)
  socket.write(start)
  if (repeated !== undefined) {
    const part = Buffer.from(repeated)
    const send = (): void => {
      if (socket.destroyed) return
      if (socket.write(part)) setImmediate(send)
      else socket.once('drain', send)
    }
    send()
  }
  await closed
  signal.removeEventListener('abort', abort)
}

/**
 * Creates header fields that are as short as they can be, all of them different.
 *
 * @param bytes Their size, in bytes; about
 * @returns The fields
 */
export function createShortFields (bytes: number): string {
  let text = ''
  for (let index = 46_656; text.length < bytes - 16; index++) text += `${index.toString(36)}:\r\n`
  return text
}
