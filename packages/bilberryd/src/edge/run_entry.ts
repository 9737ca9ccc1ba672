/**
 * Starts an entry instance that dispatches requests directly to any target, without target ownership, and shuts it down
 * gracefully.
 *
 * @module
 */
import type { EntrySettings, SocketAddress } from '@bilberryworks/steering'
import type { Server } from 'node:http'
import type { ConnectionEvent, TargetPool } from '@bilberryworks/targets'
import type { StoreClient } from '@bilberryworks/users-platform'
import type { EntryLog } from './entry_log.ts'
import type { EntryMetrics } from './entry_metrics.ts'
import type { EntryState } from './entry_state.ts'
import type { Dispatcher } from './dispatcher.ts'
import type { PeerHeartbeat, PeerView } from './peer_view.ts'
import type { ReachMonitor } from './reach_monitor.ts'
import { createServer } from 'node:http'
import { countOpenResponses } from '@bilberryworks/callers'
import { createCleanupStack, createPollSchedule, createWeightedRoundRobin } from '@bilberryworks/steering'
import { createTargetPool } from '@bilberryworks/targets'
import { createStoreClient, operatorTable, targetTable } from '@bilberryworks/users-platform'
import { applyCallerLimits, createCallerListener } from './caller_listener.ts'
import { createEntryMetrics, EntryGauge } from './entry_metrics.ts'
import { createEntryState } from './entry_state.ts'
import { createPeerDiscovery } from './peer_discovery.ts'
import { createLookUpListener, createReadinessListener } from './look_up_listener.ts'
import { listenOn, startPeerLink } from './peer_link.ts'
import { createPeerView } from './peer_view.ts'
import { createCrashGuard } from './crash_guard.ts'
import { createDispatcher } from './dispatcher.ts'
import { drainRequests } from './drain_requests.ts'
import { startMaintenance } from './maintenance.ts'
import { createReachMonitor } from './reach_monitor.ts'
import { createRelayPeers } from './relay_peers.ts'
import { createRequestHandler, StopPhase } from './request_handler.ts'
import { createRegionShares } from './region_shares.ts'
import { ReplicatedTable } from './replicated_table.ts'
import { startTableReplication } from './table_replication.ts'
import { createTargetReports } from './target_reports.ts'

/** A running entry instance. */
export interface RunningEntry extends AsyncDisposable {
  /** Shuts down gracefully: announces the shutdown to the peers, accepts requests for a limited time, waits for requests in flight, and closes all connections. */
  stop (): Promise<void>
  /** Logs which settings differ; none can change while the process runs, so they take effect at the next start. */
  reload (settings: EntrySettings): void
}

/** Interval between heartbeats to a peer in the same region, in milliseconds: about a third of the peer time-out. */
const heartbeatIntervalMs = 1_000
/** Interval between heartbeats to a peer in another region, as a multiple of the interval within a region: fewer bytes between regions, and a dead peer is still noticed before look-ups must no longer name it. */
const remoteHeartbeatIntervals = 2
/** Time without a heartbeat after which a peer is not live, in milliseconds: three consecutive lost heartbeats within a region, two between regions, each loss being rare. */
const peerTimeoutMs = 3_300
const remotePeerTimeoutMs = 5_200
/** Time for which an instance that the store responds to must have been behind a peer before it fetches from it, as a multiple of the pause between long polls of target changes: the store has then failed to deliver the changes. */
const catchUpPauses = 2
/** Time after which a silent peer is evicted, in milliseconds; after a longer partition the instances find each other again through the store at the next start. */
const peerEvictionMs = 120_000
/** Time limit for connecting to a target, in milliseconds: enough for a connection between regions that loses one packet. */
const connectTimeoutMs = 600
/** Time limit for connecting to another instance, in milliseconds: three round trips between regions, after which another one is tried. */
const peerConnectTimeoutMs = 350
/** Maximum number of requests that other instances relay to this one, waiting or in flight; limits the memory that they take. */
const maxRelayed = 256
/** Delay of the next long poll after a response with target changes, as a share of `drainMs`, the time within which all instances must stop sending to a leaving target. */
const targetPauseShare = 0.3

/**
 * Starts an entry instance, which runs until it is stopped or disposed.
 *
 * @param settings Settings of the instance
 * @param log Log of the instance
 * @param options Port of the metrics listener, which is not opened by default
 * @returns The running instance
 * @throws {Error} If an address can't be listened on
 */
export async function runEntry (settings: EntrySettings, log: EntryLog, options: { metricsPort?: number } = {}): Promise<RunningEntry> {
  const cleanup = createCleanupStack()
  const [getNowMs, getRandom] = [() => performance.now(), Math.random]
  const startedAtMs = Date.now()
  let [phase, sequence] = [StopPhase.Running, 0]

  const metrics = createEntryMetrics({ readers: createGaugeReaders(() => ({ state, dispatcher, pool, view, reach, log }), getNowMs) })
  const view = createPeerView({ instance: settings.instance, evictionMs: peerEvictionMs, getTimeoutMs: heartbeat => heartbeat.region === settings.region ? peerTimeoutMs : remotePeerTimeoutMs })
  const listPeers = (): PeerHeartbeat[] => view.listLive(getNowMs()).map(peer => peer.heartbeat)
  const state = createEntryState({ regions: settings.regions, log, getNowMs, countUndecodable: metrics.countUndecodable, onChange: handleChange })
  const pool = cleanup.add(createTargetPool({ connectTimeoutMs, onMismatchedResponse: metrics.countMismatchedResponse, onConnectionEvent: handleConnectionEvent }))
  const targetReports = createTargetReports({ state, metrics, log, getNowMs })
  const relayPeers = createRelayPeers({ region: settings.region, view, isEnabled: true, getNowMs, getRandom })
  const peerPool = cleanup.add(createTargetPool({ connectTimeoutMs: peerConnectTimeoutMs }))
  const reach = cleanup.add(createReachMonitor({ state, getPool: () => pool, isReachedByPeers: relayPeers.isReached, listPending: () => dispatcher.listPending(), onChange: handleReachChange, log, getNowMs }))
  const crashGuard = createCrashGuard({ confirmPath: reach.confirmPath, metrics, log, getNowMs })
  const dispatcher = createDispatcher({
    crashGuard,
    reach,
    relayPeers,
    maxRelayed,
    settings,
    state,
    pool,
    peerPool,
    log,
    metrics,
    getNowMs,
    getRandom,
    handleTargetResponse: targetReports.handleResponse,
    handleRelayedResponse: targetReports.handleRelayedResponse,
    listInstances: () => [settings.instance, ...listPeers().map(peer => peer.instance)],
    listContenders: targetId => view.listKnown().map(({ heartbeat: { instance } }) => ({ instance, mayClaim: targetReports.mayClaim(instance, targetId) })),
    getMaxLiveInstances: view.getMaxLiveInstances,
    getRegionShare: service => regionShares.getShare(service)
  })
  const regionShares = createRegionShares({ settings, state, countRequests: dispatcher.countRequests, listPeers })

  function handleChange (): void {
    applyCallerLimits(callers, state.getConfig()?.limits)
    dispatcher.dispatchWaiting()
  }

  function handleReachChange (): void {
    link.sendNow()
    dispatcher.retryUnreachable()
    dispatcher.dispatchWaiting()
  }

  function handleConnectionEvent (event: ConnectionEvent, targetId: string): void {
    metrics.countConnectionEvent(event)
    reach.handleConnectionEvent(event, targetId)
  }

  const isReady = (): boolean => phase === StopPhase.Running && state.getConfig() !== undefined

  function getHeartbeat (): PeerHeartbeat {
    return {
      ...describeInstance(settings),
      startedAtMs,
      sequence: sequence++,
      isReady: isReady(),
      versions: Object.fromEntries(Object.values(ReplicatedTable).map(table => [table, state.getTable(table).getVersion()])),
      demand: regionShares.getDemand(),
      targetReports: targetReports.listRecent(),
      crashReports: crashGuard.listRecent(),
      unreached: reach.listUnreached()
    }
  }

  const serviceSelector = createWeightedRoundRobin(getRandom)
  const requestHandler = createRequestHandler({ state, dispatcher, log, metrics, getNowMs, chooseService: serviceSelector.choose, getStopPhase: () => phase })
  const callers = createCallerListener({ requestHandler, metrics })
  const countOpen = countOpenResponses(callers)
  const describeLoad = (): Record<string, number> => ({ open: countOpen() + link.countOpen(), inFlight: dispatcher.countInFlight(), waiting: dispatcher.countWaiting() })
  const hasHomeRegions = (): boolean => state.getConfig()?.routes.some(route => route.homeRegions.length > 0) ?? false
  const lookUps = createLookUpListener({ settings, view, getHeartbeat, getNowMs, hasHomeRegions })
  const readiness = createReadinessListener(isReady)
  await Promise.all([listenOn(callers, settings.listen.callers), listenOn(lookUps, settings.listen.lookUps), listenOn(readiness, settings.listen.readiness)])
  for (const server of [callers, lookUps, readiness]) cleanup.add(createServerDisposer(server))
  if (options.metricsPort !== undefined) cleanup.add(createServerDisposer(await openMetricsListener(metrics, { host: settings.listen.callers.host, port: options.metricsPort })))

  const { bounds } = settings
  const targetPauseMs = Math.round(bounds.drainMs * targetPauseShare)
  const heartbeatTimes = { intervalMs: heartbeatIntervalMs, remoteIntervals: remoteHeartbeatIntervals, storeDelayMs: targetPauseMs * catchUpPauses }
  const link = cleanup.add(await startPeerLink({ ...heartbeatTimes, getHeartbeat, getIntroduction: () => ({ ...getHeartbeat(), crashReports: crashGuard.listWorst() }), view, state, seeds: settings.seeds, countBytes: metrics.countPeerBytes, handleTargetReports: targetReports.handlePeerReports, handleCrashReports: crashGuard.mergeReports, handleRelayed: requestHandler.handleRequest, log, getNowMs, getRandom }))
  const store = cleanup.add(createStoreClient(settings.store))
  for (const replication of startReplications({ store, state, bounds, targetPauseMs, log, getNowMs, getRandom })) cleanup.add(replication)
  const discovery = createPeerDiscovery({ store, view, log })
  discovery.join(getHeartbeat()).then(() => link.announce()).catch((error: Error) => log.warn('join_failed', { detail: error.message }))
  link.fetchFromSeeds().then(() => link.announce()).catch((error: Error) => log.warn('seeds_failed', { detail: error.message }))

  cleanup.add(startMaintenance({
    getNowMs,
    onPause (durationMs) {
      log.warn('standstill', { durationMs: Math.round(durationMs) })
      view.discountPause(durationMs)
    },
    runTasks (nowMs) {
      state.targets.observeTime(nowMs)
      regionShares.advance(nowMs)
      pool.closeExpired(nowMs)
      peerPool.closeExpired(nowMs)
      state.removeExpired(nowMs)
      reach.advance()
      dispatcher.retryUnreachable()
      crashGuard.removeExpired()
      if (crashGuard.takeNews()) link.sendNow()
      link.catchUp()
    }
  }))
  log.info('started', { failureDomain: settings.failureDomain, region: settings.region, callers: getHeartbeat().callers, cpuMs: Math.round(process.cpuUsage().user / 1_000 + process.cpuUsage().system / 1_000) })

  return {
    async stop () {
      log.info('stopping', describeLoad())
      phase = StopPhase.Leaving
      link.announce()
      await drainRequests({ graceMs: bounds.graceMs, callers, countOpen: () => countOpen() + link.countOpen(), getNowMs, onClosing: () => { phase = StopPhase.Closing } })
      log.info('stopped', describeLoad())
      await cleanup[Symbol.asyncDispose]()
    },
    reload (next) {
      log.info('reloaded', { changed: listChangedSettings(settings, next) })
    },
    [Symbol.asyncDispose]: () => cleanup[Symbol.asyncDispose]()
  }
}

/** The parts of an instance that its gauges describe. */
interface GaugeSources {
  state: EntryState
  dispatcher: Dispatcher
  pool: TargetPool
  view: PeerView
  reach: ReachMonitor
  log: EntryLog
}

/** Creates the functions that read the gauges; `getSources` is called at each reading only, since the parts are created after the metrics. */
function createGaugeReaders (getSources: () => GaugeSources, getNowMs: () => number): Record<EntryGauge, () => number> {
  return {
    [EntryGauge.ConfigVersion]: () => getSources().state.getConfig()?.version ?? 0,
    [EntryGauge.Targets]: () => getSources().state.targets.count(),
    [EntryGauge.FailingTargets]: () => getSources().state.targets.countFailing(getNowMs()),
    [EntryGauge.UnreachedGroups]: () => getSources().reach.countLost(),
    [EntryGauge.Waiting]: () => getSources().dispatcher.countWaiting(),
    [EntryGauge.InFlight]: () => getSources().dispatcher.countInFlight(),
    [EntryGauge.TargetConnections]: () => getSources().pool.count(),
    [EntryGauge.Peers]: () => getSources().view.listLive(getNowMs()).length,
    [EntryGauge.StoreAge]: () => (getNowMs() - getSources().state.getLastContactMs()) / 1_000,
    [EntryGauge.DroppedLines]: () => getSources().log.countDropped()
  }
}

/** Returns the part of this instance's heartbeats that does not change. */
function describeInstance (settings: EntrySettings): Pick<PeerHeartbeat, 'instance' | 'failureDomain' | 'region' | 'callers' | 'heartbeats' | 'peers'> {
  const { instance, failureDomain, region, listen, heartbeatPort } = settings
  return { instance, failureDomain, region, callers: `${listen.callers.host}:${listen.callers.port}`, heartbeats: { host: listen.peers.host, port: heartbeatPort }, peers: listen.peers }
}

/** Options of {@linkcode startReplications}. */
interface StartReplicationsOptions {
  /** The store. */
  store: StoreClient
  /** State that the tables are merged into. */
  state: EntryState
  /** Bounds of the deployment. */
  bounds: EntrySettings['bounds']
  /** Pause after a response with target changes, in milliseconds. */
  targetPauseMs: number
  /** Structured log. */
  log: EntryLog
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
  /** Returns a random number in [0, 1). */
  getRandom: () => number
}

/** Starts the replication of all tables. */
function startReplications ({ store, state, bounds, targetPauseMs, log, getNowMs, getRandom }: StartReplicationsOptions): AsyncDisposable[] {
  const tables = [
    { table: operatorTable, replicated: ReplicatedTable.Operator, pauseMs: 0 },
    { table: targetTable, replicated: ReplicatedTable.Targets, pauseMs: targetPauseMs }
  ]
  return tables.map(({ table, replicated, pauseMs }) => startTableReplication({
    store,
    table,
    schedule: createPollSchedule({ stableMs: bounds.stableMs, getRandom }),
    pauseMs,
    getNowMs,
    onContact: state.recordContact,
    onCallFailed: failure => log.info('store_call_failed', { ...failure }),
    onUpdate: update => state.applyUpdate(replicated, update)
  }))
}

async function openMetricsListener (metrics: EntryMetrics, address: SocketAddress): Promise<Server> {
  const server = createServer((_, response) => {
    metrics.registry.metrics().then(text => response.writeHead(200, { 'Content-Type': metrics.registry.contentType }).end(text)).catch((error: Error) => response.writeHead(500).end(error.message))
  })
  await listenOn(server, address)
  return server
}

function listChangedSettings (before: EntrySettings, after: EntrySettings): string[] {
  const names = Object.keys(before) as Array<keyof EntrySettings>
  return names.filter(name => JSON.stringify(before[name]) !== JSON.stringify(after[name]))
}

/** Returns a disposable that closes a server and all its connections. */
function createServerDisposer (server: Server): AsyncDisposable {
  return {
    async [Symbol.asyncDispose] () {
      const closed = new Promise<void>(resolve => server.close(() => resolve()))
      server.closeAllConnections()
      await closed
    }
  }
}
