import type { ExecutionContext } from 'ava'
import type { ChildProcess } from 'node:child_process'
import type { EntryFiles } from './entry_process.ts'
import { once, setMaxListeners } from 'node:events'
import { mkdtemp } from 'node:fs/promises'
import { Agent, request } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as wait } from 'node:timers/promises'
import test from 'ava'
import { createCleanupStack } from '@bilberryworks/steering'
import { isEntryReady, startEntryProcess, writeEntryFiles } from './entry_process.ts'
import { FaultyBytes, openFaultyTarget, sendFaultyRequest } from './faulty_senders.ts'
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
const timeLeftMs = 4_000
const minServedShare = 0.99
/** Latency objective of the route of the other callers, in milliseconds. */
const objectiveMs = 500
/** Bound of the 99th percentile of the response times of others, as a multiple of that in calm. */
const maxSlowdown = 2
let siteCount = 0

interface Call { status: number | undefined, elapsedMs: number }

/** A request that is in trouble, as the sender of the trouble sees it. */
interface FaultySender {
  /** Name in the title of the test. */
  title: string
  bytes: FaultyBytes
  count: number
  /** Path of the requests; one of an upload, or a safe one for complete messages, by default. */
  path?: string
}

/** Starts a store, four sound targets, a faulty one for `/faulty/`, and an instance as a process of its own. */
async function startSite (bytes: FaultyBytes | undefined) {
  const cleanup = createCleanupStack()
  const site = cleanup.add(await createTestSite())
  for (let index = 0; index < 4; index++) await site.openTarget(`t${index}`, { slots: 6, processingMs: 20 })
  if (bytes !== undefined) {
    const target = cleanup.add(await openFaultyTarget(bytes))
    site.store.writeRow('servers', 'faulty', createTargetRow({ service: 'faulty', address: target.address, failureDomain: 'a-1', slots: 200 }))
  }
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

function sendCall ({ callers }: EntryFiles, { id, path, agent }: { id: string, path: string, agent?: Agent }): Promise<Call> {
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

const targetKinds: FaultySender[] = [
  { title: 'trailers without end behind a long body', bytes: FaultyBytes.Trailers, count: 1 },
  { title: 'a chunk extension without end behind a long body', bytes: FaultyBytes.ChunkExtension, count: 1 },
  { title: 'bytes without end in place of the end of a chunk, behind a long body', bytes: FaultyBytes.ChunkEnd, count: 1 },
  { title: 'bodies without end in chunks of one byte', bytes: FaultyBytes.SmallChunks, count: 12 },
  { title: 'header fields without end', bytes: FaultyBytes.HeaderFields, count: 12 },
  { title: 'bytes without end that are no response', bytes: FaultyBytes.Junk, count: 12 },
  { title: 'responses without end', bytes: FaultyBytes.Messages, count: 12 },
  { title: 'bodies without end', bytes: FaultyBytes.Body, count: 12 }
]

const callerKinds: FaultySender[] = [
  { title: 'an upload without end in chunks of one byte', bytes: FaultyBytes.SmallChunks, count: 1 },
  { title: 'uploads without end in chunks of one byte', bytes: FaultyBytes.SmallChunks, count: 12 },
  { title: 'uploads without end in chunks of one byte that are refused', bytes: FaultyBytes.SmallChunks, count: 12, path: '/none/x' },
  { title: 'uploads without end', bytes: FaultyBytes.Body, count: 12 },
  { title: 'header fields without end', bytes: FaultyBytes.HeaderFields, count: 12 },
  { title: 'requests without end', bytes: FaultyBytes.Messages, count: 12 }
]

for (const { title, bytes, count } of targetKinds) {
  let result: TroubleResult | undefined
  test.serial(`an instance whose target sends ${title} serves others`, async t => {
    await using site = await startSite(bytes)
    result = await runTrouble(site, async signal => {
      await Promise.all(Array.from({ length: count }, async (_, sender) => {
        for (let index = 0; !signal.aborted; index++) {
          const { elapsedMs } = await sendCall(site.files, { id: `faulty-${sender}-${index}`, path: '/faulty/x' })
          await wait(Math.max(0, otherPauseMs - elapsedMs))
        }
      }))
    })
    checkTrouble(t, result)
  })
  test.serial(`an instance whose target sends ${title} serves others as fast as in calm`, t => checkTimes(t, result))
}

for (const { title, bytes, count, path = bytes === FaultyBytes.Messages ? '/safe/x' : '/upload/x' } of callerKinds) {
  let result: TroubleResult | undefined
  test.serial(`an instance to which callers send ${title} serves others`, async t => {
    await using site = await startSite(undefined)
    result = await runTrouble(site, async signal => {
      await Promise.all(Array.from({ length: count }, async (_, sender) => {
        for (let index = 0; !signal.aborted; index++) {
          const method = bytes === FaultyBytes.Messages ? 'GET' : 'POST'
          const head = `${method} ${path} HTTP/1.1\r\nHost: ${testSiteHost}\r\nX-Request-Id: faulty-${sender}-${index}\r\nX-Timeout-Ms: ${timeLeftMs}\r\n`
          const startedMs = performance.now()
          await sendFaultyRequest(site.files.callers, { bytes, head, signal })
          await wait(Math.max(0, otherPauseMs - (performance.now() - startedMs)))
        }
      }))
    })
    checkTrouble(t, result)
  })
  test.serial(`an instance to which callers send ${title} serves others as fast as in calm`, t => checkTimes(t, result))
}
