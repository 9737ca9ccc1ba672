import type { AddressInfo } from 'node:net'
import { once } from 'node:events'
import { createServer } from 'node:http'
import { connect } from 'node:net'
import test from 'ava'
import { closeListener } from './close_listener.ts'
import { applyGracefulClose } from './graceful_close.ts'

const connections = 30

async function openServer () {
  const server = createServer((_, response) => response.writeHead(200, { 'Content-Length': 2, Connection: 'close' }).end('ok'))
  applyGracefulClose(server)
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  return { server, port: (server.address() as AddressInfo).port }
}

test('connections that wait to be accepted are accepted before a listener is closed', async t => {
  const { server, port } = await openServer()
  const responses = Array.from({ length: connections }, () => new Promise<string>(resolve => {
    const socket = connect(port, '127.0.0.1')
    let text = ''
    socket.on('data', part => { text += String(part) }).on('error', () => {}).on('close', () => resolve(text))
    socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n')
  }))
  // The connections are established in a later tick, and not accepted in this one.
  await new Promise<void>(resolve => process.nextTick(resolve))
  await closeListener(server)
  t.false(server.listening)
  for (const text of await Promise.all(responses)) t.regex(text, /^HTTP\/1\.1 200 OK\r\n/)
})

test('a listener to which callers connect without a pause is closed', async t => {
  const { server, port } = await openServer()
  const sockets = new Set<ReturnType<typeof connect>>()
  const openNext = (): void => {
    const socket = connect(port, '127.0.0.1')
    sockets.add(socket.on('error', () => {}))
    socket.once('connect', openNext)
  }
  for (let index = 0; index < 4; index++) openNext()
  const startedMs = performance.now()
  await closeListener(server)
  t.true(performance.now() - startedMs < 2_000)
  t.false(server.listening)
  for (const socket of sockets) socket.destroy()
  server.closeAllConnections()
})
