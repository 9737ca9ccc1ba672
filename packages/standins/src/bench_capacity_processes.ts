/**
 * Measures processor time and I/O of real instance processes that serve no callers, and thus the cost of control traffic.
 *
 * @module
 */
import type { Settings } from 'bilberryd'
import type { AddTable } from './bench_capacity_report.ts'
import type { InstanceAddresses } from './cluster.ts'
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout } from 'node:timers/promises'
import { createStorePlatform } from '@bilberryworks/platform'
import { writeAcceptedDocument } from './accept_document.ts'
import { readCpuSeconds } from './process_usage.ts'
import { startChild } from './child.ts'
import { createCleanupStack } from '@bilberryworks/steering'
import { locateDaemon, locateScript } from './cluster.ts'
import { createDocument, deployments } from './deployments.ts'

const fleets = [
  { processes: 4, pollMs: 1_000 },
  { processes: 24, pollMs: 1_000 },
  { processes: 16, pollMs: 1_000 },
  { processes: 16, pollMs: 5_000 }
]
const pollsPerHeartbeat = 4
const settleMs = 12_000
const windowMs = 20_000
const domainCount = 10
const regionCount = 3

/** Measures the processor time and bytes per instance, in fleets of real processes. */
export async function measureProcesses (addTable: AddTable): Promise<void> {
  const rows = []
  for (const fleet of fleets) rows.push(await measureFleet(fleet))
  addTable('Control traffic of real processes that serve no callers, for each node', rows)
}

async function measureFleet ({ processes: count, pollMs }: { processes: number, pollMs: number }): Promise<object> {
  await using stack = createCleanupStack()
  const { ready: { url } } = stack.add(await startChild<{ url: string }>(locateScript('main_platform.js'), []))
  await using platform = createStorePlatform(url)
  for (const service of deployments.kutiyka.services) await writeAcceptedDocument(platform, createDocument(deployments.kutiyka, service))
  const folder = await mkdtemp(join(tmpdir(), 'bilberryworks-'))
  stack.add({ [Symbol.asyncDispose]: () => rm(folder, { recursive: true }) })
  const pids: number[] = []
  for (let index = 0; index < count; index++) {
    const file = join(folder, `${index}.json`)
    await writeFile(file, JSON.stringify(createSettings(index, { platformUrl: url, pollMs })))
    const child = stack.add(await startChild<InstanceAddresses>(locateDaemon(), ['--settings', file]))
    pids.push(child.process.pid!)
  }
  await setTimeout(settleMs)
  const before = await Promise.all(pids.map(readResourceUsage))
  await setTimeout(windowMs)
  const after = await Promise.all(pids.map(readResourceUsage))
  const computePerNodeAndSecond = (key: 'cpuSeconds' | 'bytes'): number => after.reduce((sum, usage, index) => sum + usage[key] - before[index]![key], 0) / count / (windowMs / 1000)
  return { processes: count, pollMs, corePercent: Math.round(computePerNodeAndSecond('cpuSeconds') * 1e4) / 100, bytesPerSecond: Math.round(computePerNodeAndSecond('bytes')) }
}

function createSettings (index: number, options: { platformUrl: string, pollMs: number }): Settings {
  const { platformUrl, pollMs } = options
  const listen = { host: '127.0.0.1', port: 0 }
  const domain = index % domainCount
  return {
    instance: `node-${index}`,
    failureDomain: `site-${domain}`,
    region: `region-${domain % regionCount}`,
    platformUrl,
    listen: { callers: listen, operators: listen, peers: listen },
    peerKeys: ['capacity-measurement'],
    seedPeers: [],
    tokens: [],
    lookUpTtlSeconds: 30,
    pollMs,
    heartbeatMs: pollMs * pollsPerHeartbeat,
    stopLimitMs: 1_000,
    longestDispatchMs: 10_000,
    headersTimeoutMs: 10_000,
    bodyIdleTimeoutMs: 30_000,
    links: []
  }
}

/** Reads the processor time of a process, and the bytes that its system calls have read and written, nearly all of them on sockets. */
async function readResourceUsage (pid: number): Promise<{ cpuSeconds: number, bytes: number }> {
  const text = await readFile(`/proc/${pid}/io`, 'utf8')
  const readField = (name: string): number => Number(new RegExp(`^${name}: (\\d+)`, 'm').exec(text)?.[1])
  return { cpuSeconds: readCpuSeconds(pid), bytes: readField('rchar') + readField('wchar') }
}
