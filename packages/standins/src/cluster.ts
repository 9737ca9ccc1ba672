/**
 * Runs a deployment on this machine: a platform, its targets and entry instances, each in processes of their own.
 *
 * @module
 */
import type { ChildProcess } from 'node:child_process'
import type { TargetRecord } from '@bilberryworks/steering'
import type { Settings } from 'bilberryd'
import type { Child } from './child.ts'
import type { CleanUp } from './clean_up.ts'
import type { Deployment } from './deployments.ts'
import type { RunRecord, StartTargetStandinOptions, TargetBehaviour } from './target_standin.ts'
import { createHash, randomBytes, randomUUID } from 'node:crypto'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { createRequire } from 'node:module'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { request } from 'undici'
import { startChild } from './child.ts'
import { createCleanUp } from './clean_up.ts'
import { createDocument, instanceCount, listFailureDomains } from './deployments.ts'

const targetsPerProcess = 8
const readyTimeoutMs = 20_000
const readyPollMs = 50

/** The addresses that a ready instance prints. */
export interface InstanceAddresses {
  callers: string
  operators: string
  peers: string
}

/** An entry instance of the cluster. */
export interface ClusterInstance {
  /** Its settings. */
  settings: Settings
  /** Its process. */
  child: Child<InstanceAddresses>
}

/** A running deployment. */
export interface Cluster extends AsyncDisposable {
  /** The entry instances. */
  instances: ClusterInstance[]
  /** The targets. */
  targets: TargetRecord[]
  /** Token of the operators' team. */
  token: string
  /** Processes of the targets. */
  targetProcesses: ChildProcess[]
  /** Starts a new incarnation of an instance whose process has ended, and waits until it is ready. */
  restartInstance (index: number): Promise<void>
  /** Changes how a target behaves. */
  setBehaviour (target: string, behaviour: Partial<TargetBehaviour>): void
  /** Collects what all targets recorded. */
  collectRuns (): Promise<RunRecord[]>
  /** Calls the operators' interface of an instance. */
  callOperators (index: number, call: OperatorCall): Promise<{ status: number, body: unknown }>
}

/** A call to the operators' interface. */
export interface OperatorCall {
  /** HTTP method. */
  method: 'GET' | 'PUT'
  /** Path with its leading slash. */
  path: string
  /** Header fields beside the token. */
  headers?: Record<string, string>
  /** Body, sent as JSON. */
  body?: unknown
}

/**
 * Starts a deployment.
 *
 * @param deployment The deployment
 * @returns The cluster; dispose it to end all its processes
 */
export async function startCluster (deployment: Deployment): Promise<Cluster> {
  const stack = createCleanUp()
  try {
    return await startProcesses(deployment, stack)
  } catch (error) {
    await stack[Symbol.asyncDispose]()
    throw error
  }
}

async function startProcesses (deployment: Deployment, stack: CleanUp): Promise<Cluster> {
  const platform = stack.add(await startChild<{ url: string }>(locateScript('main_platform.js'), []))
  const targetChildren = await Promise.all(groupTargets(deployment).map(async group => {
    return stack.add(await startChild<{ targets: TargetRecord[] }>(locateScript('main_targets.js'), [JSON.stringify(group)]))
  }))
  const targets = targetChildren.flatMap(child => child.ready.targets)
  await request(`${platform.ready.url}/machines`, { method: 'PUT', body: JSON.stringify({ instances: [], targets }) })

  const folder = await mkdtemp(join(tmpdir(), 'bilberryworks-'))
  stack.add({ [Symbol.asyncDispose]: () => rm(folder, { recursive: true }) })
  const token = randomBytes(24).toString('base64url')
  const all = createSettings(deployment, { platformUrl: platform.ready.url, token })
  const instances = await Promise.all(all.map(async settings => {
    const file = join(folder, `${settings.instance}.json`)
    await writeFile(file, JSON.stringify(settings))
    const child = stack.add(await startChild<InstanceAddresses>(locateDaemon(), ['--settings', file]))
    return { settings, child }
  }))
  const cluster: Cluster = {
    instances,
    targets,
    token,
    targetProcesses: targetChildren.map(child => child.process),
    async restartInstance (index) {
      const file = join(folder, `${instances[index]!.settings.instance}.json`)
      instances[index]!.child = stack.add(await startChild<InstanceAddresses>(locateDaemon(), ['--settings', file]))
      await waitUntilReady(cluster, deployment)
    },
    setBehaviour (target, behaviour) {
      const index = targetChildren.findIndex(child => child.ready.targets.some(record => record.target === target))
      targetChildren[index]?.process.send({ kind: 'behave', target, behaviour })
    },
    async collectRuns () {
      return (await Promise.all(targetChildren.map(askRuns))).flat()
    },
    async callOperators (index, call) {
      const answer = await request(`http://${instances[index]!.child.ready.operators}${call.path}`, {
        method: call.method,
        headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json', ...call.headers },
        body: call.body === undefined ? null : JSON.stringify(call.body)
      })
      const text = await answer.body.text()
      return { status: answer.statusCode, body: text === '' ? undefined : JSON.parse(text) }
    },
    async [Symbol.asyncDispose] () {
      await stack[Symbol.asyncDispose]()
    }
  }
  for (const service of deployment.services) await submitFirstDocument(cluster, createDocument(deployment, service))
  await waitUntilReady(cluster, deployment)
  return cluster
}

async function submitFirstDocument (cluster: Cluster, document: { service: string }): Promise<void> {
  const headers = { 'if-none-match': '*', 'submission-id': randomUUID() }
  const reply = await cluster.callOperators(0, { method: 'PUT', path: `/v1/documents/${document.service}`, headers, body: document })
  if (reply.status !== 201) throw new Error(`Document of "${document.service}" was not accepted: ${JSON.stringify(reply)}`)
}

async function waitUntilReady (cluster: Cluster, deployment: Deployment): Promise<void> {
  const deadlineMs = performance.now() + readyTimeoutMs
  for (const index of cluster.instances.keys()) {
    for (;;) {
      // An instance that is being restarted takes no connection.
      const reply = await cluster.callOperators(index, { method: 'GET', path: '/v1/status' }).catch(() => undefined)
      const status = reply?.body as { ready: boolean, revisions: Record<string, number>, instances: unknown[] } | undefined
      if (status?.ready === true && Object.keys(status.revisions).length === deployment.services.length && status.instances.length === instanceCount) break
      if (performance.now() > deadlineMs) throw new Error(`Instance ${index} is not ready: ${JSON.stringify(status)}`)
      await new Promise(resolve => setTimeout(resolve, readyPollMs))
    }
  }
}

async function askRuns (child: Child<unknown>): Promise<RunRecord[]> {
  return new Promise(resolve => {
    child.process.once('message', message => resolve((message as { runs: RunRecord[] }).runs))
    child.process.send({ kind: 'report' })
  })
}

function groupTargets (deployment: Deployment): StartTargetStandinOptions[][] {
  const domains = listFailureDomains(deployment)
  const all = deployment.services.flatMap(service => Array.from({ length: service.targets }, (_, index) => {
    return { target: `${service.name}-${index}`, service: service.name, slots: service.slots, ...domains[index % domains.length]! }
  }))
  const groups: StartTargetStandinOptions[][] = []
  for (let start = 0; start < all.length; start += targetsPerProcess) groups.push(all.slice(start, start + targetsPerProcess))
  return groups
}

function createSettings (deployment: Deployment, shared: { platformUrl: string, token: string }): Settings[] {
  const domains = listFailureDomains(deployment)
  const peerKey = randomBytes(24).toString('base64url')
  const listen = { host: '127.0.0.1', port: 0 }
  return Array.from({ length: instanceCount }, (_, index) => {
    const { failureDomain, region } = domains[index % domains.length]!
    return {
      instance: `entry-${index}`,
      failureDomain,
      region,
      platformUrl: shared.platformUrl,
      listen: { callers: listen, operators: listen, peers: listen },
      peerKeys: [peerKey],
      seedPeers: [],
      tokens: [{ name: 'demonstration', team: 'operations', sha256: createHash('sha256').update(shared.token).digest('hex') }],
      lookUpTtlSeconds: 2,
      pollMs: 500,
      heartbeatMs: 1_000,
      longestDispatchMs: 5_000,
      stopLimitMs: 60_000
    }
  })
}

/**
 * Locates a compiled script of this package.
 *
 * @param name Name of its file
 * @returns Its path
 */
export function locateScript (name: string): string {
  return fileURLToPath(new URL(name, import.meta.url))
}

/**
 * Locates the compiled daemon.
 *
 * @returns Its path
 */
export function locateDaemon (): string {
  return join(createRequire(import.meta.url).resolve('bilberryd'), '..', 'main.js')
}
