import type { ExecutionContext } from 'ava'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { PathRelay } from './path_relay.ts'
import type { CallerResponse, CallOptions, TestEntry, TestSite } from './test_site.ts'
import type { SiteTarget } from './site_target.ts'
import { createSocket } from 'node:dgram'
import { createServer, request } from 'node:http'
import { setTimeout as wait } from 'node:timers/promises'
import test from 'ava'
import { closeListener, listenOnLoopback } from './listeners.ts'
import { PathState, startPathRelay } from './path_relay.ts'
import { TargetFault } from './site_target.ts'
import { createTestSite, testSiteHost, waitUntil } from './test_site.ts'

const unsafeCall: CallOptions = { path: '/unsafe/x', method: 'POST', body: 'order' }
const goneMs = 500

interface CutSite extends AsyncDisposable {
  site: TestSite
  /** The instance without a path to targets, which is in region a. */
  cut: TestEntry
  path: PathRelay
  targets: SiteTarget[]
}

function countLines (entry: TestEntry, event: string): number {
  return entry.readLog().filter(line => line['event'] === event).length
}

/** Starts a site, and cuts its first instance off from the targets, which it notices. */
async function createCutSite ({ targets = 2, peers = [1] }: { targets?: number, peers?: number[] } = {}): Promise<CutSite & { peers: TestEntry[] }> {
  const site = await createTestSite()
  const path = await startPathRelay()
  site.writeConfig()
  const opened: SiteTarget[] = []
  for (let index = 0; index < targets; index++) opened.push(await site.openTarget(`t${index}`, { failureDomain: ['a-1', 'b-1'][index % 2]! }))
  const cut = await site.startEntry(0, [], path)
  const others: TestEntry[] = []
  for (const index of peers) others.push(await site.startEntry(index))
  for (const entry of [cut, ...others]) {
    await waitUntil(async () => (await site.call(entry)).status === 200)
    await waitUntil(() => countLines(entry, 'peer_live') >= peers.length)
  }
  await closePath({ site, path, cut })
  for (const target of opened) target.runs.length = 0
  return {
    site,
    cut,
    path,
    targets: opened,
    peers: others,
    async [Symbol.asyncDispose] () {
      await site[Symbol.asyncDispose]()
      await path[Symbol.asyncDispose]()
    }
  }
}

/** Resets the connections of an instance to targets, and sends it requests until it has noticed for all of them. */
async function closePath ({ site, path, cut }: { site: TestSite, path: PathRelay, cut: TestEntry }): Promise<void> {
  await path.setState(PathState.Reset)
  await waitUntil(async () => {
    for (const affinityKey of ['1', '2', '3', '4']) await site.call(cut, { affinityKey })
    return countLines(cut, 'targets_unreached') >= 2
  })
}

function listRuns (targets: SiteTarget[], id: string): string[] {
  return targets.flatMap(target => target.runs.filter(run => run.attemptId === id).map(run => run.call))
}

const faultCases: Array<{ title: string, faults: TargetFault[], call: CallOptions, runs: number, check: (t: ExecutionContext, response: CallerResponse) => void }> = [
  { title: 'returns the response of a target', faults: [], call: unsafeCall, runs: 1, check: (t, response) => t.like(response, { status: 200, isComplete: true }) },
  { title: 'retries a safe request whose response is lost', faults: [TargetFault.ResponseLost], call: {}, runs: 2, check: (t, response) => t.is(response.status, 200) },
  { title: 'answers 502 to an unsafe request whose response is lost', faults: [TargetFault.ResponseLost], call: unsafeCall, runs: 1, check: (t, response) => t.is(response.status, 502) },
  { title: 'answers 502 to an unsafe request whose response is truncated', faults: [TargetFault.ResponseTruncated], call: unsafeCall, runs: 1, check: (t, response) => t.is(response.status, 502) },
  { title: 'answers 502 to an unsafe request that a target refuses without saying that it has not run', faults: [TargetFault.UnmarkedRefusal], call: unsafeCall, runs: 1, check: (t, response) => t.is(response.status, 502) },
  { title: 'retries an unsafe request that a target says not to have run', faults: [TargetFault.Shed], call: unsafeCall, runs: 1, check: (t, response) => t.is(response.status, 200) },
  { title: 'forwards status 500 in response to an unsafe request', faults: [TargetFault.Failed], call: unsafeCall, runs: 1, check: (t, response) => t.is(response.status, 500) },
  { title: 'answers 502 to an unsafe request whose response is not signed', faults: [TargetFault.ResponseUnsigned], call: unsafeCall, runs: 1, check: (t, response) => t.is(response.status, 502) }
]
for (const { title, faults, call, runs, check } of faultCases) {
  test(`through another instance: ${title}`, async t => {
    await using cutSite = await createCutSite()
    const { site, cut, targets } = cutSite
    const affinityKey = '7'
    await site.call(cut, { affinityKey })
    targets.find(target => target.runs.length > 0)!.addFaults(faults)
    const response = await site.call(cut, { ...call, affinityKey, id: 'the-call' })
    check(t, response)
    t.is(listRuns(targets, 'the-call').length, runs)
    t.is(response.headers['bilberry-relay'], undefined)
  })
}

test('through another instance: refuses a request as not run when each target does', async t => {
  await using cutSite = await createCutSite()
  const { site, cut, targets } = cutSite
  for (const target of targets) target.addFaults(Array.from({ length: 4 }, () => TargetFault.Shed))
  const response = await site.call(cut, { ...unsafeCall, id: 'the-call' })
  t.is(response.status, 503)
  t.is(response.headers['bilberry-outcome'], 'not-run')
  t.deepEqual(listRuns(targets, 'the-call'), [])
})

test('through another instance: a body that is streamed arrives unchanged, with less time left', async t => {
  await using cutSite = await createCutSite()
  const { site, cut, targets } = cutSite
  const body = Buffer.alloc(1_000_000, 'x')
  const response = await site.call(cut, { path: '/upload/a?b=%20c', method: 'POST', body, id: 'the-call', timeLeftMs: 1_400 })
  t.is(response.status, 200)
  const [run] = targets.flatMap(target => target.runs.filter(each => each.attemptId === 'the-call'))
  t.like(run, { call: 'POST /upload/a?b=%20c', bodyBytes: 1_000_000 })
  t.true(run!.timeLeftMs < 1_400 && run!.timeLeftMs > 1_000, String(run!.timeLeftMs))
})

test('through another instance: a request ends at the target when its caller leaves', async t => {
  await using cutSite = await createCutSite()
  const { site, cut, targets } = cutSite
  for (const target of targets) target.setProcessingMs(1_200)
  const controller = new AbortController()
  const call = site.call(cut, { id: 'the-call', signal: controller.signal })
  t.true(await waitUntil(() => listRuns(targets, 'the-call').length === 1))
  controller.abort()
  await call
  await wait(goneMs)
  t.true(targets.flatMap(target => target.runs).find(run => run.attemptId === 'the-call')!.isAborted)
})

test('through another instance: an unsafe request whose instance ends has an unknown outcome, and a safe one is served by the next', async t => {
  await using cutSite = await createCutSite({ targets: 4, peers: [1, 2] })
  const { site, cut, peers, targets } = cutSite
  for (const target of targets) target.setProcessingMs(600)
  const calls = ['u0', 'u1', 'u2', 'u3'].map(id => site.call(cut, { ...unsafeCall, id }))
  const safeCalls = ['s0', 's1', 's2', 's3'].map(id => site.call(cut, { id }))
  t.true(await waitUntil(() => ['u0', 'u1', 'u2', 'u3', 's0', 's1', 's2', 's3'].every(id => listRuns(targets, id).length === 1)))
  await peers[0]!.running[Symbol.asyncDispose]()
  const statuses = (await Promise.all(calls)).map(({ status }) => status)
  t.true(statuses.includes(502), String(statuses))
  t.true(statuses.every(status => status === 200 || status === 502), String(statuses))
  t.deepEqual((await Promise.all(safeCalls)).map(({ status }) => status), [200, 200, 200, 200])
  for (const id of ['u0', 'u1', 'u2', 'u3']) t.is(listRuns(targets, id).length, 1)
})

test('through another instance: requests stay in their home regions', async t => {
  await using cutSite = await createCutSite({ peers: [1, 2] })
  const { site, cut, peers, targets } = cutSite
  const version = site.writeConfig({ home_regions: ['b'] })
  for (const entry of [cut, ...peers]) t.true(await waitUntil(() => entry.readLog().some(line => line['event'] === 'config_in_force' && line['version'] === version)))
  // The second instance is in region a, the third one in region b.
  t.is((await site.call(cut, { ...unsafeCall, id: 'the-call' })).status, 200)
  t.deepEqual(targets.map(target => target.runs.filter(run => run.attemptId === 'the-call').length), [0, 1])
  t.deepEqual(cut.readLog().filter(line => line['event'] === 'relay_failed'), [])
  await peers[1]!.running[Symbol.asyncDispose]()
  t.true(await waitUntil(async () => (await site.call(cut, unsafeCall)).headers['bilberry-reason'] === 'target_unreachable'))
  const refused = await site.call(cut, unsafeCall)
  t.is(refused.status, 503)
  t.true(refused.elapsedMs < 300)
})

test('an instance that has no path to targets either refuses what others relay to it, at once', async t => {
  await using cutSite = await createCutSite({ peers: [] })
  const { site, cut } = cutSite
  await using secondPath = await startPathRelay()
  const second = await site.startEntry(1, [], secondPath)
  t.true(await waitUntil(async () => (await site.call(second)).status === 200))
  t.true(await waitUntil(async () => (await site.call(cut)).status === 200))
  await closePath({ site, path: secondPath, cut: second })
  t.true(await waitUntil(async () => (await site.call(cut, unsafeCall)).status === 503))
  const responses = await Promise.all(Array.from({ length: 10 }, () => site.call(cut, unsafeCall)))
  t.deepEqual(responses.map(({ status }) => status), Array.from({ length: 10 }, () => 503))
  t.true(Math.max(...responses.map(({ elapsedMs }) => elapsedMs)) < goneMs)
})

test('an instance sends nothing to a target that reported through another one that it leaves', async t => {
  await using cutSite = await createCutSite()
  const { site, cut, path, targets } = cutSite
  targets[0]!.setResponseFields({ 'Server-Leaving': '1' })
  for (let count = 0; count < 10; count++) await site.call(cut, { affinityKey: String(count) })
  t.is(countLines(cut, 'target_leaving'), 1)
  const arrivals = targets[0]!.arrivalsMs.length
  await path.setState(PathState.Open)
  t.true(await waitUntil(() => countLines(cut, 'targets_reached') >= 1))
  for (let count = 0; count < 10; count++) await site.call(cut, { affinityKey: String(count) })
  t.is(targets[0]!.arrivalsMs.length, arrivals)
})

/** Sends a request to the listener for peers. */
function sendToPeerListener (entry: TestEntry, headers: Record<string, string>, path = '/safe/x'): Promise<{ status: number, relay: unknown, outcome: unknown }> {
  return new Promise((resolve, reject) => {
    request({ ...entry.settings.listen.peers, path, agent: false, headers: { Host: testSiteHost, 'X-Request-Id': 'forged', 'X-Timeout-Ms': '1000', ...headers } }, response => {
      response.resume().on('end', () => resolve({ status: response.statusCode!, relay: response.headers['bilberry-relay'], outcome: response.headers['bilberry-outcome'] }))
    }).on('error', reject).end()
  })
}

for (const [title, headers, path, expected] of [
  ['without a sender', { 'Bilberry-Relay': ' ' }, '/safe/x', { status: 400 }],
  ['with an unreadable field', { 'Bilberry-Relay': '%zz svc 0' }, '/safe/x', { status: 400 }],
  ['for a service that no route leads to', { 'Bilberry-Relay': 'entry-9 elsewhere 0' }, '/safe/x', { status: 200 }],
  ['for an unknown route', { 'Bilberry-Relay': 'entry-9 svc 0' }, '/nowhere', { status: 404, relay: '- 0', outcome: 'not-run' }],
  ['that has reached all targets it may', { 'Bilberry-Relay': 'entry-9 svc 3' }, '/safe/x', { status: 200 }]
] as const) {
  test(`a relayed request ${title} gets a clear response`, async t => {
    await using site = await createTestSite()
    site.writeConfig()
    await site.openTarget('t0')
    const entry = await site.startEntry(0)
    t.true(await waitUntil(async () => (await site.call(entry)).status === 200))
    t.like(await sendToPeerListener(entry, headers, path), expected)
  })
}

for (const [title, version, expected] of [['by a later configuration than its own', '99', 'other'], ['by an earlier one', '1', 'svc'], ['by one that is not stated', undefined, 'svc']] as const) {
  test(`an instance runs a relayed request at the service that was chosen ${title} only if that is known to be later`, async t => {
    await using site = await createTestSite()
    site.writeConfig()
    const targets = [await site.openTarget('t0'), await site.openTarget('t1', { service: 'other' })]
    const entry = await site.startEntry(0)
    t.true(await waitUntil(async () => (await site.call(entry)).status === 200))
    for (const target of targets) target.runs.length = 0
    t.like(await sendToPeerListener(entry, { 'Bilberry-Relay': 'entry-9 other 0', ...version === undefined ? {} : { 'Bilberry-Relay-Version': version } }), { status: 200 })
    t.is(targets[0]!.runs.length === 1 ? 'svc' : 'other', expected)
    t.is(targets[0]!.runs.length + targets[1]!.runs.length, 1)
  })
}

/** Starts a program that announces itself as an instance, and that treats relayed requests as given. */
async function startFakePeer (site: TestSite, cut: TestEntry, handleRelayed: (message: IncomingMessage, response: ServerResponse) => void, instance = 'fake'): Promise<AsyncDisposable & { countRequests: () => number }> {
  let requests = 0
  const server = createServer((message, response) => {
    if (message.headers['bilberry-relay'] !== undefined) requests++
    handleRelayed(message, response)
  })
  const peers = await listenOnLoopback(server)
  const socket = createSocket('udp4')
  await new Promise<void>(resolve => socket.bind(0, '127.0.0.1', resolve))
  const { heartbeatPort, listen } = cut.settings
  let sequence = 0
  const announce = (): void => {
    const heartbeat = { instance, startedAtMs: 1, sequence: sequence++, isReady: true, versions: {}, demand: {}, failureDomain: 'a-2', region: 'a', callers: '127.0.0.1:1', heartbeats: { host: '127.0.0.1', port: socket.address().port }, peers }
    socket.send(JSON.stringify(heartbeat), heartbeatPort, listen.peers.host)
  }
  const timer = setInterval(announce, 200)
  announce()
  await waitUntil(() => cut.readLog().some(line => line['event'] === 'peer_live' && line['peer'] === instance))
  // The instance lists its peers anew at short intervals, and refuses requests meanwhile.
  await waitUntil(async () => {
    await site.call(cut)
    return requests > 0
  })
  return {
    countRequests: () => requests,
    async [Symbol.asyncDispose] () {
      clearInterval(timer)
      socket.close()
      await closeListener(server)
    }
  }
}

const echoId = (message: IncomingMessage): Record<string, string> => ({ 'X-Request-Id': String(message.headers['x-request-id']) })
for (const [title, handleRelayed] of [
  ['answers without saying who it is', (message, response) => { response.writeHead(200, { ...echoId(message), 'X-Server-Signature': 'x' }).end('forged') }],
  ['answers with an unreadable field', (message, response) => { response.writeHead(200, { ...echoId(message), 'Bilberry-Relay': '%zz 1 2' }).end('forged') }],
  ['refuses for a reason that does not exist', (message, response) => { response.writeHead(503, { ...echoId(message), 'Bilberry-Relay': '- 0', 'Bilberry-Outcome': 'not-run', 'Bilberry-Reason': 'tired' }).end() }],
  ['answers another request', (_, response) => { response.writeHead(200, { 'X-Request-Id': 'other', 'Bilberry-Relay': 't0 1', 'X-Server-Signature': 'x' }).end('forged') }],
  ['sends bytes that are no response', message => { message.socket.end('nonsense\r\n\r\n') }],
  ['closes the connection', message => { message.socket.destroy() }]
] as Array<[string, (message: IncomingMessage, response: ServerResponse) => void]>) {
  test(`an instance that ${title} gets no request run twice or answered falsely`, async t => {
    await using cutSite = await createCutSite({ peers: [] })
    const { site, cut, targets } = cutSite
    await using fake = await startFakePeer(site, cut, handleRelayed)
    for (let count = 0; count < 3; count++) {
      const unsafe = await site.call(cut, { ...unsafeCall, id: `unsafe-${count}` })
      t.is(unsafe.headers['bilberry-outcome'], 'unknown')
      t.false(unsafe.body.includes('forged'))
      t.not((await site.call(cut)).status, 200)
    }
    t.true(fake.countRequests() >= 3)
    t.deepEqual(targets.flatMap(target => target.runs), [])
  })
}

test('a safe request that may have run through one instance is not said to be not run since a second one refuses it', async t => {
  await using cutSite = await createCutSite({ peers: [] })
  const { site, cut } = cutSite
  const lost = new Set<string>()
  let refusals = 0
  const handleRelayed = (message: IncomingMessage, response: ServerResponse): void => {
    const id = String(message.headers['x-request-id'])
    if (!lost.has(id)) {
      lost.add(id)
      message.socket.destroy()
      return
    }
    refusals++
    response.writeHead(503, { ...echoId(message), 'Bilberry-Relay': '- 0', 'Bilberry-Outcome': 'not-run', 'Bilberry-Reason': 'overloaded', 'Retry-After': '0.1' }).end()
  }
  await using first = await startFakePeer(site, cut, handleRelayed, 'fake-1')
  await using second = await startFakePeer(site, cut, handleRelayed, 'fake-2')
  for (let count = 0; count < 5; count++) {
    const refusalsBefore = refusals
    const response = await site.call(cut, { id: `call-${count}`, affinityKey: String(count) })
    if (refusals > refusalsBefore) t.is(response.headers['bilberry-outcome'], 'unknown')
  }
  t.true(refusals > 0)
  t.true(first.countRequests() > 0 && second.countRequests() > 0)
})
