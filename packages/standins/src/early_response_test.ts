import type { Server } from 'node:http'
import type { Socket } from 'node:net'
import { Agent, createServer } from 'node:http'
import test from 'ava'
import { listenOnLoopback } from './listeners.ts'
import { createTargetRow } from './target_rows.ts'
import { createTestSite, testSiteService, waitUntil } from './test_site.ts'

const uploadBytes = 6_000_000
const readBeforeBytes = 65_536
const readOnAfterMs = 2_000

/** Creates a target that rejects uploads before it has read them and reads on later, and that answers other requests. */
function createEarlyTarget (): { server: Server, sockets: Set<Socket> } {
  const sockets = new Set<Socket>()
  const server = createServer((message, response) => {
    const isUpload = message.url!.startsWith('/upload')
    const fields = { 'X-Request-Id': String(message.headers['x-request-id']), 'X-Server-Signature': 's', 'Content-Length': 2 }
    let bytes = 0
    message.on('data', (part: Buffer) => {
      bytes += part.length
      if (!isUpload || bytes < readBeforeBytes || response.headersSent) return
      response.writeHead(413, fields).end('ok')
      message.pause()
      setTimeout(() => message.resume(), readOnAfterMs)
    })
    message.on('end', () => { if (!response.headersSent) response.writeHead(200, fields).end('ok') })
  })
  server.on('connection', socket => {
    sockets.add(socket)
    socket.on('error', () => {})
  })
  return { server, sockets }
}

test('reads the next request of a caller whose upload was answered before it was read', async t => {
  await using site = await createTestSite()
  const { server, sockets } = createEarlyTarget()
  const { host, port } = await listenOnLoopback(server)
  site.writeConfig({ timeout: '5s' }, {}, { max_body_bytes: 16_000_000 })
  site.store.writeRow('servers', 'early', createTargetRow({ service: testSiteService, address: `${host}:${port}`, failureDomain: 'a-1', slots: 30 }, { seq: 1 }))
  const entry = await site.startEntry(0)
  t.true(await waitUntil(async () => (await site.call(entry)).status === 200))
  const agents = Array.from({ length: 8 }, () => new Agent({ keepAlive: true, maxSockets: 1 }))
  const statuses = await Promise.all(agents.map(async agent => {
    const upload = await site.call(entry, { agent, path: '/upload/x', method: 'POST', body: Buffer.alloc(uploadBytes, 'x'), timeLeftMs: 5_000 })
    const order = await site.call(entry, { agent, path: '/unsafe/x', method: 'POST', body: 'order', timeLeftMs: 4_000, signal: AbortSignal.timeout(4_000) })
    return [upload.status, order.status]
  }))
  for (const agent of agents) agent.destroy()
  for (const socket of sockets) socket.destroy()
  server.close()
  t.deepEqual(statuses, agents.map(() => [413, 200]))
})
