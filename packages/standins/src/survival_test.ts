import type { Child } from './child.ts'
import type { Cluster } from './cluster.ts'
import type { LoadReport } from './load.ts'
import type { ExecutionContext } from 'ava'
import test from 'ava'
import { createHash, randomBytes } from 'node:crypto'
import { Readable } from 'node:stream'
import { request } from 'undici'
import { startCluster } from './cluster.ts'
import { DeploymentName, deployments } from './deployments.ts'
import { runLoad } from './load.ts'
import { StoreFault } from './site_store.ts'

const seed = Number(process.env['BILBERRY_SEED'] ?? 5)
/** Processing time of a request; long enough that some requests are in flight at each instance at any time. */
const serviceMs = 150
const callers = 24
const deployment = deployments[DeploymentName.Trwsio]

async function waitMs (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}

/** Runs a load during a fault and checks the guarantees that hold under every fault. */
async function runFault (t: ExecutionContext, cluster: Cluster, fault: () => Promise<void>): Promise<LoadReport> {
  for (const { target } of cluster.targets) cluster.setBehaviour(target, { serviceMs })
  const faultPhase = waitMs(500).then(fault).then(() => waitMs(500))
  const report = await runLoad(cluster, { deployment, until: faultPhase, callers })
  await faultPhase
  t.log(`seed ${seed}: ${JSON.stringify(report)}`)
  t.deepEqual({ ranTwice: report.ranTwice, wrong: report.wrong, untrueRefusals: report.untrueRefusals }, { ranTwice: 0, wrong: 0, untrueRefusals: 0 })
  t.true(report.answered > report.requests / 2)
  return report
}

async function sendSlowUpload (address: string, durationMs: number): Promise<{ isComplete: boolean, outcome: unknown, reason: unknown }> {
  const chunks = Array.from({ length: 20 }, () => randomBytes(8 * 1024))
  const body = Readable.from((async function * () {
    for (const chunk of chunks) {
      yield chunk
      await waitMs(durationMs / chunks.length)
    }
  })())
  const response = await request(`http://${address}/services/storfa-lluniau/uploads/slow`, { method: 'PUT', headers: { 'x-order': 'slow' }, body })
  const text = await response.body.text()
  return { isComplete: text.includes(createHash('sha256').update(Buffer.concat(chunks)).digest('hex')), outcome: response.headers['bilberry-outcome'], reason: response.headers['bilberry-reason'] }
}

/** Stops a process by a signal that is repeated while the stop goes on, as supervisors do. */
async function stopTwice (child: Child<unknown>): Promise<number | null> {
  const stopped = child.stop('SIGTERM')
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    await waitMs(200)
    child.process.kill(signal)
  }
  return stopped
}

test.serial('restarts all instances under load without a refused request or a truncated response', async t => {
  await using cluster = await startCluster(deployment)
  const order = [0, 1, 2, 3, 4, 5, 6].map(index => (index * 3 + seed) % 7)
  const groups = [order.slice(0, 1), order.slice(1, 2), order.slice(2, 3), order.slice(3, 5), order.slice(5, 7)]
  const report = await runFault(t, cluster, async () => {
    for (const group of groups) {
      const uploads = group.map(index => sendSlowUpload(cluster.instances[index]!.child.ready.callers, 5_000))
      await waitMs(200)
      const codes = await Promise.all(group.map(index => stopTwice(cluster.instances[index]!.child)))
      t.deepEqual(codes, group.map(() => 0))
      for (const upload of await Promise.all(uploads)) t.deepEqual(upload, { isComplete: true, outcome: 'answered', reason: undefined })
      await Promise.all(group.map(index => cluster.restartInstance(index)))
    }
  })
  t.deepEqual({ broken: report.broken, notRun: report.notRun, unknown: report.unknown }, { broken: 0, notRun: 0, unknown: 0 })
})

test.serial('runs no keyed request twice when three instances are killed', async t => {
  await using cluster = await startCluster(deployment)
  await runFault(t, cluster, async () => {
    for (const step of [0, 2, 4]) {
      await cluster.instances[(seed + step) % 7]!.child.stop('SIGKILL')
      await waitMs(500)
    }
    await waitMs(5_000)
  })
})

test.serial('runs no keyed request twice when an instance is suspended and resumed', async t => {
  await using cluster = await startCluster(deployment)
  await runFault(t, cluster, async () => {
    const { process: suspended } = cluster.instances[seed % 7]!.child
    suspended.kill('SIGSTOP')
    await waitMs(6_000)
    suspended.kill('SIGCONT')
    await waitMs(2_000)
  })
})

test.serial('runs no keyed request twice when targets are suspended and resumed', async t => {
  await using cluster = await startCluster(deployment)
  await runFault(t, cluster, async () => {
    const suspended = cluster.targetProcesses[seed % cluster.targetProcesses.length]!
    suspended.kill('SIGSTOP')
    await waitMs(4_000)
    suspended.kill('SIGCONT')
    await waitMs(1_000)
  })
})

test.serial('answers all requests during a platform outage', async t => {
  await using cluster = await startCluster(deployment)
  const report = await runFault(t, cluster, async () => {
    await cluster.setPlatformFaults({ fault: StoreFault.Busy })
    await waitMs(5_000)
    await cluster.setPlatformFaults({ fault: StoreFault.None })
  })
  t.is(report.answered, report.requests)
})
