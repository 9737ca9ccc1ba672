/**
 * Composes an entry instance from its parts and runs it.
 *
 * @module
 */
import type Logger from 'bunyan'
import type { Settings } from './settings.ts'
import type { Feed } from './feed.ts'
import { createServiceHandler } from '@bilberryworks/callers'
import { createHttpPeers, createPeerHandler } from '@bilberryworks/instances'
import { createOperatorsService } from '@bilberryworks/operators'
import { createHttpPlatform } from '@bilberryworks/platform'
import { createHttpTargets } from '@bilberryworks/targets'
import moleculer from 'moleculer'
import { createCallersService } from './callers_service.ts'
import { createDispatcher } from './dispatch.ts'
import { createFeed } from './feed.ts'
import { createCallersGateway, createOperatorsGateway } from './gateways.ts'
import { feedsMethod } from './feed_exchange.ts'
import { createFeeding } from './feeding.ts'
import { startLoop } from './loop.ts'
import { createIdentity } from './identity.ts'
import { createMetrics } from './metrics.ts'
import { openListener } from './open_listener.ts'
import { createRegionChooser } from './regions.ts'
import { createRouter, listUsableTargets } from './route.ts'
import { createSync, createSyncMethods } from './sync.ts'
import { createUpkeep } from './upkeep.ts'
import { createView } from './view.ts'

const heartbeatsMissed = 4
const leavingMarginMs = 1_000

/** A running instance. */
export interface RunningInstance extends AsyncDisposable {
  /** `host:port` of each listener. */
  addresses: { callers: string, operators: string, peers: string }
  /** Stops gracefully: announces it, serves on, lets requests in flight end. */
  stop (): Promise<void>
}

/**
 * Runs an entry instance until it is disposed.
 *
 * @param settings Its settings
 * @param log Where changes of state are written
 * @returns The running instance
 */
export async function runInstance (settings: Settings, log: Logger): Promise<RunningInstance> {
  const getNowMs = (): number => performance.now()
  const local = settings.localAddress === undefined ? {} : { localAddress: settings.localAddress }
  const platform = createHttpPlatform(settings.platformUrl, local)
  const targets = createHttpTargets(local)
  const peers = createHttpPeers({ key: settings.peerKeys[0]!, ...local })
  const view = createView({ instanceTimeoutMs: settings.heartbeatMs * heartbeatsMissed, getNowMs })
  const identity = createIdentity(settings)

  const metrics = createMetrics({
    countQueued: () => feed.countQueued(),
    countInFlight: () => feed.countInFlight(),
    getPlatformAgeMs: () => sync.getPlatformAgeMs(),
    getRevisions: view.getRevisions
  })
  const feed: Feed = createFeed({
    listFedTargets: service => listUsableTargets(view, service).flatMap(target => {
      const slots = feeding.getSlotLimit(target)
      return slots > 0 ? [{ ...target, slots }] : []
    }),
    getNowMs
  })
  const dispatch = createDispatcher({ feed, targets, markTargetLeaving: view.markTargetLeaving, countRetry: metrics.countRetry, getNowMs })
  const regions = createRegionChooser({ view, getNowMs })
  const isReady = (): boolean => !identity.isLeaving() && sync.isReady()
  const handleRequest = createRouter({ instance: settings.instance, view, listFeeders: failureDomain => feeding.listFeeders(failureDomain), dispatch, regions, peers, isReady: () => sync.isReady(), countRetry: metrics.countRetry, getNowMs })
  const broker = new moleculer.ServiceBroker({ nodeID: settings.instance, logger: false, skipProcessEventRegistration: true })
  broker.createService(createCallersService({ view, regions, region: settings.region, ttlSeconds: settings.lookUpTtlSeconds, countLookUp: metrics.countLookUp }))
  broker.createService(createOperatorsService({
    platform,
    listDocuments: view.listDocuments,
    listTargets: view.listAllTargets,
    mergeDocument: accepted => view.mergeDocument(accepted) && sync.spread().catch(() => {}),
    getWallClockMs: () => Date.now(),
    createStatus: async () => ({ ...identity.getRecord(), ...sync.createVersions(), ready: isReady(), ...await upkeep.status.readInstances() }),
    createServiceStatus: async service => await upkeep.status.readService(service) ?? {}
  }))
  const lookUp = createCallersGateway(broker)
  const serve = createServiceHandler({ fromPeer: false, handleRequest, recordEnd: metrics.recordEnd, isStopping: identity.isLeaving })
  const serveForwarded = createServiceHandler({ fromPeer: true, handleRequest, recordEnd: metrics.recordEnd, isStopping: () => false })
  const operators = createOperatorsGateway(broker, { tokens: () => settings.tokens, countUnauthenticated: () => metrics.countUnauthenticated('operators'), registry: metrics.registry, isReady })
  const peerHandler = createPeerHandler({
    keys: settings.peerKeys,
    methods: { ...createSyncMethods(() => sync), [feedsMethod]: params => feeding.handleExchange(params) },
    handleForward: serveForwarded,
    countUnauthenticated: () => metrics.countUnauthenticated('peers')
  })
  await broker.start()
  const listeners = [
    await openListener((request, response) => request.url?.startsWith('/v1/') === true ? lookUp(request, response) : serve(request, response), settings.listen.callers),
    await openListener(operators, settings.listen.operators),
    await openListener(peerHandler, settings.listen.peers)
  ]
  const [callersListener, operatorsListener, peersListener] = listeners
  const addresses = {
    callers: settings.advertise?.callers ?? callersListener!.address,
    operators: operatorsListener!.address,
    peers: settings.advertise?.peers ?? peersListener!.address
  }
  identity.updateAddresses(addresses)

  const feeding = createFeeding({
    leaseMs: settings.heartbeatMs * heartbeatsMissed,
    longestDispatchMs: settings.longestDispatchMs,
    platform,
    peers,
    getSelf: identity.getRecord,
    listInstances: view.listInstances,
    findInstance: view.findInstance,
    getSilenceMs: view.getSilenceMs,
    listTargets: view.listAllTargets,
    getBusy: target => feed.getBusy(target),
    getNowMs,
    recordLease: lease => log.info({ lease }, 'Hold on targets changed'),
    recordTakeover: (instance, failureDomain) => log.warn({ silent: instance, failureDomain }, 'Instance was declared silent')
  })
  const upkeep = createUpkeep({ settings, view, platform, peers, targets, regions, getSync: () => sync, getNowMs })
  const feedLoop = startLoop(feeding.advance, { intervalMs: settings.pollMs, getRandom: Math.random })
  const sync = createSync({
    view,
    platform,
    peers,
    createAnnouncement: identity.createAnnouncement,
    seedPeers: settings.seedPeers,
    pollMs: settings.pollMs,
    heartbeatMs: settings.heartbeatMs,
    getRandom: Math.random,
    getNowMs,
    recordHeartbeat: feeding.recordHeartbeat,
    recordMachines: feeding.recordMachines,
    refreshFeeds: feeding.refresh,
    afterPoll: upkeep.runAfterPoll,
    recordSuperseded: () => { identity.markLeaving(); log.warn('A later incarnation runs under the name of this instance') },
    recordPlatform: reachable => log.info({ reachable }, reachable ? 'Platform answers' : 'Platform does not answer')
  })
  log.info({ addresses, incarnation: identity.getRecord().incarnation }, 'Instance started')

  const dispose = async (): Promise<void> => {
    await Promise.all([sync, feedLoop].map(loop => loop[Symbol.asyncDispose]()))
    await Promise.all(listeners.map(listener => listener[Symbol.asyncDispose]()))
    await broker.stop()
    await feed[Symbol.asyncDispose]()
    await Promise.all([platform, targets, peers].map(peer => peer[Symbol.asyncDispose]()))
  }
  return {
    addresses,
    async stop () {
      identity.markLeaving()
      log.info('Instance is leaving')
      await sync.announce()
      await waitMs(settings.lookUpTtlSeconds * 1000 + leavingMarginMs)
      await feeding.release()
      const drained = Promise.all(listeners.map(listener => listener.drain()))
      await Promise.race([drained, waitMs(settings.stopLimitMs)])
      metrics.countCutOff(feed.countInFlight())
      await dispose()
      log.info('Instance stopped')
    },
    [Symbol.asyncDispose]: dispose
  }
}

async function waitMs (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms).unref())
}
