/**
 * Measures processor time, memory and latency of an instance that serves look-ups with a map of client blocks.
 *
 * @module
 */
import type { InstanceRecord } from '@bilberryworks/steering'
import type { Settings } from 'bilberryd'
import type { InstanceAddresses } from './cluster.ts'
import type { AddTable } from './bench_capacity_report.ts'
import type { CleanupStack } from '@bilberryworks/steering'
import { createHash } from 'node:crypto'
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createStorePlatform, TableName } from '@bilberryworks/platform'
import { LifecycleState } from '@bilberryworks/steering'
import { Pool, request } from 'undici'
import { writeAcceptedDocument } from './accept_document.ts'
import { createClientAddress, publishBlocks } from './bench_capacity_map.ts'
import { startChild } from './child.ts'
import { createCleanupStack } from '@bilberryworks/steering'
import { locateDaemon, locateScript } from './cluster.ts'
import { createDocument, deployments } from './deployments.ts'
import { readCpuSeconds } from './process_usage.ts'

const nodeCount = 550
const domainCount = 10
const regionNames = ['sofia', 'plovdiv', 'varna']
const offeredPerSecond = 870
const openLoopSeconds = 8
const closedLoopLookUps = 20_000
const connections = 16
const settleMs = 6_000
const mapLoadTimeoutMs = 120_000
const token = 'capacity'

/** Measurements of an instance that serves look-ups. */
export interface LookUpFigures {
  /** Number of instances in the fleet. */
  nodes: number
  /** Number of client blocks in the map. */
  blocks: number
  /** Processor use without look-ups, in percent of a core. */
  idleCorePercent: number
  /** Processor time per look-up under closed-loop load, in microseconds. */
  microsecondsPerLookUp: number
  /** Rate of the open-loop load, in look-ups per second. */
  offeredPerSecond: number
  /** Processor use under open-loop load, in percent of a core. */
  corePercent: number
  /** Median latency under open-loop load, in milliseconds. */
  p50Ms: number
  /** 99th percentile of the latency under open-loop load, in milliseconds. */
  p99Ms: number
  /** Resident memory after the load, in mebibytes. */
  rssMegabytes: number
}

/** The process under measurement and its addresses. */
interface MeasuredInstance {
  pid: number
  addresses: InstanceAddresses
}

/**
 * Measures an instance that serves look-ups at several sizes of the fleet and of the map, and the loading of a new map while it serves them.
 *
 * @param blockCounts Numbers of client blocks in the map, ascending; 0 means no map
 * @param addTable Receives the tables of results
 * @returns The measurements at each size
 */
export async function measureLookUps (blockCounts: number[], addTable: AddTable): Promise<LookUpFigures[]> {
  await using stack = createCleanupStack()
  const figures: LookUpFigures[] = []
  const mapLoads: object[] = []
  for (const nodes of [7, nodeCount]) {
    const { instance, platformUrl } = await startMeasuredInstance(stack, nodes)
    for (const [index, blocks] of blockCounts.entries()) {
      await writeOtherHeartbeats(platformUrl, { nodes, sequence: index + 2 })
      if (blocks > 0) mapLoads.push({ nodes, ...await measureMapLoadWhileServing(instance, { platformUrl, blocks }) })
      figures.push(await measureInstance(instance, { nodes, blocks }))
    }
  }
  addTable('Loading of a map while 870 look-ups per second are served', mapLoads)
  addTable('An instance that serves look-ups', figures)
  return figures
}

async function startMeasuredInstance (stack: CleanupStack, nodes: number): Promise<{ instance: MeasuredInstance, platformUrl: string }> {
  const { ready: { url } } = stack.add(await startChild<{ url: string }>(locateScript('main_platform.js'), []))
  const folder = await mkdtemp(join(tmpdir(), 'bilberryworks-'))
  stack.add({ [Symbol.asyncDispose]: () => rm(folder, { recursive: true }) })
  await using platform = createStorePlatform(url)
  await writeAcceptedDocument(platform, createDocument(deployments.kutiyka, deployments.kutiyka.services[0]))
  await writeOtherHeartbeats(url, { nodes, sequence: 1 })
  const file = join(folder, 'settings.json')
  await writeFile(file, JSON.stringify(createSettings(url)))
  const child = stack.add(await startChild<InstanceAddresses>(locateDaemon(), ['--settings', file]))
  while ((await request(`http://${child.ready.operators}/readyz`)).statusCode !== 200) await waitMs(50)
  return { instance: { pid: child.process.pid!, addresses: child.ready }, platformUrl: url }
}

/** Maximum number of rows in a transaction of the store. */
const maxTransactionRows = 100

/** Writes the heartbeat rows of all instances of the fleet except the measured one. */
async function writeOtherHeartbeats (platformUrl: string, options: { nodes: number, sequence: number }): Promise<void> {
  await using platform = createStorePlatform(platformUrl)
  const otherRecords = Array.from({ length: options.nodes - 1 }, (_, index) => createRecord(index, options.sequence))
  const writes = otherRecords.map(value => ({ table: TableName.Instances, key: `${value.instance}/${value.incarnation}`, value }))
  for (let first = 0; first < writes.length; first += maxTransactionRows) await platform.writeRows(writes.slice(first, first + maxTransactionRows))
}

function createRecord (index: number, sequence: number): InstanceRecord {
  const domain = index % domainCount
  return {
    instance: `node-${index}`,
    incarnation: `8d4f0c1e-3f0a-4f0e-9c56-${String(index).padStart(12, '0')}`,
    failureDomain: `site-${domain}`,
    region: regionNames[domain % regionNames.length]!,
    callerAddress: `10.${domain}.0.${index}:8080`,
    peerAddress: '127.0.0.1:9',
    state: LifecycleState.Live,
    sequence,
    pinEpoch: 0
  }
}

function createSettings (platformUrl: string): Settings {
  const listen = { host: '127.0.0.1', port: 0 }
  return {
    instance: 'measured',
    failureDomain: 'site-0',
    region: 'sofia',
    platformUrl,
    listen: { callers: listen, operators: listen, peers: listen },
    peerKeys: ['capacity-measurement'],
    seedPeers: [],
    tokens: [{ name: 'bench', team: 'operations', sha256: createHash('sha256').update(token).digest('hex') }],
    lookUpTtlSeconds: 30,
    pollMs: 5_000,
    heartbeatMs: 60_000,
    stopLimitMs: 1_000,
    longestDispatchMs: 10_000,
    links: [],
    headersTimeoutMs: 10_000,
    bodyIdleTimeoutMs: 30_000
  }
}

async function measureInstance (instance: MeasuredInstance, size: { nodes: number, blocks: number }): Promise<LookUpFigures> {
  await using pool = createPool(instance)
  await runClosedLoop(pool, closedLoopLookUps / 4)
  await waitMs(settleMs)
  const idleStartCpuSeconds = readCpuSeconds(instance.pid)
  await waitMs(settleMs)
  const idleCores = (readCpuSeconds(instance.pid) - idleStartCpuSeconds) / (settleMs / 1000)
  const closedLoopStartCpuSeconds = readCpuSeconds(instance.pid)
  await runClosedLoop(pool, closedLoopLookUps)
  const closedLoopCpuSeconds = readCpuSeconds(instance.pid) - closedLoopStartCpuSeconds
  const openLoopStartCpuSeconds = readCpuSeconds(instance.pid)
  const latencies = await runOpenLoop(pool, openLoopSeconds)
  const openLoopCores = (readCpuSeconds(instance.pid) - openLoopStartCpuSeconds) / openLoopSeconds
  return {
    ...size,
    idleCorePercent: computeTenths(idleCores * 100),
    microsecondsPerLookUp: computeTenths(closedLoopCpuSeconds * 1e6 / closedLoopLookUps),
    offeredPerSecond,
    corePercent: computeTenths(openLoopCores * 100),
    p50Ms: computeTenths(latencies[latencies.length >> 1]!),
    p99Ms: computeTenths(latencies[Math.floor(latencies.length * 0.99)]!),
    rssMegabytes: await readRssMegabytes(instance.pid)
  }
}

async function measureMapLoadWhileServing (instance: MeasuredInstance, options: { platformUrl: string, blocks: number }): Promise<object> {
  await using pool = createPool(instance)
  const revision = await readMetric(instance, 'bilberry_client_blocks_revision')
  await publishBlocks(options.platformUrl, { blocks: options.blocks })
  const startMs = performance.now()
  const cpuStartSeconds = readCpuSeconds(instance.pid)
  const latencies: number[] = []
  while (await readMetric(instance, 'bilberry_client_blocks_revision') === revision) {
    if (performance.now() - startMs > mapLoadTimeoutMs) throw new Error('Instance did not load the published map of client blocks in time')
    latencies.push(...await runOpenLoop(pool, 0.5))
  }
  latencies.sort((a, b) => a - b)
  return {
    loadedBlocks: options.blocks,
    inForceAfterMs: Math.round(performance.now() - startMs),
    cpuSeconds: computeTenths(readCpuSeconds(instance.pid) - cpuStartSeconds),
    p99Ms: computeTenths(latencies[Math.floor(latencies.length * 0.99)]!),
    longestMs: computeTenths(latencies.at(-1)!),
    rssMegabytes: await readRssMegabytes(instance.pid),
    rssPeakMegabytes: await readRssMegabytes(instance.pid, 'VmHWM')
  }
}

function createPool (instance: MeasuredInstance): Pool & AsyncDisposable {
  const pool = new Pool(`http://${instance.addresses.callers}`, { connections, pipelining: 1 })
  return Object.assign(pool, { [Symbol.asyncDispose]: () => pool.close() })
}

async function sendLookUp (pool: Pool, index: number): Promise<void> {
  const response = await pool.request({ method: 'GET', path: `/v1/services/lunchbox-api/entries?client=${createClientAddress(index * 104_729)}` })
  await response.body.dump()
  if (response.statusCode !== 200) throw new Error(`Look-up failed with status ${response.statusCode}, expected 200`)
}

/** Sends look-ups in a closed loop: each connection sends the next look-up as soon as it has the response to the previous one. */
async function runClosedLoop (pool: Pool, count: number): Promise<void> {
  let next = 0
  const runConnection = async (): Promise<void> => {
    while (next < count) await sendLookUp(pool, next++)
  }
  await Promise.all(Array.from({ length: connections }, runConnection))
}

/** Sends look-ups in an open loop at the offered rate. Returns their latencies in ascending order, in milliseconds. Each is measured from the time that the look-up was due, and so includes delays of the sender. */
async function runOpenLoop (pool: Pool, seconds: number): Promise<number[]> {
  const total = Math.floor(offeredPerSecond * seconds)
  const startMs = performance.now()
  const latencies: number[] = []
  const pending: Array<Promise<void>> = []
  for (let sent = 0; sent < total;) {
    const dueCount = Math.min(total, Math.floor((performance.now() - startMs) * offeredPerSecond / 1000))
    for (; sent < dueCount; sent++) {
      const dueMs = startMs + sent * 1000 / offeredPerSecond
      pending.push(sendLookUp(pool, sent).then(() => { latencies.push(performance.now() - dueMs) }))
    }
    await waitMs(1)
  }
  await Promise.all(pending)
  return latencies.sort((a, b) => a - b)
}

async function readMetric (instance: MeasuredInstance, name: string): Promise<number> {
  const response = await request(`http://${instance.addresses.operators}/metrics`)
  return Number(new RegExp(`^${name} (.*)$`, 'm').exec(await response.body.text())?.[1])
}

async function readRssMegabytes (pid: number, field = 'VmRSS'): Promise<number> {
  const text = await readFile(`/proc/${pid}/status`, 'utf8')
  return Math.round(Number(new RegExp(`^${field}:\\s+(\\d+) kB`, 'm').exec(text)?.[1]) / 1024)
}

async function waitMs (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}

function computeTenths (value: number): number {
  return Math.round(value * 10) / 10
}
