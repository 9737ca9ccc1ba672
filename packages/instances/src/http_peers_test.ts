import type { AddressInfo } from 'node:net'
import test from 'ava'
import { createServer } from 'node:net'
import { setTimeout as wait } from 'node:timers/promises'
import { createHttpPeers } from './http_peers.ts'
import { PeerFailureKind } from './peers.ts'

test('a call ends and closes its connection when the body of its response does not end', async t => {
  const end = { isSeen: false, sentBytes: 0 }
  const server = createServer(socket => {
    const bytes = `8000\r\n${'x'.repeat(32_768)}\r\n`
    const send = (): void => {
      let isTaken = socket.writable
      while (isTaken) isTaken = socket.write(bytes)
    }
    socket.on('error', () => {}).on('drain', send).on('close', () => {
      end.sentBytes = socket.bytesWritten
      end.isSeen = true
    }).once('data', () => {
      socket.write('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n')
      send()
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  {
    await using peers = createHttpPeers({ getKey: () => 'k' })
    const failure = (await peers.call(`127.0.0.1:${(server.address() as AddressInfo).port}`, 'echo', { params: {} }))._unsafeUnwrapErr()
    t.is(failure.kind, PeerFailureKind.NoResponse)
    t.regex(failure.detail, /Body exceeds 8388608 bytes/)
    for (let poll = 0; poll < 500 && !end.isSeen; poll++) await wait(10)
    t.true(end.isSeen)
    t.true(end.sentBytes < 67_108_864, `${end.sentBytes} bytes were sent`)
  }
  await new Promise(resolve => server.close(resolve))
})
