import type { SingleInstance } from './_single_instance.ts'
import test from 'ava'
import { once } from 'node:events'
import { connect } from 'node:net'
import { setTimeout } from 'node:timers/promises'
import fc from 'fast-check'
import { startSingleInstance, waitUntilServing } from './_single_instance.ts'

const host = '127.0.0.1'
const limits = { maxBodyBytes: 1000, maxUploadBytes: 100_000 }
const timeoutMs = 400
const seed = 20_240_907
const fuzzRuns = 200

/** An instance with the port of its listener for callers and the base URL of its listener for operators. */
interface System extends SingleInstance {
  port: number
  operators: string
}

async function startSystem (): Promise<System> {
  const single = await startSingleInstance({ limits, settings: { headersTimeoutMs: timeoutMs, bodyIdleTimeoutMs: timeoutMs } })
  await waitUntilServing(single)
  const { callers, operators } = single.instance.addresses
  return { ...single, port: Number(callers.split(':')[1]), operators: `http://${operators}` }
}

/** Sends a string as raw bytes and returns everything received until the connection closes. */
async function sendRaw (port: number, text: string, options: { end?: boolean } = {}): Promise<string> {
  const socket = connect({ host, port })
  let received = ''
  socket.on('error', () => {})
  socket.on('data', chunk => {
    received += chunk.toString('latin1')
  })
  const closed = once(socket, 'close')
  socket.write(text, 'latin1')
  if (options.end === true) socket.end()
  await closed
  return received
}

const formatPost = (fields: string, body = ''): string => `POST /services/lunchbox-api/orders HTTP/1.1\r\nHost: x\r\nConnection: close\r\n${fields}\r\n${body}`
const formatGet = (url: string, fields = 'Host: x\r\n'): string => `GET ${url} HTTP/1.1\r\n${fields}Connection: close\r\n\r\n`
const formatChunk = (length: number): string => `${length.toString(16)}\r\n${'x'.repeat(length)}\r\n`

const invalidRequests: Array<{ name: string, text: string, end?: boolean, status: number, reason: string, runs?: number, outcome?: string }> = [
  { name: 'header section of 20 kB', text: formatGet('/services/lunchbox-api/x', `Host: x\r\nX-Long: ${'a'.repeat(20_000)}\r\n`), status: 431, reason: 'headers_too_large' },
  { name: 'Content-Length of a body above the limit', text: formatPost('Content-Length: 1001\r\n', 'x'.repeat(1001)), status: 413, reason: 'body_too_large' },
  { name: 'Content-Length of an upload above the limit', text: 'PUT /services/lunchbox-api/uploads/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 100001\r\n\r\n', status: 413, reason: 'body_too_large' },
  { name: 'chunked body above the limit', text: formatPost('Transfer-Encoding: chunked\r\n', `${formatChunk(800)}${formatChunk(800)}0\r\n\r\n`), status: 502, reason: 'body_too_large', outcome: 'unknown', runs: 1 },
  { name: 'unknown service', text: formatGet('/services/other/x'), status: 404, reason: 'unknown_service' },
  { name: 'path without a service', text: formatGet('/'), status: 400, reason: 'bad_request' },
  { name: 'dot segment', text: formatGet('/services/lunchbox-api/a/../b'), status: 400, reason: 'bad_request' },
  { name: 'escaped dot segment', text: formatGet('/services/lunchbox-api/a/%2e%2E/b'), status: 400, reason: 'bad_request' },
  { name: 'escaped slash', text: formatGet('/services/lunchbox-api/a%2fb'), status: 400, reason: 'bad_request' },
  { name: 'escaped NUL', text: formatGet('/services/lunchbox-api/a%00'), status: 400, reason: 'bad_request' },
  { name: 'bad escape', text: formatGet('/services/lunchbox-api/%zz'), status: 400, reason: 'bad_request' },
  { name: 'byte outside of ASCII', text: formatGet('/services/lunchbox-api/\xe9'), status: 400, reason: 'bad_request' },
  { name: 'Content-Length and Transfer-Encoding', text: formatPost('Content-Length: 3\r\nTransfer-Encoding: chunked\r\n', '0\r\n\r\n'), status: 400, reason: 'bad_request' },
  { name: 'two Content-Length fields', text: formatPost('Content-Length: 3\r\nContent-Length: 4\r\n', 'abcd'), status: 400, reason: 'bad_request' },
  { name: 'negative Content-Length', text: formatPost('Content-Length: -3\r\n'), status: 400, reason: 'bad_request' },
  { name: 'unknown transfer coding', text: formatPost('Transfer-Encoding: other\r\n'), status: 400, reason: 'bad_request' },
  { name: 'GET with a body', text: formatGet('/services/lunchbox-api/x', 'Host: x\r\nContent-Length: 3\r\n') + 'abc', status: 400, reason: 'bad_request' },
  { name: 'two Idempotency-Key fields', text: formatPost('Idempotency-Key: a\r\nIdempotency-Key: b\r\n'), status: 400, reason: 'bad_idempotency_key' },
  { name: 'Idempotency-Key of 256 characters', text: formatPost(`Idempotency-Key: ${'k'.repeat(256)}\r\n`), status: 400, reason: 'bad_idempotency_key' },
  { name: 'empty Idempotency-Key', text: formatPost('Idempotency-Key:\r\n'), status: 400, reason: 'bad_idempotency_key' },
  { name: 'Idempotency-Key outside of ASCII', text: formatPost('Idempotency-Key: \xe9\r\n'), status: 400, reason: 'bad_idempotency_key' },
  { name: 'deadline that is not a number', text: formatPost('Bilberry-Deadline-Ms: soon\r\n'), status: 400, reason: 'bad_request' },
  { name: 'two Bilberry-Deadline-Ms fields', text: formatPost('Bilberry-Deadline-Ms: 1\r\nBilberry-Deadline-Ms: 2\r\n'), status: 400, reason: 'bad_request' },
  { name: 'Via field of an instance that has forwarded the request before', text: formatGet('/services/lunchbox-api/x', 'Host: x\r\nVia: 1.1 a, 1.1 bilberry-lunchbox-api\r\n'), status: 508, reason: 'forward_loop' },
  { name: 'unknown method', text: 'BREW / HTTP/1.1\r\nHost: x\r\n\r\n', status: 400, reason: 'bad_request' },
  { name: 'TRACE', text: 'TRACE /services/lunchbox-api/x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n', status: 400, reason: 'bad_request' },
  { name: 'CONNECT', text: 'CONNECT a:1 HTTP/1.1\r\nHost: x\r\n\r\n', status: 400, reason: 'bad_request' },
  { name: 'Upgrade', text: 'GET /services/lunchbox-api/x HTTP/1.1\r\nHost: x\r\nConnection: upgrade, close\r\nUpgrade: websocket\r\n\r\n', status: 400, reason: 'bad_request' },
  { name: 'unknown expectation', text: formatPost('Expect: luck\r\n'), status: 400, reason: 'bad_request' },
  { name: 'HTTP/1.0', text: 'GET /services/lunchbox-api/x HTTP/1.0\r\nHost: x\r\n\r\n', status: 400, reason: 'bad_request' },
  { name: 'no Host', text: formatGet('/services/lunchbox-api/x', ''), status: 400, reason: 'bad_request' },
  { name: 'two Host fields', text: formatGet('/services/lunchbox-api/x', 'Host: x\r\nHost: y\r\n'), status: 400, reason: 'bad_request' },
  { name: 'TLS on a plain listener', text: '\x16\x03\x01\x02\x00\x01\x00', status: 400, reason: 'bad_request' },
  { name: 'incomplete header section on an idle connection', text: 'GET /services/lunchbox-api/x HTTP/1.1\r\nHost: x\r\n', status: 408, reason: 'request_timeout' },
  { name: 'incomplete header section on an ended connection', text: 'GET /services/lunchbox-api/x HT', end: true, status: 400, reason: 'bad_request' },
  { name: 'incomplete body on an idle connection', text: formatPost('Content-Length: 100\r\n', 'abc'), status: 502, reason: 'request_timeout', outcome: 'unknown', runs: 1 },
  { name: 'malformed client address', text: formatGet('/v1/services/lunchbox-api/entries?client=300.1.1.1'), status: 400, reason: 'bad_request' },
  { name: 'two client addresses', text: formatGet('/v1/services/lunchbox-api/entries?client=10.0.0.1&client=10.0.0.2'), status: 400, reason: 'bad_request' }
]

async function readCounter (system: System, series: string): Promise<number> {
  const text = await (await fetch(`${system.operators}/metrics`)).text()
  return Number(text.split('\n').find(line => line.startsWith(`${series} `))?.split(' ')[1] ?? NaN)
}

test('refuses invalid input with outcome, reason and counter', async t => {
  await using system = await startSystem()
  for (const { name, text, end = false, status, reason, outcome = 'not-run', runs = 0 } of invalidRequests) {
    const counter = `bilberry_refusals_total{reason="${reason}"}`
    const countBefore = await readCounter(system, counter)
    const runsBefore = system.target.runs.length
    const reply = await sendRaw(system.port, text, { end })
    t.regex(reply, new RegExp(`^HTTP/1.1 ${status} `), name)
    t.regex(reply, /content-type: application\/problem\+json/i, name)
    if (!text.includes('/v1/')) {
      t.regex(reply, new RegExp(`bilberry-outcome: ${outcome}\r\n`, 'i'), name)
      t.regex(reply, new RegExp(`bilberry-reason: ${reason}\r\n`, 'i'), name)
    }
    t.is(/^retry-after: /im.test(reply), status === 408, `${name}: Retry-After`)
    t.is(await readCounter(system, counter), countBefore + 1, `${name}: counter`)
    t.true(system.target.runs.length - runsBefore <= runs, `${name}: runs`)
  }
  t.is(await readCounter(system, 'bilberry_in_flight_requests'), 0)
  t.is(await readCounter(system, 'bilberry_queued_requests'), 0)
  t.notRegex(await (await fetch(`${system.operators}/metrics`)).text(), /service="other"/)
})

test('releases requests whose caller disconnects before the end of the body', async t => {
  await using system = await startSystem()
  system.target.behaviour.serviceMs = 60_000
  const partialRequests = [formatPost('Content-Length: 10\r\n', 'abc'), formatPost('Transfer-Encoding: chunked\r\n', formatChunk(3))]
  const sockets = partialRequests.map(text => {
    const socket = connect({ host, port: system.port })
    socket.write(text)
    return socket
  })
  while (system.target.runs.length === 0) await setTimeout(20)
  sockets.forEach(socket => socket.destroy())
  while (await readCounter(system, 'bilberry_in_flight_requests') > 0) await setTimeout(20)
  t.true(system.target.runs.every(run => !run.finished))
})

test('answers pipelined requests in order and reports none as not run when garbage follows', async t => {
  await using system = await startSystem()
  const request = (order: string): string => `GET /services/lunchbox-api/x HTTP/1.1\r\nHost: x\r\nX-Order: ${order}\r\n\r\n`
  const last = formatGet('/services/lunchbox-api/x', 'Host: x\r\nX-Order: third\r\n')
  const reply = await sendRaw(system.port, request('first') + request('second') + last)
  t.deepEqual([...reply.matchAll(/"order":"(\w+)"/g)].map(match => match[1]), ['first', 'second', 'third'])
  system.target.behaviour.serviceMs = 200
  const response = await sendRaw(system.port, `${request('fourth')}garbage\r\n\r\n`)
  t.notRegex(response, /not-run/)
})

test('keeps serving after arbitrary bytes', async t => {
  await using system = await startSystem()
  t.log(`seed ${seed}`)
  const fragments = fc.oneof(
    fc.constantFrom('GET ', 'POST ', '/services/lunchbox-api/', ' HTTP/1.1\r\n', 'Host: x\r\n', 'Content-Length: 2\r\n', 'Transfer-Encoding: chunked\r\n', '\r\n', '2\r\nab\r\n', '0\r\n\r\n', 'Idempotency-Key: '),
    fc.string({ maxLength: 20 })
  )
  await fc.assert(fc.asyncProperty(fc.array(fragments, { maxLength: 12 }), async parts => {
    const reply = await sendRaw(system.port, parts.join(''), { end: true })
    if (reply === '') return
    t.regex(reply, /^HTTP\/1\.1 \d{3} /)
    t.regex(reply, /bilberry-outcome: |application\/problem\+json|HTTP\/1.1 100 Continue/i)
  }), { seed, numRuns: fuzzRuns })
  t.is((await fetch(`http://${host}:${system.port}/services/lunchbox-api/x`)).status, 200)
})
