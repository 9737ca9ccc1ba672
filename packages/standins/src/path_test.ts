import test from 'ava'
import { execFile } from 'node:child_process'
import { randomUUID } from 'node:crypto'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { createRequire } from 'node:module'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { promisify } from 'node:util'
import { Agent } from 'undici'
import { sendAsCaller } from './caller.ts'
import { startCluster } from './cluster.ts'
import { DeploymentName, deployments } from './deployments.ts'

test('answers requests in a cluster of separate processes', async t => {
  await using cluster = await startCluster(deployments[DeploymentName.Trwsio])
  const agent = new Agent()
  const caller = { agent, instances: cluster.instances.map(instance => instance.child.ready.callers), client: '192.0.2.1' }
  const order = randomUUID()
  const read = await sendAsCaller({ service: 'bwrdd-trwsio', method: 'GET', path: '/queue', order, body: undefined, key: undefined }, caller)
  const claim = await sendAsCaller({ service: 'bwrdd-trwsio', method: 'POST', path: '/claims', order, body: Buffer.from('{}'), key: order }, caller)
  await agent.destroy()
  t.is(read.outcome, 'answered')
  t.is(claim.outcome, 'answered')
  t.false(read.hasInvalidResponse || claim.hasInvalidResponse)
  const runs = await cluster.collectRuns()
  t.is(runs.filter(run => run.order === order && run.method === 'POST').length, 1)
})

test('executes the commands of bilberryctl against a running instance', async t => {
  await using cluster = await startCluster(deployments[DeploymentName.Trwsio])
  const folder = await mkdtemp(join(tmpdir(), 'bilberryworks-'))
  const tokenFile = join(folder, 'token')
  const documentFile = join(folder, 'document.json')
  await writeFile(tokenFile, cluster.token)
  const script = join(createRequire(import.meta.url).resolve('bilberryctl'), '..', 'main.js')
  const { callers, operators } = cluster.instances[0]!.child.ready
  const run = async (args: string[], endpoint = operators): Promise<string> => {
    const { stdout } = await promisify(execFile)(process.execPath, [script, ...args, '--endpoint', `http://${endpoint}`, '--token-file', tokenFile])
    return stdout
  }
  const { document } = JSON.parse(await run(['get', 'bwrdd-trwsio', '--json'])) as { document: object }
  await writeFile(documentFile, JSON.stringify({ ...document, shiftCap: 0.2 }))
  t.regex(await run(['diff', documentFile]), /\/shiftCap +0\.1 +0\.2/)
  t.regex(await run(['apply', documentFile, '--wait', '14']), /Revision 2 of "bwrdd-trwsio" is in force/)
  t.regex(await run(['list']), /bwrdd-trwsio +2 +demonstration/)
  t.regex(await run(['history', 'bwrdd-trwsio']), /2 +demonstration .* \/shiftCap/)
  t.regex(await run(['status', 'bwrdd-trwsio']), /entry-6 +true +2/)
  t.regex(await run(['lookup', 'bwrdd-trwsio', '--client', '192.0.2.7'], callers), /entry-\d/)
  await t.throwsAsync(run(['get', 'nothing']), { message: /nothing/ })
  await rm(folder, { recursive: true })
})
