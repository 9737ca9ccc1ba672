/**
 * Starts an entry instance that dispatches requests directly to any target, without target ownership, and shuts it down
 * gracefully.
 *
 * @module
 */
import type { EntrySettings, SocketAddress } from '@bilberryworks/steering'
import type { Server } from 'node:http'
import type { StoreClient } from '@bilberryworks/users-platform'
import type { EntryLog } from './entry_log.ts'
import type { EntryMetrics } from './entry_metrics.ts'
import type { EntryState } from './entry_state.ts'
import type { PeerHeartbeat } from './peer_view.ts'
import { createServer } from 'node:http'
import { setTimeout as wait } from 'node:timers/promises'
import { countOpenResponses } from '@bilberryworks/callers'
import { createCleanupStack, createPollSchedule, createWeightedRoundRobin } from '@bilberryworks/steering'
import { createTargetPool } from '@bilberryworks/targets'
import { createStoreClient, operatorTable, targetTable } from '@bilberryworks/users-platform'
import { applyCallerLimits, createCallerListener, StopPhase } from './caller_listener.ts'
import { createEntryMetrics, EntryGauge } from './entry_metrics.ts'
import { createEntryState } from './entry_state.ts'
import { createPeerDiscovery } from './peer_discovery.ts'
import { createLookUpListener, createReadinessListener } from './look_up_listener.ts'
import { listenOn, startPeerLink } from './peer_link.ts'
import { createPeerView } from './peer_view.ts'
import { createCrashGuard } from './crash_guard.ts'
import { createDispatcher } from './dispatcher.ts'
import { startMaintenance } from './maintenance.ts'
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
/** Delay of the next long poll after a response with target changes, as a share of `drainMs`, the time within which all instances must stop sending to a leaving target. */
const targetPauseShare = 0.3
/** Share of the grace period for which a stopping instance accepts new requests: callers switch to other instances during this time, and the last requests have the rest of the period to complete. */
const acceptShare = 0.42
/** Share of the grace period, counted from its start, for which a stopping instance waits for requests in flight. */
const drainShare = 0.97
const drainPollIntervalMs = 20

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

  const metrics = createEntryMetrics({
    readers: {
      [EntryGauge.ConfigVersion]: () => state.getConfig()?.version ?? 0,
      [EntryGauge.Targets]: () => state.targets.count(),
      [EntryGauge.FailingTargets]: () => state.targets.countFailing(getNowMs()),
      [EntryGauge.Waiting]: () => dispatcher.countWaiting(),
      [EntryGauge.InFlight]: () => dispatcher.countInFlight(),
      [EntryGauge.TargetConnections]: () => pool.count(),
      [EntryGauge.Peers]: () => view.listLive(getNowMs()).length,
      [EntryGauge.StoreAge]: () => (getNowMs() - state.getLastContactMs()) / 1_000,
      [EntryGauge.DroppedLines]: () => log.countDropped()
    }
  })
  const view = createPeerView({ instance: settings.instance, evictionMs: peerEvictionMs, getTimeoutMs: heartbeat => heartbeat.region === settings.region ? peerTimeoutMs : remotePeerTimeoutMs })
  const state = createEntryState({ regions: settings.regions, log, getNowMs, countUndecodable: metrics.countUndecodable, onChange: handleChange })
  const pool = cleanup.add(createTargetPool({ connectTimeoutMs, onMismatchedResponse: metrics.countMismatchedResponse, onConnectionEvent: metrics.countConnectionEvent }))
  const targetReports = createTargetReports({ state, metrics, log, getNowMs })
  const crashGuard = createCrashGuard({ metrics, log, getNowMs })
  const dispatcher = createDispatcher({
    crashGuard,
    settings,
    state,
    pool,
    log,
    metrics,
    getNowMs,
    getRandom,
    handleTargetResponse: targetReports.handleResponse,
    listInstances: () => [settings.instance, ...view.listLive(getNowMs()).map(peer => peer.heartbeat.instance)],
    listContenders: targetId => view.listKnown().map(({ heartbeat: { instance } }) => ({ instance, mayClaim: targetReports.mayClaim(instance, targetId) })),
    getMaxLiveInstances: view.getMaxLiveInstances,
    getRegionShare: service => regionShares.getShare(service)
  })
  const regionShares = createRegionShares({
    settings,
    state,
    countRequests: dispatcher.countRequests,
    listPeers: () => view.listLive(getNowMs()).map(peer => peer.heartbeat)
  })

  function handleChange (): void {
    applyCallerLimits(callers, state.getConfig()?.limits)
    dispatcher.dispatchWaiting()
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
      crashReports: crashGuard.listRecent()
    }
  }

  const serviceSelector = createWeightedRoundRobin(getRandom)
  const callers = createCallerListener({ state, dispatcher, log, metrics, getNowMs, chooseService: serviceSelector.choose, getStopPhase: () => phase })
  const countOpen = countOpenResponses(callers)
  const hasHomeRegions = (): boolean => state.getConfig()?.routes.some(route => route.homeRegions.length > 0) ?? false
  const lookUps = createLookUpListener({ settings, view, getHeartbeat, getNowMs, hasHomeRegions })
  const readiness = createReadinessListener(isReady)
  await Promise.all([listenOn(callers, settings.listen.callers), listenOn(lookUps, settings.listen.lookUps), listenOn(readiness, settings.listen.readiness)])
  for (const server of [callers, lookUps, readiness]) cleanup.add(createServerDisposer(server))
  if (options.metricsPort !== undefined) cleanup.add(createServerDisposer(await openMetricsListener(metrics, { host: settings.listen.callers.host, port: options.metricsPort })))

  const { bounds } = settings
  const targetPauseMs = Math.round(bounds.drainMs * targetPauseShare)
  const heartbeatTimes = { intervalMs: heartbeatIntervalMs, remoteIntervals: remoteHeartbeatIntervals, storeDelayMs: targetPauseMs * catchUpPauses }
  const link = cleanup.add(await startPeerLink({ ...heartbeatTimes, getHeartbeat, getIntroduction: () => ({ ...getHeartbeat(), crashReports: crashGuard.listWorst() }), view, state, seeds: settings.seeds, countBytes: metrics.countPeerBytes, handleTargetReports: targetReports.handlePeerReports, handleCrashReports: crashGuard.mergeReports, log, getNowMs, getRandom }))
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
      state.removeExpired(nowMs)
      dispatcher.retryUnreachable()
      crashGuard.removeExpired()
      if (crashGuard.takeNews()) link.sendNow()
      link.catchUp()
    }
  }))
  log.info('started', { failureDomain: settings.failureDomain, region: settings.region, callers: getHeartbeat().callers, cpuMs: Math.round(process.cpuUsage().user / 1_000 + process.cpuUsage().system / 1_000) })

  return {
    async stop () {
      const stopRequestedAtMs = getNowMs()
      phase = StopPhase.Leaving
      log.info('stopping', { open: countOpen(), inFlight: dispatcher.countInFlight(), waiting: dispatcher.countWaiting() })
      link.announce()
      await wait(bounds.graceMs * acceptShare)
      phase = StopPhase.Closing
      callers.close()
      const drainDeadlineMs = stopRequestedAtMs + bounds.graceMs * drainShare
      while (getNowMs() < drainDeadlineMs && countOpen() > 0) {
        callers.closeIdleConnections()
        await wait(drainPollIntervalMs)
      }
      log.info('stopped', { open: countOpen(), inFlight: dispatcher.countInFlight(), waiting: dispatcher.countWaiting() })
      await cleanup[Symbol.asyncDispose]()
    },
    reload (next) {
      log.info('reloaded', { changed: listChangedSettings(settings, next) })
    },
    [Symbol.asyncDispose]: () => cleanup[Symbol.asyncDispose]()
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
