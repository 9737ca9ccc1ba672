import type { AddressInfo } from 'node:net'
import test from 'ava'
import { createServer } from 'node:http'
import { createHttpPeers } from './http_peers.ts'
import { createPeerHandler } from './peer_listener.ts'

const key = 'k'.repeat(32)
const tooLargeBytes = 12 * 1024 * 1024

test('returns the error to a peer that sends a message above the size limit', async t => {
  const handler = createPeerHandler({ listKeys: () => [key], methods: { echo: params => params }, handleForward: () => {}, countUnauthenticated: () => {} })
  const server = createServer(handler)
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  {
    await using peers = createHttpPeers({ getKey: () => key })
    const reply = await peers.call(address, 'echo', { params: { text: 'x'.repeat(tooLargeBytes) }, timeoutMs: 20_000 })
    t.regex(reply._unsafeUnwrapErr().detail, /exceeds 4194304 bytes/)
    t.is((await peers.call(address, 'echo', { params: 'small', timeoutMs: 20_000 }))._unsafeUnwrap(), 'small')
  }
  await new Promise(resolve => server.close(resolve))
})
