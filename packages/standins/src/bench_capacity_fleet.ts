/**
 * Runs the control loops of hundreds of instances in one process. Function calls that count bytes replace the platform's HTTP interface and the network between instances.
 *
 * Times are expressed in poll intervals, so that results hold for any interval.
 *
 * @module
 */
import type { PeerClient } from '@bilberryworks/instances'
import type { Platform } from '@bilberryworks/platform'
import type { TargetRecord } from '@bilberryworks/steering'
import type { Sync, ClusterView } from 'bilberryd'
import { setTimeout } from 'node:timers/promises'
import { PeerFailureKind } from '@bilberryworks/instances'
import { createMemoryPlatform, MemoryFault } from '@bilberryworks/platform'
import { LifecycleState } from '@bilberryworks/steering'
import { createSync, createClusterView } from 'bilberryd'
import { err, ok } from 'neverthrow'

/** Number of poll intervals between two heartbeats of an instance. */
export const pollsPerHeartbeat = 4

const missedHeartbeatLimit = 4
const maxLatencyMs = 20
const domainCount = 10
const regionCount = 3

/** Traffic of a fleet since its counts were last reset. */
export interface FleetCounts {
  /** Size of gossip calls and their replies, in bytes. */
  gossipBytes: number
  /** Number of gossip calls. */
  gossipCalls: number
  /** Size of index rows read and written, in bytes. */
  indexBytes: number
  /** Size of instance rows read and written, in bytes. */
  instanceRowBytes: number
  /** Size of the lists of machines read, in bytes. */
  machineBytes: number
  /** Size of other rows read and written, and of transactions that write several rows, in bytes. */
  otherBytes: number
  /** Number of calls that read from the platform. */
  reads: number
  /** Number of rows read, where a list of machines counts as one. */
  rowsRead: number
  /** Number of calls that write to the platform. */
  writes: number
}

/** An instance of the fleet, of which only the control loop runs. */
export interface FleetNode extends AsyncDisposable {
  /** Name, which is also the peer address. */
  name: string
  /** Identifier of this run of the instance. */
  incarnation: string
  /** Failure domain. */
  failureDomain: string
  /** The instance's view of the cluster. */
  view: ClusterView
  /** Control loop that polls the platform and gossips with peers. */
  sync: Sync
}

/** Options of {@linkcode createFleet}. */
export interface CreateFleetOptions {
  /** Number of targets on the platform's list of machines. */
  targets: number
  /** Interval between polls of the platform, in milliseconds. */
  pollMs: number
  /** Longest wait for the fleet to be up to date, in poll intervals. */
  waitLimitPolls: number
  /** Returns a random number in [0, 1). */
  getRandom: () => number
}

/** A fleet of instances in one process. */
export interface Fleet extends AsyncDisposable {
  /** Interval between polls of the platform, in milliseconds. */
  pollMs: number
  /** Longest wait for the fleet to be up to date, in poll intervals. */
  waitLimitPolls: number
  /** Live instances by peer address. */
  nodes: Map<string, FleetNode>
  /** Traffic of the whole fleet since the last reset. */
  counts: FleetCounts
  /** The platform of the fleet; calls to it are not counted. */
  platform: Platform
  /** Returns whether a network partition separates two failure domains; an empty name means the platform. */
  isPartitioned: (from: string, to: string) => boolean
  /** Starts an instance. */
  start (index: number, options: { incarnation: number, seedPeers?: string[] }): FleetNode
  /** Resets all counts to zero. */
  resetCounts (): void
}

/**
 * Creates a fleet without instances.
 *
 * @param options Size and timing of the fleet
 * @returns The fleet
 */
export function createFleet (options: CreateFleetOptions): Fleet {
  const { getRandom, pollMs } = options
  const memory = createMemoryPlatform()
  memory.machines = { instances: [], targets: Array.from({ length: options.targets }, (_, index) => createTarget(index)) }
  const counts = createCounts()
  const fleet: Fleet = {
    pollMs,
    waitLimitPolls: options.waitLimitPolls,
    nodes: new Map(),
    counts,
    platform: memory,
    isPartitioned: () => false,
    resetCounts: () => Object.assign(counts, createCounts()),
    start (index, { incarnation, seedPeers = [] }) {
      const domain = index % domainCount
      const name = `node-${index}`
      const failureDomain = `site-${domain}`
      const identity = { instance: name, incarnation: `5f0c8a52-9d0e-4b52-8f39-${String(index).padStart(6, '0')}${String(incarnation).padStart(6, '0')}`, failureDomain, region: `region-${domain % regionCount}`, callerAddress: `10.${domain}.1.${index}:8080`, peerAddress: name, state: LifecycleState.Live, pinEpoch: 0 }
      const view = createClusterView({ instanceTimeoutMs: pollMs * pollsPerHeartbeat * missedHeartbeatLimit, getNowMs: () => performance.now() })
      let sequence = 0
      const sync = createSync({
        view,
        platform: createCountingPlatform(memory, { counts, getRandom, isUnreachable: () => fleet.isPartitioned(failureDomain, '') }),
        peers: createCountingPeerClient(fleet, failureDomain),
        createInstanceRecord: () => ({ ...identity, sequence: ++sequence }),
        seedPeers,
        pollMs,
        heartbeatMs: pollMs * pollsPerHeartbeat,
        getRandom,
        getNowMs: () => performance.now(),
        recordHeartbeat: () => {},
        recordMachines: () => {},
        applyIndex: async () => {},
        recordSuperseded: () => {},
        afterPoll: async () => {},
        recordPlatform: () => {}
      })
      const node: FleetNode = {
        name,
        incarnation: identity.incarnation,
        failureDomain,
        view,
        sync,
        async [Symbol.asyncDispose] () {
          if (fleet.nodes.get(name) === node) fleet.nodes.delete(name)
          await sync[Symbol.asyncDispose]()
        }
      }
      fleet.nodes.set(name, node)
      return node
    },
    async [Symbol.asyncDispose] () {
      await Promise.all([...fleet.nodes.values()].map(node => node[Symbol.asyncDispose]()))
    }
  }
  return fleet
}

function createCounts (): FleetCounts {
  return { gossipBytes: 0, gossipCalls: 0, indexBytes: 0, instanceRowBytes: 0, machineBytes: 0, otherBytes: 0, reads: 0, rowsRead: 0, writes: 0 }
}

function createTarget (index: number): TargetRecord {
  const domain = index % domainCount
  return { target: `target-${index}`, service: `service-${index % 50}`, address: `10.${domain}.2.${index}:8080`, failureDomain: `site-${domain}`, region: `region-${domain % regionCount}`, slots: 3, maxConnections: 330, state: LifecycleState.Live }
}

type ByteCountKey = 'indexBytes' | 'instanceRowBytes' | 'machineBytes' | 'otherBytes'

function selectByteCountKey (table: string): ByteCountKey {
  return table === 'index' ? 'indexBytes' : table === 'instances' ? 'instanceRowBytes' : 'otherBytes'
}

/** Wraps a platform in memory with random latency, and counts calls, rows, and the bytes of JSON that an HTTP client would transfer. */
function createCountingPlatform (memory: Platform, options: { counts: FleetCounts, getRandom: () => number, isUnreachable: () => boolean }): Platform {
  const { counts } = options
  const unreachablePlatform = createMemoryPlatform()
  unreachablePlatform.chooseFault = () => MemoryFault.Outage
  async function choosePlatform (): Promise<Platform> {
    await setTimeout(1 + options.getRandom() * maxLatencyMs)
    return options.isUnreachable() ? unreachablePlatform : memory
  }
  function countRead (kind: ByteCountKey, value: unknown, rows: number): void {
    counts[kind] += JSON.stringify(value ?? null).length
    counts.reads++
    counts.rowsRead += rows
  }
  return {
    ...unreachablePlatform,
    async readRow (table, key) {
      const row = await (await choosePlatform()).readRow(table, key)
      if (row.isOk()) countRead(selectByteCountKey(table), row.value, 1)
      return row
    },
    async listRows (table, prefix) {
      const rows = await (await choosePlatform()).listRows(table, prefix)
      if (rows.isOk()) countRead(selectByteCountKey(table), rows.value, rows.value.length)
      return rows
    },
    async writeRows (writes) {
      const written = await (await choosePlatform()).writeRows(writes)
      counts.writes++
      counts[selectByteCountKey(writes.length === 1 ? writes[0]!.table : '')] += JSON.stringify(writes).length
      return written
    },
    async listMachines () {
      const list = await (await choosePlatform()).listMachines()
      if (list.isOk()) countRead('machineBytes', list.value, 1)
      return list
    }
  }
}

function createCountingPeerClient (fleet: Fleet, failureDomain: string): PeerClient {
  return {
    async call (address, method, { params }) {
      const request = JSON.stringify(params)
      await setTimeout(1)
      const peer = fleet.nodes.get(address)
      if (peer === undefined || fleet.isPartitioned(failureDomain, peer.failureDomain)) return err({ kind: PeerFailureKind.ConnectFailed, detail: 'Peer is not running, or a partition separates it from the caller' })
      const reply = JSON.stringify(await peer.sync.methods[method]?.(JSON.parse(request)))
      fleet.counts.gossipBytes += request.length + reply.length
      fleet.counts.gossipCalls++
      return ok(JSON.parse(reply))
    },
    forward: async () => { throw new Error('Simulated fleet does not support forwarding of requests') },
    async [Symbol.asyncDispose] () {}
  }
}
