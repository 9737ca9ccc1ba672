/**
 * The choice of the instance to forward a request to, among those that feed targets of a service in a region.
 *
 * @module
 */
import { computeHash, rankByRendezvous } from './rendezvous.ts'

/** An instance that feeds targets of the service in the region, as the choosing instance sees it. */
export interface OwnerState {
  /** Name of the instance. */
  instance: string
  /** Slots that it feeds for the service in the region. */
  slots: number
  /** Requests of the service that the choosing instance has forwarded to it and that have not ended. */
  ownInFlight: number
  /** Requests of the service that hold a slot or wait there, by its own last report; `undefined` without one. */
  reportedLoad: number | undefined
  /** Age of that report, in milliseconds; ignored without one. */
  reportAgeMs: number
  /** Whether it is the choosing instance itself. */
  isLocal: boolean
  /** Whether it is in the failure domain of the choosing instance. */
  isNear: boolean
}

/** What a choice of feeder decides from besides the feeders. */
export interface RankOwnersOptions {
  /** Identifies the caller, its address as a rule. */
  callerKey: string
  /** Returns a random number in [0, 1). */
  getRandom: () => number
}

/** Ranks the feeders for one request, best first; feeders without slots are left out. */
export type RankOwners = (feeders: OwnerState[], options: RankOwnersOptions) => OwnerState[]

/** Milliseconds after which a report of load counts for nothing. */
export const reportLifetimeMs = 5_000

/**
 * Computes the load of a feeder per slot: what is known to be there, never less than the own count.
 *
 * A report only raises the load above the own count, by less the older it is.
 *
 * @param feeder The feeder
 * @returns Requests per slot; 1 is a feeder whose slots are all busy
 */
export function computeOwnerLoad (feeder: OwnerState): number {
  const weight = feeder.reportedLoad === undefined ? 0 : Math.max(0, 1 - feeder.reportAgeMs / reportLifetimeMs)
  const excess = Math.max(0, (feeder.reportedLoad ?? 0) - feeder.ownInFlight) * weight
  return (feeder.ownInFlight + excess) / feeder.slots
}

/** Ranks by weighted rendezvous hashing of the caller: the same caller meets the same feeder. */
export const rankOwnersByCaller: RankOwners = (feeders, options) => {
  const byName = new Map(feeders.map(feeder => [feeder.instance, feeder]))
  const weights = Object.fromEntries(feeders.map(feeder => [feeder.instance, feeder.slots]))
  return rankByRendezvous(options.callerKey, weights).map(name => byName.get(name)!)
}

/** Ranks at random, weighted by slots. */
export const rankOwnersAtRandom: RankOwners = (feeders, options) => {
  const score = new Map(feeders.map(feeder => [feeder, feeder.slots <= 0 ? 0 : -Math.log(1 - options.getRandom()) / feeder.slots]))
  return listWithSlots(feeders).sort((a, b) => score.get(a)! - score.get(b)!)
}

/** Ranks by load per slot, least first; ties fall by the caller's hash. */
export const rankOwnersByLoad: RankOwners = (feeders, options) => rankByKey(listWithSlots(feeders), options, computeOwnerLoad)

/**
 * Draws two feeders at random, weighted by slots, and puts the less loaded one first; the rest follow by load.
 *
 * Instances that see the same reports don't all choose the same feeder.
 */
export const rankOwnersByTwoChoices: RankOwners = (feeders, options) => {
  const [first, second, ...rest] = rankOwnersAtRandom(feeders, options)
  if (first === undefined || second === undefined) return first === undefined ? [] : [first]
  const pair = computeOwnerLoad(second) < computeOwnerLoad(first) ? [second, first] : [first, second]
  return [...pair, ...rankByKey(rest, options, computeOwnerLoad)]
}

/** Load per slot up to which the local feeder, then one of its failure domain, is used before any other. */
const localLoadLimit = 0.8

/** Prefers the choosing instance itself, then its failure domain, while it has free slots; else two choices. */
export const rankOwnersLocalFirst: RankOwners = (feeders, options) => {
  const ranked = rankOwnersByTwoChoices(feeders, options)
  const free = (feeder: OwnerState): boolean => computeOwnerLoad(feeder) < localLoadLimit
  const place = (feeder: OwnerState): number => {
    if (!free(feeder)) return 2
    return feeder.isLocal ? 0 : feeder.isNear ? 1 : 2
  }
  return ranked
    .map((feeder, index) => ({ feeder, index, place: place(feeder) }))
    .sort((a, b) => a.place - b.place || a.index - b.index)
    .map(entry => entry.feeder)
}

function listWithSlots (feeders: OwnerState[]): OwnerState[] {
  return feeders.filter(feeder => feeder.slots > 0)
}

function rankByKey (feeders: OwnerState[], options: RankOwnersOptions, key: (feeder: OwnerState) => number): OwnerState[] {
  return feeders
    .map(feeder => ({ feeder, key: key(feeder), tie: computeHash(`${feeder.instance}\u0000${options.callerKey}`) }))
    .sort((a, b) => a.key - b.key || b.tie - a.tie)
    .map(entry => entry.feeder)
}
