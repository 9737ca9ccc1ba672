import type { Socket } from 'node:net'
import type { EntryFiles } from './entry_process.ts'
import { execFileSync } from 'node:child_process'
import { once } from 'node:events'
import { mkdtemp } from 'node:fs/promises'
import { Agent, request } from 'node:http'
import { connect } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as wait } from 'node:timers/promises'
import test from 'ava'
import { createCleanupStack } from '@bilberryworks/steering'
import { entryPorts, isEntryReady, readEntryLog, startEntryProcess, writeEntryFiles } from './entry_process.ts'
import { createTestSite, testSiteHost, waitUntil } from './test_site.ts'

const maxDescriptors = 160
const callerCount = 300
const activeBesideSilent = 100
const durationMs = 4_000
const requestIntervalMs = 2_000
const configIntervalMs = 500
/** Number of times that a caller sends a refused request again, when the refusal says. */
const maxRepeats = 1
const checkIntervalMs = 100
const minServedShare = 0.95
/** Time after which a process has noticed a change of its limits, in milliseconds. */
const refreshMs = 1_500
const metricsPort = 20_006
const deployedHeapBytes = 96 * 1_048_576

/** What became of a request. */
interface CallResult {
  /** Status of the response; `undefined` if the connection closed without one. */
  status: number | undefined
  /** Whether the request was sent on a connection that had carried one before. */
  isReused: boolean
  /** Value of `Bilberry-Outcome`. */
  outcome: unknown
  /** Time after which the caller is to send it again, in milliseconds; `NaN` if the response does not say. */
  retryAfterMs: number
  /** Whether the caller sent it again. */
  isRepeated: boolean
}

function sendRequest (host: string, port: number, { path, agent, id = 'check' }: { path: string, agent: Agent, id?: string }): Promise<CallResult> {
  return new Promise(resolve => {
    const call = request({ host, port, agent, path, headers: { Host: testSiteHost, 'X-Request-Id': id, 'X-Timeout-Ms': '2000' } }, response => {
      response.resume()
      response.on('close', () => resolve({ status: response.complete ? response.statusCode : undefined, isReused: call.reusedSocket, outcome: response.headers['bilberry-outcome'], retryAfterMs: 1_000 * Number(response.headers['retry-after'] ?? NaN), isRepeated: false }))
    })
    call.on('error', () => resolve({ status: undefined, isReused: call.reusedSocket, outcome: undefined, retryAfterMs: NaN, isRepeated: false }))
    call.end()
  })
}

/** Sends requests at intervals, the first one after a share `start` of an interval, on one connection as long as it stays open. */
async function runCaller ({ callers }: EntryFiles, { index, start, untilMs }: { index: number, start: number, untilMs: number }): Promise<CallResult[]> {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })
  const results: CallResult[] = []
  await wait(start * requestIntervalMs)
  for (let sent = 0; performance.now() < untilMs; sent++) {
    for (let repeats = 0; repeats <= maxRepeats; repeats++) {
      const result = await sendRequest(callers.host, callers.port, { path: '/safe/x', agent, id: `limit-${index}-${sent}-${repeats}` })
      results.push(result)
      result.isRepeated = repeats < maxRepeats && result.retryAfterMs >= 0
      if (!result.isRepeated) break
      await wait(result.retryAfterMs)
    }
    await wait(requestIntervalMs)
  }
  agent.destroy()
  return results
}

/** Sends a request at intervals, each on a new connection; returns the statuses. */
async function runChecks ({ host }: EntryFiles, { port, path, untilMs }: { port: number, path: string, untilMs: number }): Promise<Array<number | undefined>> {
  const agent = new Agent()
  const statuses: Array<number | undefined> = []
  while (performance.now() < untilMs) {
    statuses.push((await sendRequest(host, port, { path, agent })).status)
    await wait(checkIntervalMs)
  }
  return statuses
}

for (const [index, [name, active, isLowered]] of ([['more callers than descriptors', callerCount, false], ['more callers than descriptors, most of which send nothing', activeBesideSilent, false], ['more callers than descriptors that a running process is left', callerCount, true]] as const).entries()) {
  test(`${name} lose no request, and take no descriptor of readiness, look-ups and the store`, async t => {
    await using cleanup = createCleanupStack()
    const site = cleanup.add(await createTestSite())
    site.writeConfig()
    for (const id of ['t0', 't1', 't2']) await site.openTarget(id, { slots: 30 })
    const storeEndpoint = await site.store.openEndpoint()
    const files = await writeEntryFiles({ index, site: 0, failureDomains: ['a-1'], store: storeEndpoint.socketAddress, folder: await mkdtemp(join(tmpdir(), 'descriptor-limit-test-')) })
    const child = startEntryProcess(files, { ...isLowered ? {} : { maxDescriptors }, flags: [`--metrics-port=${metricsPort}`] })
    const ended = once(child, 'exit')
    const idle: Socket[] = []
    cleanup.add({
      async [Symbol.asyncDispose] () {
        for (const socket of idle) socket.destroy()
        child.kill('SIGKILL')
        await ended
      }
    })
    t.true(await waitUntil(() => isEntryReady(files)))
    if (isLowered) {
      execFileSync('prlimit', ['--pid', String(child.pid), `--nofile=${maxDescriptors}:`])
      await wait(refreshMs)
    }
    const callsBefore = storeEndpoint.countCalls().calls
    for (let index = 0; index < callerCount - active; index++) idle.push(connect(files.callers).on('error', () => {}))
    const untilMs = performance.now() + durationMs
    const configTimer = setInterval(() => site.writeConfig(), configIntervalMs)
    const [results, readiness, lookUps] = await Promise.all([
      Promise.all(Array.from({ length: active }, (_, index) => runCaller(files, { index, start: index / active, untilMs }))),
      runChecks(files, { port: entryPorts.ready, path: '/ready', untilMs }),
      runChecks(files, { port: entryPorts.directory, path: `/resolve?name=${testSiteHost}&region=a&zone=a-1`, untilMs })
    ])
    clearInterval(configTimer)
    const metrics = await (await fetch(`http://${files.host}:${metricsPort}/metrics`)).text()
    const readGauge = (metric: string): number => Number(new RegExp(`^bilberry_${metric} (\\S+)$`, 'm').exec(metrics)?.[1])
    const log = await readEntryLog(files)
    const calls = results.flat()
    const served = calls.filter(({ status }) => status === 200).length
    const wanted = calls.filter(({ isRepeated }) => !isRepeated).length
    t.log(`${served} of ${wanted} served, ${calls.filter(({ status }) => status === 503).length} refused, ${calls.filter(({ status }) => status === undefined).length} without a response, of these ${calls.filter(({ status, isReused }) => status === undefined && isReused).length} on reused connections`)
    t.true(readGauge('open_descriptors') <= maxDescriptors)
    t.true(readGauge('caller_connections') <= readGauge('caller_connection_limit'))
    t.true(readGauge('caller_connection_limit') + readGauge('reserved_connections') < readGauge('connection_limit'))
    t.true(readGauge('heap_used_bytes') < readGauge('heap_limit_bytes'))
    t.is(readGauge('heap_limit_bytes'), deployedHeapBytes)
    t.is(child.exitCode ?? child.signalCode, null)
    t.is(calls.filter(({ status, isReused }) => status === undefined && !isReused).length, 0)
    t.is(calls.filter(({ status, outcome }) => status === 503 && outcome !== 'not-run').length, 0)
    t.deepEqual(readiness.filter(status => status !== 200), [])
    t.deepEqual(lookUps.filter(status => status !== 200), [])
    t.deepEqual(log.filter(line => line['event'] === 'store_call_failed'), [])
    t.true(storeEndpoint.countCalls().calls - callsBefore >= durationMs / configIntervalMs / 2)
    t.true(served >= minServedShare * wanted)
  })
}
