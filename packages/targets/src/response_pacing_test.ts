import type { ReadPacer } from '@bilberryworks/steering'
import type { AddressInfo, Socket } from 'node:net'
import type { RunningExchange } from './target_pool.ts'
import { createServer } from 'node:net'
import { setTimeout as wait } from 'node:timers/promises'
import test from 'ava'
import { computeReadUnits, createResponsePacer } from './response_pacer.ts'
import { createTargetPool } from './target_pool.ts'

const longPauseMs = 60_000
const shortPauseMs = 100
const chunkedHead = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
const tinyChunks = '1\r\nx\r\n'.repeat(2_000)
const tinyBody = 'x'.repeat(2_000)

/** Starts a target that handles each request, and a pool whose connections each charge pauses for a time. */
async function startPool (reply: (socket: Socket, request: string) => void, pacer: ReadPacer) {
  const server = createServer(socket => {
    socket.on('error', () => {}).on('data', data => reply(socket, String(data)))
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const pool = createTargetPool({ connectTimeoutMs: 1_000, pacer })
  const target = { id: 'target', address: { host: '127.0.0.1', port: (server.address() as AddressInfo).port } }
  return {
    pool,
    server,
    /** Sends a request; `received` is the body so far, `ended` resolves with whether the response is complete. */
    send (path = '/') {
      const received: string[] = []
      let running: RunningExchange | undefined
      const ended = new Promise<boolean>(resolve => {
        running = pool.send(target, {
          head: `GET ${path} HTTP/1.1\r\n\r\n`,
          isBodiless: false,
          isOwnResponse: () => true,
          maySend: () => true,
          onSendStart: () => {},
          onHead: () => {},
          onBody: part => { received.push(String(part)) },
          onEnd: () => resolve(true),
          onFail: () => resolve(false)
        })
      })
      return { ended, readBody: () => received.join(''), setPaused: running!.setPaused }
    },
    async [Symbol.asyncDispose] () {
      await pool[Symbol.asyncDispose]()
      await new Promise<void>(resolve => server.close(() => resolve()))
    }
  }
}

function createFixedPacer (pauseMs: number): ReadPacer {
  return { createAccount: nowMs => ({ units: 0, chargedAtMs: nowMs }), charge: () => pauseMs }
}

async function isSettledWithin (promise: Promise<unknown>, timeMs: number): Promise<boolean> {
  return await Promise.race([promise.then(() => true), wait(timeMs, false)])
}

for (const [lines, bytes, units] of [[2 * 250, 250 * 262, 0], [12, 400, 6], [20_000, 60_000, 19_063]] as const) {
  test(`charges ${units} units for ${lines} lines in ${bytes} bytes`, t => {
    t.is(computeReadUnits(lines, bytes), units)
  })
}

test('never pauses a body in chunks of 256 bytes', async t => {
  const chunks = `100\r\n${'x'.repeat(256)}\r\n`.repeat(4_000)
  const rounds = 16
  await using started = await startPool(socket => {
    socket.write(chunkedHead)
    for (let index = 0; index < rounds; index++) socket.write(chunks)
    socket.write('0\r\n\r\n')
  }, createFixedPacer(longPauseMs))
  const { ended, readBody } = started.send()
  t.true(await ended)
  t.is(readBody().length, rounds * 4_000 * 256)
})

test('reads a target in tiny chunks in turns, while another response on another connection is read at once', async t => {
  let sentBytes = 0
  await using started = await startPool((socket, request) => {
    if (!request.startsWith('GET /tiny')) return socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')
    const writeChunks = (): void => {
      while (!socket.destroyed) {
        sentBytes += tinyChunks.length
        if (!socket.write(tinyChunks)) return
      }
    }
    socket.write(chunkedHead)
    socket.on('drain', writeChunks)
    writeChunks()
  }, createResponsePacer())
  const tiny = Array.from({ length: 12 }, () => started.send('/tiny'))
  await wait(200)
  const [bytesBefore, startedMs] = [tiny.reduce((sum, { readBody }) => sum + readBody().length, 0), performance.now()]
  const times: number[] = []
  for (let index = 0; index < 40; index++) {
    const sentMs = performance.now()
    t.true(await started.send().ended)
    times.push(performance.now() - sentMs)
    await wait(20)
  }
  const seconds = (performance.now() - startedMs) / 1_000
  const lines = 2 * (tiny.reduce((sum, { readBody }) => sum + readBody().length, 0) - bytesBefore)
  const slowMs = times.sort((a, b) => a - b)[37]!
  t.log(`${Math.round(lines / seconds)} lines a second, 95th percentile ${Math.round(slowMs)} ms, ${sentBytes} bytes sent`)
  t.true(lines / seconds < 1_000_000)
  t.true(tiny.every(({ readBody }) => readBody().length > 0))
  t.true(slowMs < 250)
})

test('notices that the pool closes a connection which is paused', async t => {
  const sockets: Socket[] = []
  const started = await startPool(socket => {
    sockets.push(socket)
    socket.write(chunkedHead + tinyChunks)
  }, createFixedPacer(longPauseMs))
  const { ended, readBody } = started.send()
  for (let poll = 0; poll < 100 && readBody() === ''; poll++) await wait(10)
  const closed = new Promise(resolve => sockets[0]!.once('close', resolve))
  await started[Symbol.asyncDispose]()
  t.true(await isSettledWithin(closed, 1_000))
  t.false(await isSettledWithin(ended, 20))
})

test('reads the end of the input behind all that came before it, while reading is paused again and again', async t => {
  await using started = await startPool(socket => {
    socket.write(chunkedHead.replace('\r\n\r\n', '\r\nConnection: close\r\n\r\n'))
    for (let index = 0; index < 20; index++) socket.write(tinyChunks)
    socket.end('0\r\n\r\n')
  }, createFixedPacer(5))
  const { ended, readBody } = started.send()
  t.true(await ended)
  t.is(readBody().length, 20 * tinyBody.length)
})

test('a response without a stated length that ends while its head is paced is complete', async t => {
  await using started = await startPool(socket => {
    socket.write(`HTTP/1.1 200 OK\r\n${'a:b\r\n'.repeat(50)}\r\n`)
    setTimeout(() => socket.end('whole'), 10)
  }, createFixedPacer(shortPauseMs))
  const { ended, readBody } = started.send()
  t.true(await ended)
  t.is(readBody(), 'whole')
})

test('reports a response that ends too early as failed, behind a pause', async t => {
  await using started = await startPool(socket => {
    socket.write(chunkedHead + tinyChunks)
    setTimeout(() => socket.end('1\r\n'), 10)
  }, createFixedPacer(shortPauseMs))
  t.false(await started.send().ended)
})

for (const [title, userPauseMs] of [['longer', 2 * shortPauseMs], ['shorter', shortPauseMs / 2]] as const) {
  test(`reads on when neither the user nor the pacer wants a pause: that of the user is ${title}`, async t => {
    await using started = await startPool(socket => {
      socket.write(chunkedHead + tinyChunks)
      setTimeout(() => socket.write('2\r\nok\r\n0\r\n\r\n'), 10)
    }, createFixedPacer(shortPauseMs))
    const { ended, readBody, setPaused } = started.send()
    for (let poll = 0; poll < 200 && readBody() === ''; poll++) await wait(2)
    const pausedAtMs = performance.now()
    setPaused(true)
    setTimeout(setPaused, userPauseMs, false)
    t.true(await ended)
    t.true(performance.now() - pausedAtMs >= Math.max(shortPauseMs, userPauseMs) - 20, `${performance.now() - pausedAtMs} ms`)
    t.is(readBody(), `${tinyBody}ok`)
  })
}

test('a response that was paused at its end does not delay the next one on its connection', async t => {
  let connections = 0
  await using started = await startPool((socket, request) => {
    socket.write(request.startsWith('GET /tiny') ? `${chunkedHead}${tinyChunks}0\r\n\r\n` : 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')
  }, createFixedPacer(longPauseMs))
  started.server.on('connection', () => { connections++ })
  t.true(await started.send('/tiny').ended)
  t.true(await isSettledWithin(started.send().ended, 1_000))
  t.is(connections, 1)
})
