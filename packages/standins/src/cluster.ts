/**
 * Runs a deployment on this machine in several processes: a fake platform, fake targets, a link relay and entry
 * instances.
 *
 * @module
 */
import type { ChildProcess } from 'node:child_process'
import type { TargetRecord } from '@bilberryworks/steering'
import type { Settings } from 'bilberryd'
import type { Child, StartChildOptions } from './child.ts'
import type { CleanupStack } from '@bilberryworks/steering'
import type { Deployment } from './deployments.ts'
import type { NetworkLocation } from './loopback_addresses.ts'
import type { PlatformCommand, PlatformFaults } from './main_platform.ts'
import type { RelayProcess } from './relay_process.ts'
import type { EndpointCounts } from './site_store.ts'
import type { RunRecord, StartFakeTargetOptions, TargetBehaviour } from './fake_target.ts'
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
import { locateMachine } from './loopback_addresses.ts'
import { startRelay } from './relay_process.ts'

const targetsPerProcess = 8
/** Index of the first target machine of a failure domain; machines of entry instances and the platform come before. */
const firstTargetMachine = 10
/** Largest number of entry instances in one region, and thus of senders that share a link in one direction. */
const maxInstancesPerRegion = 3
const readyTimeoutMs = 30_000
const readyPollMs = 50
const platformRoute = 'platform'

/** Addresses that an instance prints when it is ready, each as `host:port`. */
export interface InstanceAddresses {
  callers: string
  operators: string
  peers: string
  /** Addresses that the listeners are bound to; the relay forwards connections to them. */
  listening: { callers: string, operators: string, peers: string }
}

/** An entry instance of a cluster. */
export interface ClusterInstance {
  /** Settings of the instance. */
  settings: Settings
  /** Process of the instance; replaced by each restart. */
  child: Child<InstanceAddresses>
}

/** A running deployment. */
export interface Cluster extends AsyncDisposable {
  /** Entry instances of the deployment. */
  instances: ClusterInstance[]
  /** Targets of all services, with their addresses at the relay. */
  targets: TargetRecord[]
  /** Relay that adds latencies and limits the bandwidth of links. */
  relay: RelayProcess
  /** Token of the operators' team, for the operators' interface. */
  token: string
  /** Processes that run the targets, up to 8 targets each. */
  targetProcesses: ChildProcess[]
  /** Starts a new incarnation of an instance whose process has exited, and waits until all instances are ready. */
  restartInstance (index: number): Promise<void>
  /** Sets faults and delays of the platform; absent fields keep their values. */
  setPlatformFaults (faults: Partial<PlatformFaults>): Promise<void>
  /** Reads the traffic counts of the platform since its start. */
  countPlatformCalls (): Promise<EndpointCounts>
  /** Changes the behaviour of a target; absent fields keep their values. */
  setBehaviour (target: string, behaviour: Partial<TargetBehaviour>): void
  /** Collects the requests that all targets recorded. */
  collectRuns (): Promise<RunRecord[]>
  /** Calls the operators' interface of an instance, authorized by the token. */
  callOperators (index: number, call: OperatorCall): Promise<{ status: number, body: unknown }>
}

/** A call of the operators' interface. */
export interface OperatorCall {
  /** HTTP method. */
  method: 'GET' | 'PUT'
  /** Path with its leading slash. */
  path: string
  /** Header fields to add to the authorization and the content type. */
  headers?: Record<string, string>
  /** Request body, sent as JSON; none by default. */
  body?: unknown
}

/** Options of {@linkcode startCluster}. */
export interface StartClusterOptions {
  /** Folder for the log files of all processes; by default they log to the standard error of this process. */
  logFolder?: string
  /** Signal that kills all processes when aborted. */
  signal?: AbortSignal
}

/**
 * Starts all processes of a deployment, submits the first document of each service and waits until all instances are
 * ready.
 *
 * @param deployment Deployment to run
 * @param options Log folder and abort signal
 * @returns The cluster; dispose it to kill all its processes
 * @throws {Error} If a process exits before it is ready, a document is not accepted, or the instances are not ready
 * within 30 s
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
  const createChildOptions = (name: string): StartChildOptions => ({
    logFile: options.logFolder === undefined ? undefined : join(options.logFolder, `${name}.log`),
    signal: options.signal
  })
  const instanceLocations = listInstanceLocations(deployment)
  const groups = groupTargets(deployment)
  const [relay, platform, ...targetChildren] = await Promise.all([
    startRelay(locateScript('main_relay.js'), deployment, createChildOptions('relay')).then(stack.add),
    startChild<{ url: string }>(locateScript('main_platform.js'), [], createChildOptions('platform')).then(stack.add),
    ...groups.map(async (group, index) => {
      return stack.add(await startChild<{ targets: TargetRecord[] }>(locateScript('main_targets.js'), [JSON.stringify(group)], createChildOptions(`targets-${index}`)))
    })
  ])
  const routes = await relay.openRoutes(listRoutes(deployment, { groups, instanceLocations }))
  relay.connectRoute(platformRoute, new URL(platform.ready.url).host)
  const targets = targetChildren.flatMap(child => child.ready.targets).map(record => {
    relay.connectRoute(record.target, record.address)
    return { ...record, address: routes[record.target]! }
  })
  await sendPlatformCommand(platform, { kind: 'list', targets })

  const folder = await mkdtemp(join(tmpdir(), 'bilberryworks-'))
  stack.add({ [Symbol.asyncDispose]: () => rm(folder, { recursive: true }) })
  const token = randomBytes(24).toString('base64url')
  const allSettings = createSettings(deployment, { platformUrl: `http://${routes[platformRoute]}`, regions: Object.fromEntries(listFailureDomains(deployment).map(domain => [domain.failureDomain, domain.region])), token, routes, instanceLocations })
  const startInstance = async (settings: Settings): Promise<Child<InstanceAddresses>> => {
    const file = join(folder, `${settings.instance}.json`)
    await writeFile(file, JSON.stringify(settings))
    const child = stack.add(await startChild<InstanceAddresses>(locateDaemon(), ['--settings', file], createChildOptions(settings.instance)))
    registerInstance(relay, settings.instance, child)
    return child
  }
  const instances = await Promise.all(allSettings.map(async settings => ({ settings, child: await startInstance(settings) })))
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
      return (await Promise.all(targetChildren.map(readRuns))).flat()
    },
    async callOperators (index, call) {
      const response = await request(`http://${instances[index]!.child.ready.operators}${call.path}`, {
        method: call.method,
        headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json', ...call.headers },
        body: call.body === undefined ? null : JSON.stringify(call.body)
      })
      const text = await response.body.text()
      return { status: response.statusCode, body: text === '' ? undefined : JSON.parse(text) }
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
 * Waits until an instance owns slots of targets in its failure domain.
 *
 * An instance that starts after others can be ready before the fallback owner of its failure domain has transferred the
 * targets to it.
 *
 * @param instance An instance that has started
 * @throws {Error} If the instance does not own such slots within 30 s
 */
export async function waitUntilOwningTargets (instance: ClusterInstance): Promise<void> {
  const deadlineMs = performance.now() + readyTimeoutMs
  const ownsSlotsPattern = new RegExp(`^bilberry_fed_slots\\{failure_domain="${instance.settings.failureDomain}"\\} [1-9]`, 'm')
  for (;;) {
    const response = await request(`http://${instance.child.ready.operators}/metrics`)
    if (ownsSlotsPattern.test(await response.body.text())) return
    if (performance.now() > deadlineMs) throw new Error(`Instance "${instance.settings.instance}" did not take ownership of target slots in "${instance.settings.failureDomain}" within 30 s`)
    await new Promise(resolve => setTimeout(resolve, readyPollMs))
  }
}

async function submitFirstDocument (cluster: Cluster, document: { service: string }): Promise<void> {
  const headers = { 'if-none-match': '*', 'submission-id': randomUUID() }
  const reply = await cluster.callOperators(0, { method: 'PUT', path: `/v1/documents/${document.service}`, headers, body: document })
  if (reply.status !== 201) throw new Error(`First document of service "${document.service}" was not accepted: ${JSON.stringify(reply)}`)
}

async function waitUntilReady (cluster: Cluster, deployment: Deployment): Promise<void> {
  const deadlineMs = performance.now() + readyTimeoutMs
  for (const index of cluster.instances.keys()) {
    for (;;) {
      // An instance that is being restarted refuses connections.
      const reply = await cluster.callOperators(index, { method: 'GET', path: '/v1/status' }).catch(() => undefined)
      const status = reply?.body as { ready: boolean, revisions: Record<string, number>, instances: unknown[] } | undefined
      if (status?.ready === true && Object.keys(status.revisions).length === deployment.services.length && status.instances.length === instanceCount) break
      if (performance.now() > deadlineMs) throw new Error(`Instance ${index} was not ready within 30 s; last status: ${JSON.stringify(status)}`)
      await new Promise(resolve => setTimeout(resolve, readyPollMs))
    }
  }
}

async function readRuns (child: Child<unknown>): Promise<RunRecord[]> {
  const { runs } = await sendCommand<{ runs: RunRecord[] }>(child, { kind: 'report' })
  return runs
}

/**
 * Sends a command to the process of a fake platform.
 *
 * @param child Process that runs `main_platform.js`
 * @param command Command to execute
 * @returns Traffic counts of the platform since its start
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

/** Makes the relay forward connections to an instance, and refuse them once its process has exited. */
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

function listRoutes (deployment: Deployment, locations: { groups: LocatedTarget[][], instanceLocations: NetworkLocation[] }): Record<string, NetworkLocation> {
  const [storeDomain] = listFailureDomains(deployment)
  const routes: Record<string, NetworkLocation> = { [platformRoute]: locateMachine(deployment.regions, storeDomain!.failureDomain, firstTargetMachine - 1) }
  for (const target of locations.groups.flat()) routes[target.target] = { failureDomain: target.failureDomain, region: target.region, host: target.host }
  for (const [index, location] of locations.instanceLocations.entries()) {
    routes[formatInstanceRoute(formatInstanceName(index), 'callers')] = location
    routes[formatInstanceRoute(formatInstanceName(index), 'peers')] = location
  }
  return routes
}

function formatInstanceName (index: number): string {
  return `entry-${index}`
}

function listInstanceLocations (deployment: Deployment): NetworkLocation[] {
  const domains = listFailureDomains(deployment)
  return Array.from({ length: instanceCount }, (_, index) => {
    return locateMachine(deployment.regions, domains[index % domains.length]!.failureDomain, Math.floor(index / domains.length))
  })
}

type LocatedTarget = StartFakeTargetOptions & { host: string }

function groupTargets (deployment: Deployment): LocatedTarget[][] {
  const domains = listFailureDomains(deployment)
  let targetNumber = 0
  const allTargets = deployment.services.flatMap(service => Array.from({ length: service.targets }, (_, index) => {
    const location = locateMachine(deployment.regions, domains[index % domains.length]!.failureDomain, firstTargetMachine + Math.floor(targetNumber++ / domains.length))
    return { target: `${service.name}-${index}`, service: service.name, slots: service.slots, ...location }
  }))
  const groups: LocatedTarget[][] = []
  for (let start = 0; start < allTargets.length; start += targetsPerProcess) groups.push(allTargets.slice(start, start + targetsPerProcess))
  return groups
}

interface SharedSettings {
  platformUrl: string
  regions: Record<string, string>
  token: string
  routes: Record<string, string>
  instanceLocations: NetworkLocation[]
}

function createSettings (deployment: Deployment, shared: SharedSettings): Settings[] {
  const peerKey = randomBytes(24).toString('base64url')
  return shared.instanceLocations.map((location, index) => {
    const instance = formatInstanceName(index)
    const listen = { host: location.host, port: 0 }
    return {
      instance,
      failureDomain: location.failureDomain,
      region: location.region,
      platformUrl: shared.platformUrl,
      regions: shared.regions,
      listen: { callers: listen, operators: listen, peers: listen },
      advertise: { callers: shared.routes[formatInstanceRoute(instance, 'callers')]!, peers: shared.routes[formatInstanceRoute(instance, 'peers')]! },
      localAddress: location.host,
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
  return regions.flatMap((from, index) => regions.slice(index + 1).map(to => ({ regions: [from, to] as [string, string], bitsPerSecond: linkBitsPerSecond, senders: maxInstancesPerRegion })))
}

/**
 * Locates a compiled script of this package.
 *
 * @param name File name of the script
 * @returns Path of the script
 */
export function locateScript (name: string): string {
  return fileURLToPath(new URL(name, import.meta.url))
}

/**
 * Locates the compiled main script of the daemon `bilberryd`.
 *
 * @returns Path of the script
 */
export function locateDaemon (): string {
  return join(createRequire(import.meta.url).resolve('bilberryd'), '..', 'main.js')
}
