/**
 * Creates the components of an instance and connects them; the listeners are opened elsewhere.
 *
 * @module
 */
import type { CreateHttpPeersOptions, PeerClient } from '@bilberryworks/instances'
import type { StorePlatform } from '@bilberryworks/platform'
import type { HandleRequest } from '@bilberryworks/steering'
import type { TargetClient } from '@bilberryworks/targets'
import type Logger from 'bunyan'
import type { ClientBlocksLoader } from './client_blocks.ts'
import type { SlotPool } from './slot_pool.ts'
import type { OwnershipManager } from './ownership_manager.ts'
import type { Identity } from './identity.ts'
import type { Metrics } from './metrics.ts'
import type { RegionChooser } from './regions.ts'
import type { OwnerLoads } from './owner_loads.ts'
import type { Settings } from './settings.ts'
import type { StatusReader } from './status.ts'
import type { Sync } from './sync.ts'
import type { ClusterView } from './cluster_view.ts'
import { createHttpPeers } from '@bilberryworks/instances'
import { createStorePlatform } from '@bilberryworks/platform'
import { createHttpTargets } from '@bilberryworks/targets'
import { createBudgetedPeers } from './budgeted_peers.ts'
import { createClientBlocksLoader } from './client_blocks.ts'
import { createOwnerLoads, slotLoadHeader } from './owner_loads.ts'
import { createIdentity } from './identity.ts'
import { createMetrics } from './metrics.ts'
import { readPem } from './read_pem.ts'
import { createServingComponents } from './serving_components.ts'
import { createSync } from './sync.ts'
import { createMaintenance } from './maintenance.ts'
import { createClusterView } from './cluster_view.ts'

const maxMissedHeartbeats = 4
const defaultControlBytesPerSecond = 16_384

/** The components of an instance. */
export interface InstanceComponents extends AsyncDisposable {
  settings: Settings
  platform: StorePlatform
  peers: PeerClient
  identity: Identity
  view: ClusterView
  clientBlocks: ClientBlocksLoader
  metrics: Metrics
  slotPool: SlotPool
  ownership: OwnershipManager
  regions: RegionChooser
  status: StatusReader
  sync: Sync
  /** Handles a validated request of a caller. */
  handleRequest: HandleRequest
  /** Handles a validated request that another instance forwarded. */
  handleForwarded: HandleRequest
  /** Whether the instance is ready: not leaving, all service documents loaded, and announcing in the field `feeding` that it dispatches requests to the targets that it owns. */
  isReady: () => boolean
}

/** Options of {@linkcode createInstanceComponents}. */
export interface CreateInstanceComponentsOptions {
  /** `host:port` under which callers and peers reach the instance. */
  addresses: { callers: string, peers: string }
  /** Log for state changes. */
  log: Logger
}

/**
 * Creates the components of an instance and starts their periodic tasks.
 *
 * @param settings The instance's settings
 * @param options Addresses and log
 * @returns The components; dispose them to stop the periodic tasks and close the connections
 */
export function createInstanceComponents (settings: Settings, options: CreateInstanceComponentsOptions): InstanceComponents {
  const { log } = options
  const getNowMs = (): number => performance.now()
  const ownerLoads = createOwnerLoads({ instance: settings.instance, failureDomain: settings.failureDomain, getOwnLoad: service => serving.slotPool.getLoad(service), getNowMs })
  const clients = createClients(settings, ownerLoads)
  const { platform, targets, peers } = clients
  const identity = createIdentity(settings)
  identity.updateAddresses(options.addresses)
  const view = createClusterView({ instanceTimeoutMs: settings.heartbeatMs * maxMissedHeartbeats, getNowMs })
  const metrics = createMetrics({
    countQueued: () => serving.slotPool.countQueued(),
    countInFlight: () => serving.slotPool.countInFlight(),
    getPlatformAgeMs: () => sync.getPlatformAgeMs(),
    getClientBlocksRevision: () => clientBlocks.getBlocks().revision,
    getRevisions: view.getDocumentRevisions,
    sumOwnedSlots () {
      const sums: Record<string, number> = {}
      for (const target of view.listAllTargets()) sums[target.failureDomain] = (sums[target.failureDomain] ?? 0) + ownership.getSlotLimit(target)
      return sums
    }
  })
  const clientBlocks = createClientBlocksLoader({ platform, getRandom: Math.random, countLoad: metrics.countClientBlocksLoad, recordLoad: (load, detail) => log.info({ load }, detail) })
  const serving = createServingComponents({ settings, clients, loads: ownerLoads, view, identity, metrics, log, isReady: () => sync.isReady(), announce: () => { sync.announce().catch(() => {}) }, getNowMs })
  const { slotPool, ownership, regions } = serving
  const maintenance = createMaintenance({ settings, view, platform, peers, targets, regions, getSync: () => sync, getNowMs })
  const budgetedPeers = createBudgetedPeers(peers, {
    bytesPerSecond: settings.controlBytesPerSecond ?? defaultControlBytesPerSecond, isReady: () => sync.isReady(), countBytes: metrics.countControlBytes, countSkipped: metrics.countSkippedExchange, getNowMs
  })
  const sync: Sync = createSync({
    view,
    platform,
    peers: budgetedPeers,
    createInstanceRecord: identity.createInstanceRecord,
    seedPeers: settings.seedPeers,
    pollMs: settings.pollMs,
    heartbeatMs: settings.heartbeatMs,
    getRandom: Math.random,
    getNowMs,
    recordHeartbeat: ownership.recordHeartbeat,
    recordMachines: ownership.recordMachines,
    async applyIndex (index) {
      clientBlocks.observeRevision(index.clientBlocks)
      await ownership.refresh(index)
    },
    afterPoll: maintenance.runAfterPoll,
    recordSuperseded () {
      identity.markLeaving()
      log.warn('Instance is leaving because a later process runs under the same instance name')
    },
    recordPlatform: reachable => log.info({ reachable }, reachable ? 'Platform responds to polls' : 'Platform does not respond to polls')
  })
  return {
    settings,
    platform,
    peers,
    identity,
    view,
    clientBlocks,
    metrics,
    slotPool,
    ownership,
    regions,
    status: maintenance.status,
    sync,
    handleRequest: serving.handleRequest,
    handleForwarded: serving.handleForwarded,
    isReady: () => !identity.isLeaving() && sync.isReady() && identity.getRecord().feeding === true,
    async [Symbol.asyncDispose] () {
      await Promise.all([sync, clientBlocks].map(loop => loop[Symbol.asyncDispose]()))
      await serving[Symbol.asyncDispose]()
      await Promise.all(Object.values(clients).map(client => client[Symbol.asyncDispose]()))
    }
  }
}

function createPeerTlsOptions ({ peerTls }: Settings): Pick<CreateHttpPeersOptions, 'tls'> {
  if (peerTls === undefined) return {}
  const { ca, serverName } = peerTls
  return { tls: { ca: readPem(ca), ...serverName === undefined ? {} : { servername: serverName } } }
}

function createClients (settings: Settings, ownerLoads: OwnerLoads): { platform: StorePlatform, targets: TargetClient, peers: PeerClient } {
  const addressOptions = settings.localAddress === undefined ? {} : { localAddress: settings.localAddress }
  return {
    platform: createStorePlatform(settings.platformUrl, { ...addressOptions, ...settings.regions === undefined ? {} : { regions: settings.regions } }),
    targets: createHttpTargets(addressOptions),
    peers: createHttpPeers({
      getKey: () => settings.peerKeys[0]!,
      region: settings.region,
      recordResponse: (service, instance, headers) => ownerLoads.record(service, instance, headers[slotLoadHeader]?.toString()),
      ...createPeerTlsOptions(settings),
      ...addressOptions
    })
  }
}
