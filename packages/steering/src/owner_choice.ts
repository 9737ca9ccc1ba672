/**
 * Ranks the owners of a service's targets in a region, to choose the one that a request is forwarded to.
 *
 * @module
 */
import { computeHash, rankByRendezvous } from './rendezvous.ts'

/** An instance that owns targets of the service in the region, as the choosing instance sees it. */
export interface OwnerState {
  /** Name of the instance. */
  instance: string
  /** Slots that it owns for the service in the region. */
  slots: number
  /** Requests of the service that the choosing instance forwarded to it and that have not ended. */
  forwardedInFlight: number
  /** Requests of the service that hold a slot or wait at the owner, according to its last report; `undefined` without a report. */
  reportedLoad: number | undefined
  /** Age of that report, in milliseconds; ignored without a report. */
  reportAgeMs: number
  /** Whether the owner is the choosing instance itself. */
  isLocal: boolean
  /** Whether the owner is in the failure domain of the choosing instance. */
  isInSameFailureDomain: boolean
}

/** Options of {@linkcode RankOwners}. */
export interface RankOwnersOptions {
  /** Identifies the caller, usually by its address. */
  callerKey: string
  /** Returns a random number in [0, 1). */
  getRandom: () => number
}

/** Ranks the owners for one request, best first; owners without slots are left out. */
export type RankOwners = (owners: OwnerState[], options: RankOwnersOptions) => OwnerState[]

/** Age from which a load report is ignored, in milliseconds. */
export const ownerReportLifetimeMs = 5_000

/**
 * Computes the load of an owner in requests per slot.
 *
 * The load is never below the requests that the choosing instance forwarded. A report can only raise it above them, and
 * counts less with age.
 *
 * @param owner The owner
 * @returns Requests per slot; 1 if all slots of the owner are busy
 */
export function computeOwnerLoad (owner: OwnerState): number {
  const reportWeight = owner.reportedLoad === undefined ? 0 : Math.max(0, 1 - owner.reportAgeMs / ownerReportLifetimeMs)
  const reportedExcess = Math.max(0, (owner.reportedLoad ?? 0) - owner.forwardedInFlight) * reportWeight
  return (owner.forwardedInFlight + reportedExcess) / owner.slots
}

/** Ranks by weighted rendezvous hashing of the caller, so that a caller's requests go to the same owner. */
export const rankOwnersByCaller: RankOwners = (owners, options) => {
  const byName = new Map(owners.map(owner => [owner.instance, owner]))
  const weights = Object.fromEntries(owners.map(owner => [owner.instance, owner.slots]))
  return rankByRendezvous(options.callerKey, weights).map(name => byName.get(name)!)
}

/** Ranks at random, weighted by slots. */
export const rankOwnersAtRandom: RankOwners = (owners, options) => {
  const score = new Map(owners.map(owner => [owner, owner.slots <= 0 ? 0 : -Math.log(1 - options.getRandom()) / owner.slots]))
  return listWithSlots(owners).sort((a, b) => score.get(a)! - score.get(b)!)
}

/** Ranks by load per slot, least loaded first; the caller's hash breaks ties. */
export const rankOwnersByLoad: RankOwners = (owners, options) => rankByKey(listWithSlots(owners), options, computeOwnerLoad)

/**
 * Ranks by the power of two choices: draws two owners at random, weighted by slots, and puts the less loaded one first;
 * the rest follow by load.
 *
 * Because of the random draw, instances that have the same reports do not all choose the same owner.
 */
export const rankOwnersByTwoChoices: RankOwners = (owners, options) => {
  const [first, second, ...rest] = rankOwnersAtRandom(owners, options)
  if (first === undefined || second === undefined) return first === undefined ? [] : [first]
  const pair = computeOwnerLoad(second) < computeOwnerLoad(first) ? [second, first] : [first, second]
  return [...pair, ...rankByKey(rest, options, computeOwnerLoad)]
}

/** Load, in requests per slot, below which the choosing instance itself, then an owner in its failure domain, is preferred. */
const localLoadLimit = 0.8

/** Ranks by two choices, but moves the choosing instance to the front, then owners in its failure domain, if their load is below the local load limit. */
export const rankOwnersLocalFirst: RankOwners = (owners, options) => {
  const ranked = rankOwnersByTwoChoices(owners, options)
  const isBelowLimit = (owner: OwnerState): boolean => computeOwnerLoad(owner) < localLoadLimit
  const computeTier = (owner: OwnerState): number => {
    if (!isBelowLimit(owner)) return 2
    return owner.isLocal ? 0 : owner.isInSameFailureDomain ? 1 : 2
  }
  return ranked
    .map((owner, index) => ({ owner, index, tier: computeTier(owner) }))
    .sort((a, b) => a.tier - b.tier || a.index - b.index)
    .map(entry => entry.owner)
}

function listWithSlots (owners: OwnerState[]): OwnerState[] {
  return owners.filter(owner => owner.slots > 0)
}

function rankByKey (owners: OwnerState[], options: RankOwnersOptions, key: (owner: OwnerState) => number): OwnerState[] {
  return owners
    .map(owner => ({ owner, key: key(owner), tie: computeHash(`${owner.instance}\u0000${options.callerKey}`) }))
    .sort((a, b) => a.key - b.key || b.tie - a.tie)
    .map(entry => entry.owner)
}
