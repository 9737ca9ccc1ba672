import type { AddressInfo, Server, Socket } from 'node:net'
import { once } from 'node:events'
import { createServer } from 'node:net'
import { setTimeout as wait } from 'node:timers/promises'
import test from 'ava'
import { MalformedKind } from './malformed_response.ts'
import { ExchangeFailure } from './target_connection.ts'
import { ConnectionEvent, createTargetPool } from './target_pool.ts'

interface Outcome {
  failure: ExchangeFailure | undefined
  status: number | undefined
  body: string
  detail?: string
}

/** Starts a TCP server that calls a function for each request, with its index. */
async function listenTarget (reply: (socket: Socket, requestIndex: number) => void): Promise<{ server: Server, address: { host: string, port: number } }> {
  let requests = 0
  const server = createServer(socket => {
    socket.on('error', () => undefined)
    socket.on('data', () => reply(socket, requests++))
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return { server, address: { host: '127.0.0.1', port: (server.address() as AddressInfo).port } }
}

type Pool = ReturnType<typeof createTargetPool>

function sendRequest (pool: Pool, address: { host: string, port: number }, id: string, maySend = () => true): Promise<Outcome> {
  return new Promise(resolve => {
    const outcome: Outcome = { failure: undefined, status: undefined, body: '' }
    pool.send({ id: 'target', address }, {
      head: `GET / HTTP/1.1\r\nid: ${id}\r\n\r\n`,
      isBodiless: false,
      isOwnResponse: head => head.fields['id'] === id,
      maySend,
      onSendStart: () => undefined,
      onHead (head) { outcome.status = head.status },
      onBody (part) { outcome.body += part.toString() },
      onEnd: () => resolve(outcome),
      onFail: (failure, detail) => resolve({ ...outcome, failure, detail })
    })
  })
}

/** Sends requests one after another to a new target, with a pause of 20 ms after each. */
async function runRequests (reply: (socket: Socket, requestIndex: number) => void, ids: string[]): Promise<Outcome[]> {
  const { server, address } = await listenTarget(reply)
  await using pool = createTargetPool({ connectTimeoutMs: 500 })
  const outcomes: Outcome[] = []
  for (const id of ids) {
    outcomes.push(await sendRequest(pool, address, id))
    await wait(20)
  }
  server.close()
  return outcomes
}

const formatResponse = (id: string, body: string): string => `HTTP/1.1 200 OK\r\nid: ${id}\r\nContent-Length: ${body.length}\r\n\r\n${body}`

test('reads a response without a stated length until the connection closes', async t => {
  const [outcome] = await runRequests(socket => socket.end('HTTP/1.1 200 OK\r\nid: a\r\n\r\nwhole'), ['a'])
  t.deepEqual(outcome, { failure: undefined, status: 200, body: 'whole' })
})

test('reports a response without a stated length as lost if a reset follows its end', async t => {
  const [outcome] = await runRequests(socket => {
    socket.end('HTTP/1.1 200 OK\r\nid: a\r\n\r\nhal')
    setTimeout(() => socket.resetAndDestroy(), 20)
  }, ['a'])
  t.is(outcome!.failure, 'lost' as ExchangeFailure)
})

test('discards a late response to an earlier request', async t => {
  const outcomes = await runRequests((socket, index) => {
    if (index === 0) socket.write(formatResponse('a', 'first'))
    else socket.write(formatResponse('a', 'again') + formatResponse('b', 'second'))
  }, ['a', 'b'])
  t.deepEqual(outcomes.map(outcome => outcome.body), ['first', 'second'])
})

test('closes an idle connection that receives an unsolicited response', async t => {
  const sockets: Socket[] = []
  const { server, address } = await listenTarget(socket => {
    sockets.push(socket)
    socket.write(formatResponse(sockets.length === 1 ? 'a' : 'b', 'own'))
  })
  await using pool = createTargetPool({ connectTimeoutMs: 5_000 })
  t.is((await sendRequest(pool, address, 'a')).body, 'own')
  const closed = once(sockets[0]!, 'close')
  sockets[0]!.write(formatResponse('a', 'again'))
  await closed
  t.is((await sendRequest(pool, address, 'b')).body, 'own')
  t.is(new Set(sockets).size, 2)
  server.close()
})

const invalidResponses: Array<[string, string]> = [
  ['shorter than its Content-Length', 'HTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 9\r\n\r\nhal'],
  ['without its last chunk', 'HTTP/1.1 200 OK\r\nid: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhal\r\n'],
  ['with an invalid chunk size', 'HTTP/1.1 200 OK\r\nid: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhal\r\nzz\r\n\r\n'],
  ['with two different Content-Length fields', 'HTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nhal'],
  ['with both Content-Length and Transfer-Encoding', 'HTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhal\r\n0\r\n\r\n'],
  ['that is not HTTP', 'garbage\r\n\r\n'],
  ['that belongs to another request', formatResponse('z', 'other')]
]
for (const [description, bytes] of invalidResponses) {
  test(`fails an exchange on a response ${description}`, async t => {
    const [outcome] = await runRequests(socket => socket.end(bytes), ['a'])
    t.truthy(outcome!.failure)
  })
}

for (const [kind, bytes] of [
  [MalformedKind.StatusLine, 'x'.repeat(300_000)],
  [MalformedKind.HeaderSection, `HTTP/1.1 200 OK\r\na: ${'x'.repeat(300_000)}`],
  [MalformedKind.ChunkSize, `HTTP/1.1 200 OK\r\nid: a\r\nTransfer-Encoding: chunked\r\n\r\n1;${'x'.repeat(300_000)}`],
  [MalformedKind.ChunkEnd, 'HTTP/1.1 200 OK\r\nid: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nxbad'],
  [MalformedKind.TrailerSection, `HTTP/1.1 200 OK\r\nid: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\na: ${'x'.repeat(300_000)}`],
  [MalformedKind.Overhead, 'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(20_000)],
  [MalformedKind.Invalid, 'HTTP/9.99 junk\r\n\r\n']
] as const) {
  test(`reports a malformed response of the kind ${kind} once, and what was sent`, async t => {
    const { server, address } = await listenTarget(socket => socket.write(bytes))
    const kinds: MalformedKind[] = []
    await using pool = createTargetPool({ connectTimeoutMs: 500, onMalformedResponse: reported => kinds.push(reported) })
    const { failure, detail } = await sendRequest(pool, address, 'a')
    t.is(failure, ExchangeFailure.Malformed)
    t.regex(detail ?? '', /^Target sent (\d+ )?bytes /)
    await wait(20)
    t.deepEqual(kinds, [kind])
    server.close()
  })
}

test('sends nothing to a target that is excluded while the connection is established', async t => {
  let requests = 0
  const { server, address } = await listenTarget(() => { requests++ })
  {
    await using pool = createTargetPool({ connectTimeoutMs: 5_000 })
    const { failure } = await sendRequest(pool, address, 'a', () => false)
    t.is(failure, ExchangeFailure.Withdrawn)
    t.is(pool.count(), 0)
  }
  await new Promise(resolve => server.close(resolve))
  t.is(requests, 0)
})

test('fails an exchange on a response head that ends at any byte', async t => {
  const head = 'HTTP/1.1 200 OK\r\nid: a\r\nExtra: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n'
  const lengths = Array.from({ length: head.length - 1 }, (_, index) => index + 1)
  for (const end of ['fin', 'reset'] as const) {
    const outcomes = await Promise.all(lengths.map(length => runRequests(socket => {
      if (end === 'fin') socket.end(head.slice(0, length))
      else socket.write(head.slice(0, length), () => socket.resetAndDestroy())
    }, ['a'])))
    t.deepEqual(outcomes.flat().filter(({ failure }) => failure === undefined), [])
  }
})

for (const delayMs of [0, 1, 10, 30]) {
  test(`gives no request an earlier refusal that the target writes again ${delayMs} ms later`, async t => {
    const refusal = 'HTTP/1.1 503 Busy\r\nid: a\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n'
    const outcomes = await runRequests((socket, index) => {
      socket.write(index === 0 ? refusal : formatResponse('b', 'own'))
      if (index === 0) setTimeout(() => socket.write(refusal), delayMs)
    }, ['a', 'b'])
    t.is(outcomes[0]!.status, 503)
    t.true(outcomes[1]!.failure === undefined ? outcomes[1]!.body === 'own' : outcomes[1]!.status === undefined, JSON.stringify(outcomes[1]))
  })
}

test('fails an exchange on a response head with one wrong byte in a field', async t => {
  const head = 'HTTP/1.1 200 OK\r\nid: a\r\nX-Extra: 3e1b\r\nContent-Length: 0\r\n\r\n'
  const [from, to] = [head.indexOf('X-Extra'), head.indexOf('\r\nContent-Length')]
  // Without its colon a line is no field, and is dropped.
  const colon = head.indexOf(':', from)
  for (const byte of ['\0', '\x01', '\x0b', '\x1f', '\x7f']) {
    const positions = Array.from({ length: to - from }, (_, offset) => from + offset).filter(position => position !== colon)
    const outcomes = await Promise.all(positions.map(position => runRequests(socket => {
      socket.write(`${head.slice(0, position)}${byte}${head.slice(position + 1)}`, 'latin1')
    }, ['a'])))
    t.deepEqual([...new Set(outcomes.flat().map(({ failure }) => failure))], ['malformed' as ExchangeFailure])
  }
})

test('opens no connection after it was closed, and reports none that it closed', async t => {
  const { server, address } = await listenTarget(() => undefined)
  let connections = 0
  server.on('connection', () => { connections++ })
  const events: string[] = []
  const pool = createTargetPool({ connectTimeoutMs: 500, onConnectionEvent: event => { events.push(event) } })
  const opening = pool.openIdle({ id: 'target', address }, { timeoutMs: 500 })
  await pool[Symbol.asyncDispose]()
  t.false(await opening)
  t.false(await pool.openIdle({ id: 'target', address }, { timeoutMs: 500 }))
  t.is((await sendRequest(pool, address, 'a')).failure, ExchangeFailure.ConnectFailed)
  await wait(50)
  t.is(connections, 0)
  t.deepEqual(events, [])
  server.close()
})

test('a connection that the system refuses at once fails in a later turn of the event loop, with its code', async t => {
  const events: Array<[ConnectionEvent, string | undefined]> = []
  await using pool = createTargetPool({ connectTimeoutMs: 500, onConnectionEvent: (event, _, code) => { events.push([event, code]) } })
  let hasTurned = false
  setImmediate(() => { hasTurned = true })
  const { failure } = await sendRequest(pool, { host: '127.255.255.255', port: 9 }, 'a')
  t.true(hasTurned)
  t.is(failure, ExchangeFailure.ConnectFailed)
  t.deepEqual(events, [[ConnectionEvent.ConnectFailed, 'ENETUNREACH']])
})
