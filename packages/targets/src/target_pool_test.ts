import type { Exchange } from './target_connection.ts'
import type { PooledTarget, TargetPool } from './target_pool.ts'
import test from 'ava'
import { once } from 'node:events'
import { createServer } from 'node:http'
import { setTimeout as wait } from 'node:timers/promises'
import { DescriptorDecision } from '@bilberryworks/steering'
import { ConnectionEvent, createTargetPool } from './target_pool.ts'
import { ExchangeFailure } from './target_connection.ts'

const maxOpen = 2
const slowMs = 60_000

/** Starts three targets at one address, and a pool that may open two connections. */
async function startPool () {
  const server = createServer((message, response) => {
    if (message.url === '/slow') setTimeout(() => response.end(), slowMs).unref()
    else response.end('ok')
  }).listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address() as { port: number }
  const events: Array<[ConnectionEvent, string]> = []
  const pool = createTargetPool({
    connectTimeoutMs: 1_000,
    chooseDescriptor: ({ count, hasIdle }) => count < maxOpen ? DescriptorDecision.Open : hasIdle ? DescriptorDecision.CloseIdleTarget : DescriptorDecision.Refuse,
    onConnectionEvent: (event, targetId) => events.push([event, targetId])
  })
  return {
    pool,
    events,
    findTarget: (id: string): PooledTarget => ({ id, address: { host: '127.0.0.1', port } }),
    async [Symbol.asyncDispose] () {
      await pool[Symbol.asyncDispose]()
      server.closeAllConnections()
      server.close()
    }
  }
}

/** Sends a request; resolves with how it failed, or with `undefined` when the response is complete. */
function send (pool: TargetPool, target: PooledTarget, { path = '/', onSendStart = () => {} }: { path?: string, onSendStart?: () => void } = {}): Promise<ExchangeFailure | undefined> {
  return new Promise(resolve => {
    const exchange: Exchange = {
      head: `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`,
      isBodiless: false,
      isOwnResponse: () => true,
      maySend: () => true,
      onSendStart,
      onHead: () => {},
      onBody: () => {},
      onEnd: () => resolve(undefined),
      onFail: failure => resolve(failure)
    }
    pool.send(target, exchange)
  })
}

test('the longest idle connection gives way to one to another target', async t => {
  await using started = await startPool()
  const { pool, events, findTarget } = started
  for (const id of ['a', 'b', 'c']) {
    t.is(await send(pool, findTarget(id)), undefined)
    await wait(5)
  }
  t.deepEqual(events.filter(([event]) => event === ConnectionEvent.Displaced), [[ConnectionEvent.Displaced, 'a']])
  t.deepEqual(['a', 'b', 'c'].map(pool.hasIdle), [false, true, true])
  t.is(pool.count(), maxOpen)
})

test('a request for which the host has no descriptor fails in a later turn, and is no failed connection of the target', async t => {
  await using started = await startPool()
  const { pool, events, findTarget } = started
  for (const id of ['a', 'b']) await new Promise<void>(resolve => { send(pool, findTarget(id), { path: '/slow', onSendStart: resolve }).catch(() => {}) })
  let hasTurned = false
  setImmediate(() => { hasTurned = true })
  t.is(await send(pool, findTarget('c')), ExchangeFailure.RefusedLocally)
  t.true(hasTurned)
  t.false(await pool.openIdle(findTarget('c'), { timeoutMs: 1_000 }))
  t.deepEqual(events.filter(([, id]) => id === 'c').map(([event]) => event), [ConnectionEvent.RefusedLocally, ConnectionEvent.RefusedLocally])
  t.is(pool.count(), maxOpen)
})
