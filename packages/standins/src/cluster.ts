/**
 * Runs a deployment on this machine: a platform, its targets and entry instances, each in processes of their own.
 *
 * @module
 */
import type { ChildProcess } from 'node:child_process'
import type { TargetRecord } from '@bilberryworks/steering'
import type { Settings } from 'bilberryd'
import type { Child, StartChildOptions } from './child.ts'
import type { CleanupStack } from '@bilberryworks/steering'
import type { Deployment } from './deployments.ts'
import type { Place } from './places.ts'
import type { PlatformCommand, PlatformFaults } from './main_platform.ts'
import type { RelayProcess } from './relay_process.ts'
import type { EndpointCounts } from './site_store.ts'
import type { RunRecord, StartTargetStandinOptions, TargetBehaviour } from './target_standin.ts'
import { createHash, randomBytes, randomUUID } from 'node:crypto'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { createRequire } from 'node:module'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { request } from 'undici'
import { startChild } from './child.ts'
import { createCleanupStack } from '@bilberryworks/steering'
import { createDocument, instanceCount, listFailureDomains } from './deployments.ts'
import { locateMachine } from './places.ts'
import { startRelay } from './relay_process.ts'

const targetsPerProcess = 8
const firstTargetNumber = 10
/** Largest number of entry instances in one region. */
const sendersPerRegion = 3
const readyTimeoutMs = 30_000
const readyPollMs = 50
const platformRoute = 'platform'

/** The addresses that a ready instance prints. */
export interface InstanceAddresses {
  callers: string
  operators: string
  peers: string
  /** Addresses that the listeners are bound to, behind the relay. */
  listening: { callers: string, operators: string, peers: string }
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
  /** The relay that adds latencies and bounds links. */
  relay: RelayProcess
  /** Token of the operators' team. */
  token: string
  /** Processes of the targets. */
  targetProcesses: ChildProcess[]
  /** Starts a new incarnation of an instance whose process has ended, and waits until it is ready. */
  restartInstance (index: number): Promise<void>
  /** Injects faults into the platform. */
  setPlatformFaults (faults: Partial<PlatformFaults>): Promise<void>
  /** Counts what the platform carried since its start. */
  countPlatformCalls (): Promise<EndpointCounts>
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

/** Options of {@linkcode startCluster}. */
export interface StartClusterOptions {
  /** Folder for the logs of all processes; standard error of this process by default. */
  logFolder?: string
  /** Kills all processes when aborted. */
  signal?: AbortSignal
}

/**
 * Starts a deployment.
 *
 * @param deployment The deployment
 * @param options Where logs go and what ends the processes
 * @returns The cluster; dispose it to end all its processes
 */
export async function startCluster (deployment: Deployment, options: StartClusterOptions = {}): Promise<Cluster> {
  const stack = createCleanupStack()
  try {
    return await startProcesses(deployment, stack, options)
  } catch (error) {
    await stack[Symbol.asyncDispose]()
    throw error
  }
}

async function startProcesses (deployment: Deployment, stack: CleanupStack, options: StartClusterOptions): Promise<Cluster> {
  const createOptions = (name: string): StartChildOptions => ({
    logFile: options.logFolder === undefined ? undefined : join(options.logFolder, `${name}.log`),
    signal: options.signal
  })
  const instancePlaces = listInstancePlaces(deployment)
  const groups = groupTargets(deployment)
  const [relay, platform, ...targetChildren] = await Promise.all([
    startRelay(locateScript('main_relay.js'), deployment, createOptions('relay')).then(stack.add),
    startChild<{ url: string }>(locateScript('main_platform.js'), [], createOptions('platform')).then(stack.add),
    ...groups.map(async (group, index) => {
      return stack.add(await startChild<{ targets: TargetRecord[] }>(locateScript('main_targets.js'), [JSON.stringify(group)], createOptions(`targets-${index}`)))
    })
  ])
  const routes = await relay.openRoutes(listRoutes(deployment, { groups, instancePlaces }))
  relay.connectRoute(platformRoute, new URL(platform.ready.url).host)
  const targets = targetChildren.flatMap(child => child.ready.targets).map(record => {
    relay.connectRoute(record.target, record.address)
    return { ...record, address: routes[record.target]! }
  })
  await sendPlatformCommand(platform, { kind: 'list', targets })

  const folder = await mkdtemp(join(tmpdir(), 'bilberryworks-'))
  stack.add({ [Symbol.asyncDispose]: () => rm(folder, { recursive: true }) })
  const token = randomBytes(24).toString('base64url')
  const all = createSettings(deployment, { platformUrl: `http://${routes[platformRoute]}`, regions: Object.fromEntries(listFailureDomains(deployment).map(place => [place.failureDomain, place.region])), token, routes, instancePlaces })
  const startInstance = async (settings: Settings): Promise<Child<InstanceAddresses>> => {
    const file = join(folder, `${settings.instance}.json`)
    await writeFile(file, JSON.stringify(settings))
    const child = stack.add(await startChild<InstanceAddresses>(locateDaemon(), ['--settings', file], createOptions(settings.instance)))
    registerInstance(relay, settings.instance, child)
    return child
  }
  const instances = await Promise.all(all.map(async settings => ({ settings, child: await startInstance(settings) })))
  const cluster: Cluster = {
    instances,
    targets,
    relay,
    token,
    targetProcesses: targetChildren.map(child => child.process),
    async restartInstance (index) {
      const instance = instances[index]!
      instance.child = await startInstance(instance.settings)
      await waitUntilReady(cluster, deployment)
    },
    async setPlatformFaults (faults) {
      await sendPlatformCommand(platform, { kind: 'fault', faults })
    },
    countPlatformCalls: () => sendPlatformCommand(platform, { kind: 'count' }),
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

/**
 * Waits until an instance feeds targets of its own failure domain.
 *
 * An instance that starts later than the others is ready before the one that stood in for it has handed over.
 *
 * @param instance An instance that has started
 */
export async function waitUntilFeeding (instance: ClusterInstance): Promise<void> {
  const deadlineMs = performance.now() + readyTimeoutMs
  const line = new RegExp(`^bilberry_fed_slots\\{failure_domain="${instance.settings.failureDomain}"\\} [1-9]`, 'm')
  for (;;) {
    const answer = await request(`http://${instance.child.ready.operators}/metrics`)
    if (line.test(await answer.body.text())) return
    if (performance.now() > deadlineMs) throw new Error(`Instance "${instance.settings.instance}" feeds no target of "${instance.settings.failureDomain}"`)
    await new Promise(resolve => setTimeout(resolve, readyPollMs))
  }
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
  const { runs } = await sendCommand<{ runs: RunRecord[] }>(child, { kind: 'report' })
  return runs
}

/**
 * Steers a platform that runs as a process of its own.
 *
 * @param child The process of `main_platform.js`
 * @param command What it shall do
 * @returns What it carried since its start
 */
export async function sendPlatformCommand (child: Child<unknown>, command: PlatformCommand): Promise<EndpointCounts> {
  return sendCommand<EndpointCounts>(child, command)
}

async function sendCommand<T> (child: Child<unknown>, command: object): Promise<T> {
  return new Promise(resolve => {
    child.process.once('message', message => resolve(message as T))
    child.process.send(command)
  })
}

/** Sends connections on to an instance, and refuses them once its process has ended. */
function registerInstance (relay: RelayProcess, name: string, child: Child<InstanceAddresses>): void {
  for (const listener of ['callers', 'peers'] as const) {
    const route = formatInstanceRoute(name, listener)
    relay.connectRoute(route, child.ready.listening[listener])
    child.process.once('exit', () => relay.closeRoute(route))
  }
}

function formatInstanceRoute (name: string, listener: 'callers' | 'peers'): string {
  return `${name}/${listener}`
}

function listRoutes (deployment: Deployment, parts: { groups: TargetPlace[][], instancePlaces: Place[] }): Record<string, Place> {
  const [storeDomain] = listFailureDomains(deployment)
  const routes: Record<string, Place> = { [platformRoute]: locateMachine(deployment.regions, storeDomain!.failureDomain, firstTargetNumber - 1) }
  for (const target of parts.groups.flat()) routes[target.target] = { failureDomain: target.failureDomain, region: target.region, host: target.host }
  for (const [index, place] of parts.instancePlaces.entries()) {
    routes[formatInstanceRoute(formatInstanceName(index), 'callers')] = place
    routes[formatInstanceRoute(formatInstanceName(index), 'peers')] = place
  }
  return routes
}

function formatInstanceName (index: number): string {
  return `entry-${index}`
}

function listInstancePlaces (deployment: Deployment): Place[] {
  const domains = listFailureDomains(deployment)
  return Array.from({ length: instanceCount }, (_, index) => {
    return locateMachine(deployment.regions, domains[index % domains.length]!.failureDomain, Math.floor(index / domains.length))
  })
}

type TargetPlace = StartTargetStandinOptions & { host: string }

function groupTargets (deployment: Deployment): TargetPlace[][] {
  const domains = listFailureDomains(deployment)
  let number = 0
  const all = deployment.services.flatMap(service => Array.from({ length: service.targets }, (_, index) => {
    const place = locateMachine(deployment.regions, domains[index % domains.length]!.failureDomain, firstTargetNumber + Math.floor(number++ / domains.length))
    return { target: `${service.name}-${index}`, service: service.name, slots: service.slots, ...place }
  }))
  const groups: TargetPlace[][] = []
  for (let start = 0; start < all.length; start += targetsPerProcess) groups.push(all.slice(start, start + targetsPerProcess))
  return groups
}

interface SharedSettings {
  platformUrl: string
  regions: Record<string, string>
  token: string
  routes: Record<string, string>
  instancePlaces: Place[]
}

function createSettings (deployment: Deployment, shared: SharedSettings): Settings[] {
  const peerKey = randomBytes(24).toString('base64url')
  return shared.instancePlaces.map((place, index) => {
    const instance = formatInstanceName(index)
    const listen = { host: place.host, port: 0 }
    return {
      instance,
      failureDomain: place.failureDomain,
      region: place.region,
      platformUrl: shared.platformUrl,
      regions: shared.regions,
      listen: { callers: listen, operators: listen, peers: listen },
      advertise: { callers: shared.routes[formatInstanceRoute(instance, 'callers')]!, peers: shared.routes[formatInstanceRoute(instance, 'peers')]! },
      localAddress: place.host,
      peerKeys: [peerKey],
      seedPeers: [],
      tokens: [{ name: 'demonstration', team: 'operations', sha256: createHash('sha256').update(shared.token).digest('hex') }],
      links: listLinks(deployment),
      headersTimeoutMs: 10_000,
      bodyIdleTimeoutMs: 30_000,
      lookUpTtlSeconds: 2,
      pollMs: 500,
      heartbeatMs: 1_000,
      longestDispatchMs: 5_000,
      stopLimitMs: 60_000
    }
  })
}

function listLinks (deployment: Deployment): Settings['links'] {
  const { regions, linkBitsPerSecond } = deployment
  return regions.flatMap((from, index) => regions.slice(index + 1).map(to => ({ regions: [from, to] as [string, string], bitsPerSecond: linkBitsPerSecond, senders: sendersPerRegion })))
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
