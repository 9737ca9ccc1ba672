/**
 * Measures what it costs to send a request through another instance, on real sockets in one process.
 *
 * @module
 */
import type { TestEntry, TestSite } from './test_site.ts'
import { Agent } from 'node:http'
import { build } from 'hdr-histogram-js'
import { PathState, startPathRelay } from './path_relay.ts'
import { createTestSite, waitUntil } from './test_site.ts'

const requests = 3_000
const concurrency = 4
const targets = 4

/**
 * Measures requests sent directly and through another instance.
 *
 * Callers, instances and targets share the process, so that the difference between the rows is the cost of the relay.
 *
 * @returns Rows with the path, the number of requests, the processor time a request in microseconds, and p50 and p99 in milliseconds
 */
export async function measureRelayCost (): Promise<Array<Array<string | number>>> {
  await using site = await createTestSite()
  await using path = await startPathRelay()
  site.writeConfig()
  for (let index = 0; index < targets; index++) await site.openTarget(`t${index}`, { failureDomain: ['a-1', 'b-1'][index % 2]!, processingMs: 1 })
  const cut = await site.startEntry(0, [], path)
  const direct = await site.startEntry(1)
  for (const entry of [cut, direct]) await waitUntil(async () => (await site.call(entry)).status === 200)
  await path.setState(PathState.Reset)
  await waitUntil(async () => {
    for (const affinityKey of ['1', '2', '3', '4']) await site.call(cut, { affinityKey })
    return cut.readLog().filter(line => line['event'] === 'targets_unreached').length >= 2
  })
  await sendRequests(site, direct)
  return [['direct', ...await sendRequests(site, direct)], ['through another instance', ...await sendRequests(site, cut)]]
}

async function sendRequests (site: TestSite, entry: TestEntry): Promise<Array<string | number>> {
  const agent = new Agent({ keepAlive: true, maxSockets: concurrency })
  const histogram = build()
  const before = process.cpuUsage()
  await Promise.all(Array.from({ length: concurrency }, async (_, worker) => {
    for (let count = 0; count < requests / concurrency; count++) {
      const { elapsedMs } = await site.call(entry, { agent, affinityKey: String((worker + count) % 20) })
      histogram.recordValue(Math.round(elapsedMs * 1_000))
    }
  }))
  const { user, system } = process.cpuUsage(before)
  agent.destroy()
  return [requests, Math.round((user + system) / requests), ...[50, 99].map(percentile => (histogram.getValueAtPercentile(percentile) / 1_000).toFixed(2))]
}
