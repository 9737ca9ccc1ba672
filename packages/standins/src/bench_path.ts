/**
 * Measures the path of a request through an instance: added latency, throughput per core, memory for uploads and idempotency keys, and drain time.
 *
 * @module
 */
import type { BenchReport } from './bench_part.ts'
import type { Cluster } from './cluster.ts'
import type { Deployment } from './deployments.ts'
import { randomUUID } from 'node:crypto'
import { build as buildHistogram } from 'hdr-histogram-js'
import { Agent } from 'undici'
import { renderTable } from './bench_part.ts'
import { measureIdempotencyStoreMemory, measureKeyStrategies } from './bench_keys.ts'
import { startCluster } from './cluster.ts'
import { DeploymentName, deployments } from './deployments.ts'
import { sendLargeUpload } from './large_upload.ts'
import { runLoad } from './load.ts'
import { measureMemoryRise, readCpuSeconds } from './process_usage.ts'

const warmUpRequests = 200
const latencyRequests = 1_000
const loadMs = 4_000
const idleMs = 2_000
const loadCallers = 32
const uploadBytes = 1024 * 1024 * 1024

/** Latency percentiles of one path to a target. */
interface LatencyRow {
  way: string
  p50Ms: number
  p99Ms: number
}

/**
 * Measures the path of a request on the Trwsio deployment, with targets that respond immediately.
 *
 * @returns The report
 */
export async function runPathBench (): Promise<BenchReport> {
  const deployment = deployments[DeploymentName.Trwsio]
  await using cluster = await startCluster(deployment)
  for (const { target } of cluster.targets) cluster.setBehaviour(target, { serviceMs: 0 })
  const latency = await measureLatency(cluster, deployment)
  const sections: Array<[string, object[]]> = [
    ['Added latency of sequential requests, direct and through an instance alternating', latency],
    [`Requests per second and core of the instances, ${loadCallers} callers`, await measureThroughputPerCore(cluster, deployment)],
    ['Upload of 1 GiB with an idempotency key: growth of resident memory of the instance that grew most', await measureUpload(cluster)],
    ['Drain of an instance under load; 3 s of the duration are the time to live of a look-up plus a margin', await measureDrain(cluster, deployment)],
    ['Memory of remembered idempotency keys', await measureIdempotencyStoreMemory()],
    ['Strategies to remember an idempotency key: response time with a target that responds immediately, and responses during an outage of the store', await measureKeyStrategies()]
  ]
  const latencyRatio = latency.at(-1) as LatencyRow
  const summary = `Through an instance a request takes ${formatCell(latencyRatio.p50Ms)} times as long as directly to the target at the median and ${formatCell(latencyRatio.p99Ms)} times at p99, with targets that respond immediately.`
  return { summary, markdown: sections.map(([title, rows]) => `## ${title}\n\n${renderRows(rows)}`).join('\n\n') }
}

function renderRows (rows: object[]): string {
  return renderTable(Object.keys(rows[0] ?? {}), rows.map(row => Object.values(row).map(formatCell)))
}

function formatCell (value: unknown): string {
  return typeof value === 'number' ? String(Number(value.toPrecision(3))) : String(value)
}

async function measureLatency (cluster: Cluster, deployment: Deployment): Promise<object[]> {
  const [service] = deployment.services
  const target = cluster.targets.find(record => record.service === service.name)!
  const entry = cluster.instances.find(instance => instance.settings.failureDomain === target.failureDomain)!.child.ready.callers
  const agent = new Agent({ connections: 1 })
  const paths: Array<[string, string, string]> = [['direct', target.address, '/queue'], ['through an instance', entry, `/services/${service.name}/queue`]]
  const histograms = paths.map(() => buildHistogram())
  for (let index = 0; index < warmUpRequests + latencyRequests; index++) {
    for (const [pathIndex, [, address, path]] of paths.entries()) {
      const startedMs = performance.now()
      const response = await agent.request({ origin: `http://${address}`, method: 'GET', path })
      await response.body.text()
      if (index >= warmUpRequests) histograms[pathIndex]!.recordValue(Math.round((performance.now() - startedMs) * 1_000))
    }
  }
  await agent.destroy()
  const rows = paths.map(([name], index) => describeLatency(name, histograms[index]!))
  const [direct, routed] = rows as [LatencyRow, LatencyRow]
  return [...rows, { way: 'ratio', p50Ms: routed.p50Ms / direct.p50Ms, p99Ms: routed.p99Ms / direct.p99Ms }]
}

function describeLatency (name: string, histogram: ReturnType<typeof buildHistogram>): LatencyRow {
  return { way: name, p50Ms: histogram.getValueAtPercentile(50) / 1_000, p99Ms: histogram.getValueAtPercentile(99) / 1_000 }
}

async function measureThroughputPerCore (cluster: Cluster, deployment: Deployment): Promise<object[]> {
  const [service] = deployment.services
  const pids = cluster.instances.map(instance => instance.child.process.pid!)
  const sumCpuSeconds = (): number => pids.reduce((sum, pid) => sum + readCpuSeconds(pid), 0)
  const agents = Array.from({ length: loadCallers }, (_, caller) => new Agent({ connect: { localAddress: `127.0.1.${caller + 1}` } }))
  const rows: object[] = []
  for (const hasKey of [false, true]) {
    const idleBefore = sumCpuSeconds()
    await new Promise(resolve => setTimeout(resolve, idleMs))
    const before = sumCpuSeconds()
    const idleCpuSeconds = (before - idleBefore) * loadMs / idleMs
    const endMs = performance.now() + loadMs
    let answered = 0
    let refused = 0
    async function sendRequests (agent: Agent, caller: number): Promise<void> {
      const { address, pin } = await findEntry(cluster, { agent, service: service.name, caller })
      while (performance.now() < endMs) {
        const headers = hasKey ? { 'idempotency-key': randomUUID(), 'bilberry-pin': pin } : {}
        const response = await agent.request({ origin: `http://${address}`, method: hasKey ? 'POST' : 'GET', path: `/services/${service.name}/queue`, headers })
        await response.body.text()
        if (response.headers['bilberry-outcome'] === 'answered') answered++
        else refused++
      }
    }
    await Promise.all(agents.map(sendRequests))
    const cpuSeconds = sumCpuSeconds() - before
    rows.push({ kind: hasKey ? 'order with an idempotency key' : 'look-up', answered, refused, coreSeconds: cpuSeconds, idleCoreSeconds: idleCpuSeconds, perCoreSecond: Math.round((answered + refused) / (cpuSeconds - idleCpuSeconds)) })
  }
  await Promise.all(agents.map(agent => agent.destroy()))
  return rows
}

async function findEntry (cluster: Cluster, call: { agent: Agent, service: string, caller: number }): Promise<{ address: string, pin: string }> {
  const origin = `http://${cluster.instances[call.caller % cluster.instances.length]!.child.ready.callers}`
  const response = await call.agent.request({ origin, method: 'GET', path: `/v1/services/${call.service}/entries?client=127.0.1.${call.caller + 1}` })
  const { entries } = await response.body.json() as { entries: Array<{ address: string, pin: string }> }
  return entries[0]!
}

async function measureUpload (cluster: Cluster): Promise<object[]> {
  const pids = cluster.instances.map(instance => instance.child.process.pid!)
  const startedMs = performance.now()
  const address = cluster.instances[0]!.child.ready.callers
  const { riseBytes, result } = await measureMemoryRise(pids, () => sendLargeUpload({ address, service: 'storfa-lluniau', bytes: uploadBytes }))
  return [{ ...result, seconds: (performance.now() - startedMs) / 1_000, riseMiB: riseBytes / 1024 / 1024 }]
}

async function measureDrain (cluster: Cluster, deployment: Deployment): Promise<object[]> {
  let seconds = 0
  async function stopInstance (): Promise<void> {
    await new Promise(resolve => setTimeout(resolve, 500))
    const startedMs = performance.now()
    await cluster.instances[1]!.child.stop('SIGTERM')
    seconds = (performance.now() - startedMs) / 1_000
  }
  const { requests, answered, notRun, unknown, broken, ranTwice } = await runLoad(cluster, { deployment, until: stopInstance(), callers: loadCallers })
  return [{ seconds, requests, answered, notRun, unknown, broken, ranTwice }]
}
