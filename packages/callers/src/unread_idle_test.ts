import type { AddressInfo } from 'node:net'
import { createServer } from 'node:http'
import { connect } from 'node:net'
import test from 'ava'
import { applyGracefulClose, closeLongestIdle } from './graceful_close.ts'
import { createReadTurns } from './read_turns.ts'
import { runAfterReads } from './run_after_reads.ts'
import { isReadingStopped, ReadStop } from './stop_reading.ts'

const turnMs = 400
const upload = `POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(4_000)}0\r\n\r\n`

for (const [title, closeIdle] of [
  ['a stop', server => server.closeIdleConnections()],
  ['a shortage of descriptors', server => { closeLongestIdle(server, { count: 1, minUnusedMs: 0 }) }]
] as Array<[string, (server: ReturnType<typeof createServer>) => void]>) {
  test(`${title} does not lose the request behind an upload in tiny chunks, which waits for its turn to be read`, async t => {
    const turns = createReadTurns({ pacer: { createAccount: nowMs => ({ units: 0, chargedAtMs: nowMs }), charge: () => turnMs }, getNowMs: () => performance.now() })
    let wasStopped = false
    const server = createServer((message, response) => {
      turns.watchBody(message)
      message.on('data', () => {}).on('end', () => response.end('ok'))
      if (message.method === 'GET') return
      response.once('close', () => {
        wasStopped = isReadingStopped(message.socket, ReadStop.Turn)
        setTimeout(runAfterReads, turnMs / 4, () => closeIdle(server))
      })
    })
    applyGracefulClose(server)
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    const caller = connect((server.address() as AddressInfo).port, '127.0.0.1').on('error', () => {})
    let text = ''
    caller.on('data', part => { text += String(part) })
    const closed = new Promise(resolve => caller.once('close', resolve))
    const responded = new Promise(resolve => caller.once('data', resolve))
    caller.write(upload)
    await responded
    caller.write('GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n')
    await closed
    t.true(wasStopped)
    t.is(text.match(/HTTP\/1\.1 200 OK/g)?.length, 2)
    server.close()
  })
}
