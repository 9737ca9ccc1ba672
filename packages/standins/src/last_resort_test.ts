import { setTimeout as wait } from 'node:timers/promises'
import test from 'ava'
import { startSingleProcess } from './_single_process.ts'
import { isEntryReady, readEntryLog } from './entry_process.ts'
import { waitUntil } from './test_site.ts'

const graceMs = 6_000
const exitToleranceMs = 500
const uncaughtErrorStatus = 70
const slowMs = 1_200
/** Makes each SIGUSR2 an error that nothing catches. */
const failures = {
  'an exception': 'process.on("SIGUSR2", () => { throw new Error("injected") })',
  'a rejection': 'process.on("SIGUSR2", () => { Promise.reject(new Error("injected")) })'
}

for (const [kind, firstModule] of Object.entries(failures)) {
  test(`after ${kind} that nothing caught, an instance answers what it has accepted before it ends`, async t => {
    await using started = await startSingleProcess({ firstModule, targets: [{ processingMs: slowMs, slots: 5 }] })
    const { child, files, send, listRunIds, readMetric } = started
    const before = Array.from({ length: 5 }, () => send('/unsafe/x', 0))
    await waitUntil(() => listRunIds().length === 5)
    const waiting = send('/unsafe/x', 0)
    const upload = send('/upload/x', 20_000)
    upload.socket.write(Buffer.alloc(19_000))
    await wait(100)
    const failedAtMs = performance.now()
    child.kill('SIGUSR2')
    t.true(await waitUntil(async () => !await isEntryReady(files)))
    const late = send('/safe/x')
    t.is(await readMetric('bilberry_uncaught_errors_total'), 1)
    upload.socket.write(Buffer.alloc(1_000))
    const callers = [...before, waiting, upload, late]
    const responses = await Promise.all(callers.map(caller => caller.response))
    t.deepEqual(responses.map(({ status, isComplete }) => [status, isComplete]), callers.map(() => [200, true]))
    t.deepEqual(listRunIds().sort(), callers.map(caller => caller.id).sort())
    const end = await started.ended
    t.like(end, { code: uncaughtErrorStatus, signal: null })
    t.true(end.atMs - failedAtMs < graceMs + exitToleranceMs)
    const lines = await readEntryLog(files)
    t.regex(String(lines.find(line => line['event'] === 'uncaught_error')?.['detail']), /^Error: injected\n {4}at /)
    t.deepEqual(lines.map(line => line['event']).filter(event => ['stopping', 'stopped'].includes(event as string)), ['stopping', 'stopped'])
  })
}

test('a request that no target ends in time after an exception that nothing caught is answered as unknown, and one that waits as not run', async t => {
  await using started = await startSingleProcess({ firstModule: failures['an exception'], targets: [{ processingMs: 30, slots: 1 }] })
  started.targets[0]!.setProcessingMs(15_000)
  const inFlight = started.send('/unsafe/x', 0)
  await waitUntil(() => started.listRunIds().length === 1)
  const waiting = started.send('/unsafe/x', 0)
  await wait(100)
  started.child.kill('SIGUSR2')
  const responses = await Promise.all([inFlight.response, waiting.response])
  t.deepEqual(responses.map(({ status, headers }) => [status, headers['bilberry-outcome']]), [[502, 'unknown'], [503, 'not-run']])
  t.deepEqual(started.listRunIds(), [inFlight.id])
  t.is((await started.ended).code, uncaughtErrorStatus)
})

test('a second error that nothing caught ends an instance at once', async t => {
  await using started = await startSingleProcess({ firstModule: failures['an exception'], targets: [{ processingMs: 5_000 }] })
  const caller = started.send('/unsafe/x', 0)
  await waitUntil(() => started.listRunIds().length === 1)
  started.child.kill('SIGUSR2')
  await wait(300)
  t.is(started.child.exitCode, null)
  const failedAtMs = performance.now()
  started.child.kill('SIGUSR2')
  const end = await started.ended
  t.is(end.code, uncaughtErrorStatus)
  t.true(end.atMs - failedAtMs < 1_000)
  t.is((await caller.response).status, undefined)
})

test('an exception that nothing caught during a stop does not end the stop', async t => {
  await using started = await startSingleProcess({ firstModule: failures['an exception'], targets: [{ processingMs: slowMs }] })
  const caller = started.send('/unsafe/x', 0)
  await waitUntil(() => started.listRunIds().length === 1)
  started.child.kill('SIGTERM')
  await wait(200)
  started.child.kill('SIGUSR2')
  t.like(await caller.response, { status: 200, isComplete: true })
  t.is((await started.ended).code, uncaughtErrorStatus)
})
