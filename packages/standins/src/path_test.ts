import test from 'ava'
import { randomUUID } from 'node:crypto'
import { Agent } from 'undici'
import { sendAsCaller } from './caller.ts'
import { startCluster } from './cluster.ts'
import { DeploymentName, deployments } from './deployments.ts'

test('carries requests through separate processes', async t => {
  await using cluster = await startCluster(deployments[DeploymentName.Trwsio])
  const agent = new Agent()
  const caller = { agent, instances: cluster.instances.map(instance => instance.child.ready.callers), client: '192.0.2.1' }
  const order = randomUUID()
  const read = await sendAsCaller({ service: 'bwrdd-trwsio', method: 'GET', path: '/queue', order, body: undefined, key: undefined }, caller)
  const claim = await sendAsCaller({ service: 'bwrdd-trwsio', method: 'POST', path: '/claims', order, body: Buffer.from('{}'), key: order }, caller)
  await agent.destroy()
  t.is(read.outcome, 'answered')
  t.is(claim.outcome, 'answered')
  t.false(read.broken || claim.broken)
  const runs = await cluster.collectRuns()
  t.is(runs.filter(run => run.order === order && run.method === 'POST').length, 1)
})
