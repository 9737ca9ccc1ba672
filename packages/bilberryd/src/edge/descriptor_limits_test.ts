import test from 'ava'
import { DescriptorDecision } from '@bilberryworks/steering'
import { createServer, get } from 'node:http'
import { once } from 'node:events'
import { createDescriptorBudget } from './descriptor_limits.ts'

const limits = { maxDescriptors: 4_100 }
const relayed = 256
const lookUps = 120

function createBudget () {
  const budget = createDescriptorBudget({ limits, countTargets: () => 60, maxCallers: 6_000, getRandom: () => 0 })
  budget.measure()
  return budget
}

test('an instance with descriptors to spare relays as many requests as another one accepts', t => {
  t.is(createBudget().chooseForPeer({ count: relayed, hasIdle: false }), DescriptorDecision.Open)
})

test('connections to other instances are limited while descriptors are short', t => {
  t.is(createBudget().chooseForPeer({ count: 3_500, hasIdle: false }), DescriptorDecision.Refuse)
})

test('no look-up is refused while there are descriptors to spare', async t => {
  const server = createServer((_message, response) => setTimeout(() => response.end('ok'), 50))
  createBudget().guardReserved(server)
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address() as { port: number }
  const statuses = await Promise.all(Array.from({ length: lookUps }, () => new Promise(resolve => {
    get({ host: '127.0.0.1', port, agent: false }, response => {
      response.resume()
      resolve(response.statusCode)
    }).on('error', (error: NodeJS.ErrnoException) => resolve(error.code))
  })))
  server.close()
  t.deepEqual(statuses.filter(status => status !== 200), [])
})
