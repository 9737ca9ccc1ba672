/**
 * Chooses the instance through which a request reaches its targets if this instance has no path to them, and decides which
 * requests of other instances an instance accepts.
 *
 * @module
 */

/** An instance that may relay requests. */
export interface RelayCandidate {
  /** Name of the instance. */
  instance: string
  /** Region of the instance. */
  region: string
  /** Whether the instance accepts new requests. */
  isReady: boolean
  /** Keys of the groups of targets to which it has no path, or {@linkcode allGroupsUnreached}. */
  unreached: readonly string[]
}

/** Stands for all groups of targets in the list of those to which an instance has no path. */
export const allGroupsUnreached = '*'

/** Options of {@linkcode chooseRelay}. */
export interface ChooseRelayOptions {
  /** Keys of the groups of targets that may serve the request. */
  groups: readonly string[]
  /** Region of this instance. */
  region: string
  /** Regions in which the request may be handled; empty if any region may. */
  homeRegions: readonly string[]
  /** Returns whether an instance is not to be chosen, because it was tried for the request or has just refused one. */
  isExcluded: (instance: string) => boolean
  /** Returns the number of requests that this instance has in flight through another one. */
  countInFlight: (instance: string) => number
  /** Returns a random number in [0, 1). */
  getRandom: () => number
}

/** Options of {@linkcode isRelayAdmitted}. */
export interface IsRelayAdmittedOptions {
  /** Requests of the service that wait at this instance for a free slot. */
  waiting: number
  /** Requests of the service from this instance's own callers, waiting or in flight. */
  own: number
  /** Requests of the service from the relaying instance, waiting or in flight. */
  fromOrigin: number
  /** Requests of all services from all relaying instances, waiting or in flight. */
  relayed: number
  /** Maximum of `relayed`. */
  maxRelayed: number
}

/** Rank of an instance in another region: higher than the number of requests in flight through any instance. */
const otherRegionRank = 1_000_000
/** Requests of one instance that are accepted although others wait, however few callers this instance has itself. */
const minFairShare = 4

/**
 * Returns whether an instance has a path to any of some groups of targets.
 *
 * @param unreached Keys of the groups to which it has none
 * @param groups Keys of the groups
 * @returns Whether it reaches one of them
 */
export function isAnyReached (unreached: readonly string[], groups: readonly string[]): boolean {
  if (unreached.length === 0) return groups.length > 0
  return !unreached.includes(allGroupsUnreached) && groups.some(group => !unreached.includes(group))
}

/**
 * Chooses the instance that relays a request: one in this instance's region before others, among these the one with the
 * fewest requests of this instance in flight, so that the load of an instance without a path spreads over all others.
 *
 * @param candidates The live instances other than this one
 * @param options What the request needs, and the load of each candidate
 * @returns The chosen instance, or `undefined` if none may and can relay the request
 */
export function chooseRelay<T extends RelayCandidate> (candidates: readonly T[], options: ChooseRelayOptions): T | undefined {
  const { groups, region, homeRegions, isExcluded, countInFlight, getRandom } = options
  let best: T | undefined
  let bestRank = Infinity
  for (const candidate of candidates) {
    const isAllowed = homeRegions.length === 0 || homeRegions.includes(candidate.region)
    if (!candidate.isReady || !isAllowed || isExcluded(candidate.instance) || !isAnyReached(candidate.unreached, groups)) continue
    const rank = (candidate.region === region ? 0 : otherRegionRank) + countInFlight(candidate.instance) + getRandom()
    if (rank >= bestRank) continue
    best = candidate
    bestRank = rank
  }
  return best
}

/**
 * Returns whether an instance accepts a relayed request.
 *
 * While no request of the service waits, there is room for it. Otherwise each relaying instance gets at most as many
 * requests in as this instance's own callers have, so that those are not served worse than by an equal share.
 *
 * @param options Numbers of requests at this instance
 * @returns Whether to accept the request
 */
export function isRelayAdmitted ({ waiting, own, fromOrigin, relayed, maxRelayed }: IsRelayAdmittedOptions): boolean {
  if (relayed >= maxRelayed) return false
  return waiting === 0 || fromOrigin < Math.max(minFairShare, own)
}
