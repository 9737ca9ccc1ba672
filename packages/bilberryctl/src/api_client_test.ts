import type { AddressInfo } from 'node:net'
import test from 'ava'
import { createServer } from 'node:net'
import { createApiClient } from './api_client.ts'

test('a request ends and closes its connection when the body of its response does not end', async t => {
  let reportClosed = (): void => {}
  const closed = new Promise<void>(resolve => { reportClosed = resolve })
  const server = createServer(socket => {
    const bytes = `8000\r\n${'x'.repeat(32_768)}\r\n`
    const send = (): void => {
      let isTaken = socket.writable
      while (isTaken) isTaken = socket.write(bytes)
    }
    socket.on('error', () => {}).on('drain', send).on('close', () => reportClosed()).once('data', () => {
      socket.write('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n')
      send()
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  {
    await using client = createApiClient({ endpoint: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, timeoutMs: 20_000 })
    const failure = (await client.send({ method: 'GET', path: '/v1/status' }))._unsafeUnwrapErr()
    t.false(failure.isUnsent)
    t.regex(failure.detail, /Body exceeds 67108864 bytes/)
  }
  await new Promise(resolve => server.close(resolve))
  await closed
})
