import type { AddressInfo, Socket } from 'node:net'
import test from 'ava'
import { createServer } from 'node:http'
import { connect } from 'node:net'
import { setTimeout as wait } from 'node:timers/promises'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { createHttpPeers } from './http_peers.ts'
import { createPeerHandler } from './peer_listener.ts'

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

const key = 'k'.repeat(32)
const chunkCount = 300_000
const tooLargeBytes = 12 * 1024 * 1024

test.serial('returns the error to a peer that sends a message above the size limit', async t => {
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

test.serial('a call in chunks of one byte is held at about the size of its body', async t => {
  const handler = createPeerHandler({ listKeys: () => [key], methods: {}, handleForward: () => {}, countUnauthenticated: () => {} })
  const received: Socket[] = []
  const server = createServer(handler).on('connection', socket => received.push(socket))
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  collectGarbage()
  const calm = process.memoryUsage()
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1').on('error', () => {})
  socket.write(`POST /rpc HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${key}\r\ntransfer-encoding: chunked\r\n\r\n`)
  socket.write('1\r\nx\r\n'.repeat(chunkCount))
  const readBytes = (): number => received[0]?.bytesRead ?? 0
  for (let poll = 0; poll < 2_000 && readBytes() < chunkCount * 6; poll++) await wait(10)
  t.true(readBytes() >= chunkCount * 6)
  collectGarbage()
  const { heapUsed, external } = process.memoryUsage()
  socket.destroy()
  await new Promise(resolve => server.close(resolve))
  const heldBytes = heapUsed + external - calm.heapUsed - calm.external
  t.true(heldBytes < 16_777_216, `${heldBytes} bytes are held`)
})
