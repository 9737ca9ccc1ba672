/**
 * What this instance knows of the other instances as relays: which groups of targets they reach, and what they relay for it.
 *
 * @module
 */
import type { PeerHeartbeat, PeerView } from './peer_view.ts'
import { chooseRelay, isAnyReached } from '@bilberryworks/steering'

/** The other instances as relays. */
export interface RelayPeers {
  /** Returns whether a live instance reaches a group of targets. */
  isReached (group: string): boolean
  /** Chooses the instance for a request that targets of some groups may serve; `undefined` if none may and can relay it. */
  choose (groups: string[], request: { homeRegions: string[], tried: ReadonlySet<string>, mayConnect?: (instance: string) => boolean }): PeerHeartbeat | undefined
  /** Returns whether an instance is live. */
  isLive (instance: string): boolean
  /** Records that a request is sent through an instance; returns the number of such requests in flight. */
  recordStart (instance: string): number
  /** Records that a request through an instance has ended. */
  recordEnd (instance: string): void
  /** Records that an instance has just refused a request for want of room, or could not be connected to. */
  recordBusy (instance: string): void
  /** Records that an instance has just refused a request because it reaches none of some groups of targets, which its heartbeats may not tell yet. */
  recordUnreached (instance: string, groups: string[]): void
}

/** Options of {@linkcode createRelayPeers}. */
export interface CreateRelayPeersOptions {
  /** Region of this instance. */
  region: string
  /** View of the other instances. */
  view: PeerView
  /** Whether requests are sent through other instances. */
  isEnabled: boolean
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
  /** Returns a random number in [0, 1). */
  getRandom: () => number
}

/** Time for which an instance that refused a request for want of room is not chosen, in milliseconds: about the time in which it ends some requests. */
const busyMs = 250
/** Time for which the word of an instance that it does not reach some targets goes before its heartbeats, in milliseconds: it announces changes at once, but their datagram may be lost. */
const unreachedMs = 500
/** Time for which the list of live instances is kept, in milliseconds: short compared with the interval of heartbeats. */
const listLifetimeMs = 100

/**
 * Creates the relays of an instance.
 *
 * @param options View, region, clock and random source
 * @returns The relays
 */
export function createRelayPeers ({ region, view, isEnabled, getNowMs, getRandom }: CreateRelayPeersOptions): RelayPeers {
  const inFlight = new Map<string, number>()
  const busyUntilMs = new Map<string, number>()
  const unreachedUntilMs = new Map<string, Map<string, number>>()
  let candidates: Array<PeerHeartbeat & { unreached: string[] }> = []
  let reachedGroups = new Map<string, boolean>()
  let listedAtMs = -Infinity

  function listCandidates (): Array<PeerHeartbeat & { unreached: string[] }> {
    const nowMs = getNowMs()
    if (nowMs - listedAtMs < listLifetimeMs) return candidates
    listedAtMs = nowMs
    candidates = isEnabled ? view.listLive(nowMs).map(({ heartbeat }) => ({ ...heartbeat, unreached: [...heartbeat.unreached ?? [], ...listToldUnreached(heartbeat.instance, nowMs)] })) : []
    reachedGroups = new Map()
    return candidates
  }

  function listToldUnreached (instance: string, nowMs: number): string[] {
    const groups = unreachedUntilMs.get(instance) ?? new Map<string, number>()
    for (const [group, untilMs] of groups) if (untilMs <= nowMs) groups.delete(group)
    return [...groups.keys()]
  }

  return {
    isReached (group) {
      const peers = listCandidates()
      let isReached = reachedGroups.get(group)
      if (isReached === undefined) {
        isReached = peers.some(peer => peer.isReady && isAnyReached(peer.unreached, [group]))
        reachedGroups.set(group, isReached)
      }
      return isReached
    },
    choose (groups, { homeRegions, tried, mayConnect = () => true }) {
      const nowMs = getNowMs()
      const isExcluded = (instance: string): boolean => tried.has(instance) || !mayConnect(instance) || (busyUntilMs.get(instance) ?? -Infinity) > nowMs
      return chooseRelay(listCandidates(), { groups, region, homeRegions, isExcluded, countInFlight: instance => inFlight.get(instance) ?? 0, getRandom })
    },
    isLive: instance => view.listLive(getNowMs()).some(({ heartbeat }) => heartbeat.instance === instance),
    recordStart (instance) {
      const count = (inFlight.get(instance) ?? 0) + 1
      inFlight.set(instance, count)
      return count
    },
    recordEnd (instance) {
      const count = (inFlight.get(instance) ?? 1) - 1
      if (count > 0) inFlight.set(instance, count)
      else inFlight.delete(instance)
    },
    recordBusy (instance) {
      busyUntilMs.set(instance, getNowMs() + busyMs)
    },
    recordUnreached (instance, groups) {
      const known = unreachedUntilMs.get(instance) ?? new Map<string, number>()
      for (const group of groups) known.set(group, getNowMs() + unreachedMs)
      unreachedUntilMs.set(instance, known)
      listedAtMs = -Infinity
    }
  }
}
