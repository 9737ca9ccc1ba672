import type { Socket } from 'node:net'
import type { TargetRecord } from '@bilberryworks/steering'
import type { TargetRequest } from './targets.ts'
import test from 'ava'
import { once } from 'node:events'
import { createServer } from 'node:net'
import { Readable } from 'node:stream'
import { text } from 'node:stream/consumers'
import { setTimeout as wait } from 'node:timers/promises'
import { createHttpTargets } from './http_targets.ts'
import { TargetFailureKind } from './targets.ts'

/** Starts a TCP server that passes each connection to a function. */
async function startTarget (handle: (socket: Socket) => void) {
  const server = createServer(socket => {
    socket.on('error', () => {})
    handle(socket)
  }).listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address() as { port: number }
  return { record: { target: 't', address: `127.0.0.1:${port}` } as TargetRecord, async [Symbol.asyncDispose] () { server.close() } }
}

function createRequest (overrides: Partial<TargetRequest> = {}): TargetRequest {
  return { requestId: 'own', method: 'GET', path: '/', headers: {}, body: Readable.from([]), deadlineMs: 4_000, signal: new AbortController().signal, ...overrides }
}

function replyWith (reply: string, end: 'fin' | 'reset' | 'stay' = 'stay'): (socket: Socket) => void {
  return socket => socket.once('data', () => {
    socket.write(reply, () => setTimeout(() => {
      if (end === 'fin') socket.end()
      if (end === 'reset') socket.resetAndDestroy()
    }, 20))
  })
}

async function describeExchange (handle: (socket: Socket) => void, overrides: Partial<TargetRequest> = {}): Promise<string> {
  await using target = await startTarget(handle)
  await using client = createHttpTargets()
  const result = await client.send(target.record, createRequest(overrides))
  if (result.isErr()) return result.error.kind
  return text(result.value.body).catch(() => 'cut')
}

const status = 'HTTP/1.1 200 OK\r\n'
const cases: Array<[string, (socket: Socket) => void, string]> = [
  ['returns a response with Content-Length', replyWith(`${status}content-length: 5\r\n\r\nhello`), 'hello'],
  ['returns a chunked response', replyWith(`${status}transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n`), 'hello'],
  ['returns a response that repeats the request identifier', replyWith(`${status}bilberry-request-id: own\r\ncontent-length: 5\r\n\r\nhello`), 'hello'],
  ['rejects a response with the identifier of another request', replyWith(`${status}bilberry-request-id: other\r\ncontent-length: 5\r\n\r\nhello`), TargetFailureKind.Lost],
  ['rejects a response without a stated length', replyWith(`${status}\r\nhello`, 'fin'), TargetFailureKind.Lost],
  ['reports a body shorter than Content-Length as truncated', replyWith(`${status}content-length: 9\r\n\r\nhello`, 'fin'), 'cut'],
  ['reports a body shorter than Content-Length as truncated with Connection: close', replyWith(`${status}connection: close\r\ncontent-length: 9\r\n\r\nhello`, 'fin'), 'cut'],
  ['reports a body shorter than Content-Length as truncated after a reset', replyWith(`${status}connection: close\r\ncontent-length: 9\r\n\r\nhello`, 'reset'), 'cut'],
  ['reports a body without its last chunk as truncated', replyWith(`${status}transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n`, 'fin'), 'cut'],
  ['reports a body without its last chunk as truncated with Connection: close', replyWith(`${status}connection: close\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n`, 'fin'), 'cut'],
  ['rejects a truncated response head', replyWith('HTTP/1.1 200', 'fin'), TargetFailureKind.Lost],
  ['rejects bytes that are not HTTP', replyWith('hello\r\n\r\n', 'fin'), TargetFailureKind.Lost],
  ['times out if the target does not respond', () => {}, TargetFailureKind.TimedOut],
  ['reports a body as truncated if the target stops sending until the deadline', replyWith(`${status}content-length: 9\r\n\r\nhello`), 'cut'],
  ['reports a reset before the response as a lost request', socket => { socket.once('data', () => socket.resetAndDestroy()) }, TargetFailureKind.Lost],
  ['reports a 503 response with bilberry-outcome: not-run as refused', replyWith('HTTP/1.1 503 Busy\r\nbilberry-outcome: not-run\r\ncontent-length: 0\r\n\r\n'), TargetFailureKind.Refused],
  ['rejects a refusal with the identifier of another request', replyWith('HTTP/1.1 503 Busy\r\nbilberry-request-id: other\r\nbilberry-outcome: not-run\r\ncontent-length: 0\r\n\r\n'), TargetFailureKind.Lost],
  ['returns a 503 response without bilberry-outcome', replyWith('HTTP/1.1 503 Busy\r\ncontent-length: 4\r\n\r\nbusy'), 'busy']
]
for (const [title, handle, expected] of cases) {
  test(`send() ${title}`, async t => {
    t.is(await describeExchange(handle), expected)
  })
}

test('does not return the late response to a cancelled request for the next request', async t => {
  const replyDelaysMs = new Map([['/first', 150], ['/second', 0]])
  await using target = await startTarget(socket => socket.on('data', data => {
    const path = /^GET (\S+)/.exec(String(data))![1]!
    setTimeout(() => socket.write(`${status}content-length: ${path.length}\r\n\r\n${path}`), replyDelaysMs.get(path))
  }))
  await using client = createHttpTargets({ connectionsPerTarget: 1 })
  const cancellation = new AbortController()
  const first = client.send(target.record, createRequest({ path: '/first', signal: cancellation.signal }))
  setTimeout(() => cancellation.abort(), 50)
  t.is((await first)._unsafeUnwrapErr().kind, TargetFailureKind.Lost)
  const second = await client.send(target.record, createRequest({ path: '/second', deadlineMs: 2_000 }))
  t.is(await text(second._unsafeUnwrap().body), '/second')
})

test('leaves the request body open if the connection fails or the target responds early', async t => {
  await using client = createHttpTargets()
  const body = new Readable({ read () {} })
  const closed = await startTarget(() => {})
  await closed[Symbol.asyncDispose]()
  const unreachable = await client.send(closed.record, createRequest({ method: 'POST', body }))
  t.is(unreachable._unsafeUnwrapErr().kind, TargetFailureKind.ConnectFailed)
  t.false(body.readableDidRead || body.destroyed)
  body.push('half')
  await using early = await startTarget(replyWith('HTTP/1.1 413 Too large\r\ncontent-length: 3\r\n\r\nbig'))
  const response = await client.send(early.record, createRequest({ method: 'POST', body }))
  t.is(await text(response._unsafeUnwrap().body), 'big')
  t.false(body.destroyed)
})

test('send() rejects a response head that ends at any byte', async t => {
  const head = `${status}content-type: text/plain\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`
  const lengths = Array.from({ length: head.length - 1 }, (_, index) => index + 1)
  const results = await Promise.all(lengths.map(length => describeExchange(replyWith(head.slice(0, length), 'fin'))))
  t.deepEqual([...new Set(results)], [TargetFailureKind.Lost])
})

const endlessReplies: Array<[string, string, string]> = [
  ['a body', `${status}transfer-encoding: chunked\r\n\r\n`, `8000\r\n${'x'.repeat(32_768)}\r\n`],
  ['a body of a stated length', `${status}content-length: 999999999999\r\n\r\n`, ' '.repeat(32_768)],
  ['the body of a refusal', 'HTTP/1.1 503 Busy\r\ntransfer-encoding: chunked\r\n\r\n', `8000\r\n${'x'.repeat(32_768)}\r\n`]
]

for (const [name, start, repeated] of endlessReplies) {
  test(`control calls end and close their connections when ${name} does not end`, async t => {
    const sockets: Socket[] = []
    await using target = await startTarget(socket => socket.once('data', () => {
      sockets.push(socket)
      const send = (): void => {
        let isTaken = socket.writable
        while (isTaken) isTaken = socket.write(repeated)
      }
      socket.on('drain', send)
      socket.write(start)
      send()
    }))
    await using client = createHttpTargets()
    const startedAtMs = performance.now()
    t.deepEqual(await Promise.all([client.readLoad(target.record), client.cancel(target.record, 'r')]), [undefined, false])
    t.true(performance.now() - startedAtMs < 900, 'the bound in bytes ends a call before its time-out')
    while (sockets.some(socket => !socket.destroyed)) await wait(10)
    const sentBytes = sockets.reduce((sum, socket) => sum + socket.bytesWritten, 0)
    t.true(sentBytes < 33_554_432, `${sentBytes} bytes were sent`)
  })
}
