import type { ExecutionContext } from 'ava'
import type { CallerResponse, CallOptions, TestSite, TestEntry } from './test_site.ts'
import { Agent, get } from 'node:http'
import { connect } from 'node:net'
import { setTimeout as wait } from 'node:timers/promises'
import test from 'ava'
import { createTargetRow } from './target_rows.ts'
import { StoreFault } from './site_store.ts'
import { TargetFault } from './site_target.ts'
import { createTestSite, waitUntil, testSiteHost } from './test_site.ts'

/** Starts an instance and waits until it answers requests. */
async function startReady (site: TestSite, index = 0): Promise<TestEntry> {
  const entry = await site.startEntry(index)
  await waitUntil(async () => (await site.call(entry)).status === 200)
  return entry
}

function readStatus (address: { host: string, port: number }, path: string): Promise<{ status: number, body: string }> {
  return new Promise((resolve, reject) => {
    get({ ...address, path, agent: false }, response => {
      let body = ''
      response.on('data', (part: Buffer) => { body += part.toString() })
      response.on('end', () => resolve({ status: response.statusCode!, body }))
    }).on('error', reject)
  })
}

test('forwards a request and its response unchanged', async t => {
  await using site = await createTestSite()
  site.writeConfig()
  const target = await site.openTarget('t1')
  const entry = await startReady(site)
  const body = Buffer.alloc(300_000, 'x')
  const response = await site.call(entry, { path: '/upload/a?b=%20c', method: 'POST', body, id: 'up-1', affinityKey: '7' })
  t.like(response, { status: 200, body: 'answer of t1', isComplete: true })
  t.is(response.headers['x-server-signature'], 'signed-t1')
  t.like(target.runs.at(-1), { attemptId: 'up-1', call: 'POST /upload/a?b=%20c', bodyBytes: 300_000 })
})

test('answers 503 and is not ready before it has a configuration', async t => {
  await using site = await createTestSite()
  const entry = await site.startEntry(0)
  const { readiness, lookUps } = entry.settings.listen
  t.is((await site.call(entry)).status, 503)
  t.is((await readStatus(readiness, '/ready')).status, 503)
  site.writeConfig()
  t.true(await waitUntil(async () => (await readStatus(readiness, '/ready')).status === 200))
  t.is((await site.call(entry, { path: '/nowhere' })).status, 404)
  t.deepEqual(JSON.parse((await readStatus(lookUps, '/resolve?name=x&region=a&zone=a-1')).body).addresses, [`${entry.settings.listen.callers.host}:${entry.settings.listen.callers.port}`])
})

const faultCases: Array<{ title: string, faults: TargetFault[], call: CallOptions, runs: number, check: (t: ExecutionContext, response: CallerResponse) => void }> = [
  { title: 'retries a safe request when the response is lost', faults: [TargetFault.ResponseLost], call: {}, runs: 2, check: (t, response) => t.is(response.status, 200) },
  { title: 'retries a safe request when the response is truncated', faults: [TargetFault.ResponseTruncated], call: {}, runs: 2, check: (t, response) => t.is(response.status, 200) },
  { title: 'retries a safe request when a target answers 500', faults: [TargetFault.Failed], call: {}, runs: 2, check: (t, response) => t.is(response.status, 200) },
  { title: 'retries a safe request when the response is not signed', faults: [TargetFault.ResponseUnsigned], call: {}, runs: 2, check: (t, response) => t.is(response.headers['x-server-signature'] !== undefined, true) },
  { title: 'answers 502 to an unsafe request when the response is lost', faults: [TargetFault.ResponseLost], call: { path: '/unsafe/x', method: 'POST', body: 'x' }, runs: 1, check: (t, response) => t.is(response.status, 502) },
  { title: 'answers 502 to an unsafe request when the response is truncated', faults: [TargetFault.ResponseTruncated], call: { path: '/unsafe/x', method: 'POST', body: 'x' }, runs: 1, check: (t, response) => t.is(response.status, 502) },
  { title: 'forwards status 500 in response to an unsafe request', faults: [TargetFault.Failed], call: { path: '/unsafe/x', method: 'POST', body: 'x' }, runs: 1, check: (t, response) => t.is(response.status, 500) },
  { title: 'answers 502 to an unsafe request when a target answers 503 without X-Not-Executed', faults: [TargetFault.UnmarkedRefusal], call: { path: '/unsafe/x', method: 'POST', body: 'x' }, runs: 1, check: (t, response) => t.is(response.status, 502) },
  { title: 'retries an unsafe request when a target refuses it as not executed', faults: [TargetFault.Shed], call: { path: '/unsafe/x', method: 'POST', body: 'x' }, runs: 1, check: (t, response) => t.is(response.status, 200) },
  { title: 'retries an upload with a replayable body when a target refuses it as not executed', faults: [TargetFault.Shed], call: { path: '/upload/x', method: 'POST', body: 'y'.repeat(1_000) }, runs: 1, check: (t, response) => t.is(response.status, 200) }
]
for (const { title, faults, call, runs, check } of faultCases) {
  test(`target fault: ${title}`, async t => {
    await using site = await createTestSite()
    site.writeConfig()
    const targets = [await site.openTarget('t1'), await site.openTarget('t2')]
    const entry = await startReady(site)
    for (const target of targets) target.runs.length = 0
    // The affinity key determines the first target of the request; the fault is injected at that target.
    await site.call(entry, { ...call, affinityKey: 'k' })
    const firstTarget = targets.find(target => target.runs.length > 0)!
    firstTarget.runs.length = 0
    firstTarget.addFaults(faults)
    const response = await site.call(entry, { ...call, affinityKey: 'k', id: 'tested' })
    check(t, response)
    t.is(targets.flatMap(target => target.runs).filter(run => run.attemptId === 'tested').length, runs)
  })
}

test('reports an unknown outcome of a safe request after a lost response and a refusal', async t => {
  await using site = await createTestSite()
  site.writeConfig()
  const targets = [await site.openTarget('t1'), await site.openTarget('t2')]
  const entry = await startReady(site)
  await waitUntil(() => entry.readLog().filter(line => line['event'] === 'target').length === 2)
  for (const target of targets) target.runs.length = 0
  await site.call(entry, { affinityKey: 'k' })
  const firstTarget = targets.find(target => target.runs.length > 0)!
  firstTarget.addFaults([TargetFault.ResponseLost])
  targets.find(target => target !== firstTarget)!.addFaults([TargetFault.Shed])
  const response = await site.call(entry, { affinityKey: 'k', id: 'tested' })
  t.is(firstTarget.runs.filter(run => run.attemptId === 'tested').length, 1)
  t.is(response.status, 502)
  t.is(response.headers['bilberry-outcome'], 'unknown')
})

test('answers 504 at the time-out of the route and aborts the request at the target', async t => {
  await using site = await createTestSite()
  site.writeConfig({ timeout: '300ms' })
  const target = await site.openTarget('t1', { processingMs: 5 })
  const entry = await startReady(site)
  target.setProcessingMs(2_000)
  const response = await site.call(entry, { path: '/unsafe/x', method: 'POST', body: 'x', id: 'slow' })
  t.is(response.status, 504)
  t.true(response.elapsedMs >= 290)
  t.true(await waitUntil(() => target.runs.find(run => run.attemptId === 'slow')!.isAborted))
})

test('retries a safe request when its target does not respond and refuses new connections', async t => {
  await using site = await createTestSite()
  site.writeConfig({ timeout: '30s' })
  const targets = [await site.openTarget('t1'), await site.openTarget('t2')]
  const entry = await startReady(site)
  await waitUntil(() => entry.readLog().filter(line => line['event'] === 'target').length === 2)
  for (const target of targets) target.runs.length = 0
  await site.call(entry, { affinityKey: 'k' })
  const firstTarget = targets.find(target => target.runs.length > 0)!
  firstTarget.setProcessingMs(60_000)
  const waiting = site.call(entry, { affinityKey: 'k', id: 'waiting', timeLeftMs: 25_000 })
  t.true(await waitUntil(() => firstTarget.runs.some(run => run.attemptId === 'waiting')))
  firstTarget.stopListening()
  t.is((await site.call(entry, { affinityKey: 'k' })).status, 200)
  t.like(await waiting, { status: 200, isComplete: true })
})

test('dispatches a request to at most max_attempts targets, each with the remaining time', async t => {
  await using site = await createTestSite()
  site.writeConfig({ max_attempts: 2, timeout: '30s' })
  const targets = await Promise.all(['t1', 't2', 't3', 't4'].map(id => site.openTarget(id, { processingMs: 150 })))
  const entry = await startReady(site)
  await waitUntil(() => entry.readLog().filter(line => line['event'] === 'target').length === 4)
  for (const target of targets) target.addFaults([TargetFault.ResponseLost, TargetFault.ResponseLost])
  const response = await site.call(entry, { affinityKey: 'k', id: 'tested', timeLeftMs: 20_000 })
  t.is(response.status, 502)
  const timesLeftMs = targets.flatMap(target => target.runs).filter(run => run.attemptId === 'tested').map(run => run.timeLeftMs).toSorted((a, b) => b - a)
  t.is(timesLeftMs.length, 2)
  t.true(timesLeftMs[0]! <= 20_000)
  t.true(timesLeftMs[1]! <= timesLeftMs[0]! - 150)
})

test('does not count targets that refuse connections towards max_attempts', async t => {
  await using site = await createTestSite()
  site.writeConfig({ max_attempts: 1 })
  const live = await site.openTarget('live')
  const entry = await startReady(site)
  for (const id of ['gone1', 'gone2']) site.store.writeRow('servers', id, createTargetRow({ service: 'svc', address: '127.0.0.1:1', failureDomain: 'a-1', slots: 3 }))
  await waitUntil(() => entry.readLog().filter(line => line['event'] === 'target').length === 3)
  const responses = await Promise.all(Array.from({ length: 12 }, (_, index) => site.call(entry, { affinityKey: `k${index}`, method: 'POST', path: '/unsafe/x', body: 'order', id: `order-${index}` })))
  t.deepEqual(responses.map(response => response.status), responses.map(() => 200))
  t.is(live.runs.filter(run => run.attemptId.startsWith('order-')).length, responses.length)
})

test('runs no request at a target whose address is registered for another target', async t => {
  await using site = await createTestSite()
  site.writeConfig()
  const other = await site.openTarget('other')
  const entry = await startReady(site)
  // The row of target "gone" has the address that target "other" listens on.
  site.store.writeRow('servers', 'gone', createTargetRow({ service: 'svc', address: other.address, failureDomain: 'a-1', slots: 3 }))
  site.store.removeRow('servers', 'other')
  await waitUntil(() => entry.readLog().some(line => line['event'] === 'target_gone'))
  other.runs.length = 0
  const response = await site.call(entry, { path: '/unsafe/x', method: 'POST', body: 'x' })
  t.is(response.status, 503)
  t.true(Number(response.headers['retry-after']) > 0)
  t.is(other.runs.length, 0)
})

test('aborts the request at the target when the caller disconnects', async t => {
  await using site = await createTestSite()
  site.writeConfig()
  const target = await site.openTarget('t1')
  const entry = await startReady(site)
  target.setProcessingMs(1_000)
  const abortController = new AbortController()
  const call = site.call(entry, { id: 'left', signal: abortController.signal })
  t.true(await waitUntil(() => target.runs.some(run => run.attemptId === 'left')))
  abortController.abort()
  await call
  t.true(await waitUntil(() => target.runs.find(run => run.attemptId === 'left')!.isAborted))
})

test('sends nothing to a draining target or to an evacuated failure domain', async t => {
  await using site = await createTestSite()
  site.writeConfig()
  const targets = [await site.openTarget('t1'), await site.openTarget('t2', { failureDomain: 'b-1' }), await site.openTarget('t3', { failureDomain: 'b-2' })]
  const entry = await startReady(site)
  const countRuns = async (): Promise<number[]> => {
    for (const target of targets) target.runs.length = 0
    for (let index = 0; index < 30; index++) await site.call(entry, { affinityKey: String(index) })
    return targets.map(target => target.runs.length)
  }
  t.true((await countRuns()).every(runs => runs > 0))
  targets[0]!.register({ state: 'draining' })
  site.store.writeRow('op', 'evacuate/b-1', {})
  await wait(800)
  t.deepEqual(await countRuns(), [0, 0, 30])
  site.store.removeRow('op', 'evacuate/b-1')
  await wait(800)
  const [drainedRuns, restoredRuns] = await countRuns()
  t.is(drainedRuns, 0)
  t.true(restoredRuns! > 0)
})

test('receives configuration and targets from a peer while the store refuses its calls', async t => {
  await using site = await createTestSite()
  const version = site.writeConfig()
  await site.openTarget('t1')
  const entries = [await startReady(site, 0), await startReady(site, 2)]
  const [refusedEntry, peerEntry] = entries as [TestEntry, TestEntry]
  t.true(await waitUntil(() => refusedEntry.readLog().some(line => line['event'] === 'peer_live') && peerEntry.readLog().some(line => line['event'] === 'peer_live')))
  refusedEntry.storeEndpoint.setFault(StoreFault.Busy)
  const added = site.writeConfig({}, { added: site.createRoute('safe', { prefix: '/added/' }) })
  await site.openTarget('t2')
  site.store.removeRow('servers', 't1')
  t.true(await waitUntil(async () => (await site.call(refusedEntry, { path: '/added/x' })).status === 200))
  t.true(await waitUntil(() => refusedEntry.readLog().some(line => line['event'] === 'target_gone')))
  t.deepEqual(refusedEntry.readLog().filter(line => line['event'] === 'config_in_force').map(line => line['version']), [version, added])
})

test('rereads a table when the store has dropped its change history', async t => {
  await using site = await createTestSite()
  site.writeConfig()
  await site.openTarget('t1')
  const entry = await startReady(site)
  entry.storeEndpoint.setFault(StoreFault.NoResponse)
  site.writeConfig({}, { added: site.createRoute('safe', { prefix: '/added/' }) })
  site.store.dropHistory()
  entry.storeEndpoint.setFault(StoreFault.None)
  t.true(await waitUntil(async () => (await site.call(entry, { path: '/added/x' })).status === 200))
})

test('keeps targets whose rows lapsed during a store outage until they can register again', async t => {
  await using site = await createTestSite()
  site.writeConfig()
  const target = await site.openTarget('t1')
  const entry = await startReady(site)
  entry.storeEndpoint.setFault(StoreFault.Reset)
  t.true(await waitUntil(() => entry.readLog().some(line => line['event'] === 'store_lost')))
  site.store.removeRow('servers', 't1')
  entry.storeEndpoint.setFault(StoreFault.None)
  t.true(await waitUntil(() => entry.readLog().some(line => line['event'] === 'store_regained')))
  await wait(1_000)
  t.is((await site.call(entry)).status, 200)
  target.register()
  await wait(2_500)
  t.is((await site.call(entry)).status, 200)
  t.false(entry.readLog().some(line => line['event'] === 'target_gone'))
})

test('finishes accepted requests during a stop and accepts none late in the stop', async t => {
  await using site = await createTestSite()
  site.writeConfig()
  const target = await site.openTarget('t1')
  const entry = await startReady(site)
  const agent = new Agent({ keepAlive: true })
  await site.call(entry, { agent })
  target.setProcessingMs(400)
  const stopped = entry.running.stop().then(() => performance.now())
  const responses = new Map<string, CallerResponse>()
  const startedMs = performance.now()
  const lateIds: string[] = []
  for (let index = 0; performance.now() - startedMs < 4_500; index++) {
    const id = `during-${index}`
    if (performance.now() - startedMs > 3_000) lateIds.push(id)
    responses.set(id, await site.call(entry, { agent, id, path: '/unsafe/x', method: 'POST', body: 'x' }))
    await wait(30)
  }
  t.true(await stopped - startedMs < entry.settings.bounds.graceMs)
  const acceptedRuns = target.runs.filter(run => run.attemptId.startsWith('during-'))
  t.true(acceptedRuns.length > 0)
  for (const run of acceptedRuns) {
    t.false(lateIds.includes(run.attemptId))
    t.like(responses.get(run.attemptId), { status: 200, isComplete: true })
  }
})

test('announces the keep-alive time-out and closes an unused connection without a response', async t => {
  await using site = await createTestSite()
  site.writeConfig()
  await site.openTarget('t1')
  const entry = await startReady(site)
  const response = await site.call(entry, { agent: new Agent({ keepAlive: true }) })
  t.is(response.headers['keep-alive'], 'timeout=15')
  const received = await new Promise<string>(resolve => {
    let received = ''
    const socket = connect(entry.settings.listen.callers)
    socket.on('data', part => { received += part.toString() })
    socket.on('close', () => resolve(received))
  })
  t.is(received, '')
})

test('tells every refused caller when to come back', async t => {
  await using site = await createTestSite()
  site.writeConfig({ timeout: '4s' })
  const target = await site.openTarget('t1')
  const entry = await startReady(site)
  target.setProcessingMs(3_000)
  const responses = await Promise.all(Array.from({ length: 60 }, () => site.call(entry, { affinityKey: 'same', timeLeftMs: 10_000 })))
  const refused = responses.filter(response => response.status === 503)
  t.true(refused.length > 20, String(refused.length))
  t.true(refused.every(response => Number(response.headers['retry-after']) > 0))
})

test('tells refused callers to come back later the more of them there are', async t => {
  const runBurst = async (calls: number): Promise<number[]> => {
    await using site = await createTestSite()
    site.writeConfig({ timeout: '4s' })
    const target = await site.openTarget('t1')
    const entry = await startReady(site)
    target.setProcessingMs(3_000)
    const responses = await Promise.all(Array.from({ length: calls }, () => site.call(entry, { affinityKey: 'same', timeLeftMs: 4_000 })))
    return responses.filter(response => response.status === 503).map(response => Number(response.headers['retry-after']))
  }
  const few = await runBurst(10)
  const many = await runBurst(60)
  t.true(few.length > 2 && many.length > 20)
  t.true([...few, ...many].every(seconds => seconds > 0))
  const mean = (values: number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length
  t.true(mean(many) > 2 * mean(few), JSON.stringify({ few, many }))
})

test('gives each object few targets, and queues no more at a target than it should', async t => {
  await using site = await createTestSite()
  site.writeConfig({ timeout: '20s' })
  const targets = await Promise.all(['t1', 't2', 't3', 't4', 't5'].map(id => site.openTarget(id, { processingMs: 400 })))
  const entry = await startReady(site)
  await waitUntil(() => entry.readLog().filter(line => line['event'] === 'target').length === 5)
  for (const target of targets) target.runs.length = 0
  await Promise.all(Array.from({ length: 20 }, () => site.call(entry, { affinityKey: 'same', timeLeftMs: 20_000 })))
  t.is(targets.filter(target => target.runs.length > 0).length, 2)
  t.true(targets.every(target => target.getMaxConcurrency() <= 4))
})

const malformed: Array<[string, string, number]> = [
  ['Content-Length and Transfer-Encoding', 'POST /safe/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: m\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n', 400],
  ['two Content-Length fields', 'POST /safe/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: m\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd', 400],
  ['a bare carriage return', 'GET /safe/x HTTP/1.1\r\nHost: h\r\nX-A: b\rc\r\nX-Request-Id: m\r\n\r\n', 400],
  ['a folded header field', 'POST /safe/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: m\r\nTransfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n', 400],
  ['a space before the colon', 'POST /safe/x HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\nX-Request-Id: m\r\n\r\nabc', 400],
  ['no X-Request-Id', `GET /safe/x HTTP/1.1\r\nHost: ${testSiteHost}\r\n\r\n`, 400],
  ['two X-Request-Id fields', `GET /safe/x HTTP/1.1\r\nHost: ${testSiteHost}\r\nX-Request-Id: m\r\nX-Request-Id: n\r\n\r\n`, 400],
  ['a header section above the limit', `GET /safe/x HTTP/1.1\r\nHost: ${testSiteHost}\r\nX-Request-Id: m\r\nX-A: ${'a'.repeat(17_000)}\r\n\r\n`, 431],
  ['a body above the limit', `POST /safe/x HTTP/1.1\r\nHost: ${testSiteHost}\r\nX-Request-Id: m\r\nContent-Length: 2000000\r\n\r\n`, 413]
]
for (const [name, bytes, status] of malformed) {
  test(`refuses a request with ${name} and dispatches nothing`, async t => {
    await using site = await createTestSite()
    site.writeConfig()
    const target = await site.openTarget('t1')
    const entry = await startReady(site)
    target.runs.length = 0
    const response = await new Promise<string>(resolve => {
      let received = ''
      const socket = connect(entry.settings.listen.callers, () => socket.write(bytes))
      socket.on('data', part => {
        received += part.toString()
        socket.end()
      })
      socket.on('error', () => resolve(received))
      socket.on('close', () => resolve(received))
    })
    t.regex(response, new RegExp(`^HTTP/1.1 ${status} `))
    t.is(target.runs.length, 0)
  })
}
