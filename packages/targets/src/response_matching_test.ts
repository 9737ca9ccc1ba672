import type { AddressInfo, Socket } from 'node:net'
import { createServer } from 'node:net'
import test from 'ava'
import fc from 'fast-check'
import { createTargetPool } from './target_pool.ts'

const seed = 20261203
const runs = 60

/** Bytes that a target sends for a request: the response to it, a response to another request, invalid bytes, or several of these. */
enum ReplyKind {
  Own = 'own',
  OwnChunked = 'own_chunked',
  OwnTwice = 'own_twice',
  EarlierThenOwn = 'earlier_then_own',
  OwnThenJunk = 'own_then_junk',
  Cut = 'cut',
  OtherOnly = 'other_only',
  Junk = 'junk',
  Provisional = 'provisional'
}

const formatResponse = (id: string): string => `HTTP/1.1 200 OK\r\nid: ${id}\r\nContent-Length: ${id.length + 5}\r\n\r\nbody-${id}`
const formatChunked = (id: string): string => `HTTP/1.1 200 OK\r\nid: ${id}\r\nTransfer-Encoding: chunked\r\n\r\n${(id.length + 5).toString(16)}\r\nbody-${id}\r\n0\r\n\r\n`

const formatReply: Record<ReplyKind, (id: string, earlier: string) => { text: string, ends: boolean }> = {
  [ReplyKind.Own]: id => ({ text: formatResponse(id), ends: false }),
  [ReplyKind.OwnChunked]: id => ({ text: formatChunked(id), ends: false }),
  [ReplyKind.OwnTwice]: id => ({ text: formatResponse(id) + formatResponse(id), ends: false }),
  [ReplyKind.EarlierThenOwn]: (id, earlier) => ({ text: formatResponse(earlier) + formatResponse(id), ends: false }),
  [ReplyKind.OwnThenJunk]: id => ({ text: `${formatResponse(id)}junk`, ends: false }),
  [ReplyKind.Cut]: id => ({ text: formatResponse(id).slice(0, -3), ends: true }),
  [ReplyKind.OtherOnly]: (_, earlier) => ({ text: formatResponse(earlier), ends: true }),
  [ReplyKind.Junk]: () => ({ text: 'HTTP/9.9 junk\r\n\r\n', ends: false }),
  [ReplyKind.Provisional]: id => ({ text: `HTTP/1.1 100 Continue\r\n\r\n${formatResponse(id)}`, ends: false })
}

/** Kinds after which the request must get its own response; after any other kind it must fail. */
const deliverableKinds = new Set([ReplyKind.Own, ReplyKind.OwnChunked, ReplyKind.OwnTwice, ReplyKind.EarlierThenOwn, ReplyKind.OwnThenJunk, ReplyKind.Provisional])

async function runSequence (sequence: ReplyKind[], pauseMs: number): Promise<Array<string | undefined>> {
  let next = 0
  const reply = (socket: Socket): void => {
    const index = next++
    const { text, ends } = formatReply[sequence[index]!](`r${index}`, `r${Math.max(0, index - 1)}x`)
    socket.write(text)
    if (ends) socket.end()
  }
  const server = createServer(socket => {
    socket.on('error', () => undefined)
    socket.on('data', () => reply(socket))
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const address = { host: '127.0.0.1', port: (server.address() as AddressInfo).port }
  await using pool = createTargetPool({ connectTimeoutMs: 500 })
  const bodies: Array<string | undefined> = []
  for (const index of sequence.keys()) {
    bodies.push(await new Promise(resolve => {
      let body = ''
      pool.send({ id: 'target', address }, {
        head: `GET / HTTP/1.1\r\nid: r${index}\r\n\r\n`,
        isBodiless: false,
        isOwnResponse: head => head.fields['id'] === `r${index}`,
        maySend: () => true,
        onSendStart: () => undefined,
        onHead: () => undefined,
        onBody (part) { body += part.toString() },
        onEnd: () => resolve(body),
        onFail: () => resolve(undefined)
      })
    }))
    if (pauseMs > 0) await new Promise(resolve => setTimeout(resolve, pauseMs))
  }
  server.close()
  return bodies
}

for (const pauseMs of [0, 2]) {
  test(`gives each request its own response or an error, for random replies ${pauseMs} ms apart`, async t => {
    t.log(`seed ${seed}`)
    await t.notThrowsAsync(fc.assert(fc.asyncProperty(fc.array(fc.constantFrom(...Object.values(ReplyKind)), { minLength: 1, maxLength: 8 }), async sequence => {
      const bodies = await runSequence(sequence, pauseMs)
      return bodies.every((body, index) => deliverableKinds.has(sequence[index]!) ? body === `body-r${index}` : body === undefined)
    }), { seed, numRuns: runs }))
  })
}
