import type { AddressInfo } from 'node:net'
import { once } from 'node:events'
import { createServer } from 'node:http'
import { connect } from 'node:net'
import { setTimeout as wait } from 'node:timers/promises'
import test from 'ava'
import { applyBodilessRequests } from './bodiless_requests.ts'
import { createReadTurns } from './read_turns.ts'

async function openServer () {
  let parseErrors = 0
  const server = createServer((_, response) => response.writeHead(200, { 'Content-Length': 2 }).end('ok'))
  applyBodilessRequests(server, createReadTurns({ getNowMs: () => performance.now() }))
  server.on('clientError', () => { parseErrors++ })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  return {
    port,
    countParseErrors: () => parseErrors,
    async [Symbol.asyncDispose] () {
      server.closeAllConnections()
      server.close()
    }
  }
}

for (const [title, head, rest] of [
  ['in chunks', 'Transfer-Encoding: chunked\r\n', '1\r\nx\r\nnot a chunk\r\n'],
  ['of a stated length', 'Content-Length: 2\r\n', 'xx not a request\r\n\r\n']
] as const) {
  test(`a body ${title} that nobody reads is not parsed after the response`, async t => {
    await using server = await openServer()
    const socket = connect({ port: server.port, host: '127.0.0.1', allowHalfOpen: true })
    let received = ''
    socket.on('data', data => { received += String(data) })
    socket.write(`POST / HTTP/1.1\r\nHost: a\r\n${head}\r\n`)
    await once(socket, 'end')
    socket.write(rest)
    await wait(100)
    socket.end()
    await once(socket, 'close')
    t.is(server.countParseErrors(), 0)
    t.regex(received, /^HTTP\/1\.1 200 OK\r\n/)
    t.regex(received, /Connection: close/)
  })
}

test('a connection goes on after a request without a body', async t => {
  await using server = await openServer()
  const socket = connect(server.port, '127.0.0.1')
  for (let index = 0; index < 3; index++) {
    socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n')
    const [data] = await once(socket, 'data') as [Buffer]
    t.regex(String(data), /keep-alive/)
  }
  socket.destroy()
})
