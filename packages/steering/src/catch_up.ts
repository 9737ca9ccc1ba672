/**
 * Decides when an instance that is behind its peers fetches what it lacks from one of them, and from which.
 *
 * Answers the load of a fleet of which a part is turned away by the store while many rows change: each of its instances
 * fetches from one peer at a time, mostly a near one, and waits longer after each failure, so that fetches never take more
 * of the links than they bring.
 *
 * @module
 */

/** A peer to fetch from. */
export interface CatchUpPeer {
  /** Name of the peer. */
  instance: string
  /** Distance to the peer: 0 in the same failure domain, 1 in the same region, 2 elsewhere. */
  distance: number
}

/** Options of {@linkcode CatchUp.choosePeer}. */
export interface ChoosePeerOptions {
  /** Live peers whose state is ahead. */
  peersAhead: CatchUpPeer[]
  /** Version of this instance's own state; while the store responds, each rise shows that it is delivering the changes. */
  ownVersion: number
  /** Whether the store responds to this instance, so that it will most likely deliver the changes itself. */
  isStoreReachable: boolean
  /** Monotonic time, in milliseconds. */
  nowMs: number
}

/** Catch-up state of one instance. */
export interface CatchUp {
  /** Chooses the peer to fetch from now; `undefined` to wait. The fetch counts as in progress until {@linkcode CatchUp.recordEnd}. */
  choosePeer (options: ChoosePeerOptions): string | undefined
  /** Records the end of the fetch in progress. */
  recordEnd (isComplete: boolean, nowMs: number): void
}

/** Options of {@linkcode createCatchUp}. */
export interface CreateCatchUpOptions {
  /** Time for which the instance must have been behind before it fetches while the store responds, in milliseconds; longer than the store's own delivery takes. */
  storeDelayMs: number
  /** Returns a random number in [0, 1). */
  getRandom: () => number
}

/** Time for which the instance must have been behind before it fetches while the store does not respond, in milliseconds: further changes of a burst arrive with the same fetch. */
export const catchUpDelayMs = 250
/** Time for which a peer is not chosen after a fetch from it failed, in milliseconds: a few heartbeats, after which a dead peer is no longer live. */
const peerBackoffMs = 3_000
/** Pause after a first failure, which doubles with each further one, and its upper limit, in milliseconds. */
const initialBackoffMs = 250
const maxBackoffMs = 4_000

/**
 * Creates the state of an instance that is not behind.
 *
 * @param options Delay and random source
 * @returns The state
 */
export function createCatchUp (options: CreateCatchUpOptions): CatchUp {
  const failedAtMs = new Map<string, number>()
  let behindSinceMs: number | undefined
  let versionWhenBehind = 0
  let peerInProgress: string | undefined
  let failures = 0
  let nextFetchAtMs = -Infinity

  function chooseNearest (peers: CatchUpPeer[]): string {
    const distance = Math.min(...peers.map(peer => peer.distance))
    const nearest = peers.filter(peer => peer.distance === distance)
    return nearest[Math.floor(options.getRandom() * nearest.length)]!.instance
  }

  return {
    choosePeer ({ peersAhead, ownVersion, isStoreReachable, nowMs }) {
      if (peersAhead.length === 0 || (isStoreReachable && ownVersion > versionWhenBehind)) behindSinceMs = undefined
      if (peersAhead.length > 0) behindSinceMs ??= nowMs
      versionWhenBehind = ownVersion
      if (behindSinceMs === undefined || peerInProgress !== undefined || nowMs < nextFetchAtMs) return undefined
      if (nowMs - behindSinceMs < (isStoreReachable ? options.storeDelayMs : catchUpDelayMs)) return undefined
      for (const [instance, atMs] of failedAtMs) if (nowMs - atMs >= peerBackoffMs) failedAtMs.delete(instance)
      const candidates = peersAhead.filter(peer => !failedAtMs.has(peer.instance))
      if (candidates.length === 0) return undefined
      peerInProgress = chooseNearest(candidates)
      return peerInProgress
    },
    recordEnd (isComplete, nowMs) {
      if (peerInProgress === undefined) return
      if (isComplete) {
        failures = 0
        behindSinceMs = undefined
      } else {
        failedAtMs.set(peerInProgress, nowMs)
        const backoffMs = Math.min(maxBackoffMs, initialBackoffMs * 2 ** failures)
        nextFetchAtMs = nowMs + backoffMs * (0.5 + options.getRandom() / 2)
        failures++
      }
      peerInProgress = undefined
    }
  }
}
