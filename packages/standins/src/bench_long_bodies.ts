/**
 * Measures whether the memory of an entry instance, as a process of its own, stays flat while it passes on bodies of 1 GB to slow readers.
 *
 * @module
 */
import type { IncomingMessage } from 'node:http'
import type { BenchReport } from './bench_part.ts'
import { once } from 'node:events'
import { request } from 'node:http'
import { connect } from 'node:net'
import { chunkTimeLeftMs, slowBytesPerSecond, startBytesSite } from './bench_bytes.ts'
import { renderTable } from './bench_part.ts'
import { createTurns } from './faulty_senders.ts'
import { readResidentBytes } from './process_usage.ts'
import { testSiteHost } from './test_site.ts'

const bodyBytes = 1_073_741_824
const chunkBytes = 65_536
const bytesPerMb = 1_048_576
const msPerSecond = 1_000
const sampleIntervalMs = 50
/** Bytes that are passed on before the memory counts. */
const settledBytes = 134_217_728
const maxRiseMb = 16

/** Computes the means of the quarters of a series. */
function computeQuarterMeans (samples: number[]): number[] {
  const length = Math.ceil(samples.length / 4)
  return Array.from({ length: 4 }, (_, quarter) => samples.slice(quarter * length, (quarter + 1) * length)).map(each => Math.round(each.reduce((sum, sample) => sum + sample, 0) / each.length))
}

/** Passes a body on in one direction; returns a row of the table. */
async function measureBody (site: number, isUpload: boolean): Promise<Array<string | number>> {
  await using running = await startBytesSite(site)
  const { files: { callers }, child, countBytes } = running
  const takeTurn = createTurns(slowBytesPerSecond)
  const startedMs = performance.now()
  let received = 0
  const countPassed = (): number => isUpload ? countBytes() : received
  const samples: number[] = []
  const timer = setInterval(() => { if (countPassed() > settledBytes) samples.push(readResidentBytes(child.pid!) / bytesPerMb) }, sampleIntervalMs)
  const socket = connect({ ...callers, noDelay: true })
  const path = isUpload ? '/chunk-uploads/slow/1/0' : `/chunks/${chunkBytes}/${bodyBytes}`
  const call = request({ createConnection: () => socket, path, method: isUpload ? 'POST' : 'GET', headers: { Host: testSiteHost, 'X-Request-Id': 'long-0', 'X-Timeout-Ms': String(chunkTimeLeftMs), ...isUpload ? { 'Content-Length': bodyBytes } : {} } })
  const responded = once(call, 'response', { signal: AbortSignal.timeout(chunkTimeLeftMs) }) as Promise<[IncomingMessage]>
  responded.catch(() => {})
  let outcome: string
  try {
    const part = Buffer.alloc(chunkBytes, 'x')
    if (isUpload) for (let left = bodyBytes; left > 0; left -= chunkBytes) if (!call.write(part)) await Promise.race([once(call, 'drain'), responded])
    call.end()
    const [response] = await responded
    for await (const each of response) {
      received += (each as Buffer).length
      await takeTurn()
    }
    outcome = String(response.statusCode)
  } catch (error) {
    outcome = (error as Error).message
  }
  clearInterval(timer)
  socket.destroy()
  const seconds = (performance.now() - startedMs) / msPerSecond
  return [isUpload ? 'upload' : 'download', outcome, countPassed(), seconds.toFixed(1), Math.round(Math.min(...samples)), Math.round(Math.max(...samples)), computeQuarterMeans(samples).join(', ')]
}

/**
 * Measures a download and an upload of 1 GB to a slow reader.
 *
 * @returns The report
 */
export async function runLongBodiesBench (): Promise<BenchReport> {
  const rows = [await measureBody(0, false), await measureBody(1, true)]
  const isFlat = rows.every(row => row[2] === bodyBytes && Number(row[5]) - Number(row[4]) <= maxRiseMb)
  return {
    summary: `${isFlat ? 'Both' : 'Not both'} bodies of 1 GB pass whole with memory flat within ${maxRiseMb} MB.`,
    markdown: renderTable(['direction', 'status', 'bytes passed on', 'seconds', 'least resident memory, MB', 'most, MB', 'means of the quarters, MB'], rows),
    hasFailed: !isFlat
  }
}
