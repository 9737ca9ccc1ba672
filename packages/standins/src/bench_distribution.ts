/**
 * Measures the distribution of service documents to real instances: propagation time, platform calls and bytes.
 *
 * @module
 */
import type { AcceptedDocument, ServiceDocument } from '@bilberryworks/steering'
import type { BenchReport } from './bench_part.ts'
import type { Cluster } from './cluster.ts'
import type { EndpointCounts } from './site_store.ts'
import { randomUUID } from 'node:crypto'
import { readFile } from 'node:fs/promises'
import { startCluster } from './cluster.ts'
import { DeploymentName, deployments } from './deployments.ts'

const service = 'bwrdd-trwsio'
const submissions = 20
const checkIntervalMs = 5
const settleMs = 4_000
const windowMs = 15_000
const shiftStepMs = 1_000
const propagationTimeoutMs = 30_000

/** Rates of platform calls, traffic and shift steps in a time window. */
interface Rates {
  readsPerSecond: number
  writesPerSecond: number
  listReadsPerSecond: number
  platformBytesPerSecond: number
  instanceBytesPerSecond: number
  steps: number
}

/**
 * Measures the distribution of documents on the Trwsio Cymru deployment, whose seven instances run as separate processes.
 *
 * @returns The report
 */
export async function runDistributionBench (): Promise<BenchReport> {
  await using cluster = await startCluster(deployments[DeploymentName.Trwsio])
  const withoutDelay = await measurePropagation(cluster)
  await cluster.setPlatformFaults({ delayMs: 55 })
  const withDelay = await measurePropagation(cluster)
  await cluster.setPlatformFaults({ delayMs: 0 })
  await waitMs(settleMs)
  const atRest = await measureRates(cluster)
  await submit(cluster, 0, document => ({ ...document, regionWeights: { gogledd: 1, de: 1, canolbarth: 9 }, shiftCap: 0.02, shiftStepMs }))
  const duringShift = await measureRates(cluster)
  const count = cluster.instances.length
  const { pollMs, heartbeatMs } = cluster.instances[0]!.settings
  return {
    summary: `A document is in force on all ${count} instances ${formatMs(computeMedian(withoutDelay))} (median) and ${formatMs(Math.max(...withoutDelay))} (maximum) after acceptance; ` +
      `${atRest.readsPerSecond.toFixed(1)} reads and ${atRest.writesPerSecond.toFixed(1)} writes per second by all instances together without changes.`,
    markdown: [
      `${count} instances in separate processes on one machine, poll every ${pollMs} ms, heartbeat every ${heartbeatMs} ms, ${submissions} submissions per measurement, a shift step every ${shiftStepMs} ms.`,
      '',
      '| time from acceptance until in force on all instances | median | maximum |',
      '| --- | --- | --- |',
      formatPropagation('platform without added delay', withoutDelay),
      formatPropagation('55 ms added to each call to the platform', withDelay),
      '',
      '| all instances together | without changes | during a traffic shift |',
      '| --- | --- | --- |',
      formatRates('row reads per second', atRest.readsPerSecond, duringShift.readsPerSecond),
      formatRates('transactions per second', atRest.writesPerSecond, duringShift.writesPerSecond),
      formatRates('reads of the list of machines per second', atRest.listReadsPerSecond, duringShift.listReadsPerSecond),
      formatRates('shift steps per second', atRest.steps, duringShift.steps),
      '',
      '| bytes per second for one instance, header fields included | without changes | during a traffic shift |',
      '| --- | --- | --- |',
      formatRates('platform, both directions', atRest.platformBytesPerSecond / count, duringShift.platformBytesPerSecond / count),
      formatRates('all input and output of the process', atRest.instanceBytesPerSecond, duringShift.instanceBytesPerSecond),
      ''
    ].join('\n')
  }
}

/** Submits documents to one instance after the other. Returns the time from the acceptance of each document until it is in force on all instances, in milliseconds. */
async function measurePropagation (cluster: Cluster): Promise<number[]> {
  const propagationTimesMs: number[] = []
  for (let index = 0; index < submissions; index++) {
    const accepted = await submit(cluster, index % cluster.instances.length, document => ({ ...document, limits: { ...document.limits, maxQueued: 100 + index } }))
    const startedMs = performance.now()
    await Promise.all(cluster.instances.map((_, other) => waitForRevision(cluster, { index: other, revision: accepted.revision })))
    propagationTimesMs.push(performance.now() - startedMs)
  }
  return propagationTimesMs
}

async function waitForRevision (cluster: Cluster, { index, revision }: { index: number, revision: number }): Promise<void> {
  const deadlineMs = performance.now() + propagationTimeoutMs
  while (await readRevision(cluster, index) < revision) {
    if (performance.now() > deadlineMs) throw new Error(`Revision ${revision} of the document did not come into force in time on instance ${index}`)
    await waitMs(checkIntervalMs)
  }
}

async function readDocument (cluster: Cluster, index: number): Promise<AcceptedDocument> {
  const reply = await cluster.callOperators(index, { method: 'GET', path: `/v1/documents/${service}` })
  return reply.body as AcceptedDocument
}

async function readRevision (cluster: Cluster, index: number): Promise<number> {
  return (await readDocument(cluster, index)).revision
}

async function submit (cluster: Cluster, index: number, change: (document: ServiceDocument) => ServiceDocument): Promise<AcceptedDocument> {
  const current = await readDocument(cluster, index)
  const headers = { 'if-match': `"${current.revision}"`, 'submission-id': randomUUID() }
  const reply = await cluster.callOperators(index, { method: 'PUT', path: `/v1/documents/${service}`, headers, body: change(current.document) })
  if (reply.status !== 200) throw new Error(`Instance did not accept the document: ${JSON.stringify(reply)}`)
  return reply.body as AcceptedDocument
}

async function measureRates (cluster: Cluster): Promise<Rates> {
  const before = await readCounts(cluster)
  await waitMs(windowMs)
  const after = await readCounts(cluster)
  const seconds = (after.atMs - before.atMs) / 1_000
  return {
    readsPerSecond: (after.counts.reads - before.counts.reads) / seconds,
    writesPerSecond: (after.counts.writes - before.counts.writes) / seconds,
    listReadsPerSecond: (after.counts.targetReads - before.counts.targetReads) / seconds,
    platformBytesPerSecond: (after.counts.bytes - before.counts.bytes) / seconds,
    instanceBytesPerSecond: (after.processBytes - before.processBytes) / seconds / cluster.instances.length,
    steps: (after.step - before.step) / seconds
  }
}

async function readCounts (cluster: Cluster): Promise<{ atMs: number, counts: EndpointCounts, processBytes: number, step: number }> {
  const counts = await cluster.countPlatformCalls()
  const status = await cluster.callOperators(0, { method: 'GET', path: `/v1/status/${service}` })
  const { shift } = status.body as { shift: { row: { step: number } } }
  const sizes = await Promise.all(cluster.instances.map(instance => readProcessBytes(instance.child.process.pid!)))
  return { atMs: performance.now(), counts, processBytes: sizes.reduce((sum, bytes) => sum + bytes, 0), step: shift.row.step }
}

/** Reads the number of bytes that a process has read and written, including sockets. Returns 0 on systems other than Linux. */
async function readProcessBytes (pid: number): Promise<number> {
  const text = await readFile(`/proc/${pid}/io`, 'utf8').catch(() => '')
  const fields = [...text.matchAll(/^[rw]char: (\d+)$/gm)]
  return fields.reduce((sum, [, digits]) => sum + Number(digits), 0)
}

function computeMedian (values: number[]): number {
  return [...values].sort((a, b) => a - b)[values.length >> 1] ?? 0
}

function formatPropagation (name: string, values: number[]): string {
  return `| ${name} | ${formatMs(computeMedian(values))} | ${formatMs(Math.max(...values))} |`
}

function formatRates (name: string, rest: number, shift: number): string {
  return `| ${name} | ${rest.toFixed(1)} | ${shift.toFixed(1)} |`
}

function formatMs (value: number): string {
  return `${value.toFixed(0)} ms`
}

async function waitMs (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}
