import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { EntryMetrics } from './entry_metrics.ts'
import type { RequestHandler } from './request_handler.ts'
import { connect } from 'node:net'
import test from 'ava'
import { applyCallerLimits, createCallerListener } from './caller_listener.ts'

const maxHeaderBytes = 16_384
const quietMs = 500

/** Starts a listener with limits; returns a function that sends bytes and resolves with what was received when the connection closes or nothing more comes. */
async function startListener (limits = { maxHeaderBytes }) {
  const requestHandler = { handleRequest: (_message: IncomingMessage, response: ServerResponse) => { response.end('served') } } as unknown as RequestHandler
  const server = createCallerListener({ requestHandler, metrics: { countRefused: () => {} } as unknown as EntryMetrics })
  applyCallerLimits(server, { ...limits, maxBodyBytes: 1, headerTimeoutMs: 30_000, idleTimeoutMs: 30_000 })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return {
    send: (bytes: string) => new Promise<string>(resolve => {
      const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
      let text = ''
      const timer = setTimeout(() => socket.destroy(), quietMs)
      socket.on('data', part => { text += part.toString() })
      socket.on('error', () => {})
      socket.on('close', () => {
        clearTimeout(timer)
        resolve(text)
      })
      socket.write(bytes)
    }),
    async [Symbol.asyncDispose] () {
      server.closeAllConnections()
      await new Promise(resolve => server.close(resolve))
    }
  }
}

function formatFields (bytes: number): string {
  return `a: ${'x'.repeat(996)}\r\n`.repeat(Math.floor(bytes / 1_001))
}

test('a header section without end is refused soon after the limit of the routing configuration', async t => {
  await using listener = await startListener()
  const text = await listener.send(`GET / HTTP/1.1\r\nHost: h\r\n${formatFields(32_768)}`)
  t.regex(text, /^HTTP\/1\.1 431 /)
  t.regex(text, /Bilberry-Outcome: not-run/)
})

test('a header section within the limit is served behind a long target', async t => {
  await using listener = await startListener()
  const text = await listener.send(`GET /${'x'.repeat(8_000)} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n${formatFields(maxHeaderBytes - 100)}\r\n`)
  t.regex(text, /served/)
})

test('a limit of the routing configuration beyond the hard limit does not raise that', async t => {
  await using listener = await startListener({ maxHeaderBytes: 1_048_576 })
  t.regex(await listener.send(`GET / HTTP/1.1\r\nHost: h\r\n${formatFields(80_000)}`), /^HTTP\/1\.1 431 /)
})
