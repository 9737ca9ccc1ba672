import type { AddressInfo } from 'node:net'
import test from 'ava'
import { once } from 'node:events'
import { Agent, createServer, get } from 'node:http'
import { applyGracefulClose } from '@bilberryworks/callers'
import { createConnectionGuard } from './connection_guard.ts'

const limits = { maxWithIdle: 1, maxServed: 1, maxRefused: 8, maxYielding: 0, maxOpen: Infinity }

/** Opens a guarded server; returns a function that sends a request on the connection of a caller. */
async function openGuarded (t: { teardown: (run: () => void) => void }) {
  const server = createServer((_message, response) => {
    response.statusCode = guard.admitRequest(response.req.socket) ? 200 : 503
    response.end()
  })
  applyGracefulClose(server)
  const guard = createConnectionGuard(server, { getLimits: () => limits, formatRefusal: () => '' })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  const agents = new Map<string, Agent>()
  t.teardown(() => {
    for (const agent of agents.values()) agent.destroy()
    server.close()
  })
  return {
    send (caller: string): Promise<number> {
      const agent = agents.get(caller) ?? new Agent({ keepAlive: true, maxSockets: 1 })
      agents.set(caller, agent)
      return new Promise((resolve, reject) => {
        get({ host: '127.0.0.1', port, agent }, response => response.resume().on('close', () => resolve(response.statusCode!))).on('error', reject)
      })
    },
    async close (caller: string) {
      agents.get(caller)!.destroy()
      while (guard.count() > 1) await new Promise(setImmediate)
    }
  }
}

test('a connection beyond the share that has been served is not refused when others come', async t => {
  const { send, close } = await openGuarded(t)
  t.deepEqual([await send('a'), await send('b')], [200, 503])
  await close('a')
  t.is(await send('b'), 200)
  t.deepEqual([await send('c'), await send('b')], [503, 200])
})
