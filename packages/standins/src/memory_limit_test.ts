import type { StartEntryProcessOptions } from './entry_process.ts'
import type { RawResponse } from './raw_caller.ts'
import { once } from 'node:events'
import { mkdtemp } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as wait } from 'node:timers/promises'
import test from 'ava'
import { createCleanupStack } from '@bilberryworks/steering'
import { isEntryReady, startEntryProcess, writeEntryFiles } from './entry_process.ts'
import { readResidentBytes } from './process_usage.ts'
import { formatRequestHead, openRawCaller } from './raw_caller.ts'
import { createTestSite, testSiteHost, waitUntil } from './test_site.ts'

const bytesPerMb = 1_048_576
const memoryMb = 350
const uploads = 1_000
const uploadBytes = 360_000
const connections = 4_000
const openBatch = 200
const timeLeftMs = 20_000
const checkIntervalMs = 50
const holdMs = 4_000
let instanceCount = 0

/** Starts a store, a target and an instance as a process of its own. */
async function startProcess ({ slots, processingMs, options }: { slots: number, processingMs: number, options?: StartEntryProcessOptions }) {
  const cleanup = createCleanupStack()
  const site = cleanup.add(await createTestSite())
  site.writeConfig({ timeout: `${timeLeftMs}ms` }, {}, { idle_timeout: '120s' })
  await site.openTarget('t0', { slots, processingMs })
  const storeEndpoint = await site.store.openEndpoint()
  const folder = await mkdtemp(join(tmpdir(), 'memory-limit-test-'))
  const files = await writeEntryFiles({ index: instanceCount++, site: 0, failureDomains: ['a-1'], store: storeEndpoint.socketAddress, folder, limits: { memory_mb: memoryMb } })
  const child = startEntryProcess(files, options)
  const ended = once(child, 'exit')
  cleanup.add({
    async [Symbol.asyncDispose] () {
      child.kill('SIGKILL')
      await ended
    }
  })
  return { files, child, [Symbol.asyncDispose]: () => cleanup[Symbol.asyncDispose]() }
}

test('uploads that wait for targets stay within the memory of the host', async t => {
  await using started = await startProcess({ slots: 3, processingMs: timeLeftMs })
  const { files, child } = started
  t.true(await waitUntil(() => isEntryReady(files)))
  const body = Buffer.alloc(uploadBytes, 'x')
  const callers = Array.from({ length: uploads }, (_, index) => {
    const caller = openRawCaller(files.callers)
    caller.socket.write(formatRequestHead('/upload/x', { host: testSiteHost, id: `memory-${index}`, timeLeftMs, bodyBytes: uploadBytes }))
    caller.socket.write(body)
    return caller
  })
  const responses: RawResponse[] = []
  for (const caller of callers) caller.response.then(response => responses.push(response)).catch(() => {})
  let peakBytes = 0
  for (const endMs = performance.now() + holdMs; performance.now() < endMs && child.exitCode === null && child.signalCode === null; await wait(checkIntervalMs)) peakBytes = Math.max(peakBytes, readResidentBytes(child.pid!))
  t.log(`${Math.round(peakBytes / bytesPerMb)} MB resident, ${responses.length} of ${uploads} uploads answered`)
  t.is(child.exitCode ?? child.signalCode, null)
  t.true(peakBytes < memoryMb * bytesPerMb)
  for (const { status, isComplete, headers } of responses.slice()) t.deepEqual([status, isComplete, headers['bilberry-outcome'], Number(headers['retry-after']) > 0], [503, true, 'not-run', true])
  for (const { socket } of callers) socket.destroy()
})

test('idle connections do not use up the heap', async t => {
  await using started = await startProcess({ slots: 300, processingMs: 5, options: { nodeFlags: ['--max-old-space-size=24'] } })
  const { files, child } = started
  t.true(await waitUntil(() => isEntryReady(files)))
  const statuses: Array<number | undefined> = []
  const callers: Array<ReturnType<typeof openRawCaller>> = []
  while (callers.length < connections) {
    const batch = Array.from({ length: openBatch }, (_, index) => {
      const caller = openRawCaller(files.callers)
      caller.socket.write(formatRequestHead('/safe/x', { host: testSiteHost, id: `heap-${callers.length + index}`, timeLeftMs }))
      return caller
    })
    statuses.push(...(await Promise.all(batch.map(caller => caller.response))).map(({ status }) => status))
    callers.push(...batch)
  }
  t.log(`${statuses.filter(status => status === 200).length} of ${connections} served`)
  t.is(child.exitCode ?? child.signalCode, null)
  t.deepEqual(statuses.filter(status => status !== 200 && status !== 503), [])
  t.true(statuses.filter(status => status === 200).length >= connections * 0.95)
  for (const { socket } of callers) socket.destroy()
})
