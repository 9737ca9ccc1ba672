import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { ReadTurns } from './read_turns.ts'
import { once } from 'node:events'
import { createServer } from 'node:http'
import { connect } from 'node:net'
import { setTimeout as wait } from 'node:timers/promises'
import test from 'ava'
import { createNotRunRefusal, RefusalReason } from '@bilberryworks/steering'
import { createReadTurns } from './read_turns.ts'
import { isReadingStopped, ReadStop, startReading, stopReading } from './stop_reading.ts'
import { writeRefusal } from './write_response.ts'

const quietMs = 200
const head = 'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'

/** Starts a server whose bodies are read in turns, and connects to it. */
async function startServer (handle: (message: IncomingMessage, response: ServerResponse, turns: ReadTurns) => void) {
  const turns = createReadTurns({ getNowMs: () => performance.now() })
  const server = createServer((message, response) => handle(message, response, turns))
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
  socket.on('error', () => {})
  let text = ''
  socket.on('data', part => { text += part.toString() })
  return {
    turns,
    socket,
    getText: () => text,
    async [Symbol.asyncDispose] () {
      socket.destroy()
      server.closeAllConnections()
      await new Promise(resolve => server.close(resolve))
    }
  }
}

/** Counts the parts of the bodies that a server receives, and whether it has stopped reading. */
function createCounter () {
  const counted = { parts: 0, bytes: 0, stops: 0, sockets: [] as Socket[] }
  return {
    counted,
    handle (message: IncomingMessage, response: ServerResponse, turns: ReadTurns): void {
      counted.sockets.push(message.socket)
      turns.watchBody(message)
      message.on('data', (part: Buffer) => {
        counted.parts++
        counted.bytes += part.length
        if (isReadingStopped(message.socket, ReadStop.Turn)) counted.stops++
      })
      message.on('end', () => response.end('ok'))
    }
  }
}

test('a body in chunks of one byte is read in turns', async t => {
  const { counted, handle } = createCounter()
  await using server = await startServer(handle)
  const startedMs = performance.now()
  server.socket.write(head + '1\r\nx\r\n'.repeat(400_000))
  await wait(1_000)
  const elapsedMs = performance.now() - startedMs
  t.true(counted.parts > 11_000, `${counted.parts} parts`)
  t.true(counted.parts < 2_048 + 11_000 + 66_100 * elapsedMs / 1_000, `${counted.parts} parts`)
})

test('a body in chunks of one byte is read in turns after its request was refused', async t => {
  let received: Socket | undefined
  await using server = await startServer((message, response, turns) => {
    received = message.socket
    turns.watchBody(message)
    message.on('data', () => {})
    writeRefusal(response, createNotRunRefusal(RefusalReason.BadRequest, 'Refused'))
  })
  server.socket.write(head + '1\r\nx\r\n'.repeat(400_000))
  const startedMs = performance.now()
  await wait(1_000)
  const parts = received!.bytesRead / 6
  t.true(parts > 11_000, `${parts} parts`)
  t.true(parts < 2_048 + 22_000 + 66_100 * (performance.now() - startedMs) / 1_000, `${parts} parts`)
})

test('a body in chunks of one byte arrives complete', async t => {
  const { counted, handle } = createCounter()
  await using server = await startServer(handle)
  server.socket.write(`${head}${'1\r\nx\r\n'.repeat(60_000)}0\r\n\r\n`)
  await once(server.socket, 'data')
  t.is(counted.bytes, 60_000)
  t.true(counted.stops > 0)
})

for (const bytes of [256, 1_000, 16_384]) {
  test(`a body in chunks of ${bytes} bytes is read without a pause`, async t => {
    const { counted, handle } = createCounter()
    await using server = await startServer(handle)
    const chunk = Buffer.from(`${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`.repeat(Math.ceil(1_000_000 / bytes)))
    server.socket.write(head)
    for (let written = 0; written < 32; written++) server.socket.write(chunk)
    server.socket.write('0\r\n\r\n')
    await once(server.socket, 'data')
    t.true(counted.bytes >= 32_000_000)
    t.is(counted.stops, 0)
  })
}

test('bytes that arrive one at a time are read without a pause', async t => {
  const { counted, handle } = createCounter()
  await using server = await startServer(handle)
  server.socket.setNoDelay(true)
  server.socket.write('POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3000\r\n\r\n')
  for (let index = 0; index < 3_000; index++) {
    server.socket.write('x')
    await new Promise(resolve => setImmediate(resolve))
  }
  await once(server.socket, 'data')
  t.is(counted.bytes, 3_000)
  t.is(counted.stops, 0)
})

test('at most a read of a connection that is read in turns delays another one', async t => {
  const { counted, handle } = createCounter()
  await using server = await startServer(handle)
  server.socket.write(head + '1\r\nx\r\n'.repeat(400_000))
  const partsMeanwhile: number[] = []
  for (let index = 0; index < 10; index++) {
    await wait(quietMs / 4)
    const partsBefore = counted.parts
    const other = connect(server.socket.remotePort!, '127.0.0.1')
    other.write('POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx')
    await once(other.resume(), 'close')
    partsMeanwhile.push(counted.parts - partsBefore)
  }
  partsMeanwhile.sort((a, b) => a - b)
  t.true(partsMeanwhile[5]! < 11_000, `${partsMeanwhile[5]} parts`)
})

test('a connection whose turn it is not is noticed when its caller closes it, later', async t => {
  const { counted, handle } = createCounter()
  await using server = await startServer(handle)
  server.socket.write(head + '1\r\nx\r\n'.repeat(20_000))
  while (counted.stops === 0) await wait(5)
  const closed = new Promise(resolve => counted.sockets[0]!.once('close', resolve))
  server.socket.end()
  await closed
  await server.turns.waitForTurn(counted.sockets[0]!)
  t.pass()
})

test('nothing resumes a connection while there is a reason not to read it', async t => {
  const parts: Buffer[] = []
  let message: IncomingMessage | undefined
  await using server = await startServer(received => { message = received.on('data', (part: Buffer) => parts.push(part)) })
  server.socket.write(`${head}1\r\nx\r\n`)
  while (parts.length === 0) await wait(5)
  const { socket } = message!
  message!.pause()
  socket.pause()
  socket.resume()
  stopReading(socket, ReadStop.Turn)
  stopReading(socket, ReadStop.Pipeline)
  message!.resume()
  socket.resume()
  server.socket.write('1\r\nx\r\n')
  await wait(quietMs)
  startReading(socket, ReadStop.Turn)
  await wait(quietMs)
  t.is(parts.length, 1)
  startReading(socket, ReadStop.Pipeline)
  await wait(quietMs)
  t.is(parts.length, 2)
})

test('a connection that others have paused stays paused when no reason is left', async t => {
  const parts: Buffer[] = []
  let message: IncomingMessage | undefined
  await using server = await startServer(received => { message = received.on('data', (part: Buffer) => parts.push(part)) })
  server.socket.write(`${head}1\r\nx\r\n`)
  while (parts.length === 0) await wait(5)
  const { socket } = message!
  stopReading(socket, ReadStop.Turn)
  socket.pause()
  startReading(socket, ReadStop.Turn)
  server.socket.write('1\r\nx\r\n')
  await wait(quietMs)
  t.is(parts.length, 1)
  socket.resume()
  await wait(quietMs)
  t.is(parts.length, 2)
})
