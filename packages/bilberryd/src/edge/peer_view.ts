/**
 * The other instances as this one hears of them: who they are, where, and whether they live.
 *
 * @module
 */
import type { SocketAddress } from '@bilberryworks/steering'

/** What an instance says of itself to its peers. */
export interface PeerHeartbeat {
  /** Name of the instance. */
  instance: string
  /** Time of its process' start in Unix milliseconds; a restart has a later one. */
  startedAtMs: number
  /** Counts its heartbeats. */
  sequence: number
  /** Failure domain that it is in. */
  failureDomain: string
  /** Region that it is in. */
  region: string
  /** `host:port` for callers. */
  callers: string
  /** Where it takes heartbeats. */
  heartbeats: SocketAddress
  /** Where it takes calls of peers. */
  peers: SocketAddress
  /** Whether it takes new work. */
  isReady: boolean
  /** Version of its latest change of each followed table. */
  versions: Record<string, number>
}

/** A peer with when it was last heard. */
export interface KnownPeer {
  /** Its last heartbeat. */
  heartbeat: PeerHeartbeat
  /** Monotonic time at which it was last heard, in milliseconds; `-Infinity` where only others told of it. */
  heardAtMs: number
}

/** The other instances. */
export interface PeerView {
  /** Takes a heartbeat of the peer itself; returns whether it was news of a peer not live before. */
  recordHeartbeat (heartbeat: PeerHeartbeat, nowMs: number): boolean
  /** Takes note of a peer that somebody else told of. */
  addReported (heartbeat: PeerHeartbeat, nowMs: number): void
  /** Lists all peers that were ever told of, those that are gone for long not among them. */
  listKnown (): KnownPeer[]
  /** Lists the peers that live. */
  listLive (nowMs: number): KnownPeer[]
  /** Counts time in which this instance stood still: silence of others in it says nothing. */
  discountPause (durationMs: number): void
  /** Returns the largest number of instances that were live together, this one among them. */
  getMaxLiveInstances (): number
}

/** Options of {@linkcode createPeerView}. */
export interface CreatePeerViewOptions {
  /** Name of this instance. */
  instance: string
  /** Silence after which a peer counts as gone, in milliseconds. */
  timeoutMs: number
  /** Silence after which a peer is forgotten, in milliseconds. */
  evictionMs: number
}

/**
 * Creates the view of an instance that knows no peer.
 *
 * @param options Its name and times
 * @returns The view
 */
export function createPeerView (options: CreatePeerViewOptions): PeerView {
  const peers = new Map<string, KnownPeer & { learnedAtMs: number }>()
  let maxLiveInstances = 1
  const isLive = (peer: KnownPeer, nowMs: number): boolean => nowMs - peer.heardAtMs < options.timeoutMs
  const isNewer = (a: PeerHeartbeat, b: PeerHeartbeat): boolean => a.startedAtMs > b.startedAtMs || (a.startedAtMs === b.startedAtMs && a.sequence > b.sequence)
  return {
    recordHeartbeat (heartbeat, nowMs) {
      if (heartbeat.instance === options.instance) return false
      const known = peers.get(heartbeat.instance)
      if (known !== undefined && known.heardAtMs > -Infinity && !isNewer(heartbeat, known.heartbeat)) return false
      const wasLive = known !== undefined && isLive(known, nowMs)
      peers.set(heartbeat.instance, { heartbeat, heardAtMs: nowMs, learnedAtMs: nowMs })
      const live = [...peers.values()].filter(peer => isLive(peer, nowMs)).length + 1
      maxLiveInstances = Math.max(maxLiveInstances, live)
      return !wasLive
    },
    addReported (heartbeat, nowMs) {
      if (heartbeat.instance === options.instance) return
      const known = peers.get(heartbeat.instance)
      if (known !== undefined && !isNewer(heartbeat, known.heartbeat)) return
      peers.set(heartbeat.instance, { heartbeat, heardAtMs: known?.heardAtMs ?? -Infinity, learnedAtMs: nowMs })
    },
    listKnown: () => [...peers.values()],
    listLive (nowMs) {
      for (const [name, peer] of peers) if (nowMs - Math.max(peer.heardAtMs, peer.learnedAtMs) > options.evictionMs) peers.delete(name)
      return [...peers.values()].filter(peer => isLive(peer, nowMs))
    },
    discountPause (durationMs) {
      for (const peer of peers.values()) peer.heardAtMs += durationMs
    },
    getMaxLiveInstances: () => maxLiveInstances
  }
}

/**
 * Parses a heartbeat, from a datagram or a row.
 *
 * @param text The text
 * @returns The heartbeat, or `undefined` where the text is none, which the caller reports
 */
export function parseHeartbeat (text: string): PeerHeartbeat | undefined {
  try {
    const value = JSON.parse(text) as PeerHeartbeat
    return typeof value.instance === 'string' && typeof value.heartbeats?.port === 'number' && typeof value.versions === 'object' ? value : undefined
  } catch {
    // A text that is not JSON is like any other that is no heartbeat.
    return undefined
  }
}
