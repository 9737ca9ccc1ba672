/**
 * Starts an entry instance that dispatches requests directly to any target, without target ownership, and shuts it down
 * gracefully.
 *
 * @module
 */
import type { EntrySettings } from '@bilberryworks/steering'
import type { Server } from 'node:http'
import type { ReadTurns } from '@bilberryworks/callers'
import type { StoreClient } from '@bilberryworks/users-platform'
import type { ListenerContext } from '../listen_on.ts'
import type { StopRequest } from '../process_signals.ts'
import type { CallbackGuard } from './callback_guard.ts'
import type { EntryComponents } from './entry_components.ts'
import type { EntryLog } from './entry_log.ts'
import type { EntryOptions } from './entry_options.ts'
import type { EntryMetrics } from './entry_metrics.ts'
import type { HostBudgets } from './host_gauges.ts'
import type { EntryState } from './entry_state.ts'
import { createServer } from 'node:http'
import { applyBodilessRequests, applyGracefulClose, countOpenResponses, createReadTurns, runAfterReads } from '@bilberryworks/callers'
import { createCleanupStack, createLifeCycle, createPollSchedule } from '@bilberryworks/steering'
import { checkListening, createResponsePacer, createTargetPool } from '@bilberryworks/targets'
import { createStoreClient, operatorTable, targetTable } from '@bilberryworks/users-platform'
import { listenOn } from '../listen_on.ts'
import { applyCallerLimits, createCallerListener } from './caller_listener.ts'
import { createCallbackGuard, GuardedCallback } from './callback_guard.ts'
import { createDescriptorBudget } from './descriptor_limits.ts'
import { createEntryComponents } from './entry_components.ts'
import { EntryListener } from './entry_listener.ts'
import { defaultEntryOptions } from './entry_options.ts'
import { createEntryMetrics, EntryGauge } from './entry_metrics.ts'
import { createHostGaugeReaders } from './host_gauges.ts'
import { createPeerDiscovery } from './peer_discovery.ts'
import { createLookUpListener, createReadinessListener } from './look_up_listener.ts'
import { startPeerLink } from './peer_link.ts'
import { createMemoryBudget } from './memory_limits.ts'
import { drainRequests } from './drain_requests.ts'
import { startMaintenance } from './maintenance.ts'
import { ReplicatedTable } from './replicated_table.ts'
import { startTableReplication } from './table_replication.ts'

/** A running entry instance. */
export interface RunningEntry extends AsyncDisposable {
  /** Shuts down gracefully: announces the shutdown to the peers, accepts requests for a limited time, waits for requests in flight, and closes all connections. The grace period counts from `request`, by default from the call. */
  stop (request?: Partial<StopRequest>): Promise<void>
  /** Counts an error that nothing caught. */
  countUncaughtError (): void
  /** Logs which settings differ; none can change while the process runs, so they take effect at the next start. */
  reload (settings: EntrySettings): void
}

/** Options of {@linkcode runEntry}. */
export interface RunEntryOptions extends EntryOptions {
  /** Resolves when the instance is to stop, which ends the wait for addresses that can't be listened on; never by default. */
  stopRequested?: Promise<unknown>
}

/** Interval between heartbeats to a peer in the same region, in milliseconds: about a third of the peer time-out. */
const heartbeatIntervalMs = 1_000
/** Interval between heartbeats to a peer in another region, as a multiple of the interval within a region: fewer bytes between regions, and a dead peer is still noticed before look-ups must no longer name it. */
const remoteHeartbeatIntervals = 2
/** Time for which an instance that the store responds to must have been behind a peer before it fetches from it, as a multiple of the pause between long polls of target changes: the store has then failed to deliver the changes. */
const catchUpPauses = 2
/** Time limit for connecting to a target, in milliseconds: enough for a connection between regions that loses one packet. */
const connectTimeoutMs = 600
/** Time limit for connecting to another instance, in milliseconds: three round trips between regions, after which another one is tried. */
const peerConnectTimeoutMs = 350
/** Delay of the next long poll after a response with target changes, as a share of `drainMs`, the time within which all instances must stop sending to a leaving target. */
const targetPauseShare = 0.3

/**
 * Starts an entry instance, which runs until it is stopped or disposed.
 *
 * Resolves when all listeners are open, except for those of metrics and heartbeats, which may be opened later; and when a stop is
 * requested before. What can be served meanwhile is served.
 *
 * @param settings Settings of the instance
 * @param log Log of the instance
 * @param options Options of the command line, and the request to stop
 * @returns The running instance
 * @throws {ListenError} If an address can't be listened on; what was accepted has been answered then
 */
export async function runEntry (settings: EntrySettings, log: EntryLog, options: RunEntryOptions = defaultEntryOptions): Promise<RunningEntry> {
  const cleanup = createCleanupStack()
  const [getNowMs, getRandom] = [() => performance.now(), Math.random]
  const life = createLifeCycle({ graceMs: settings.bounds.graceMs })
  const metrics = createEntryMetrics({ readers: createGaugeReaders(() => components, { log, getHost: () => ({ descriptors, memory }), takeMaxDelayMs, getNowMs }), countLostLines: log.countLost })
  let maxDelayMs = 0
  const guard = createCallbackGuard({ log, metrics, getNowMs })
  const memory = createMemoryBudget({
    limits: settings.limits,
    onShortage: (isShort, use) => log.warn('memory_short', { isShort, ...use, bodyBytes: memory.bodies.getUsedBytes(), callers: descriptors.countCallers(), ...describeLoad() }),
    getRandom
  })
  const descriptors = createDescriptorBudget({ limits: settings.limits, maxCallers: memory.shares.maxConnections, countTargets: () => components.pool.count(), getRandom })
  const [pacer, turns] = [createResponsePacer(), createReadTurns({ getNowMs })]
  const components = cleanup.add(createEntryComponents({
    guard,
    settings,
    startedAtMs: Date.now(),
    log,
    metrics,
    createPool: onConnectionEvent => cleanup.add(createTargetPool({ connectTimeoutMs, pacer, chooseDescriptor: descriptors.chooseForTarget, onMismatchedResponse: metrics.countMismatchedResponse, onMalformedResponse: metrics.countMalformedResponse, onConnectionEvent })),
    peerPool: cleanup.add(createTargetPool({ connectTimeoutMs: peerConnectTimeoutMs, pacer, chooseDescriptor: descriptors.chooseForPeer })),
    checkListening,
    runAfterReads,
    relays: options.relays,
    life,
    isOpen: () => callers.listening,
    descriptors,
    memory,
    onStateChange: () => applyCallerLimits(callers, state.getConfig()?.limits),
    sendNow: () => link.sendNow(),
    getNowMs,
    getRandom
  }))
  const { state, view, dispatcher, targetReports, crashGuard, requestHandler, isReady, getHeartbeat } = components
  const callers = createCallerListener({ requestHandler, metrics })
  const countOpenCallers = countOpenResponses(callers)
  const countLingering = applyGracefulClose(callers)
  descriptors.guardCallers(callers)
  const countOpen = (): number => countOpenCallers() + countLingering() + link.countOpen()
  const hasAccepted = (): boolean => callers.listening || countOpen() > 0
  const describeLoad = (): Record<string, number> => ({ open: countOpen(), inFlight: dispatcher.countInFlight(), waiting: dispatcher.countWaiting() })
  const hasHomeRegions = (): boolean => state.getConfig()?.routes.some(route => route.homeRegions.length > 0) ?? false
  const lookUps = createLookUpListener({ guard, turns, settings, view, getHeartbeat, getNowMs, hasHomeRegions })
  const readiness = createReadinessListener(isReady, turns)
  for (const server of [lookUps, readiness]) descriptors.guardReserved(server)
  const waits = new AbortController()
  options.stopRequested?.then(() => waits.abort(), () => {})
  const listeners: ListenerContext = { log, countError: metrics.countListenerError, signal: waits.signal, getNowMs, getRandom }
  for (const server of [callers, lookUps, readiness]) cleanup.add(createServerDisposer(server))
  const metricsServer = createMetricsListener(metrics, turns)
  cleanup.add(createServerDisposer(metricsServer))

  const { bounds } = settings
  const targetPauseMs = Math.round(bounds.drainMs * targetPauseShare)
  const heartbeatTimes = { intervalMs: heartbeatIntervalMs, remoteIntervals: remoteHeartbeatIntervals, storeDelayMs: targetPauseMs * catchUpPauses }
  const link = cleanup.add(startPeerLink({ guard, turns, ...heartbeatTimes, getHeartbeat, getIntroduction: () => ({ ...getHeartbeat(), crashReports: crashGuard.listWorst() }), view, state, seeds: settings.seeds, countBytes: metrics.countPeerBytes, handleTargetReports: targetReports.handlePeerReports, handleCrashReports: crashGuard.mergeReports, handleRelayed: requestHandler.handleRequest, listeners, log, getNowMs, getRandom }))
  const store = cleanup.add(createStoreClient(settings.store))
  for (const replication of startReplications({ guard, store, state, bounds, targetPauseMs, log, getNowMs, getRandom })) cleanup.add(replication)
  const discovery = createPeerDiscovery({ store, view, log })
  discovery.join(getHeartbeat()).then(() => link.announce()).catch((error: Error) => log.warn('join_failed', { detail: error.message }))
  link.fetchFromSeeds().then(() => link.announce()).catch((error: Error) => log.warn('seeds_failed', { detail: error.message }))

  cleanup.add(startMaintenance({
    getNowMs,
    onPause (durationMs) {
      log.warn('standstill', { durationMs: Math.round(durationMs) })
      view.discountPause(durationMs)
    },
    onDelay (delayMs) {
      maxDelayMs = Math.max(maxDelayMs, delayMs)
      log.warn('event_loop_held', { delayMs: Math.round(delayMs) })
    },
    runTasks (nowMs) {
      descriptors.refresh(nowMs)
      components.runMaintenance(nowMs)
      guard.run(GuardedCallback.Task, link.catchUp)
    }
  }))

  function takeMaxDelayMs (): number {
    const delayMs = maxDelayMs
    maxDelayMs = 0
    return delayMs
  }

  async function stop ({ signal, atMs = getNowMs() }: Partial<StopRequest> = {}): Promise<void> {
    if (!life.recordStop(atMs)) return
    waits.abort()
    log.info('stopping', { signal, ...describeLoad() })
    link.announce()
    const ended = hasAccepted() ? await drainRequests({ life, callers, countOpen, endRequests: requestHandler.endRequests, getNowMs, onPhase: phase => log.info('stop_phase', { phase, ...describeLoad() }) }) : {}
    log.info('stopped', { ...ended, ...describeLoad() })
    await cleanup[Symbol.asyncDispose]()
  }

  async function openListeners (): Promise<void> {
    const { host } = settings.listen.callers
    await Promise.all([
      listenOn(callers, { ...listeners, name: EntryListener.Callers, address: settings.listen.callers }),
      listenOn(lookUps, { ...listeners, name: EntryListener.LookUps, address: settings.listen.lookUps }),
      listenOn(readiness, { ...listeners, name: EntryListener.Readiness, address: settings.listen.readiness }),
      link.open(),
      options.metricsPort === undefined ? undefined : listenOn(metricsServer, { ...listeners, name: EntryListener.Metrics, address: { host, port: options.metricsPort }, isNeeded: false })
    ])
  }

  cleanup.add({ [Symbol.asyncDispose]: async () => waits.abort() })
  descriptors.measure()
  await openListeners().catch(async error => {
    await (hasAccepted() ? stop() : cleanup[Symbol.asyncDispose]())
    throw error
  })
  if (callers.listening) log.info('started', { failureDomain: settings.failureDomain, region: settings.region, callers: getHeartbeat().callers, cpuMs: Math.round(process.cpuUsage().user / 1_000 + process.cpuUsage().system / 1_000) })

  return {
    stop,
    countUncaughtError: metrics.countUncaughtError,
    reload (next) {
      log.info('reloaded', { changed: listChangedSettings(settings, next) })
    },
    [Symbol.asyncDispose]: () => cleanup[Symbol.asyncDispose]()
  }
}

/** Creates the functions that read the gauges; `getComponents` is called at each reading only, since the parts are created after the metrics. */
function createGaugeReaders (getComponents: () => EntryComponents, { log, getHost, takeMaxDelayMs, getNowMs }: { log: EntryLog, getHost: () => HostBudgets, takeMaxDelayMs: () => number, getNowMs: () => number }): Record<EntryGauge, () => number> {
  return {
    [EntryGauge.ConfigVersion]: () => getComponents().state.getConfig()?.version ?? 0,
    [EntryGauge.Targets]: () => getComponents().state.targets.count(),
    [EntryGauge.FailingTargets]: () => getComponents().state.targets.countFailing(getNowMs()),
    [EntryGauge.UnreachedGroups]: () => getComponents().reach.countLost(),
    [EntryGauge.Waiting]: () => getComponents().dispatcher.countWaiting(),
    [EntryGauge.InFlight]: () => getComponents().dispatcher.countInFlight(),
    [EntryGauge.TargetConnections]: () => getComponents().pool.count(),
    [EntryGauge.Peers]: () => getComponents().listPeers().length,
    [EntryGauge.StoreAge]: () => (getNowMs() - getComponents().state.getLastContactMs()) / 1_000,
    [EntryGauge.EventLoopDelay]: () => takeMaxDelayMs() / 1_000,
    [EntryGauge.DroppedLines]: () => log.countDropped(),
    ...createHostGaugeReaders(getHost)
  }
}

/** Options of {@linkcode startReplications}. */
interface StartReplicationsOptions {
  /** Runs callbacks. */
  guard: CallbackGuard
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
function startReplications ({ guard, store, state, bounds, targetPauseMs, log, getNowMs, getRandom }: StartReplicationsOptions): AsyncDisposable[] {
  const tables = [
    { table: operatorTable, replicated: ReplicatedTable.Operator, pauseMs: 0 },
    { table: targetTable, replicated: ReplicatedTable.Targets, pauseMs: targetPauseMs }
  ]
  return tables.map(({ table, replicated, pauseMs }) => startTableReplication({
    guard,
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

function createMetricsListener (metrics: EntryMetrics, turns: ReadTurns): Server {
  const server = createServer((_, response) => {
    metrics.registry.metrics().then(text => response.writeHead(200, { 'Content-Type': metrics.registry.contentType }).end(text)).catch((error: Error) => response.writeHead(500).end(error.message))
  })
  applyBodilessRequests(server, turns)
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
