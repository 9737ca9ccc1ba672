/**
 * Command of `npm start`: runs a deployment on this machine, sends mixed requests to it and prints a report.
 *
 * @module
 */
import type { CallerRequest, CallerResult } from './caller.ts'
import type { Cluster } from './cluster.ts'
import type { Deployment } from './deployments.ts'
import type { RunRecord } from './fake_target.ts'
import { randomBytes, randomUUID } from 'node:crypto'
import { setMaxListeners } from 'node:events'
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { command, flag, number, oneOf, option, optional, run } from 'cmd-ts'
import { build as buildHistogram } from 'hdr-histogram-js'
import { Agent } from 'undici'
import { sendAsCaller } from './caller.ts'
import { startCluster } from './cluster.ts'
import { DeploymentName, deployments } from './deployments.ts'
import { computeCallerAddress } from './loopback_addresses.ts'

const concurrency = 16
const uploadBytes = 256 * 1024
/** Time after the start of a drain within which the target may still get new requests, in milliseconds. */
const drainGraceMs = 3_000
const callerCount = 250
const connectionsPerCaller = 2
const progressSteps = 4
const usageExitCode = 2

const demo = command({
  name: 'npm start --',
  description: 'Runs a deployment on this machine with fakes of the platform and the targets',
  args: {
    json: flag({ long: 'json', description: 'Print the report as one line of JSON' }),
    requests: option({ type: optional(number), long: 'requests', description: 'Number of requests to send; without it the deployment runs until interrupted' }),
    deployment: option({ type: oneOf(Object.values(DeploymentName)), long: 'deployment', defaultValue: () => DeploymentName.Kutiyka, description: 'Deployment to run: kutiyka or trwsio' })
  },
  async handler ({ json, requests, deployment }) {
    if (requests !== undefined && !(Number.isInteger(requests) && requests > 0)) {
      console.error(`Invalid value of --requests: "${requests}" is not a positive integer`)
      process.exitCode = usageExitCode
      return
    }
    const interrupt = new AbortController()
    setMaxListeners(0, interrupt.signal)
    for (const signal of ['SIGINT', 'SIGTERM'] as const) process.on(signal, () => interrupt.abort(signal))
    try {
      await runDeployment({ deployment: deployments[deployment as DeploymentName], requests, json, signal: interrupt.signal })
    } catch (error) {
      if (!interrupt.signal.aborted) throw error
      if (requests !== undefined) process.exitCode = exitCodeBySignal[interrupt.signal.reason as InterruptSignal]
    }
  }
})

type InterruptSignal = 'SIGINT' | 'SIGTERM'
const exitCodeBySignal: Record<InterruptSignal, number> = { SIGINT: 130, SIGTERM: 143 }

/** Runs a deployment until all requests have ended, or until interrupted if no number of requests is given. */
async function runDeployment (options: { deployment: Deployment, requests: number | undefined, json: boolean, signal: AbortSignal }): Promise<void> {
  const { deployment, requests, signal } = options
  await using folder = await createLogFolder()
  await using cluster = await startCluster(deployment, { logFolder: folder.path, signal })
  const interrupted = new Promise<never>((_resolve, reject) => {
    signal.addEventListener('abort', () => reject(new Error(`Interrupted by ${signal.reason}`)))
  })
  if (requests === undefined) {
    printUsage(cluster, { deployment, logFolder: folder.path })
    await interrupted
    return
  }
  const report = await Promise.race([runRequests(cluster, { deployment, requests }), interrupted])
  if (options.json) console.log(JSON.stringify(report))
  else console.table(report)
}

async function createLogFolder (): Promise<{ path: string } & AsyncDisposable> {
  const path = await mkdtemp(join(tmpdir(), 'bilberryworks-logs-'))
  return { path, [Symbol.asyncDispose]: () => rm(path, { recursive: true }) }
}

function printUsage (cluster: Cluster, options: { deployment: Deployment, logFolder: string }): void {
  const [firstInstance] = cluster.instances
  const [orderService] = options.deployment.services
  for (const { settings, child } of cluster.instances) {
    console.log(`${settings.instance} (${settings.failureDomain}): callers http://${child.ready.callers}, operators http://${child.ready.operators}`)
  }
  console.log(`
Look up the entry instances of a service:
  curl -s 'http://${firstInstance!.child.ready.callers}/v1/services/${orderService.name}/entries?client=192.0.2.7'
Send a request to an entry instance:
  curl -i 'http://${firstInstance!.child.ready.callers}/services/${orderService.name}/menus/today'
Send an order that runs at most once, with the pin of an entry in the look-up response:
  curl -i -X POST -H 'Idempotency-Key: order-1' -H 'Bilberry-Pin: PIN' -d '{}' 'http://${firstInstance!.child.ready.callers}/services/${orderService.name}/orders'
Read the status through the operators' interface (token: ${cluster.token}):
  curl -s -H 'Authorization: Bearer ${cluster.token}' 'http://${firstInstance!.child.ready.operators}/v1/status'
The logs are in ${options.logFolder}. Interrupt (Ctrl-C) to stop the deployment.`)
}

/** Sends the requests; stops an instance after a third of them and drains a target after half of them. */
async function runRequests (cluster: Cluster, options: { deployment: Deployment, requests: number }): Promise<object> {
  await using agents = createAgents()
  const addresses = cluster.instances.map(instance => instance.child.ready.callers)
  const results: CallerResult[] = []
  const drainedTarget = cluster.targets[0]!.target
  let drainedAtMs = Infinity
  let nextIndex = 0
  let stopping: Promise<unknown> = Promise.resolve()

  async function sendNext (): Promise<void> {
    while (nextIndex < options.requests) {
      const index = nextIndex++
      if (index === Math.floor(options.requests / 3)) stopping = cluster.instances[3]!.child.stop('SIGTERM')
      if (index === Math.floor(options.requests / 2)) {
        cluster.setBehaviour(drainedTarget, { leaving: true })
        drainedAtMs = Date.now()
      }
      const callerIndex = index % callerCount
      const firstAddressIndex = callerIndex % addresses.length
      const instances = [...addresses.slice(firstAddressIndex), ...addresses.slice(0, firstAddressIndex)]
      const caller = { agent: agents.get(callerIndex), instances, client: computeCallerAddress(callerIndex) }
      results.push(await sendAsCaller(createRequest(options.deployment, index), caller))
      printProgress(results.length, options.requests)
    }
  }
  await Promise.all(Array.from({ length: concurrency }, sendNext))
  await stopping
  const runs = await cluster.collectRuns()
  return createReport(results, { runs, drainedTarget, drainedAtMs })
}

/** Prints the progress: after each request on a terminal, or in a few lines if standard error is no terminal. */
function printProgress (done: number, requests: number): void {
  const text = `${done}/${requests} requests`
  if (process.stderr.isTTY) process.stderr.write(done === requests ? `\r${text}\n` : `\r${text}`)
  else if (done === requests || done % Math.ceil(requests / progressSteps) === 0) console.error(text)
}

/** Creates an agent for each caller on first use; its connections come from an address that only this caller has. */
function createAgents (): { get: (caller: number) => Agent } & AsyncDisposable {
  const agents = new Map<number, Agent>()
  return {
    get (caller) {
      const existing = agents.get(caller)
      if (existing !== undefined) return existing
      const agent = new Agent({ connections: connectionsPerCaller, localAddress: computeCallerAddress(caller) })
      agents.set(caller, agent)
      return agent
    },
    async [Symbol.asyncDispose] () {
      await Promise.all([...agents.values()].map(agent => agent.destroy()))
    }
  }
}

function createRequest (deployment: Deployment, index: number): CallerRequest {
  const [orderService, uploadService] = deployment.services
  const order = randomUUID()
  switch (index % 5) {
    case 0: return { service: orderService.name, method: 'POST', path: '/orders', order, body: randomBytes(200), key: order }
    case 1: return { service: uploadService.name, method: 'PUT', path: `/uploads/${index}`, order, body: randomBytes(uploadBytes), key: order }
    default: return { service: orderService.name, method: 'GET', path: `/menus/${index}`, order, body: undefined, key: undefined }
  }
}

function createReport (results: CallerResult[], records: { runs: RunRecord[], drainedTarget: string, drainedAtMs: number }): object {
  const histogram = buildHistogram()
  results.forEach(result => histogram.recordValue(Math.round(result.elapsedMs)))
  const count = (outcome: string): number => results.filter(result => result.outcome === outcome).length
  const runsByOrder = new Map<string, number>()
  for (const run of records.runs) {
    if (run.method !== 'GET') runsByOrder.set(run.order, (runsByOrder.get(run.order) ?? 0) + 1)
  }
  return {
    requests: results.length,
    answered: count('answered'),
    notRun: count('not-run'),
    unknown: count('unknown'),
    ranTwice: [...runsByOrder.values()].filter(runs => runs > 1).length,
    brokenAnswers: results.filter(result => result.hasInvalidResponse).length,
    newWorkAfterDrain: records.runs.filter(run => run.target === records.drainedTarget && run.startedAtMs > records.drainedAtMs + drainGraceMs).length,
    p50Ms: histogram.getValueAtPercentile(50),
    p99Ms: histogram.getValueAtPercentile(99)
  }
}

await run(demo, process.argv.slice(2))
