/**
 * Composes an entry instance from its parts and runs it.
 *
 * @module
 */
import type { InstanceRecord, WeightChange } from '@bilberryworks/steering'
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
import { createCallersService } from './callers_service.ts'
import { createDispatcher } from './dispatch.ts'
import { PeerMethodName } from './exchange_messages.ts'
import { createFeed } from './feed.ts'
import { createCallersGateway, createOperatorsGateway } from './gateways.ts'
import { createLeavingWatch } from './leaving_watch.ts'
import { createMetrics } from './metrics.ts'
import { openListener } from './open_listener.ts'
import { createRegionChooser } from './regions.ts'
import { createRouter, listUsableTargets } from './route.ts'
import { createShiftLoop, hasLiveTargets } from './shift_loop.ts'
import { createStatusReader } from './status.ts'
import { createSync } from './sync.ts'
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
    listTargets: view.listAllTargets,
    mergeDocument (accepted) {
      if (view.mergeDocument(accepted)) sync.spread().catch(() => {})
    },
    getWallClockMs: () => Date.now(),
    createStatus: async () => ({ ...sync.createVersions(), state, ready: isReady(), ...await status.readInstances() }),
    createServiceStatus: async service => await status.readService(service) ?? {}
  }))
  const lookUp = createCallersGateway(broker)
  const serve = createServiceHandler({ fromPeer: false, handleRequest, recordEnd: metrics.recordEnd, isStopping })
  const serveForwarded = createServiceHandler({ fromPeer: true, handleRequest, recordEnd: metrics.recordEnd, isStopping: () => false })
  const operators = createOperatorsGateway(broker, { tokens: () => settings.tokens, countUnauthenticated: () => metrics.countUnauthenticated('operators'), registry: metrics.registry, isReady })
  const peerHandler = createPeerHandler({
    keys: settings.peerKeys,
    methods: Object.fromEntries(Object.values(PeerMethodName).map(name => [name, (params: unknown) => sync.methods[name]?.(params)])),
    handleForward: serveForwarded,
    countUnauthenticated: () => metrics.countUnauthenticated('peers')
  })
  await broker.start()
  const listeners = [
    await openListener((request, response) => request.url?.startsWith('/v1/') === true ? lookUp(request, response) : serve(request, response), settings.listen.callers),
    await openListener(operators, settings.listen.operators),
    await openListener(peerHandler, settings.listen.peers)
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
  const isPlatformReachable = (): boolean => sync.isPlatformReachable()
  const hasCapacity = (service: string, change: WeightChange): boolean => hasLiveTargets(view, service, { change })
  const shifts = createShiftLoop({ instance: settings.instance, view, platform, hasCapacity, isPlatformReachable, rankDelayMs: settings.pollMs, getNowMs })
  const status = createStatusReader({ view, peers, createVersions: () => sync.createVersions(), getWeights: regions.getWeights, getShiftState: shifts.getState })
  const askLeaving = createLeavingWatch({ instance: settings.instance, view, readLoad: targets.readLoad, getNowMs })
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
    afterPoll: async () => {
      view.listDocuments().forEach(accepted => regions.getWeights(accepted.document.service))
      askLeaving().catch(() => {})
      await shifts.advanceShifts()
    },
    recordSuperseded: () => (state = MachineState.Leaving) && log.warn('A later incarnation runs under the name of this instance'),
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
