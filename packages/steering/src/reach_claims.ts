/**
 * Weighs what the other instances say of the groups of targets that they do not reach.
 *
 * A group that one instance does not reach is either cut off from that instance, or its machines are down and its targets
 * are cold when they come back. Only an instance whose contact with the group has gone on can tell, and vouches for it;
 * contact after a gap may be with targets that have restarted.
 *
 * @module
 */
import { allGroupsUnreached } from './relay_choice.ts'

/** What a peer says of groups of targets. */
export interface ReachReport {
  /** Name of the peer. */
  instance: string
  /** Keys of the groups that it does not reach, or {@linkcode allGroupsUnreached}. */
  unreached?: readonly string[]
  /** Keys of the groups that it vouches for. */
  reached?: readonly string[]
}

/** What follows from the reports of all live peers. */
export interface ReachVerdicts {
  /** Keys of the groups for which this instance vouches. */
  vouched: string[]
  /** Keys of the groups that a peer does not reach, for which no instance vouches, and of which this instance has no sign of life either. */
  doubtful: string[]
  /** Keys of the groups of which only peers said that they do not reach them that by now reach none at all, and have most likely lost their own paths. */
  excused: string[]
}

/** Options of {@linkcode ReachClaims.weigh}. */
export interface WeighOptions {
  /** Reports of the live peers. */
  reports: readonly ReachReport[]
  /** Lists the keys of all groups. */
  listGroups: () => string[]
  /** Returns the monotonic time of this instance's last contact with a group, in milliseconds. */
  getContactMs: (group: string) => number
  /** Returns whether this instance does not reach a group itself. */
  isLost: (group: string) => boolean
  /** Monotonic time, in milliseconds. */
  nowMs: number
}

/** Weighs reports. */
export interface ReachClaims {
  /** Returns what follows from the reports; to be called at short intervals. */
  weigh (options: WeighOptions): ReachVerdicts
}

/** Age of the last contact above which an instance no longer vouches for a group, in milliseconds. */
const contactLifetimeMs = 2_000
/** Age of the last contact above which a group that a peer does not reach is doubtful, in milliseconds: less than machines and targets take to start again. */
const doubtAfterMs = 600
/** Time for which a report must stand before its group is doubtful, in milliseconds: an instance that loses its own path notices that for one group after the other. */
const settleMs = 200

/** What an instance can tell of a group that a peer does not reach. */
enum Evidence {
  /** It had contact a short time before it heard of the outage, and none since. */
  Undecided = 'undecided',
  /** Contact has gone on. */
  Alive = 'alive',
  /** Contact has ceased for some time, or there was none. */
  Doubtful = 'doubtful'
}

/** A group that a live peer does not reach. */
interface Claim {
  /** Monotonic time at which this instance heard of it, in milliseconds. */
  heardAtMs: number
  /** What this instance can tell of the group since. */
  evidence: Evidence
  /** Names of the peers that have named the group. */
  claimants: Set<string>
}

/**
 * Creates the weighing of an instance that has heard of no group out of reach.
 *
 * @returns The weighing
 */
export function createReachClaims (): ReachClaims {
  /** Claims by the key of the group. */
  const claims = new Map<string, Claim>()

  function updateClaim (group: string, { reports, getContactMs, isLost, nowMs }: WeighOptions): Claim {
    const claim = claims.get(group) ?? { heardAtMs: nowMs, evidence: Evidence.Undecided, claimants: new Set() }
    claims.set(group, claim)
    for (const { instance, unreached = [] } of reports) if (unreached.includes(group)) claim.claimants.add(instance)
    if (isLost(group)) claim.evidence = Evidence.Doubtful
    else if (claim.evidence === Evidence.Undecided) {
      const contactMs = getContactMs(group)
      if (contactMs > claim.heardAtMs) claim.evidence = Evidence.Alive
      else if (nowMs - claim.heardAtMs >= settleMs && nowMs - contactMs > doubtAfterMs) claim.evidence = Evidence.Doubtful
    }
    return claim
  }

  return {
    weigh (options) {
      const { reports, getContactMs, nowMs } = options
      const unreached = new Set(reports.flatMap(report => report.unreached ?? []))
      const isClaimed = (group: string): boolean => unreached.has(group) || unreached.has(allGroupsUnreached)
      for (const group of claims.keys()) if (!isClaimed(group)) claims.delete(group)
      if (unreached.size === 0) return { vouched: [], doubtful: [], excused: [] }
      const weighed = options.listGroups().filter(isClaimed).map(group => ({ group, ...updateClaim(group, options) }))
      const pathless = new Set(reports.filter(report => report.unreached?.includes(allGroupsUnreached)).map(({ instance }) => instance))
      return {
        vouched: weighed.filter(({ group, evidence }) => evidence === Evidence.Alive && nowMs - getContactMs(group) <= contactLifetimeMs).map(({ group }) => group),
        doubtful: weighed.filter(({ group, evidence }) => evidence === Evidence.Doubtful && unreached.has(group) && !isVouched(reports, group)).map(({ group }) => group),
        excused: weighed.filter(({ claimants }) => claimants.size > 0 && [...claimants].every(instance => pathless.has(instance))).map(({ group }) => group)
      }
    }
  }
}

/**
 * Returns whether an instance vouches for a group of targets.
 *
 * @param reports Reports of the live peers
 * @param group Key of the group
 * @returns Whether one of them vouches for it
 */
export function isVouched (reports: readonly ReachReport[], group: string): boolean {
  return reports.some(({ reached = [] }) => reached.includes(group))
}
