import type { AddressInfo } from 'node:net'
import { createServer } from 'node:net'
import { once } from 'node:events'
import test from 'ava'
import { checkListening, ListeningState } from './check_listening.ts'

test('tells whether a process listens at an address', async t => {
  const server = createServer().listen(0, '127.0.0.1')
  await once(server, 'listening')
  const address = { host: '127.0.0.1', port: (server.address() as AddressInfo).port }
  t.is(await checkListening(address, { timeoutMs: 5_000 }), ListeningState.Listening)
  server.close()
  await once(server, 'close')
  t.is(await checkListening(address, { timeoutMs: 5_000 }), ListeningState.Refused)
})
