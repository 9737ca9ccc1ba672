/**
 * The membership view of an instance: the other instances, their addresses, and which of them are live.
 *
 * @module
 */
import type { SocketAddress } from '@bilberryworks/steering'

/** Heartbeat that an instance sends to its peers. */
export interface PeerHeartbeat {
  /** Name of the instance. */
  instance: string
  /** Start time of the process in Unix milliseconds, by which heartbeats of an earlier run are recognized. */
  startedAtMs: number
  /** Sequence number of the heartbeat, which increases within a run. */
  sequence: number
  /** Failure domain of the instance. */
  failureDomain: string
  /** Region of the instance. */
  region: string
  /** Address of the listener for callers, in the form `host:port`. */
  callers: string
  /** UDP address for heartbeats. */
  heartbeats: SocketAddress
  /** TCP address for calls of peers. */
  peers: SocketAddress
  /** Whether the instance accepts new requests. */
  isReady: boolean
  /** Version of the latest known change, by replicated table. */
  versions: Record<string, number>
}

/** A known peer. */
export interface KnownPeer {
  /** Latest known heartbeat. */
  heartbeat: PeerHeartbeat
  /** Monotonic time of the last heartbeat received from the peer itself, in milliseconds; `-Infinity` if there is none. */
  lastHeartbeatAtMs: number
}

/** Membership view of the other instances. */
export interface PeerView {
  /** Records a heartbeat received from the peer itself, ignoring outdated ones; returns whether it made the peer live. */
  recordHeartbeat (heartbeat: PeerHeartbeat, nowMs: number): boolean
  /** Records a peer reported by another instance or by the store, which does not make it live. */
  addReported (heartbeat: PeerHeartbeat, nowMs: number): void
  /** Lists the known peers, live or not, except for those that have been evicted. */
  listKnown (): KnownPeer[]
  /** Evicts peers that have been silent for the eviction time, and lists the live ones. */
  listLive (nowMs: number): KnownPeer[]
  /** Excludes a pause of this process from the time since each peer's last heartbeat, since the process did not read heartbeats during the pause. */
  discountPause (durationMs: number): void
  /** Returns the largest number of instances seen live at the same time, including this one. */
  getMaxLiveInstances (): number
}

/** Options of {@linkcode createPeerView}. */
export interface CreatePeerViewOptions {
  /** Name of this instance. */
  instance: string
  /** Time without a heartbeat after which a peer is not live, in milliseconds. */
  timeoutMs: number
  /** Time without a heartbeat or newer report after which a peer is evicted, in milliseconds. */
  evictionMs: number
}

/**
 * Creates a view without peers.
 *
 * @param options Name of the instance and time limits
 * @returns The view
 */
export function createPeerView (options: CreatePeerViewOptions): PeerView {
  const peers = new Map<string, KnownPeer & { updatedAtMs: number }>()
  let maxLiveInstances = 1
  const isLive = (peer: KnownPeer, nowMs: number): boolean => nowMs - peer.lastHeartbeatAtMs < options.timeoutMs
  const isNewer = (a: PeerHeartbeat, b: PeerHeartbeat): boolean => a.startedAtMs > b.startedAtMs || (a.startedAtMs === b.startedAtMs && a.sequence > b.sequence)
  return {
    recordHeartbeat (heartbeat, nowMs) {
      if (heartbeat.instance === options.instance) return false
      const known = peers.get(heartbeat.instance)
      if (known !== undefined && known.lastHeartbeatAtMs > -Infinity && !isNewer(heartbeat, known.heartbeat)) return false
      const wasLive = known !== undefined && isLive(known, nowMs)
      peers.set(heartbeat.instance, { heartbeat, lastHeartbeatAtMs: nowMs, updatedAtMs: nowMs })
      const live = [...peers.values()].filter(peer => isLive(peer, nowMs)).length + 1
      maxLiveInstances = Math.max(maxLiveInstances, live)
      return !wasLive
    },
    addReported (heartbeat, nowMs) {
      if (heartbeat.instance === options.instance) return
      const known = peers.get(heartbeat.instance)
      if (known !== undefined && !isNewer(heartbeat, known.heartbeat)) return
      peers.set(heartbeat.instance, { heartbeat, lastHeartbeatAtMs: known?.lastHeartbeatAtMs ?? -Infinity, updatedAtMs: nowMs })
    },
    listKnown: () => [...peers.values()],
    listLive (nowMs) {
      for (const [name, peer] of peers) if (nowMs - Math.max(peer.lastHeartbeatAtMs, peer.updatedAtMs) > options.evictionMs) peers.delete(name)
      return [...peers.values()].filter(peer => isLive(peer, nowMs))
    },
    discountPause (durationMs) {
      for (const peer of peers.values()) peer.lastHeartbeatAtMs += durationMs
    },
    getMaxLiveInstances: () => maxLiveInstances
  }
}

/**
 * Parses a heartbeat from a datagram or a row of the store.
 *
 * @param text JSON text
 * @returns The heartbeat, or `undefined` if the text is not a valid one
 */
export function parseHeartbeat (text: string): PeerHeartbeat | undefined {
  try {
    const value = JSON.parse(text) as PeerHeartbeat
    return typeof value.instance === 'string' && typeof value.heartbeats?.port === 'number' && typeof value.versions === 'object' ? value : undefined
  } catch {
    // Invalid JSON is reported like any other invalid heartbeat.
    return undefined
  }
}
