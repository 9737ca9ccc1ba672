import type { RequestListener, Server } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import test from 'ava'
import { once } from 'node:events'
import { createServer } from 'node:http'
import { connect } from 'node:net'
import { setTimeout as wait } from 'node:timers/promises'
import { applyGracefulClose, closeLongestIdle } from './graceful_close.ts'
import { ReadStop, startReading, stopReading } from './stop_reading.ts'

const longBytes = 20_000_000
const uploadBytes = 4_000_000

async function startServer (handler: RequestListener): Promise<{ server: Server, countLingering: () => number, connectCaller: () => Socket }> {
  const server = createServer(handler)
  const countLingering = applyGracefulClose(server)
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return { server, countLingering, connectCaller: () => connect((server.address() as AddressInfo).port, '127.0.0.1').on('error', () => {}) }
}

async function closeServer (server: Server): Promise<void> {
  const closed = once(server, 'close')
  server.close()
  server.closeAllConnections()
  await closed
}

/** Reads a connection to its end; returns its bytes. */
async function readAll (socket: Socket): Promise<Buffer> {
  const parts: Buffer[] = []
  socket.on('data', (part: Buffer) => parts.push(part)).resume()
  if (!socket.destroyed) await once(socket, 'close')
  return Buffer.concat(parts)
}

test('closing idle connections does not drop a response that is not sent yet', async t => {
  let hasResponded = (): void => {}
  const responded = new Promise<void>(resolve => { hasResponded = resolve })
  const { server, connectCaller } = await startServer((_, response) => {
    response.writeHead(200, { 'Content-Length': longBytes, Connection: 'close' }).end(Buffer.alloc(longBytes, 'x'))
    hasResponded()
  })
  const caller = connectCaller()
  caller.pause().write('GET / HTTP/1.1\r\nHost: h\r\n\r\n')
  await responded
  server.closeIdleConnections()
  server.close()
  const bytes = await readAll(caller)
  t.is(bytes.length - bytes.indexOf('\r\n\r\n') - 4, longBytes)
})

test('a caller that is still sending gets the response that closes its connection', async t => {
  const { server, countLingering, connectCaller } = await startServer((_, response) => {
    response.shouldKeepAlive = false
    response.writeHead(413, { 'Content-Length': 2 }).end('no')
  })
  const caller = connectCaller()
  caller.pause().write(`POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ${uploadBytes}\r\n\r\n`)
  for (let sentBytes = 0; sentBytes < uploadBytes; sentBytes += uploadBytes / 10) {
    await wait(20)
    caller.write(Buffer.alloc(uploadBytes / 10, 'x'))
  }
  t.regex((await readAll(caller)).toString('latin1'), /^HTTP\/1\.1 413 [^]*\r\n\r\nno$/)
  t.is(countLingering(), 0)
  await closeServer(server)
})

test('requests behind the response that closes a connection do not cost the caller that response', async t => {
  const handled: string[] = []
  const { server, connectCaller } = await startServer((message, response) => {
    handled.push(message.url!)
    response.shouldKeepAlive = false
    if (message.url === '/first') setTimeout(() => response.writeHead(200, { 'Content-Length': 2 }).end('ok'), 100)
  })
  const caller = connectCaller()
  caller.pause().write('GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET /second HTTP/1.1\r\nHost: h\r\n\r\n')
  for (let count = 0; count < 20; count++) {
    await wait(20)
    caller.write('GET /later HTTP/1.1\r\nHost: h\r\n\r\n')
  }
  t.regex((await readAll(caller)).toString('latin1'), /^HTTP\/1\.1 200 [^]*\r\n\r\nok$/)
  await closeServer(server)
})

test('closes idle connections, and none on which a request has begun to arrive', async t => {
  const { server, connectCaller } = await startServer((_, response) => response.end('ok'))
  const [unused, used, begun] = [connectCaller(), connectCaller(), connectCaller()]
  used.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n')
  begun.write('GET / HTTP/1.1\r\n')
  await once(used, 'data')
  await wait(50)
  server.closeIdleConnections()
  await Promise.all([unused, used].map(socket => once(socket.resume(), 'close')))
  begun.write('Host: h\r\n\r\n')
  t.regex(String((await once(begun, 'data'))[0]), /^HTTP\/1\.1 200 /)
  await closeServer(server)
})

test('connections that carry a request or a part of one do not give way as idle ones', async t => {
  const { server, connectCaller } = await startServer((message, response) => { if (message.url !== '/slow') response.end('ok') })
  const callers = Array.from({ length: 4 }, connectCaller)
  const closed: number[] = []
  for (const [index, caller] of callers.entries()) caller.once('close', () => closed.push(index)).resume()
  const [slow, part, idle] = callers
  slow!.write('GET /slow HTTP/1.1\r\nHost: h\r\n\r\n')
  part!.write('GET / HTTP/1.1\r\n')
  idle!.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n')
  await once(idle!, 'data')
  await wait(50)
  t.is(closeLongestIdle(server, { count: 4, minUnusedMs: 60_000 }), 1)
  await once(idle!, 'close')
  t.is(closeLongestIdle(server, { count: 4, minUnusedMs: 0 }), 1)
  await once(callers[3]!, 'close')
  t.deepEqual(closed, [2, 3])
  await closeServer(server)
})

test('a request that arrives on a connection while it is the turn of others is not lost with an idle connection', async t => {
  let received: Socket | undefined
  const { server, connectCaller } = await startServer((message, response) => {
    received = message.socket
    response.end('ok')
  })
  const caller = connectCaller()
  caller.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n')
  await once(caller, 'data')
  stopReading(received!, ReadStop.Turn)
  caller.write('GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n')
  await wait(20)
  t.is(closeLongestIdle(server, { count: 1, minUnusedMs: 0 }), 0)
  server.closeIdleConnections()
  startReading(received!, ReadStop.Turn)
  t.regex((await readAll(caller)).toString('latin1'), /^HTTP\/1\.1 200 /)
  await closeServer(server)
})
