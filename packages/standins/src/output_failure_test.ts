import type { ExecutionContext } from 'ava'
import type { ChildProcess } from 'node:child_process'
import type { EntryFiles, StartEntryProcessOptions } from './entry_process.ts'
import { closeSync, openSync } from 'node:fs'
import { mkdtemp, readFile, stat, truncate } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test from 'ava'
import { createCleanupStack } from '@bilberryworks/steering'
import { isEntryReady, startEntryProcess, writeEntryFiles } from './entry_process.ts'
import { formatRequestHead, openRawCaller } from './raw_caller.ts'
import { createTestSite, testSiteHost, waitUntil } from './test_site.ts'

const metricsPort = 20_009
const timeLeftMs = 2_000
let instanceCount = 0
let requestCount = 0

/** Starts a store, a target and one instance as a process of its own, whose output the options set. */
async function startProcess (options: StartEntryProcessOptions) {
  const cleanup = createCleanupStack()
  const site = cleanup.add(await createTestSite())
  site.writeConfig({}, {}, { max_header_bytes: 60_000 })
  await site.openTarget('t0', { slots: 20 })
  const storeEndpoint = await site.store.openEndpoint()
  const folder = await mkdtemp(join(tmpdir(), 'output-failure-test-'))
  const files: EntryFiles = await writeEntryFiles({ index: instanceCount++, site: 1, failureDomains: ['a-1'], store: storeEndpoint.socketAddress, folder })
  const child: ChildProcess = startEntryProcess(files, { flags: [`--metrics-port=${metricsPort}`], ...options })
  const ended = new Promise<void>(resolve => child.once('exit', () => resolve()))
  return {
    files,
    child,
    /** Sends a request; the instance logs one whose path no route matches. */
    async send (path: string): Promise<number | undefined> {
      const caller = openRawCaller(files.callers)
      caller.socket.write(formatRequestHead(path, { host: testSiteHost, id: `output-${requestCount++}`, timeLeftMs }))
      const { status } = await caller.response
      caller.socket.destroy()
      return status
    },
    /** Returns the value of a metric without labels. */
    async readMetric (name: string): Promise<number> {
      const text = await (await fetch(`http://${files.host}:${metricsPort}/`)).text()
      return Number(new RegExp(`^${name} (\\d+)$`, 'm').exec(text)?.[1])
    },
    async [Symbol.asyncDispose] () {
      child.kill('SIGKILL')
      await ended
      await cleanup[Symbol.asyncDispose]()
    }
  }
}

type StartedProcess = Awaited<ReturnType<typeof startProcess>>

/** Sends requests that are logged and some that are not, and checks that each is answered and the process goes on. Returns the time that each took, in milliseconds. */
async function checkServing (t: ExecutionContext, { child, send }: StartedProcess, paths: string[] = Array.from({ length: 30 }, (_, index) => index % 3 === 0 ? '/safe/x' : '/none/x')): Promise<number[]> {
  const statuses: Array<number | undefined> = []
  const elapsedMs: number[] = []
  for (const path of paths) {
    const sentAtMs = performance.now()
    statuses.push(await send(path))
    elapsedMs.push(performance.now() - sentAtMs)
  }
  t.deepEqual([child.exitCode, child.signalCode, ...statuses], [null, null, ...paths.map(path => path.startsWith('/safe/') ? 200 : 404)])
  return elapsedMs
}

test('output whose reader has gone ends no instance, and the lost lines are counted', async t => {
  await using started = await startProcess({ output: 'pipe' })
  t.true(await waitUntil(() => isEntryReady(started.files)))
  started.child.stdout!.destroy()
  started.child.stderr!.destroy()
  await checkServing(t, started)
  t.true(await started.readMetric('bilberry_log_lines_lost_total') >= 20)
})

test('output on a full disk ends no instance, and the lost lines are counted', async t => {
  const full = openSync('/dev/full', 'a')
  await using started = await startProcess({ output: full })
  closeSync(full)
  t.true(await waitUntil(() => isEntryReady(started.files)))
  await checkServing(t, started)
  t.true(await started.readMetric('bilberry_log_lines_lost_total') >= 20)
})

test('an output file at its size limit ends no instance, and once it can be written again a line tells how many were lost', async t => {
  await using started = await startProcess({ maxFileBlocks: 16 })
  const { files, readMetric } = started
  t.true(await waitUntil(() => isEntryReady(files)))
  await checkServing(t, started, Array.from({ length: 60 }, () => `/none/${'x'.repeat(500)}`))
  t.is((await stat(files.logFile)).size, 8_192)
  const lost = await readMetric('bilberry_log_lines_lost_total')
  t.true(lost >= 20)
  await truncate(files.logFile)
  let text = ''
  t.true(await waitUntil(async () => {
    await started.send('/none/x')
    text = await readFile(files.logFile, 'utf8')
    return text.includes('"log_lost"')
  }))
  const lines = text.split('\n').filter(line => line !== '').map(line => JSON.parse(line) as Record<string, unknown>)
  t.true(Number(lines[0]!['lines']) >= lost)
})

test('output that nobody reads delays no request', async t => {
  await using started = await startProcess({ output: 'pipe' })
  t.true(await waitUntil(() => isEntryReady(started.files)))
  const elapsedMs = await checkServing(t, started, Array.from({ length: 200 }, () => `/none/${'x'.repeat(20_000)}`))
  t.true(Math.max(...elapsedMs) < timeLeftMs, String(Math.max(...elapsedMs)))
  t.true(await started.readMetric('bilberry_log_lines_dropped') > 0)
  started.child.stdout!.resume()
  let tail = ''
  started.child.stdout!.on('data', (part: Buffer) => { tail = (tail + part.toString()).slice(-2_000) })
  t.true(await waitUntil(async () => await started.send('/safe/x') === 200 && await started.send('/none/x') === 404 && tail.includes('"log_dropped"')))
})
