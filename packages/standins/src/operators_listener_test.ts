import type { SingleInstance } from './_single_instance.ts'
import test from 'ava'
import { createHash } from 'node:crypto'
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { RefusalReason, RetryReason } from '@bilberryworks/steering'
import { createHttpPeers } from '@bilberryworks/instances'
import { Agent, request } from 'undici'
import { operatorsToken, peerKey, startSingleInstance, waitUntilServing } from './_single_instance.ts'

const secondPeerKey = 'a-second-key-between-instances'

async function readTestData (name: string): Promise<string> {
  return readFile(fileURLToPath(new URL(`../testdata/${name}.pem`, import.meta.url)), 'utf8')
}

async function sendCall (system: SingleInstance, path: string, options: { method?: string, authorization?: string, body?: string } = {}): Promise<{ status: number, type: string, title: string | undefined }> {
  const headers: Record<string, string> = { 'content-type': 'application/json' }
  if (options.method === 'PUT') Object.assign(headers, { 'if-none-match': '*', 'submission-id': 's' })
  if (options.authorization !== undefined) headers['authorization'] = options.authorization
  const response = await request(`http://${system.instance.addresses.operators}${path}`, { method: (options.method ?? 'GET') as 'GET', headers, body: options.body ?? null })
  const text = await response.body.text()
  const type = String(response.headers['content-type'])
  return { status: response.statusCode, type, title: type.includes('json') ? (JSON.parse(text) as { title?: string }).title : undefined }
}

const validAuthorization = `Bearer ${operatorsToken}`
const refusals = [
  { name: 'no token', path: '/v1/status', status: 401 },
  { name: 'wrong token', path: '/v1/documents', authorization: 'Bearer wrong', status: 401 },
  { name: 'token under another scheme', path: '/v1/documents', authorization: `Basic ${operatorsToken}`, status: 401 },
  { name: 'other team reads', path: '/v1/documents/lunchbox-api', authorization: 'Bearer other-token', status: 403 },
  { name: 'other team writes', path: '/v1/documents/lunchbox-api', method: 'PUT', body: '{}', authorization: 'Bearer other-token', status: 403 },
  { name: 'unknown service', path: '/v1/documents/none', authorization: validAuthorization, status: 404 },
  { name: 'unknown path', path: '/v1/none', authorization: validAuthorization, status: 404 },
  { name: 'unknown root', path: '/none', authorization: validAuthorization, status: 404 },
  { name: 'POST of a document', path: '/v1/documents/lunchbox-api', method: 'POST', body: '{}', authorization: validAuthorization, status: 405 },
  { name: 'DELETE of metrics', path: '/metrics', method: 'DELETE', status: 405 },
  { name: 'body that is not JSON', path: '/v1/documents/lunchbox-api', method: 'PUT', body: '{', authorization: validAuthorization, status: 400 },
  { name: 'document with findings', path: '/v1/documents/lunchbox-api', method: 'PUT', body: '{"service":"lunchbox-api"}', authorization: validAuthorization, status: 422 }
]

/** Time limit of a call whose duration is not tested, in milliseconds. */
const callTimeoutMs = 30_000

test('refuses invalid calls of operators with problem details', async t => {
  const tokens = [
    { name: 'own', team: 'operations', sha256: createHash('sha256').update(operatorsToken).digest('hex') },
    { name: 'other', team: 'other', sha256: createHash('sha256').update('other-token').digest('hex') }
  ]
  await using system = await startSingleInstance({ settings: { tokens } })
  await waitUntilServing(system)
  for (const { name, path, status, ...options } of refusals) {
    const reply = await sendCall(system, path, options)
    t.is(reply.status, status, name)
    t.regex(reply.type, /^application\/problem\+json/, name)
    t.truthy(reply.title, name)
  }
  t.is((await sendCall(system, '/healthz')).status, 200)
  t.is((await sendCall(system, '/readyz')).status, 200)
  t.is((await sendCall(system, '/v1/documents/lunchbox-api', { authorization: validAuthorization })).status, 200)
})

test('exposes a counter for each reason and all gauges from the start', async t => {
  await using system = await startSingleInstance()
  const text = await (await fetch(`http://${system.instance.addresses.operators}/metrics`)).text()
  for (const reason of Object.values(RefusalReason)) t.regex(text, new RegExp(`^bilberry_refusals_total{reason="${reason}"} \\d+$`, 'm'))
  for (const reason of Object.values(RetryReason)) t.regex(text, new RegExp(`^bilberry_retries_total{reason="${reason}"} \\d+$`, 'm'))
  for (const gauge of ['bilberry_queued_requests', 'bilberry_in_flight_requests', 'bilberry_platform_age_seconds']) t.regex(text, new RegExp(`^${gauge} [\\d.e-]+$`, 'm'))
})

test('docs/OPERATIONS.md names only metrics and reasons that exist', async t => {
  await using system = await startSingleInstance()
  const metrics = await (await fetch(`http://${system.instance.addresses.operators}/metrics`)).text()
  const page = await readFile(fileURLToPath(new URL('../../../docs/OPERATIONS.md', import.meta.url)), 'utf8')
  const names = [...page.matchAll(/bilberry_[a-z_]+/g)].map(([name]) => name)
  t.true(names.length > 10)
  for (const name of names) t.true(metrics.includes(`# TYPE ${name} `), name)
  const reasons = new Set<string>(Object.values(RefusalReason))
  for (const [, reason = ''] of page.matchAll(/reason="(\w+)"/g)) t.true(reasons.has(reason), reason)
})

test('accepts two peer keys, replaces them on reload and logs no secret', async t => {
  await using system = await startSingleInstance()
  const { instance, settings } = system
  const isKeyAccepted = async (key: string): Promise<boolean> => {
    await using peers = createHttpPeers({ getKey: () => key })
    return (await peers.call(instance.addresses.peers, 'versions', { params: {}, timeoutMs: callTimeoutMs })).isOk()
  }
  const areKeysAccepted = async (): Promise<boolean[]> => [await isKeyAccepted(peerKey), await isKeyAccepted(secondPeerKey)]
  t.deepEqual(await areKeysAccepted(), [true, false])
  instance.reload({ ...settings, peerKeys: [secondPeerKey, peerKey] })
  t.deepEqual(await areKeysAccepted(), [true, true])
  instance.reload({ ...settings, peerKeys: [secondPeerKey] })
  t.deepEqual(await areKeysAccepted(), [false, true])
  const metrics = await (await fetch(`http://${instance.addresses.operators}/metrics`)).text()
  t.regex(metrics, /bilberry_unauthenticated_total{listener="peers"} 2/)
  await sendCall(system, '/v1/status', { authorization: validAuthorization })
  const written = system.log.join('') + metrics
  for (const secret of [peerKey, secondPeerKey, operatorsToken]) t.false(written.includes(secret))
})

test('serves all listeners over TLS and reloads certificates', async t => {
  const folder = await mkdtemp(join(tmpdir(), 'bilberryworks-'))
  const path = { certificate: join(folder, 'cert.pem'), key: join(folder, 'key.pem') }
  const install = async (name: string): Promise<void> => {
    await writeFile(path.certificate, await readTestData(`${name}.cert`))
    await writeFile(path.key, await readTestData(`${name}.key`))
  }
  await install('first')
  const first = await readTestData('first.cert')
  const second = await readTestData('second.cert')
  const inline = { certificate: first, key: await readTestData('first.key') }
  const listen = { host: '127.0.0.1', port: 0 }
  await using system = await startSingleInstance({
    settings: { listen: { callers: { ...listen, tls: path }, operators: { ...listen, tls: inline }, peers: { ...listen, tls: path } }, peerTls: { ca: first, serverName: 'entry.test' } }
  })
  const { addresses } = system.instance
  const read = async (address: string, ca: string): Promise<number | string> => {
    const agent = new Agent({ connect: { ca } })
    const status = await agent.request({ origin: `https://${address}`, method: 'GET', path: '/healthz' }).then(response => response.statusCode, (error: { code: string }) => error.code)
    await agent.destroy()
    return status
  }
  t.is(await read(addresses.callers, first), 400)
  t.is(await read(addresses.operators, first), 200)
  const peers = createHttpPeers({ getKey: () => peerKey, tls: { ca: first, servername: 'entry.test' } })
  t.true((await peers.call(addresses.peers, 'versions', { params: {}, timeoutMs: callTimeoutMs })).isOk())
  await peers[Symbol.asyncDispose]()
  await install('second')
  system.instance.reload(system.settings)
  t.is(await read(addresses.callers, second), 400)
  t.is(typeof await read(addresses.callers, first), 'string')
  await writeFile(path.key, 'no key')
  t.throws(() => system.instance.reload({ ...system.settings, peerKeys: [secondPeerKey] }))
  t.deepEqual(system.settings.peerKeys, [peerKey])
  t.false(system.log.join('').includes('PRIVATE KEY'))
  await rm(folder, { recursive: true })
})
