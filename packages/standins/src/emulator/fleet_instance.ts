/**
 * An entry instance of a simulated fleet: the product's deciding parts on simulated connections.
 *
 * @module
 */
import type { EntrySettings } from '@bilberryworks/steering'
import type { EntryLog, LogFields } from 'bilberryd'
import type { Endpoint, ReceivedRequest } from './fleet_connection.ts'
import type { FleetPool } from './fleet_pool.ts'
import type { FleetInstance, FleetWorld } from './fleet_world.ts'
import { ListeningState } from '@bilberryworks/targets'
import { createLifeCycle } from '@bilberryworks/steering'
import { createEntryComponents, createEntryMetrics, EntryGauge } from 'bilberryd'
import { createFakeCall } from './fake_call.ts'
import { sendHeartbeats, startHeartbeats } from './fleet_heartbeats.ts'
import { EndpointState, LinkState } from './fleet_connection.ts'
import { createFleetPool } from './fleet_pool.ts'
import { applySnapshot, firstTargetPort } from './fleet_store.ts'
import { parseFields } from './fleet_target.ts'
import { computeLatencyMs, fleetBounds, fleetService, FleetMutant, getRegion } from './fleet_world.ts'

const connectTimeoutMs = 600
const peerConnectTimeoutMs = 350
const maintenanceMs = 250
const restartMs = 800
const maxRelayed = 256
/** Share of the relayed requests that a mutant delivers twice. */
const resentShare = 0.05
const manyRetries = 100_000
const namePrefix = 'entry-'

/**
 * Starts an instance, or starts it again.
 *
 * @param world The fleet
 * @param index Number of the instance
 */
export function startInstance (world: FleetWorld, index: number): void {
  const { clock, plan, getRandom, mutant } = world
  const name = `${namePrefix}${index}`
  const failureDomain = plan.failureDomains[index % plan.failureDomains.length]!
  const createPool = (options: Pick<Parameters<typeof createFleetPool>[0], 'connectTimeoutMs' | 'findEndpoint' | 'onConnectionEvent'>, getDomain: (id: string) => string): FleetPool => createFleetPool({
    ...options,
    owner: name,
    clock,
    getLink: id => world.getLink(name, id),
    getLatencyMs: id => computeLatencyMs(failureDomain, getDomain(id))
  })
  const peerPool = createPool({ connectTimeoutMs: peerConnectTimeoutMs, findEndpoint: id => mutant === FleetMutant.NoRelay ? undefined : findPeerEndpoint(world, id) }, id => world.instances.get(id)?.settings.failureDomain ?? '')
  const settings = createSettings(name, failureDomain, world)
  let pool!: FleetPool
  const components = createEntryComponents({
    settings,
    startedAtMs: Math.round(clock.getNowMs()) + 1,
    log: createLog(world, name),
    metrics: createEntryMetrics({ readers: Object.fromEntries(Object.values(EntryGauge).map(gauge => [gauge, () => 0])) as Record<EntryGauge, () => number> }),
    createPool (onConnectionEvent) {
      pool = createPool({ connectTimeoutMs, findEndpoint: id => world.targets.get(id), onConnectionEvent }, id => world.targets.get(id)?.failureDomain ?? '')
      return mutant === FleetMutant.IgnorePauses || mutant === FleetMutant.IgnoreLeaving ? dropFields(pool, mutant) : pool
    },
    peerPool,
    relays: { isEnabled: true, maxRelayed },
    runAfterReads: run => run(),
    checkListening: address => checkTarget(world, { instance: name, failureDomain, port: address.port }),
    life: createLifeCycle({ graceMs: fleetBounds.graceMs }),
    isOpen: () => true,
    onStateChange: () => {},
    sendNow: () => sendHeartbeats(world, instance, true),
    getNowMs: clock.getNowMs,
    getRandom
  })
  const instance: FleetInstance = { name, settings, components, pool, peerPool, run: (world.instances.get(name)?.run ?? 0) + 1, isUp: true }
  world.instances.set(name, instance)
  applySnapshot(world, instance)
  for (const other of world.instances.values()) if (other !== instance) components.view.addReported(other.components.getHeartbeat(), clock.getNowMs())
  components.view.markComplete()
  startHeartbeats(world, instance)
  scheduleMaintenance(world, instance)
}

/**
 * Kills an instance, which starts again after a short time.
 *
 * @param world The fleet
 * @param name Name of the instance
 */
export function stopInstance (world: FleetWorld, name: string): void {
  const { clock, record } = world
  const instance = world.instances.get(name)!
  if (!instance.isUp) return
  record.kills.set(name, [...record.kills.get(name) ?? [], clock.getNowMs()])
  instance.isUp = false
  instance.pool.closeAll()
  instance.peerPool.closeAll()
  for (const other of world.instances.values()) other.peerPool.failConnections(name)
  for (const attempt of record.attempts) if (attempt.instance === name && attempt.endedAtMs === Infinity) attempt.endedAtMs = clock.getNowMs()
  clock.schedule(restartMs, () => startInstance(world, Number(name.slice(namePrefix.length))))
}

/**
 * Records that an instance has passed on the response of a leaving target, if it is one.
 *
 * @param world The fleet
 * @param instance Name of the instance
 * @param fields Header fields of the response
 */
export function recordPassedLeaving (world: FleetWorld, instance: string, fields: Record<string, string>): void {
  const [target, run] = fields['x-server-signature']?.split(' ') ?? []
  if (fields['server-leaving'] !== undefined && target !== undefined) world.record.passedLeavings.push({ instance, target, run: Number(run), atMs: world.clock.getNowMs() })
}

function scheduleMaintenance (world: FleetWorld, instance: FleetInstance): void {
  world.clock.schedule(maintenanceMs * (0.95 + 0.1 * world.getRandom()), () => {
    if (!instance.isUp) return
    instance.components.runMaintenance(world.clock.getNowMs())
    scheduleMaintenance(world, instance)
  })
}

/** Creates a log that records the judgements on paths, and the lines of attempts that are traced. */
function createLog (world: FleetWorld, name: string): EntryLog {
  const { clock, record, traceId } = world
  const write = (event: string, fields: LogFields): void => {
    const isVerdict = event === 'targets_unreached' || event === 'targets_reached'
    if (isVerdict) {
      const failureDomain = String(fields['failureDomain'])
      record.verdicts.push({ instance: name, failureDomain, isLost: event === 'targets_unreached', reachableForMs: computeReachableMs(world, name, failureDomain), atMs: clock.getNowMs() })
    }
    if (traceId !== undefined && (isVerdict || event === 'targets_silent' || String(fields['id'] ?? '').startsWith(traceId))) record.trace.push(`${clock.getNowMs().toFixed(1)} ${name} ${event} ${JSON.stringify(fields)}`)
  }
  return { info: write, warn: write, takeSample: () => false, countDropped: () => 0, countLost: () => 0 }
}

function computeReachableMs (world: FleetWorld, instance: string, failureDomain: string): number {
  const reachable = [...world.targets.values()].filter(target => target.failureDomain === failureDomain && target.getState() === EndpointState.Listening && world.getLink(instance, target.id) === LinkState.Open)
  return Math.max(0, ...reachable.map(target => world.clock.getNowMs() - Math.max(target.getListeningSinceMs(), world.getOpenSinceMs(instance, target.id))))
}

function createSettings (name: string, failureDomain: string, { plan, mutant }: FleetWorld): EntrySettings {
  const address = { host: name, port: 1 }
  return {
    instance: name,
    failureDomain,
    region: getRegion(failureDomain),
    listen: { callers: address, lookUps: address, readiness: address, peers: address },
    heartbeatPort: 1,
    seeds: [],
    regions: new Map(plan.failureDomains.map(each => [each, getRegion(each)])),
    store: address,
    bounds: { ...fleetBounds, coldSlack: plan.cold?.slack ?? fleetBounds.coldSlack, ...mutant === FleetMutant.NoRetryBudget ? { retrySlack: manyRetries } : {} }
  }
}

/** The listener of an instance for requests that others relay. */
function findPeerEndpoint (world: FleetWorld, name: string): Endpoint | undefined {
  const instance = world.instances.get(name)
  if (instance === undefined) return undefined
  return {
    getState: () => instance.isUp ? EndpointState.Listening : EndpointState.Refusing,
    getRun: () => instance.run,
    receive: request => handleRelayed(world, instance, request)
  }
}

function handleRelayed (world: FleetWorld, instance: FleetInstance, request: ReceivedRequest): void {
  const { record, mutant, clock } = world
  const [method = '', path = ''] = request.head.split('\r\n', 1)[0]!.split(' ')
  const fields = parseFields(request.head)
  record.relayed++
  record.heldMs.set(fields['x-request-id']!, clock.getNowMs() - request.sentAtMs)
  if (mutant === FleetMutant.RenewTime) fields['x-timeout-ms'] = '9000'
  const [origin, relayedService, targetsReached] = fields['bilberry-relay']!.split(' ')
  const rawHeaders = Object.entries(fields).flat()
  const call = createFakeCall({
    method,
    path,
    rawHeaders,
    onEnd (response) {
      if (!instance.isUp) return
      recordPassedLeaving(world, instance.name, response.fields)
      if (response.status === undefined) request.reset()
      else request.respond({ status: response.status, rawHeaders: mutant === FleetMutant.FalseNotRun ? claimNotRun(response.rawHeaders) : response.rawHeaders, bodyBytes: response.bodyBytes })
    }
  })
  request.onAbort = call.abort
  if (mutant === FleetMutant.ResendLost && world.getRandom() < resentShare) sendAgain(world, { method, path, rawHeaders })
  instance.components.requestHandler.handleRequest(call.message, call.response, { instance: decodeURIComponent(origin!), service: decodeURIComponent(relayedService!), targetsReached: Number(targetsReached), version: Number(fields['bilberry-relay-version'] ?? 0) })
}

/** Hands a request over to any other instance as well. */
function sendAgain (world: FleetWorld, call: { method: string, path: string, rawHeaders: string[] }): void {
  const instances = [...world.instances.values()]
  const other = instances[Math.floor(world.getRandom() * instances.length)]!
  const { message, response } = createFakeCall({ ...call, onEnd: () => {} })
  if (other.isUp) other.components.requestHandler.handleRequest(message, response, { instance: `${namePrefix}0`, service: fleetService, targetsReached: 0, version: 0 })
}

/** Removes from responses what a mutant does not read. */
function dropFields (pool: FleetPool, mutant: FleetMutant): FleetPool {
  const dropped = mutant === FleetMutant.IgnorePauses ? 'retry-after' : 'server-leaving'
  return {
    ...pool,
    send: (target, exchange) => pool.send(target, { ...exchange, onHead: head => exchange.onHead({ ...head, fields: { ...head.fields, [dropped]: undefined } }) })
  }
}

/** Changes refusals of unknown outcome into ones of requests that have not run. */
function claimNotRun (rawHeaders: string[]): string[] {
  return rawHeaders.map((text, index) => index % 2 === 1 && rawHeaders[index - 1]!.toLowerCase() === 'bilberry-outcome' ? 'not-run' : text)
}

/** Tells after a round trip whether a target listens, as the address of its row leads to it. */
function checkTarget ({ clock, targets, getLink }: FleetWorld, { instance, failureDomain, port }: { instance: string, failureDomain: string, port: number }): Promise<ListeningState> {
  const target = targets.get(`t${port - firstTargetPort}`)!
  return new Promise(resolve => {
    clock.schedule(2 * computeLatencyMs(failureDomain, target.failureDomain), () => {
      const link = getLink(instance, target.id)
      const state = link === LinkState.Open || link === LinkState.RefusingNew ? target.getState() : EndpointState.Dark
      if (state === EndpointState.Dark) resolve(ListeningState.Unknown)
      else resolve(state === EndpointState.Listening && link === LinkState.Open ? ListeningState.Listening : ListeningState.Refused)
    })
  })
}
