/**
 * Creates the components of an instance that handle requests: slots, ownership, routing, links and idempotency keys.
 *
 * @module
 */
import type { PeerClient } from '@bilberryworks/instances'
import type { Platform } from '@bilberryworks/platform'
import type { HandleRequest, TargetRecord } from '@bilberryworks/steering'
import type { TargetClient } from '@bilberryworks/targets'
import type Logger from 'bunyan'
import type { SlotPool } from './slot_pool.ts'
import type { OwnerLoads } from './owner_loads.ts'
import type { OwnershipManager } from './ownership_manager.ts'
import type { Identity } from './identity.ts'
import type { Metrics } from './metrics.ts'
import type { RegionChooser } from './regions.ts'
import type { LinkSettings, Settings } from './settings.ts'
import type { ClusterView } from './cluster_view.ts'
import { chooseOwner, getQueueLimits, LeaseState, LifecycleState } from '@bilberryworks/steering'
import { createDispatch } from './dispatch.ts'
import { createSlotPool } from './slot_pool.ts'
import { createOwnershipManager } from './ownership_manager.ts'
import { createHandoffWait } from './handoff_wait.ts'
import { createIdempotencyHandler } from './idempotency_handler.ts'
import { createLinkRateLimiter } from './link_rate_limiter.ts'
import { startLoop } from './loop.ts'
import { createRequestPacer } from './pace_requests.ts'
import { createRegionChooser } from './regions.ts'
import { createRouter, listUsableTargets } from './route.ts'

/** Duration of a lease, in heartbeat intervals. */
const heartbeatsPerLease = 4

/** The components that handle requests. */
export interface ServingComponents extends AsyncDisposable {
  slotPool: SlotPool
  ownership: OwnershipManager
  regions: RegionChooser
  /** Handles a validated request of a caller. */
  handleRequest: HandleRequest
  /** Handles a validated request that another instance forwarded. */
  handleForwarded: HandleRequest
}

/** Options of {@linkcode createServingComponents}. */
export interface CreateServingComponentsOptions {
  settings: Settings
  clients: { platform: Platform, targets: TargetClient, peers: PeerClient }
  loads: OwnerLoads
  view: ClusterView
  identity: Identity
  metrics: Metrics
  /** Logger for changes of the lease's state and for takeovers. */
  log: Logger
  /** Sends this instance's announcement to the platform and peers immediately. */
  announce: () => void
  /** Whether this instance has loaded the documents since its start. */
  isReady: () => boolean
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/**
 * Creates the components that handle requests.
 *
 * @param options Settings and the components that these depend on
 * @returns The components; dispose them to stop their timers
 */
export function createServingComponents (options: CreateServingComponentsOptions): ServingComponents {
  const { settings, loads, view, identity, metrics, log, getNowMs } = options
  const { platform, targets, peers } = options.clients
  const slotPool: SlotPool = createSlotPool({
    listOwnedTargets: service => listUsableTargets(view, service).flatMap(target => {
      const slots = ownership.getSlotLimit(target)
      return slots > 0 ? [{ ...target, slots }] : []
    }),
    listUsableTargets: () => view.listAllTargets().filter(target => target.state === LifecycleState.Live),
    getLimits: service => getQueueLimits(view.getDocument(service)?.document),
    getNowMs
  })
  const ownership = createOwnershipManager({
    leaseMs: settings.heartbeatMs * heartbeatsPerLease,
    longestDispatchMs: settings.longestDispatchMs,
    platform,
    peers,
    getSelf: identity.getRecord,
    listInstances: view.listInstances,
    findInstance: view.getInstance,
    getSilenceMs: view.getSilenceMs,
    listTargets: view.listAllTargets,
    getBusySlots: slotPool.getBusySlots,
    getNowMs,
    recordLease (lease) {
      identity.updateCanDispatch(lease !== LeaseState.Lapsed)
      log.info({ lease }, 'State of the target ownership lease changed')
      options.announce()
    },
    recordTakeover: (instance, failureDomain) => log.warn({ silent: instance, failureDomain }, 'Instance declared silent; its targets are taken over')
  })
  const isOwner = ({ target, failureDomain }: TargetRecord): boolean => chooseOwner(target, ownership.listOwners(failureDomain)) === settings.instance
  const waitForHandoff = createHandoffWait({
    ownsTarget: service => listUsableTargets(view, service).some(isOwner),
    hasSlots: service => listUsableTargets(view, service).some(target => ownership.getSlotLimit(target) > 0),
    getNowMs
  })
  const dispatch = createDispatch({
    slotPool,
    waitForHandoff,
    targets,
    markTargetLeaving: view.markTargetLeaving,
    checkDispatch ({ service, target }) {
      const record = view.listTargets(service).find(other => other.target === target)
      return record !== undefined && slotPool.getBusySlots(target) <= ownership.getSlotLimit(record)
    },
    countRetry: metrics.countRetry,
    getNowMs
  })
  const listRegionOwners = (service: string, region: string): string[] => {
    const failureDomains = new Set(listUsableTargets(view, service).filter(target => target.region === region).map(target => target.failureDomain))
    return [...new Set([...failureDomains].flatMap(ownership.listOwners))].filter(isReachable)
  }
  const isReachable = (instance: string): boolean => view.listInstances().some(record => record.instance === instance)
  const regions = createRegionChooser({
    view,
    hasReachableOwner: target => ownership.listOwners(target.failureDomain).some(isReachable),
    getRegionReport: (service, region) => loads.sumReports(service, listRegionOwners(service, region)),
    getNowMs
  })
  const loops = [ownership.renewLease, ownership.advance].map(step => startLoop(step, { intervalMs: settings.pollMs, getRandom: Math.random }))
  const linkRateLimiter = createLinkRateLimiter({ localRegion: settings.region, ...describeLinks(settings), getNowMs })
  const pacer = createRequestPacer(linkRateLimiter, { region: settings.region, getNowMs })
  const routeRequest = createRouter({
    instance: settings.instance,
    view,
    listOwners: ownership.listOwners,
    dispatch,
    regions,
    peers,
    loads,
    links: pacer,
    isReady: options.isReady,
    countRetry: metrics.countRetry,
    getRandom: Math.random,
    getNowMs
  })
  const idempotencyHandler = createIdempotencyHandler({
    instance: settings.instance, incarnation: identity.getRecord().incarnation, platform, peers, view, handleRequest: routeRequest, getNowMs
  })
  identity.setPinEpochSource(idempotencyHandler.getPinEpoch)
  return {
    slotPool,
    ownership,
    regions,
    handleRequest: idempotencyHandler.handleRequest,
    handleForwarded: pacer.paceResponses(idempotencyHandler.handleRequest),
    async [Symbol.asyncDispose] () {
      for (const component of [...loops, linkRateLimiter, slotPool]) await component[Symbol.asyncDispose]()
    }
  }
}

/** Returns, from the settings, the capacity of each link and the largest number of instances that send over one link. */
function describeLinks (settings: Settings): { getLinkBitsPerSecond: (toRegion: string) => number | undefined, countSenders: () => number } {
  const findLink = (toRegion: string): LinkSettings | undefined => settings.links.find(({ regions }) => regions.includes(settings.region) && regions.includes(toRegion))
  const senders = Math.max(1, ...settings.links.filter(({ regions }) => regions.includes(settings.region)).map(link => link.senders))
  return { getLinkBitsPerSecond: toRegion => findLink(toRegion)?.bitsPerSecond, countSenders: () => senders }
}
