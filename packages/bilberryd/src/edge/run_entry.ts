/**
 * Composes an entry instance that sends to targets directly, runs it, and stops it gracefully.
 *
 * @module
 */
import type { EntrySettings, SocketAddress } from '@bilberryworks/steering'
import type { Server } from 'node:http'
import type { EntryLog } from './entry_log.ts'
import type { EntryMetrics } from './entry_metrics.ts'
import type { PeerHeartbeat } from './peer_view.ts'
import { createServer } from 'node:http'
import { setTimeout as wait } from 'node:timers/promises'
import { countOpenResponses } from '@bilberryworks/callers'
import { createCleanupStack, createWeightedRoundRobin } from '@bilberryworks/steering'
import { createTargetPool } from '@bilberryworks/targets'
import { createStoreClient, operatorTable, targetTable } from '@bilberryworks/users-platform'
import { applyCallerLimits, createCallerListener, StopPhase } from './caller_listener.ts'
import { createEntryMetrics, EntryGauge } from './entry_metrics.ts'
import { createEntryState, FollowedTable } from './entry_state.ts'
import { createInstanceRows } from './instance_rows.ts'
import { createLookUpListener, createReadinessListener } from './look_up_listener.ts'
import { listenOn, startPeerLink } from './peer_link.ts'
import { createPeerView } from './peer_view.ts'
import { createDispatcher } from './dispatcher.ts'
import { startStoreFollower } from './store_follower.ts'

/** A running entry instance. */
export interface RunningEntry extends AsyncDisposable {
  /** Stops gracefully: announces it, serves on, lets requests in flight end. */
  stop (): Promise<void>
  /** Takes other settings over, as far as they can change while it runs. */
  reload (settings: EntrySettings): void
}

/** Time between two heartbeats, in milliseconds: a third of the silence after which a peer counts as gone. */
const heartbeatIntervalMs = 1_000
/** Silence after which a peer counts as gone, in milliseconds: three heartbeats lost in a row, each a rare event. */
const peerTimeoutMs = 3_300
/** Silence after which a peer is forgotten, in milliseconds: a partition that lasts longer is healed by the rows read at the next start. */
const peerEvictionMs = 120_000
/** Time between two rounds of upkeep, in milliseconds. */
const maintenanceIntervalMs = 250
/** Length of a round of upkeep, in milliseconds, beyond which the instance stood still. */
const minPauseMs = 1_000
/** Longest time that a connection to a target may take, in milliseconds: a way between regions with one packet lost. */
const connectTimeoutMs = 600
/** Time, in milliseconds, by which a call of the store waits for less than the bounds of stability and draining together, so that a connection gone silent is noticed, and a new one answered, within them. */
const longPollMarginMs = 2_000
/** Pause behind an answer with changed targets, in milliseconds, as a share of the time in which a leaving target must be known. */
const targetPauseShare = 0.15
/** Part of the time until the kill for which an instance that stops takes new requests: callers turn elsewhere meanwhile, and what they sent last has the rest to end in. */
const acceptShare = 0.42
/** Part of the time until the kill at which a stop no longer waits for requests in flight. */
const drainShare = 0.97
const drainPollIntervalMs = 20

/**
 * Runs an entry instance until it is disposed.
 *
 * @param settings Its settings
 * @param log Where decisions are written
 * @param options Port of the metrics
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
      [EntryGauge.Waiting]: () => dispatcher.countWaiting(),
      [EntryGauge.InFlight]: () => dispatcher.countInFlight(),
      [EntryGauge.TargetConnections]: () => pool.count(),
      [EntryGauge.Peers]: () => view.listLive(getNowMs()).length,
      [EntryGauge.StoreAge]: () => (getNowMs() - state.getLastContactMs()) / 1_000,
      [EntryGauge.DroppedLines]: () => log.countDropped()
    }
  })
  const view = createPeerView({ instance: settings.instance, timeoutMs: peerTimeoutMs, evictionMs: peerEvictionMs })
  const state = createEntryState({ regions: settings.regions, log, getNowMs, countUndecodable: metrics.countUndecodable, onChange: handleChange })
  const pool = cleanup.add(createTargetPool({ connectTimeoutMs, onUnsolicitedResponse: metrics.countUnsolicitedResponse }))
  const dispatcher = createDispatcher({
    settings,
    state,
    pool,
    log,
    metrics,
    getNowMs,
    getRandom,
    listInstances: () => [settings.instance, ...view.listLive(getNowMs()).map(peer => peer.heartbeat.instance)],
    getMaxInstances: view.getMaxLiveInstances
  })

  function handleChange (): void {
    applyCallerLimits(callers, state.getConfig()?.limits)
    dispatcher.dispatchWaiting()
  }

  const isReady = (): boolean => phase === StopPhase.Running && state.getConfig() !== undefined

  function getHeartbeat (): PeerHeartbeat {
    return {
      instance: settings.instance,
      startedAtMs,
      sequence: sequence++,
      failureDomain: settings.failureDomain,
      region: settings.region,
      callers: `${settings.listen.callers.host}:${settings.listen.callers.port}`,
      heartbeats: { host: settings.listen.peers.host, port: settings.heartbeatPort },
      peers: settings.listen.peers,
      isReady: isReady(),
      versions: Object.fromEntries(Object.values(FollowedTable).map(table => [table, state.getTable(table).getVersion()]))
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

  const link = cleanup.add(await startPeerLink({ getHeartbeat, view, state, seeds: settings.seeds, intervalMs: heartbeatIntervalMs, log, getNowMs }))
  const store = cleanup.add(createStoreClient(settings.store))
  const { bounds } = settings
  const waitMs = Math.max(1_000, Math.round(bounds.stableMs + bounds.drainMs - longPollMarginMs))
  const tables = [
    { table: operatorTable, followed: FollowedTable.Operator, pauseMs: 0 },
    { table: targetTable, followed: FollowedTable.Targets, pauseMs: Math.round(bounds.drainMs * targetPauseShare) }
  ]
  for (const { table, followed, pauseMs } of tables) {
    cleanup.add(startStoreFollower({
      store,
      table,
      waitMs,
      pauseMs,
      getRandom,
      onContact: state.recordContact,
      onRows: (rows, version) => state.applyRows(followed, rows, version),
      onChanges: changes => state.applyChanges(followed, changes)
    }))
  }
  const rows = createInstanceRows({ store, view, log })
  rows.join(getHeartbeat()).then(() => link.announce()).catch((error: Error) => log.warn('join_failed', { detail: error.message }))
  link.askSeeds().then(() => link.announce()).catch((error: Error) => log.warn('seeds_failed', { detail: error.message }))

  let lastMaintenanceMs = getNowMs()
  const maintenanceTimer = setInterval(() => {
    const nowMs = getNowMs()
    if (nowMs - lastMaintenanceMs > minPauseMs) {
      log.warn('standstill', { durationMs: Math.round(nowMs - lastMaintenanceMs) })
      view.discountPause(nowMs - lastMaintenanceMs)
    }
    lastMaintenanceMs = nowMs
    pool.closeExpired(nowMs)
    state.expireMissing(nowMs)
    dispatcher.retryLost()
  }, maintenanceIntervalMs)
  cleanup.add({ async [Symbol.asyncDispose] () { clearInterval(maintenanceTimer) } })
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

async function openMetricsListener (metrics: EntryMetrics, address: SocketAddress): Promise<Server> {
  const server = createServer((_, response) => {
    metrics.registry.metrics().then(text => response.writeHead(200, { 'Content-Type': metrics.registry.contentType }).end(text)).catch((error: Error) => response.writeHead(500).end(error.message))
  })
  await listenOn(server, address)
  return server
}

/** Names the settings that differ; addresses and places hold for the life of a process. */
function listChangedSettings (before: EntrySettings, after: EntrySettings): string[] {
  const names = Object.keys(before) as Array<keyof EntrySettings>
  return names.filter(name => JSON.stringify(before[name]) !== JSON.stringify(after[name]))
}

/** Closes a server with all its connections when it is disposed. */
function createServerDisposer (server: Server): AsyncDisposable {
  return {
    async [Symbol.asyncDispose] () {
      const closed = new Promise<void>(resolve => server.close(() => resolve()))
      server.closeAllConnections()
      await closed
    }
  }
}
