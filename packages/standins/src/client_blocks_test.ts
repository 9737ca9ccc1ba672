import type { ClientBlocksRow, Platform } from '@bilberryworks/platform'
import type { ClientBlockEntry } from '@bilberryworks/steering'
import type { ClientBlocksLoader, Settings } from 'bilberryd'
import { PublishFailureKind, publishClientBlocks } from '@bilberryworks/operators'
import { ClientBlocksLoadResult, createStorePlatform, formatClientBlocksKey, runInSlices, TableName } from '@bilberryworks/platform'
import { buildClientBlocks, decodeSnapshot, diffClientBlocks, encodeDifference, encodeSnapshot, findSites, parseClientAddress, readDigest } from '@bilberryworks/steering'
import test from 'ava'
import { createClientBlocksLoader, runInstance } from 'bilberryd'
import { request } from 'undici'
import { writeAcceptedDocument } from './accept_document.ts'
import { createDocument, deployments } from './deployments.ts'
import { createSiteStore, StoreFault } from './site_store.ts'

const waitLimitMs = 10_000
const silentLog = { info () {} } as unknown as Parameters<typeof runInstance>[1]

function createEntries (sites: string[], blocks = ['10.0.0.0/8']): ClientBlockEntry[] {
  return blocks.map(block => ({ block, sites }))
}

async function publish (platform: Platform, entries: ClientBlockEntry[]): Promise<ClientBlocksRow> {
  return (await publishClientBlocks(platform, entries))._unsafeUnwrap()
}

async function waitUntil (isDone: () => boolean): Promise<void> {
  const deadlineMs = performance.now() + waitLimitMs
  while (!isDone() && performance.now() < deadlineMs) await new Promise(resolve => setTimeout(resolve, 5))
}

interface LoaderFixture extends AsyncDisposable {
  loader: ClientBlocksLoader
  loads: ClientBlocksLoadResult[]
  find: (client: string) => readonly string[]
}

function startLoader (platform: Platform): LoaderFixture {
  const loads: ClientBlocksLoadResult[] = []
  const loader = createClientBlocksLoader({ platform, getRandom: () => 0, countLoad: load => loads.push(load), recordLoad: () => {}, maxRetryMs: 20 })
  const find = (client: string): readonly string[] => findSites(loader.getBlocks(), parseClientAddress(client)._unsafeUnwrap())
  return { loader, loads, find, [Symbol.asyncDispose]: () => loader[Symbol.asyncDispose]() }
}

test('loads a snapshot, then differences', async t => {
  await using store = createSiteStore()
  const endpoint = await store.openEndpoint()
  await using platform = createStorePlatform(endpoint.url)
  await publish(platform, createEntries(['sofia']))
  await using fixture = startLoader(platform)
  const { loader, loads, find } = fixture
  loader.observeRevision(1)
  await loader.wait()
  t.deepEqual(find('10.1.2.3'), ['sofia'])
  await publish(platform, createEntries(['sofia'], ['10.0.0.0/9']))
  const row = await publish(platform, createEntries(['varna', 'sofia'], ['10.0.0.0/9', '10.192.0.0/10']))
  t.is(row.snapshot, undefined)
  loader.observeRevision(3)
  await loader.wait()
  t.deepEqual([find('10.1.2.3'), find('10.200.0.1'), find('10.130.0.1')], [['varna', 'sofia'], ['varna', 'sofia'], []])
  t.deepEqual(loads, [ClientBlocksLoadResult.Snapshot, ClientBlocksLoadResult.Differences])
})

function createDifference (baseRevision: number, site: string): Uint8Array {
  const base = buildClientBlocks(createEntries(['sofia']), { revision: baseRevision })._unsafeUnwrap()
  return encodeDifference(diffClientBlocks(base, buildClientBlocks(createEntries([site]), { revision: baseRevision + 1, knownOrders: base.orders })._unsafeUnwrap()))
}

type Damage = (platform: Platform, row: ClientBlocksRow) => Promise<unknown>
const damages: Array<[name: string, damage: Damage]> = [
  ['a truncated difference', async (platform, { difference }) => {
    const bytes = (await platform.readObject(difference!.object))._unsafeUnwrap()!
    await platform.writeObject(difference!.object, bytes.subarray(0, -5))
  }],
  ['a changed difference', async (platform, { difference }) => {
    const bytes = (await platform.readObject(difference!.object))._unsafeUnwrap()!
    bytes[bytes.length - 40]! ^= 1
    await platform.writeObject(difference!.object, bytes)
  }],
  ['an object of another map', (platform, { difference }) => platform.writeObject(difference!.object, encodeSnapshot(buildClientBlocks([], { revision: 2 })._unsafeUnwrap()))],
  ['another difference of the same size', (platform, { difference }) => platform.writeObject(difference!.object, createDifference(1, 'sofib'))],
  ['a difference from another revision', (platform, row) => {
    const content = createDifference(4, 'varna')
    const difference = { object: 'other', bytes: content.length, sha256: readDigest(content) }
    return Promise.all([platform.writeObject('other', content), platform.writeRows([{ table: TableName.ClientBlocks, key: formatClientBlocksKey(2), value: { ...row, difference } }])])
  }],
  ['a missing object', (platform, row) => platform.writeRows([{ table: TableName.ClientBlocks, key: formatClientBlocksKey(2), value: { ...row, difference: { ...row.difference, object: 'absent' } } }])],
  ['a missing row', platform => platform.writeRows([{ table: TableName.ClientBlocks, key: formatClientBlocksKey(2) }])],
  ['an outage', async () => {}]
]
for (const [name, damage] of damages) {
  test(`keeps the last valid map after ${name}, then recovers`, async t => {
    await using store = createSiteStore()
    const endpoint = await store.openEndpoint()
    await using platform = createStorePlatform(endpoint.url)
    await publish(platform, createEntries(['sofia']))
    await using fixture = startLoader(platform)
    const { loader, loads, find } = fixture
    loader.observeRevision(1)
    await loader.wait()
    const row = await publish(platform, createEntries(['varna']))
    const validDifference = (await platform.readObject(row.difference!.object))._unsafeUnwrap()!
    await damage(platform, row)
    if (name === 'an outage') endpoint.setFault(StoreFault.Busy)
    loader.observeRevision(2)
    await waitUntil(() => loads.length >= 3)
    t.deepEqual([loader.getBlocks().revision, ...find('10.0.0.1')], [1, 'sofia'])
    t.true(loads.slice(1).every(load => load === (name === 'an outage' ? ClientBlocksLoadResult.Unavailable : ClientBlocksLoadResult.Damaged)))
    endpoint.setFault(StoreFault.None)
    await platform.writeObject(row.difference!.object, validDifference)
    await platform.writeRows([{ table: TableName.ClientBlocks, key: formatClientBlocksKey(2), value: row }])
    await loader.wait()
    t.deepEqual([loader.getBlocks().revision, ...find('10.0.0.1')], [2, 'varna'])
  })
}

test('loads the snapshot when a difference is damaged', async t => {
  await using store = createSiteStore()
  const endpoint = await store.openEndpoint()
  await using platform = createStorePlatform(endpoint.url)
  for (let revision = 1; revision <= 8; revision++) await publish(platform, createEntries([`site-${revision}`]))
  await using fixture = startLoader(platform)
  const { loader, loads, find } = fixture
  loader.observeRevision(8)
  await loader.wait()
  const row = await publish(platform, createEntries(['site-9']))
  t.is(row.snapshotRevision, 9)
  await platform.writeObject(row.difference!.object, new Uint8Array(100))
  loader.observeRevision(9)
  await loader.wait()
  t.deepEqual([...find('10.0.0.1'), ...loads], ['site-9', ClientBlocksLoadResult.Snapshot, ClientBlocksLoadResult.Snapshot])
})

test('accepts only one of two concurrent publications', async t => {
  await using store = createSiteStore()
  const endpoint = await store.openEndpoint()
  await using platform = createStorePlatform(endpoint.url)
  await publish(platform, createEntries(['sofia']))
  const results = await Promise.all(['varna', 'plovdiv'].map(site => publishClientBlocks(platform, createEntries([site]))))
  t.deepEqual(results.map(result => result.isOk()).sort(), [false, true])
  t.is(results.find(result => result.isErr())!._unsafeUnwrapErr().kind, PublishFailureKind.RevisionConflict)
  await using fixture = startLoader(platform)
  const { loader, find } = fixture
  loader.observeRevision(2)
  await loader.wait()
  t.deepEqual(find('10.0.0.1'), [results[0]!.isOk() ? 'varna' : 'plovdiv'])
})

test('publishes nothing when the list has findings', async t => {
  await using store = createSiteStore()
  const endpoint = await store.openEndpoint()
  await using platform = createStorePlatform(endpoint.url)
  const failure = (await publishClientBlocks(platform, createEntries([], ['10.0.0.1/8'])))._unsafeUnwrapErr()
  t.deepEqual([failure.kind, failure.findings.length], [PublishFailureKind.Findings, 2])
  t.is(endpoint.countCalls().writes, 0)
})

test('yields to the event loop while decoding a map', async t => {
  const entries = Array.from({ length: 100_000 }, (_, index) => ({ block: `${index >> 16}.${index >> 8 & 255}.${index & 255}.0/24`, sites: [index % 2 === 0 ? 'sofia' : 'varna'] }))
  const bytes = encodeSnapshot(buildClientBlocks(entries, { revision: 1 })._unsafeUnwrap())
  let turns = 0
  const count = (): void => { turns++; handle = setImmediate(count) }
  let handle = setImmediate(count)
  await runInSlices(decodeSnapshot(bytes))
  clearImmediate(handle)
  t.true(turns >= 5, `${turns} turns of the event loop`)
})

function createSettings (platformUrl: string): Settings {
  const listen = { host: '127.0.0.1', port: 0 }
  return {
    instance: 'entry-0', failureDomain: 'sofia-a', region: 'sofia', platformUrl, listen: { callers: listen, operators: listen, peers: listen }, peerKeys: ['key'], seedPeers: [], tokens: [], lookUpTtlSeconds: 20, pollMs: 50, heartbeatMs: 200, stopLimitMs: 1_000, longestDispatchMs: 1_000, links: [], headersTimeoutMs: 10_000, bodyIdleTimeoutMs: 30_000
  }
}

test('selects look-up entries by the map and refuses malformed client addresses', async t => {
  await using store = createSiteStore()
  const endpoint = await store.openEndpoint()
  await using platform = createStorePlatform(endpoint.url)
  const deployment = deployments.kutiyka
  const document = { ...createDocument(deployment, deployment.services[0]), regionWeights: { sofia: 1 } }
  await writeAcceptedDocument(platform, document)
  await publish(platform, createEntries(['sofia-b'], ['10.0.0.0/8']))
  const instanceRows = ['sofia-b', 'sofia-b', 'sofia-c'].map((failureDomain, index) => {
    return { instance: `other-${index}`, incarnation: 'x', failureDomain, region: 'sofia', callerAddress: 'a:1', peerAddress: '127.0.0.1:1', state: 'live', sequence: 1, pinEpoch: 0 }
  })
  await platform.writeRows(instanceRows.map(value => ({ table: TableName.Instances, key: `${value.instance}/x`, value })))
  // The rows of the other instances are never renewed. The long heartbeat interval keeps the instance from declaring
  // them failed during the test.
  await using instance = await runInstance({ ...createSettings(endpoint.url), heartbeatMs: 60_000 }, silentLog)
  const sendLookUp = async (query: string, method: 'GET' | 'POST' = 'GET'): Promise<{ status: number, text: string, ttl: string }> => {
    const response = await request(`http://${instance.addresses.callers}/v1/services/lunchbox-api/entries${query}`, { method })
    return { status: response.statusCode, text: await response.body.text(), ttl: String(response.headers['cache-control']) }
  }
  const readMetrics = async (): Promise<string> => (await request(`http://${instance.addresses.operators}/metrics`)).body.text()
  const deadlineMs = performance.now() + waitLimitMs
  while (!(await readMetrics()).includes('bilberry_client_blocks_revision 1') && performance.now() < deadlineMs) await new Promise(resolve => setTimeout(resolve, 20))
  const ttls = new Set<string>()
  for (let host = 1; host <= 40; host++) {
    const reply = await sendLookUp(`?client=10.0.0.${host}`)
    const { entries, ttlSeconds } = JSON.parse(reply.text) as { entries: Array<{ failureDomain: string }>, ttlSeconds: number }
    t.deepEqual(entries.slice(0, 2).map(entry => entry.failureDomain), ['sofia-b', 'sofia-b'])
    t.not(entries[2]!.failureDomain, 'sofia-b')
    t.is(reply.ttl, `private, max-age=${ttlSeconds}`)
    ttls.add(reply.ttl)
  }
  t.true(ttls.size > 1)
  t.is((await sendLookUp('')).status, 200)
  for (const query of ['?client=', '?client=10.0.0', '?client=10.0.0.1&client=10.0.0.2', '?client=fe80::1%25eth0', '?client=sofia']) {
    const reply = await sendLookUp(query)
    t.is(reply.status, 400, query)
    t.is((JSON.parse(reply.text) as { title: string }).title, 'bad_request')
  }
  t.is((await sendLookUp('', 'POST')).status, 405)
  t.regex(await readMetrics(), /bilberry_refusals_total\{reason="bad_request"\} 5/)
})
