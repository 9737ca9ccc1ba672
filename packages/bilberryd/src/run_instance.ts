/**
 * Composes an entry instance from its parts and runs it.
 *
 * @module
 */
import type { InstanceRecord, ServiceRequest } from '@bilberryworks/steering'
import type Logger from 'bunyan'
import type { Settings } from './settings.ts'
import type { Feed } from './feed.ts'
import { randomUUID } from 'node:crypto'
import { createServiceHandler } from '@bilberryworks/callers'
import { createHttpPeers, createPeerHandler } from '@bilberryworks/instances'
import { createOperatorsService } from '@bilberryworks/operators'
import { createHttpPlatform } from '@bilberryworks/platform'
import { chooseFeeder, MachineState } from '@bilberryworks/steering'
import { createHttpTargets } from '@bilberryworks/targets'
import moleculer from 'moleculer'
import { findMaxBodyBytes } from './body_limits.ts'
import { createCallersService } from './callers_service.ts'
import { createDispatcher } from './dispatch.ts'
import { createFeed } from './feed.ts'
import { createCallersGateway, createOperatorsGateway } from './gateways.ts'
import { createMetrics } from './metrics.ts'
import { openListener } from './open_listener.ts'
import { createRegionChooser } from './regions.ts'
import { createRouter, listUsableTargets } from './route.ts'
import { createSync } from './sync.ts'
import { createView } from './view.ts'

const heartbeatsMissed = 4
const leavingMarginMs = 1_000

/** A running instance. */
export interface RunningInstance extends AsyncDisposable {
  /** `host:port` of each listener. */
  addresses: { callers: string, operators: string, peers: string }
  /** `host:port` that each listener is bound to, which differs where others reach it by an advertised address. */
  listening: { callers: string, operators: string, peers: string }
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
  let state = MachineState.Live
  let sequence = 0
  const incarnation = randomUUID()
  const addresses = { callers: '', operators: '', peers: '' }

  const metrics = createMetrics({
    countQueued: () => feed.countQueued(),
    countInFlight: () => feed.countInFlight(),
    getPlatformAgeMs: () => sync.getPlatformAgeMs(),
    getRevisions: view.getRevisions
  })
  const feed: Feed = createFeed({
    listFedTargets: service => listUsableTargets(view, service).filter(target => chooseFeeder(target, view.listInstances())?.instance === settings.instance),
    getNowMs
  })
  const dispatch = createDispatcher({ feed, targets, markTargetLeaving: view.markTargetLeaving, countRetry: metrics.countRetry, getNowMs })
  const regions = createRegionChooser({ view, getNowMs })
  const isReady = (): boolean => state === MachineState.Live && sync.isReady()
  const handleRequest = createRouter({ instance: settings.instance, view, dispatch, regions, peers, isReady: () => sync.isReady(), countRetry: metrics.countRetry, getNowMs })
  const isStopping = (): boolean => state === MachineState.Leaving
  const broker = new moleculer.ServiceBroker({ nodeID: settings.instance, logger: false, skipProcessEventRegistration: true })
  broker.createService(createCallersService({ view, regions, region: settings.region, ttlSeconds: settings.lookUpTtlSeconds, countLookUp: metrics.countLookUp }))
  broker.createService(createOperatorsService({
    platform,
    listDocuments: view.listDocuments,
    mergeDocument: view.mergeDocument,
    getWallClockMs: () => Date.now(),
    createStatus: () => ({ instance: settings.instance, incarnation, state, ready: isReady(), platformAgeMs: Math.round(sync.getPlatformAgeMs()), revisions: view.getRevisions(), instances: view.listInstances() })
  }))
  const lookUp = createCallersGateway(broker, { countRefusal: metrics.countRefusal })
  const getMaxBodyBytes = (request: ServiceRequest): number | undefined => findMaxBodyBytes(view, request)
  const listening = { headersTimeoutMs: settings.headersTimeoutMs, countRefusal: metrics.countRefusal }
  const serve = createServiceHandler({ fromPeer: false, handleRequest, recordEnd: metrics.recordEnd, isStopping, getMaxBodyBytes, bodyIdleTimeoutMs: settings.bodyIdleTimeoutMs })
  const serveForwarded = createServiceHandler({ fromPeer: true, handleRequest, recordEnd: metrics.recordEnd, isStopping: () => false })
  const operators = createOperatorsGateway(broker, { tokens: () => settings.tokens, countUnauthenticated: () => metrics.countUnauthenticated('operators'), registry: metrics.registry, isReady })
  const peerHandler = createPeerHandler({
    keys: settings.peerKeys,
    methods: { exchange: params => sync.handleExchange(params) },
    handleForward: serveForwarded,
    countUnauthenticated: () => metrics.countUnauthenticated('peers')
  })
  await broker.start()
  const listeners = [
    await openListener((request, response) => request.url?.startsWith('/v1/') === true ? lookUp(request, response) : serve(request, response), settings.listen.callers, listening),
    await openListener(operators, settings.listen.operators, listening),
    await openListener(peerHandler, settings.listen.peers, listening)
  ]
  addresses.callers = settings.advertise?.callers ?? listeners[0]!.address
  addresses.operators = listeners[1]!.address
  addresses.peers = settings.advertise?.peers ?? listeners[2]!.address

  function createAnnouncement (): InstanceRecord {
    return {
      instance: settings.instance,
      incarnation,
      failureDomain: settings.failureDomain,
      region: settings.region,
      callerAddress: addresses.callers,
      peerAddress: addresses.peers,
      state,
      sequence: ++sequence,
      pinEpoch: 0
    }
  }
  const sync = createSync({
    view,
    platform,
    peers,
    createAnnouncement,
    seedPeers: settings.seedPeers,
    pollMs: settings.pollMs,
    heartbeatMs: settings.heartbeatMs,
    getRandom: Math.random,
    getNowMs,
    recordPlatform: reachable => log.info({ reachable }, reachable ? 'Platform answers' : 'Platform does not answer')
  })
  log.info({ addresses, incarnation }, 'Instance started')

  const dispose = async (): Promise<void> => {
    await sync[Symbol.asyncDispose]()
    await Promise.all(listeners.map(listener => listener[Symbol.asyncDispose]()))
    await broker.stop()
    await feed[Symbol.asyncDispose]()
    await Promise.all([platform, targets, peers].map(peer => peer[Symbol.asyncDispose]()))
  }
  return {
    addresses,
    listening: { callers: listeners[0]!.address, operators: listeners[1]!.address, peers: listeners[2]!.address },
    async stop () {
      state = MachineState.Leaving
      log.info('Instance is leaving')
      await sync.announce()
      await waitMs(settings.lookUpTtlSeconds * 1000 + leavingMarginMs)
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
