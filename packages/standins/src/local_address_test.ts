import type { TargetRecord } from '@bilberryworks/steering'
import { createServer } from 'node:http'
import { Readable } from 'node:stream'
import { createHttpPeers } from '@bilberryworks/instances'
import { createStorePlatform } from '@bilberryworks/platform'
import { LifecycleState } from '@bilberryworks/steering'
import { createHttpTargets } from '@bilberryworks/targets'
import test from 'ava'
import { closeListener, formatServerAddress, listen } from './listeners.ts'

const localAddress = '127.9.9.9'

test('clients connect from their configured local address', async t => {
  const sourceAddresses: Array<string | undefined> = []
  const server = createServer((request, response) => {
    sourceAddresses.push(request.socket.remoteAddress)
    response.end('{}')
  })
  await listen(server, '127.0.0.1')
  const address = formatServerAddress(server)
  await using platform = createStorePlatform(`http://${address}`, { localAddress })
  await using peers = createHttpPeers({ getKey: () => 'k', localAddress })
  await using targets = createHttpTargets({ localAddress })
  const target: TargetRecord = { target: 't', service: 's', address, failureDomain: 'd', region: 'r', slots: 1, maxConnections: 1, state: LifecycleState.Live }
  await platform.readRow('t', 'k')
  await peers.call(address, 'm', { params: {} })
  await targets.send(target, { requestId: 'x', method: 'GET', path: '/', headers: {}, body: Readable.from([]), deadlineMs: 5_000, signal: new AbortController().signal })
  t.deepEqual(sourceAddresses, [localAddress, localAddress, localAddress])
  await closeListener(server)
})
