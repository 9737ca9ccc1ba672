/**
 * Simulates the link budget: instances of a region that offer more traffic to a link between regions than it can carry.
 *
 * @module
 */
import type { BenchReport } from './bench_part.ts'
import { createLinkBudget, LinkPurpose } from '@bilberryworks/steering'
import { createRandom, createVirtualClock } from './bench_clock.ts'
import { renderTable } from './bench_part.ts'
import { deployments } from './deployments.ts'

const senders = 3
const durationMs = 20_000
const seed = 20260612
const peakWindowMs = 1_000
const requestBytes = 20_000
const requestsPerSecond = 200

/** Traffic and waiting times of one simulation. */
interface LinkRun {
  sent: Array<{ atMs: number, bytes: number }>
  requestWaitsMs: number[]
}

/** Simulates senders that upload without pause and send random requests in between. */
function simulateLink (linkBitsPerSecond: number, activeSenders: number): LinkRun {
  const clock = createVirtualClock()
  const getRandom = createRandom(seed)
  const run: LinkRun = { sent: [], requestWaitsMs: [] }
  for (let sender = 0; sender < activeSenders; sender++) {
    const budget = createLinkBudget({ linkBitsPerSecond, senders })
    const sendWithinBudget = (bytes: number, purpose: LinkPurpose, onSent: () => void): void => {
      const waitMs = budget.take(bytes, purpose, clock.getNowMs())
      if (waitMs > 0) return clock.schedule(Math.ceil(waitMs), () => sendWithinBudget(bytes, purpose, onSent))
      run.sent.push({ atMs: clock.getNowMs(), bytes })
      onSent()
    }
    const sendUploadChunks = (): void => sendWithinBudget(Math.min(65_536, budget.maxChunkBytes), LinkPurpose.Upload, () => clock.schedule(0.01, sendUploadChunks))
    const scheduleRequests = (): void => clock.schedule(-Math.log(1 - getRandom()) / requestsPerSecond * 1000, () => {
      const startedMs = clock.getNowMs()
      sendWithinBudget(requestBytes, LinkPurpose.Request, () => run.requestWaitsMs.push(clock.getNowMs() - startedMs))
      scheduleRequests()
    })
    sendUploadChunks()
    scheduleRequests()
  }
  clock.advance(durationMs)
  return run
}

/** Finds the maximum number of bytes sent in any window of one second. */
function findPeakBytes (sent: LinkRun['sent']): number {
  let peak = 0
  let sum = 0
  let start = 0
  for (const each of sent) {
    sum += each.bytes
    while (sent[start]!.atMs <= each.atMs - peakWindowMs) sum -= sent[start++]!.bytes
    peak = Math.max(peak, sum)
  }
  return peak
}

/**
 * Measures the utilization of a link with one and with all senders active, and the time that requests wait beside uploads.
 *
 * @returns The report
 */
export function runLinkBench (): BenchReport {
  const rows: Array<Array<string | number>> = []
  let highestPeakShare = 0
  for (const [name, deployment] of Object.entries(deployments)) {
    for (const activeSenders of [1, senders]) {
      const run = simulateLink(deployment.linkBitsPerSecond, activeSenders)
      const total = run.sent.reduce((sum, each) => sum + each.bytes, 0)
      const peakShare = findPeakBytes(run.sent) * 8 / deployment.linkBitsPerSecond
      highestPeakShare = Math.max(highestPeakShare, peakShare)
      const waits = run.requestWaitsMs.sort((a, b) => a - b)
      rows.push([
        name, activeSenders, `${(100 * peakShare).toFixed(1)} %`, `${(total * 8 / durationMs * 1000 / deployment.linkBitsPerSecond * 100).toFixed(1)} %`,
        waits[Math.floor(waits.length * 0.99)]?.toFixed(1) ?? ''
      ])
    }
  }
  const head = ['deployment', 'active senders of 3', 'peak utilization of the link in any 1 s', 'mean utilization of the link', 'p99 wait of a request, ms']
  const summary = `With all senders uploading without pause the busiest second carries ${(100 * highestPeakShare).toFixed(1)} % of the link; a single active sender uses only its third, since the budget of a sender does not grow while the other senders seem to be absent.`
  return { summary, markdown: renderTable(head, rows) }
}
