import type { Socket } from 'node:net'
import test from 'ava'
import { createServer } from 'node:net'
import { Agent } from 'undici'
import { createLinkRelay } from './link_relay.ts'
import { computeCallerAddress, locateMachine, locateSource } from './loopback_addresses.ts'
import { formatServerAddress, listen } from './listeners.ts'
import { startFakeTarget } from './fake_target.ts'

const regions = ['north', 'south']
const profile = { regions, domainLatencyMs: 10, regionLatencyMs: 40, clientLatencyMs: 20, linkBitsPerSecond: 8_000_000 }
const destination = locateMachine(regions, 'north-a', 0)

const sources = [
  { name: 'same failure domain', address: locateMachine(regions, 'north-a', 1).host, roundTripMs: 0 },
  { name: 'other failure domain', address: locateMachine(regions, 'north-b', 0).host, roundTripMs: 20 },
  { name: 'other region', address: locateMachine(regions, 'south-a', 0).host, roundTripMs: 80 },
  { name: 'caller', address: computeCallerAddress(0), roundTripMs: 40 }
]

test('adds the latency between the source and the destination', async t => {
  await using target = await startFakeTarget({ target: 't', service: 's', slots: 4, failureDomain: 'north-a', region: 'north', serviceMs: 0 })
  await using relay = createLinkRelay(profile)
  const route = await relay.openRoute(destination)
  route.setDestination(target.record.address)
  for (const { name, address, roundTripMs } of sources) {
    const agent = new Agent({ localAddress: address })
    const send = async (): Promise<number> => {
      const startedMs = performance.now()
      await (await agent.request({ origin: `http://${route.address}`, method: 'GET', path: '/' })).body.dump()
      return performance.now() - startedMs
    }
    t.true(await send() >= roundTripMs * 2 - 1, `${name}: handshake and request`)
    t.true(await send() >= roundTripMs - 1, `${name}: request`)
    await agent.destroy()
  }
})

test('connects to the destination from the address of the source', async t => {
  const server = createServer()
  const accepted = new Promise<Socket>(resolve => server.once('connection', resolve))
  await listen(server, '127.0.0.1')
  await using relay = createLinkRelay(profile)
  const route = await relay.openRoute(destination)
  route.setDestination(formatServerAddress(server))
  const agent = new Agent({ localAddress: computeCallerAddress(7) })
  agent.request({ origin: `http://${route.address}`, method: 'GET', path: '/' }).catch(() => {})
  const socket = await accepted
  t.is(socket.remoteAddress, computeCallerAddress(7))
  socket.destroy()
  server.close()
  await agent.destroy()
})

test('counts and limits the traffic between regions', async t => {
  await using target = await startFakeTarget({ target: 't', service: 's', slots: 4, failureDomain: 'north-a', region: 'north', serviceMs: 0 })
  await using relay = createLinkRelay(profile)
  const route = await relay.openRoute(destination)
  route.setDestination(target.record.address)
  const agent = new Agent({ localAddress: locateMachine(regions, 'south-a', 0).host })
  const body = Buffer.alloc(500_000, 1)
  const startedMs = performance.now()
  const response = await agent.request({ origin: `http://${route.address}`, method: 'PUT', path: '/', body })
  t.is((await response.body.json() as { bytes: number }).bytes, body.length)
  t.true(performance.now() - startedMs >= 500, '500 kB take at least 0.5 s at 1 MB/s')
  t.true(relay.getLinkBytes()['south>north']! >= body.length)
  t.true(relay.getLinkBytes()['north>south']! > 0)
  await agent.destroy()
})

test('refuses connections after the destination has refused one', async t => {
  await using relay = createLinkRelay(profile)
  const route = await relay.openRoute(destination)
  const server = createServer()
  await listen(server, '127.0.0.1')
  route.setDestination(formatServerAddress(server))
  await new Promise(resolve => server.close(resolve))
  const agent = new Agent()
  const send = async (): Promise<unknown> => agent.request({ origin: `http://${route.address}`, method: 'GET', path: '/' }).catch((error: { code: string }) => error.code)
  t.not(await send(), 'ECONNREFUSED')
  t.is(await send(), 'ECONNREFUSED')
  await agent.destroy()
})

test('accepts connections again after a close when a destination is set', async t => {
  await using target = await startFakeTarget({ target: 't', service: 's', slots: 4, failureDomain: 'north-a', region: 'north', serviceMs: 0 })
  await using relay = createLinkRelay(profile)
  const route = await relay.openRoute(destination)
  route.setDestination(target.record.address)
  route.close()
  route.setDestination(target.record.address)
  const agent = new Agent()
  const response = await agent.request({ origin: `http://${route.address}`, method: 'GET', path: '/' })
  t.is(response.statusCode, 200)
  await response.body.dump()
  await agent.destroy()
})

test('finds the location of a machine by its loopback address', t => {
  for (const failureDomain of ['north-a', 'north-b', 'south-b']) {
    const location = locateMachine(regions, failureDomain, 12)
    t.deepEqual(locateSource(location.host, regions), location)
  }
  for (const address of ['127.0.0.1', computeCallerAddress(300), '::1', '10.0.1.1']) t.is(locateSource(address, regions), undefined, address)
})
