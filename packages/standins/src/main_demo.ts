/**
 * The command behind `npm start`: runs a deployment, sends it mixed requests and reports.
 *
 * @module
 */
import type { CallerRequest, CallerResult } from './caller.ts'
import type { Cluster } from './cluster.ts'
import type { Deployment } from './deployments.ts'
import type { RunRecord } from './target_standin.ts'
import { randomBytes, randomUUID } from 'node:crypto'
import { command, flag, number, oneOf, option, optional, run } from 'cmd-ts'
import { build as buildHistogram } from 'hdr-histogram-js'
import { Agent } from 'undici'
import { sendAsCaller } from './caller.ts'
import { startCluster } from './cluster.ts'
import { DeploymentName, deployments } from './deployments.ts'

const concurrency = 16
const uploadBytes = 256 * 1024
const drainGraceMs = 3_000

const demo = command({
  name: 'npm start --',
  description: 'Runs a deployment with stand-ins of the platform and the targets',
  args: {
    json: flag({ long: 'json', description: 'Print one line of JSON at the end' }),
    requests: option({ type: optional(number), long: 'requests', description: 'Requests to send; without it the system stays up until interrupted' }),
    deployment: option({ type: oneOf(Object.values(DeploymentName)), long: 'deployment', defaultValue: () => DeploymentName.Kutiyka, description: 'kutiyka or trwsio' })
  },
  async handler ({ json, requests, deployment }) {
    const chosen = deployments[deployment as DeploymentName]
    await using cluster = await startCluster(chosen)
    const interrupted = new Promise<void>(resolve => ['SIGINT', 'SIGTERM'].forEach(signal => process.once(signal, resolve)))
    printAddresses(cluster)
    if (requests === undefined) {
      await interrupted
      return
    }
    const report = await Promise.race([runRequests(cluster, { deployment: chosen, requests }), interrupted])
    if (report === undefined) process.exitCode = 1
    else if (json) console.log(JSON.stringify(report))
    else console.table(report)
  }
})

function printAddresses (cluster: Cluster): void {
  for (const { settings, child } of cluster.instances) {
    console.error(`${settings.instance} (${settings.failureDomain}): callers http://${child.ready.callers}, operators http://${child.ready.operators}`)
  }
  console.error(`Token of the operators: ${cluster.token}`)
}

async function runRequests (cluster: Cluster, options: { deployment: Deployment, requests: number }): Promise<object> {
  await using agent = createAgent()
  const addresses = cluster.instances.map(instance => instance.child.ready.callers)
  const results: CallerResult[] = []
  const drained = cluster.targets[0]!.target
  let drainedAtMs = Infinity
  let next = 0
  let stopping: Promise<unknown> = Promise.resolve()

  async function sendNext (): Promise<void> {
    while (next < options.requests) {
      const index = next++
      if (index === Math.floor(options.requests / 3)) stopping = cluster.instances[3]!.child.stop('SIGTERM')
      if (index === Math.floor(options.requests / 2)) {
        cluster.setBehaviour(drained, { leaving: true })
        drainedAtMs = Date.now()
      }
      const caller = { agent: agent.agent, instances: addresses, client: `192.0.2.${index % 250}` }
      results.push(await sendAsCaller(createRequest(options.deployment, index), caller))
      process.stderr.write(`\r${results.length}/${options.requests} requests`)
    }
  }
  await Promise.all(Array.from({ length: concurrency }, sendNext))
  await stopping
  process.stderr.write('\n')
  const runs = await cluster.collectRuns()
  return createReport(results, { runs, drained, drainedAtMs })
}

function createAgent (): { agent: Agent } & AsyncDisposable {
  const agent = new Agent({ connections: concurrency })
  return { agent, [Symbol.asyncDispose]: () => agent.destroy() }
}

function createRequest (deployment: Deployment, index: number): CallerRequest {
  const [main, store] = deployment.services
  const order = randomUUID()
  switch (index % 5) {
    case 0: return { service: main.name, method: 'POST', path: '/orders', order, body: randomBytes(200), key: order }
    case 1: return { service: store.name, method: 'PUT', path: `/uploads/${index}`, order, body: randomBytes(uploadBytes), key: order }
    default: return { service: main.name, method: 'GET', path: `/menus/${index}`, order, body: undefined, key: undefined }
  }
}

function createReport (results: CallerResult[], log: { runs: RunRecord[], drained: string, drainedAtMs: number }): object {
  const histogram = buildHistogram()
  results.forEach(result => histogram.recordValue(Math.round(result.elapsedMs)))
  const count = (outcome: string): number => results.filter(result => result.outcome === outcome).length
  const runsByOrder = new Map<string, number>()
  for (const run of log.runs) {
    if (run.method !== 'GET') runsByOrder.set(run.order, (runsByOrder.get(run.order) ?? 0) + 1)
  }
  return {
    requests: results.length,
    answered: count('answered'),
    notRun: count('not-run'),
    unknown: count('unknown'),
    ranTwice: [...runsByOrder.values()].filter(runs => runs > 1).length,
    brokenAnswers: results.filter(result => result.broken).length,
    newWorkAfterDrain: log.runs.filter(run => run.target === log.drained && run.startedAtMs > log.drainedAtMs + drainGraceMs).length,
    p50Ms: histogram.getValueAtPercentile(50),
    p99Ms: histogram.getValueAtPercentile(99)
  }
}

await run(demo, process.argv.slice(2))
