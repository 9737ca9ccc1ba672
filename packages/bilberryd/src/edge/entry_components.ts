/**
 * The parts of an entry instance that decide: what it knows, where each request goes, and what it tells its peers.
 *
 * They reach targets and peers by the pools that are given, and tell time by the clock that is given, so that they also run in simulations.
 *
 * @module
 */
import type { EntrySettings, LifeCycle } from '@bilberryworks/steering'
import type { checkListening, TargetPool } from '@bilberryworks/targets'
import type { CallbackGuard } from './callback_guard.ts'
import type { CrashGuard } from './crash_guard.ts'
import type { Dispatcher } from './dispatcher.ts'
import type { DescriptorBudget } from './descriptor_limits.ts'
import type { MemoryBudget } from './memory_limits.ts'
import type { EntryLog } from './entry_log.ts'
import type { EntryMetrics } from './entry_metrics.ts'
import type { EntryState } from './entry_state.ts'
import type { PeerHeartbeat, PeerView } from './peer_view.ts'
import type { ReachMonitor } from './reach_monitor.ts'
import type { RelaySettings } from './entry_options.ts'
import type { RequestHandler } from './request_handler.ts'
import type { TargetReports } from './target_reports.ts'
import { createAttemptPacer, createConnectionHold, createWeightedRoundRobin, FailureSide, getFailureSide, LifePhase } from '@bilberryworks/steering'
import { ConnectionEvent } from '@bilberryworks/targets'
import { GuardedCallback, noGuard } from './callback_guard.ts'
import { createCrashGuard } from './crash_guard.ts'
import { createDispatcher } from './dispatcher.ts'
import { createEntryState } from './entry_state.ts'
import { createPeerView } from './peer_view.ts'
import { describeTables } from './kept_rows.ts'
import { createReachMonitor } from './reach_monitor.ts'
import { createRegionShares } from './region_shares.ts'
import { createRelayPeers } from './relay_peers.ts'
import { createColdReporter } from './report_cold.ts'
import { createRequestHandler } from './request_handler.ts'
import { createTargetReports } from './target_reports.ts'

/** The deciding parts of an entry instance. */
export interface EntryComponents extends AsyncDisposable {
  /** Replicated configuration and target registry. */
  state: EntryState
  /** View of the other instances. */
  view: PeerView
  /** Network paths to targets. */
  reach: ReachMonitor
  /** What targets report about themselves. */
  targetReports: TargetReports
  /** Evidence on requests that crash targets. */
  crashGuard: CrashGuard
  /** Dispatches requests. */
  dispatcher: Dispatcher
  /** Handles requests of callers and relayed ones. */
  requestHandler: RequestHandler
  /** Connections to targets. */
  pool: TargetPool
  /** Lists the latest heartbeats of the other live instances. */
  listPeers (): PeerHeartbeat[]
  /** Returns whether the instance accepts new requests. */
  isReady (): boolean
  /** Returns the next heartbeat of this instance. */
  getHeartbeat (): PeerHeartbeat
  /** Runs what is to be done at short intervals. */
  runMaintenance (nowMs: number): void
}

/** Options of {@linkcode createEntryComponents}. */
export interface CreateEntryComponentsOptions {
  /** Runs callbacks; by default what they throw is passed on. */
  guard?: CallbackGuard
  /** Settings of the instance. */
  settings: EntrySettings
  /** Start time of the process, in Unix milliseconds. */
  startedAtMs: number
  /** Structured log. */
  log: EntryLog
  /** Metrics. */
  metrics: EntryMetrics
  /** Creates the connections to targets; the callback is to be called with each event of a connection. */
  createPool: (onConnectionEvent: (event: ConnectionEvent, targetId: string, code?: string) => void) => TargetPool
  /** Connections to other instances. */
  peerPool: TargetPool
  /** Connects to an address, to tell whether a process listens there. */
  checkListening: typeof checkListening
  /** Whether and how much instances relay for each other. */
  relays: RelaySettings
  /** Calls a function when what sockets have received has been read. */
  runAfterReads: (run: () => void) => void
  /** Phases of the instance. */
  life: LifeCycle
  /** Returns whether callers can connect to this instance. */
  isOpen: () => boolean
  /** Descriptors of the host; unlimited if absent. */
  descriptors?: DescriptorBudget
  /** Memory of the host; unlimited if absent. */
  memory?: MemoryBudget
  /** Called after each change that can affect target selection. */
  onStateChange: () => void
  /** Sends a heartbeat to all peers without waiting for the next one. */
  sendNow: () => void
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
  /** Returns a random number in [0, 1). */
  getRandom: () => number
}

/** Time without a heartbeat after which a peer is not live, in milliseconds: three consecutive lost heartbeats within a region, two between regions, each loss being rare. */
const peerTimeoutMs = 3_300
const remotePeerTimeoutMs = 5_200
/** Checks of whether a target has ended at which no request was lost, in a second. */
const endChecksPerSecond = 2
/** Time after its start from which an instance takes the peers that it knows for all of them although neither the store nor a seed has told it, in milliseconds: several heartbeats of each. */
const membershipMs = 8_000
/** Time after which a silent peer is evicted, in milliseconds; after a longer partition the instances find each other again through the store at the next start. */
const peerEvictionMs = 120_000

/**
 * Creates the deciding parts of an instance that has just started.
 *
 * @param options Settings, connections, log and clock
 * @returns The parts; dispose them to stop their timers
 */
export function createEntryComponents (options: CreateEntryComponentsOptions): EntryComponents {
  const { settings, guard = noGuard, life, log, metrics, peerPool, runAfterReads, getNowMs, getRandom } = options
  let sequence = 0
  const view = createPeerView({ instance: settings.instance, startedAtMs: getNowMs(), completionMs: membershipMs, evictionMs: peerEvictionMs, getTimeoutMs: heartbeat => heartbeat.region === settings.region ? peerTimeoutMs : remotePeerTimeoutMs })
  const listPeers = (): PeerHeartbeat[] => view.listLive(getNowMs()).map(peer => peer.heartbeat)
  const { reportCold, reportGroupCold } = createColdReporter({ log, metrics, getNowMs })
  const state = createEntryState({ guard, regions: settings.regions, log, reportCold, reportGroupCold, getNowMs, countUndecodable: metrics.countUndecodable, onChange: handleChange })
  const hold = createConnectionHold({ getRandom })
  const pool = options.createPool((event, targetId, code) => guard.run(GuardedCallback.Connection, () => handleConnectionEvent(event, targetId, code)))
  const targetReports = createTargetReports({ state, metrics, log, reportCold, getNowMs })
  const relayPeers = createRelayPeers({ region: settings.region, view, isEnabled: options.relays.isEnabled, getNowMs, getRandom })
  const reach = createReachMonitor({ pacer: createAttemptPacer(), state, reportGroupCold, getPool: () => pool, isReachedByPeers: relayPeers.isReached, listReports: listPeers, listPending: () => dispatcher.listPending(), onChange: handleReachChange, log, getNowMs })
  const crashGuard = createCrashGuard({ pacer: createAttemptPacer({ perSecond: endChecksPerSecond }), onTargetEnd: targetReports.recordEnd, confirmPath: reach.confirmPath, checkListening: options.checkListening, metrics, log, getNowMs })
  const dispatcher = createDispatcher({
    guard,
    crashGuard,
    reach,
    hold,
    relayPeers,
    maxRelayed: options.relays.maxRelayed,
    settings,
    life,
    state,
    pool,
    peerPool,
    log,
    metrics,
    reportCold,
    getNowMs,
    getRandom,
    handleTargetResponse: targetReports.handleResponse,
    handleRelayedResponse: targetReports.handleRelayedResponse,
    listInstances: () => [settings.instance, ...listPeers().map(peer => peer.instance)],
    listKnownInstances: () => view.listKnown().map(peer => ({ instance: peer.heartbeat.instance, isLive: view.isLive(peer, getNowMs()) })),
    isMembershipKnown: () => view.isComplete(getNowMs()),
    listContenders: targetId => view.listKnown().map(({ heartbeat: { instance } }) => ({ instance, mayClaim: targetReports.mayClaim(instance, targetId) })),
    getMaxLiveInstances: view.getMaxLiveInstances,
    getRegionShare: service => regionShares.getShare(service)
  })
  const regionShares = createRegionShares({ settings, state, countRequests: dispatcher.countRequests, listPeers })
  const serviceSelector = createWeightedRoundRobin(getRandom)
  const requestHandler = createRequestHandler({ guard, state, dispatcher, log, metrics, runAfterReads, getNowMs, chooseService: serviceSelector.choose, life, descriptors: options.descriptors, memory: options.memory })
  const isReady = (): boolean => options.isOpen() && life.getPhase(getNowMs()) === LifePhase.Running && state.getConfig() !== undefined

  function handleChange (): void {
    options.onStateChange()
    dispatcher.dispatchWaiting()
  }

  function handleReachChange (): void {
    options.sendNow()
    dispatcher.retryUnreachable()
    dispatcher.dispatchWaiting()
  }

  function handleConnectionEvent (event: ConnectionEvent, targetId: string, code?: string): void {
    // The budget of descriptors refuses without an error code.
    const side = event === ConnectionEvent.RefusedLocally && code === undefined ? FailureSide.Local : getFailureSide(code)
    metrics.countConnectionEvent(event)
    if (event === ConnectionEvent.ConnectFailed || event === ConnectionEvent.RefusedLocally) metrics.countConnectFailure(side)
    if (event === ConnectionEvent.RefusedLocally) hold.recordFailure(targetId, side, getNowMs())
    else if (event === ConnectionEvent.Established) hold.recordEstablished(targetId, getNowMs())
    reach.handleConnectionEvent(event, targetId)
    const entry = state.targets.find(targetId)
    // Without a route, nothing shows whether a process ended.
    const mayHaveEnded = event === ConnectionEvent.ClosedByTarget || (event === ConnectionEvent.ConnectFailed && side === FailureSide.Remote)
    if (entry !== undefined && mayHaveEnded && reach.isReached(entry)) crashGuard.recordClose(entry)
  }

  function sendNews (): void {
    const hasNews = [crashGuard.takeNews(), targetReports.takeNews(), reach.doubts.advance()].includes(true)
    if (hasNews) options.sendNow()
  }

  return {
    state,
    view,
    reach,
    targetReports,
    crashGuard,
    dispatcher,
    requestHandler,
    pool,
    listPeers,
    isReady,
    getHeartbeat: () => ({
      ...describeInstance(settings),
      startedAtMs: options.startedAtMs,
      sequence: sequence++,
      isReady: isReady(),
      versions: describeTables(state),
      demand: regionShares.getDemand(),
      targetReports: targetReports.listRecent(),
      crashReports: crashGuard.listRecent(),
      unreached: reach.listUnreached(),
      reached: reach.doubts.listVouched()
    }),
    runMaintenance (nowMs) {
      const tasks = [
        () => options.memory?.sample(),
        () => state.targets.observeTime(nowMs),
        () => regionShares.advance(nowMs),
        () => pool.closeExpired(nowMs),
        () => peerPool.closeExpired(nowMs),
        () => state.removeExpired(nowMs),
        () => reach.advance(),
        () => dispatcher.retryUnreachable(),
        () => crashGuard.removeExpired(),
        sendNews
      ]
      for (const task of tasks) guard.run(GuardedCallback.Task, task)
    },
    [Symbol.asyncDispose]: () => reach[Symbol.asyncDispose]()
  }
}

/** Returns the part of this instance's heartbeats that does not change. */
function describeInstance (settings: EntrySettings): Pick<PeerHeartbeat, 'instance' | 'failureDomain' | 'region' | 'callers' | 'heartbeats' | 'peers'> {
  const { instance, failureDomain, region, listen, heartbeatPort } = settings
  return { instance, failureDomain, region, callers: `${listen.callers.host}:${listen.callers.port}`, heartbeats: { host: listen.peers.host, port: heartbeatPort }, peers: listen.peers }
}
