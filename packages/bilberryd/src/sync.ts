/**
 * Keeps the cluster view up to date: polls the platform, writes heartbeats, and exchanges gossip with peers.
 *
 * @module
 */
import type { PeerClient, PeerMethod } from '@bilberryworks/instances'
import type { IndexRow, MachineList, Platform } from '@bilberryworks/platform'
import type { InstanceRecord } from '@bilberryworks/steering'
import type { InstanceVersions } from './gossip_messages.ts'
import type { ExchangeResult } from './gossip.ts'
import type { ClusterView } from './cluster_view.ts'
import { createInstanceRegistration } from './instance_registration.ts'
import { createGossip } from './gossip.ts'
import { PeerMethodName } from './gossip_messages.ts'
import { startLoop } from './loop.ts'
import { createPoller } from './poll_platform.ts'

const peersPerRound = 2
const peersPerSpread = 8
/** Polls per gossip round while the platform responds. During an outage, a round follows each poll interval. */
const pollsPerGossipRound = 4
/** Number of poll intervals by which a peer's list of targets must be newer than the local list to be fetched. */
const targetsSlackPolls = 3

/** Options of {@linkcode createSync}. */
export interface CreateSyncOptions {
  /** Cluster view to keep up to date. */
  view: ClusterView
  /** The platform. */
  platform: Platform
  /** Client for calls to the other instances. */
  peers: PeerClient
  /** Returns the instance record of this instance, with the next sequence number. */
  createInstanceRecord: () => InstanceRecord
  /** `host:port` of peers to contact besides the known ones. */
  seedPeers: string[]
  /** Time between two polls, in milliseconds. */
  pollMs: number
  /** Time between two heartbeats, in milliseconds. */
  heartbeatMs: number
  /** Returns a random number in [0, 1). */
  getRandom: () => number
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
  /** Called after the platform acknowledged a heartbeat, with the monotonic time at which it was sent, in milliseconds. */
  recordHeartbeat?: (sentAtMs: number) => void
  /** Called with each list of machines that the platform returns. */
  recordMachines?: (list: MachineList) => void
  /** Reads further rows that have a newer revision in the index row. */
  applyIndex?: (index: IndexRow) => Promise<void>
  /** Called when the platform starts or stops responding. */
  recordPlatform: (isReachable: boolean) => void
  /** Called once if a later incarnation runs under this instance's name. */
  recordSuperseded?: () => void
  /** Called after each poll, whether the platform responded or not. */
  afterPoll?: () => Promise<void>
}

/** Loops that keep a cluster view up to date. */
export interface Sync extends AsyncDisposable {
  /** Whether the documents have been loaded since the start, from the platform or a peer. */
  isReady (): boolean
  /** Whether the platform responded to the last poll. */
  isPlatformReachable (): boolean
  /** Returns the time since the platform last responded to a poll, in milliseconds. */
  getPlatformAgeMs (): number
  /** Writes a heartbeat and exchanges gossip immediately, for example when the instance is leaving. */
  announce (): Promise<void>
  /** Exchanges gossip with several random peers in parallel, to spread an update. */
  spread (): Promise<void>
  /** Polls the platform immediately. */
  refresh (): Promise<void>
  /** Returns the revisions and steps in force at this instance. */
  createVersions (): InstanceVersions
  /** Handles a gossip message from a peer. */
  handleExchange: PeerMethod
  /** Handlers of the JSON-RPC methods for peers, by method name. */
  methods: Record<string, PeerMethod>
}

/**
 * Creates the loops and starts them.
 *
 * @param options Cluster view, platform, peers and intervals
 * @returns The loops; dispose them to stop
 */
export function createSync (options: CreateSyncOptions): Sync {
  const { view, peers, getRandom } = options
  let isStopped = false
  let ready = false
  let isPlatformReachable = false
  let hasContactedPeers = false
  let lastPlatformMs = options.getNowMs()
  const registration = createInstanceRegistration({ ...options, recordSuperseded: options.recordSuperseded ?? (() => {}) })
  const gossip = createGossip({
    view,
    peers,
    createInstanceRecord: registration.createRecord,
    mergeInstance: registration.mergeInstance,
    isReady: () => ready,
    targetsSlackMs: options.pollMs * targetsSlackPolls
  })
  const poll = createPoller({ ...options, readInstances: registration.readInstances, instancesIntervalMs: options.heartbeatMs })
  view.watchUpdates(() => { spread().catch(() => {}) })
  const loops = startLoops()

  /** Polls the platform, writes a heartbeat and contacts peers once, then starts the loops. */
  async function startLoops (): Promise<AsyncDisposable[]> {
    await pollPlatform()
    await writeHeartbeat()
    recordGossipResults(await exchangeWithPeers(peersPerSpread))
    hasContactedPeers = true
    if (isStopped) return []
    return [
      startLoop(pollPlatform, { intervalMs: options.pollMs, getRandom }),
      startLoop(runGossipRound, { intervalMs: () => options.pollMs * (isPlatformReachable ? pollsPerGossipRound : 1), getRandom }),
      startLoop(writeHeartbeat, { intervalMs: options.heartbeatMs, getRandom })
    ]
  }

  function recordPlatform (isReachable: boolean): void {
    if (isReachable) lastPlatformMs = options.getNowMs()
    if (isReachable !== isPlatformReachable) options.recordPlatform(isReachable)
    isPlatformReachable = isReachable
  }

  async function writeHeartbeat (): Promise<void> {
    const sentAtMs = options.getNowMs()
    if (await registration.writeHeartbeat()) options.recordHeartbeat?.(sentAtMs)
  }

  async function pollPlatform (): Promise<void> {
    const { isIndexRead, isComplete } = await poll()
    recordPlatform(isIndexRead)
    ready ||= hasContactedPeers && isComplete
    await options.afterPoll?.()
  }

  function recordGossipResults (results: ExchangeResult[]): void {
    ready ||= results.some(result => result.isComplete)
  }

  /** Exchanges gossip with random peers in parallel. */
  async function exchangeWithPeers (count: number): Promise<ExchangeResult[]> {
    const self = registration.createRecord()
    const knownAddresses = view.listInstances().filter(record => record.instance !== self.instance).map(record => record.peerAddress)
    const addresses = [...new Set([...knownAddresses, ...options.seedPeers])].filter(address => address !== self.peerAddress)
    const chosen: string[] = []
    while (chosen.length < count && addresses.length > 0) {
      chosen.push(...addresses.splice(Math.floor(options.getRandom() * addresses.length), 1))
    }
    return Promise.all(chosen.map(address => gossip.exchangeWith(address)))
  }

  async function runGossipRound (): Promise<void> {
    recordGossipResults(await exchangeWithPeers(ready ? peersPerRound : peersPerSpread))
  }

  async function spread (): Promise<void> {
    recordGossipResults(await exchangeWithPeers(peersPerSpread))
  }

  function createVersions (): InstanceVersions {
    const { instance, incarnation } = options.createInstanceRecord()
    return { instance, incarnation, ready, revisions: view.getDocumentRevisions(), steps: view.getShiftSteps(), platformAgeMs: Math.round(options.getNowMs() - lastPlatformMs) }
  }

  return {
    isReady: () => ready,
    isPlatformReachable: () => isPlatformReachable,
    getPlatformAgeMs: () => options.getNowMs() - lastPlatformMs,
    async announce () {
      await Promise.all([writeHeartbeat(), spread()])
    },
    spread,
    refresh: pollPlatform,
    createVersions,
    handleExchange: gossip.handleExchange,
    methods: {
      [PeerMethodName.Exchange]: gossip.handleExchange,
      [PeerMethodName.Fetch]: gossip.handleFetch,
      [PeerMethodName.Versions]: createVersions
    },
    async [Symbol.asyncDispose] () {
      isStopped = true
      await Promise.all((await loops).map(loop => loop[Symbol.asyncDispose]()))
    }
  }
}
