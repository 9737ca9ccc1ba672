/**
 * Measures what loads of different kinds take of the memory of an entry instance, as a process of its own.
 *
 * @module
 */
import type { ChildProcess } from 'node:child_process'
import type { Socket } from 'node:net'
import type { EntryFiles } from './entry_process.ts'
import type { TestSite } from './test_site.ts'
import { once } from 'node:events'
import { mkdtemp, readFile } from 'node:fs/promises'
import { createServer } from 'node:http'
import { connect } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as wait } from 'node:timers/promises'
import { command, number, option, optional, run, string } from 'cmd-ts'
import { createCleanupStack } from '@bilberryworks/steering'
import { renderTable } from './bench_part.ts'
import { isEntryReady, readEntryLog, startEntryProcess, writeEntryFiles } from './entry_process.ts'
import { listenOnLoopback } from './listeners.ts'
import { formatRequestHead, openRawCaller } from './raw_caller.ts'
import { createTargetRow } from './target_rows.ts'
import { createTestSite, testSiteHost, waitUntil } from './test_site.ts'

/** What a load works with. */
interface LoadContext {
  /** Site with one target, `t0`. */
  site: TestSite
  /** The instance. */
  files: EntryFiles
  /** Size of the load: connections, uploads or responses. */
  count: number
}

/** A load, and its default size. */
interface MemoryLoad {
  /** Name on the command line. */
  name: string
  /** Default size. */
  count: number
  /** Runs the load; resolves when it has been held for its time, with what became of it. */
  run: (context: LoadContext) => Promise<string>
}

/** Heap and buffers of a process. */
interface HeapSample { heapUsed: number, heapTotal: number, arrayBuffers: number }

const bytesPerMb = 1_048_576
const targets = 506
const routes = 350
const configIntervalMs = 330
const configDurationMs = 4_000
const uploadBytes = 360_000
const responseBytes = 1_000_000
const holdMs = 3_000
const longMs = 20_000
const openBatch = 200
const slowSlots = 3

/** Writes a line with the heap and buffers of the process every 20 ms. */
const sampler = `
  import { writeSync } from 'node:fs'
  setInterval(() => {
    const { heapUsed, heapTotal, arrayBuffers } = process.memoryUsage()
    writeSync(1, JSON.stringify({ event: 'memory_sample', heapUsed, heapTotal, arrayBuffers }) + '\\n')
  }, 20).unref()`

/** Counts equal texts, as in `200 × 3`. */
function countTexts (texts: string[]): string {
  const counts = new Map<string, number>()
  for (const each of texts) counts.set(each, (counts.get(each) ?? 0) + 1)
  return [...counts].map(([each, times]) => `${each} × ${times}`).join(', ')
}

async function sendSmall ({ files }: LoadContext, index: number): Promise<string> {
  const caller = openRawCaller(files.callers)
  caller.socket.write(formatRequestHead('/safe/x', { host: testSiteHost, id: `small-${index}`, timeLeftMs: 2_000 }))
  const { status } = await caller.response
  caller.socket.destroy()
  return String(status)
}

/** Changes a configuration with many routes again and again, while many targets are registered and requests arrive. */
async function runConfigurations (context: LoadContext): Promise<string> {
  const { site, count } = context
  for (let index = 0; index < targets; index++) {
    site.store.writeRow('servers', `many-${index}`, createTargetRow({ service: 'many', address: `127.0.0.1:${1_000 + index}`, failureDomain: `a-${1 + index % 2}`, slots: 6 }))
  }
  const endMs = performance.now() + configDurationMs
  const results: Array<Promise<string>> = []
  for (let round = 0; performance.now() < endMs; round++) {
    const added = Object.fromEntries(Array.from({ length: count }, (_, index) => [`added-${index}`, site.createRoute('safe', { prefix: `/added/${round}/${index}/`, host: `host-${index}.example`, home_regions: ['a'] })]))
    site.writeConfig({ timeout: `${1_000 + round}ms` }, added)
    for (let index = 0; index < 20; index++) results.push(sendSmall(context, round * 20 + index))
    await wait(configIntervalMs)
  }
  return countTexts(await Promise.all(results))
}

/** Opens connections that carry one request each and stay open. */
async function runConnections ({ files, count }: LoadContext): Promise<string> {
  const results: string[] = []
  const callers: Array<ReturnType<typeof openRawCaller>> = []
  while (callers.length < count) {
    const batch = Array.from({ length: Math.min(openBatch, count - callers.length) }, (_, index) => {
      const caller = openRawCaller(files.callers)
      caller.socket.write(formatRequestHead('/safe/x', { host: testSiteHost, id: `idle-${callers.length + index}`, timeLeftMs: 5_000 }))
      return caller
    })
    results.push(...await Promise.all(batch.map(async caller => String((await caller.response).status))))
    callers.push(...batch)
  }
  await wait(holdMs)
  const open = callers.filter(({ socket }) => !socket.destroyed).length
  for (const { socket } of callers) socket.destroy()
  return `${countTexts(results)}; ${open} open`
}

/** Opens connections that never carry a request. */
async function runSilentConnections ({ files, count }: LoadContext): Promise<string> {
  const sockets: Socket[] = []
  while (sockets.length < count) {
    const batch: Socket[] = Array.from({ length: Math.min(openBatch, count - sockets.length) }, () => connect(files.callers).on('error', () => {}))
    await Promise.all(batch.map(socket => once(socket, 'connect')))
    sockets.push(...batch)
  }
  await wait(1_000)
  const open = sockets.filter(socket => !socket.destroyed).length
  for (const socket of sockets) socket.destroy()
  return `${open} open after 1 s`
}

/** Sends requests at once that a few slots of a slow target serve; resolves after some seconds. */
async function runWaiting ({ site, files, count }: LoadContext, bodyBytes: number | undefined): Promise<string> {
  await site.openTarget('slow', { service: 'slow', slots: slowSlots, processingMs: longMs })
  site.writeConfig({ timeout: '30s' }, { slow: site.createRoute(bodyBytes === undefined ? 'safe' : 'upload', { prefix: '/slow/', service: 'slow', timeout: '30s' }) })
  await wait(1_000)
  const body = Buffer.alloc(bodyBytes ?? 0, 'x')
  const callers = Array.from({ length: count }, (_, index) => {
    const caller = openRawCaller(files.callers)
    caller.socket.write(formatRequestHead('/slow/x', { host: testSiteHost, id: `waiting-${index}`, timeLeftMs: longMs, ...bodyBytes === undefined ? {} : { bodyBytes } }))
    if (body.length > 0) caller.socket.write(body)
    return caller
  })
  const results: string[] = []
  for (const caller of callers) caller.response.then(({ status, headers }) => results.push(`${status} ${headers['bilberry-reason'] ?? ''}`), () => {})
  await wait(holdMs)
  for (const { socket } of callers) socket.destroy()
  return `${countTexts(results)}; ${count - results.length} waiting after ${holdMs / 1_000} s`
}

/** Asks for long responses without reading them. */
async function runResponses ({ site, files, count }: LoadContext): Promise<string> {
  const body = Buffer.alloc(responseBytes, 'y')
  const server = createServer((message, response) => {
    message.resume()
    response.writeHead(200, { 'X-Request-Id': String(message.headers['x-request-id']), 'X-Server-Signature': 's', 'Content-Length': responseBytes }).end(body)
  })
  const { host, port } = await listenOnLoopback(server)
  site.store.writeRow('servers', 'long', createTargetRow({ service: 'long', address: `${host}:${port}`, failureDomain: 'a-1', slots: count }))
  site.writeConfig({}, { long: site.createRoute('safe', { prefix: '/long/', service: 'long', timeout: '30s' }) })
  await wait(1_000)
  const callers = Array.from({ length: count }, (_, index) => {
    const caller = openRawCaller(files.callers)
    caller.socket.pause()
    caller.socket.write(formatRequestHead('/long/x', { host: testSiteHost, id: `long-${index}`, timeLeftMs: longMs }))
    return caller
  })
  await wait(holdMs)
  for (const { socket } of callers) socket.destroy()
  server.closeAllConnections()
  server.close()
  return `held ${holdMs / 1_000} s`
}

const loads: MemoryLoad[] = [
  { name: 'none', count: 0, run: async () => { await wait(holdMs); return '' } },
  { name: 'configurations', count: routes, run: runConfigurations },
  { name: 'connections', count: 5_000, run: runConnections },
  { name: 'silent', count: 5_000, run: runSilentConnections },
  { name: 'uploads', count: 500, run: context => runWaiting(context, uploadBytes) },
  { name: 'requests', count: 5_000, run: context => runWaiting(context, undefined) },
  { name: 'responses', count: 500, run: runResponses }
]

async function readPeakResidentMb (pid: number): Promise<number> {
  const status = await readFile(`/proc/${pid}/status`, 'utf8')
  return Number(/^VmHWM:\s*(\d+)/m.exec(status)?.[1] ?? 0) / 1_024
}

/** Runs a load against a new instance; returns a row of the table. */
async function measureLoad ({ name, run: runLoad }: MemoryLoad, { count, nodeFlags }: { count: number, nodeFlags: string[] }): Promise<Array<string | number>> {
  await using cleanup = createCleanupStack()
  const site = cleanup.add(await createTestSite())
  site.writeConfig()
  await site.openTarget('t0', { slots: 200 })
  const storeEndpoint = await site.store.openEndpoint()
  const folder = await mkdtemp(join(tmpdir(), 'memory-'))
  const files = await writeEntryFiles({ index: 0, site: 0, failureDomains: ['a-1', 'a-2'], store: storeEndpoint.socketAddress, folder, limits: { memory_mb: 350 } })
  const child: ChildProcess = startEntryProcess(files, { nodeFlags: [...nodeFlags, '--import', `data:text/javascript,${encodeURIComponent(sampler)}`] })
  const ended = once(child, 'exit')
  if (!await waitUntil(() => isEntryReady(files))) throw new Error('Instance is not ready')
  const result = await runLoad({ site, files, count })
  const isAlive = child.exitCode === null && child.signalCode === null
  const residentMb = isAlive ? await readPeakResidentMb(child.pid!) : NaN
  child.kill('SIGKILL')
  await ended
  const samples = (await readEntryLog(files)).filter(line => line['event'] === 'memory_sample') as unknown as HeapSample[]
  const peakMb = (read: (sample: HeapSample) => number): number => Math.round(Math.max(...samples.map(read)) / bytesPerMb)
  return [name, count, Math.round(residentMb), peakMb(each => each.heapUsed), peakMb(each => each.heapTotal), peakMb(each => each.arrayBuffers), isAlive ? 'yes' : `no (${child.exitCode ?? child.signalCode}), log in ${folder}`, result]
}

const memory = command({
  name: 'memory',
  description: 'Measures the memory of an entry instance under loads of different kinds; all by default',
  args: {
    count: option({ long: 'count', type: optional(number), description: 'Size of the load in place of its default' }),
    name: option({ long: 'load', type: optional(string), description: `One of ${loads.map(each => each.name).join(', ')}` }),
    heapMb: option({ long: 'heap-mb', type: optional(number), description: 'Limit of the heap in place of that of the deploy file, in MB' })
  },
  async handler ({ count, name, heapMb }) {
    const rows = []
    for (const load of loads.filter(each => name === undefined || each.name === name)) rows.push(await measureLoad(load, { count: count ?? load.count, nodeFlags: heapMb === undefined ? [] : [`--max-old-space-size=${heapMb}`] }))
    console.log(renderTable(['load', 'size', 'peak resident MB', 'peak heap used MB', 'heap total MB', 'buffers MB', 'alive', 'result'], rows))
    process.exit(0)
  }
})

await run(memory, process.argv.slice(2))
