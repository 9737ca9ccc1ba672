/**
 * The choice of the entry instances that a look-up names.
 *
 * @module
 */
import type { InstanceRecord } from './inventory.ts'
import { MachineState } from './inventory.ts'
import { computeHash, rankByRendezvous } from './rendezvous.ts'

/** The live instances of a failure domain. */
export interface DirectoryDomain {
  /** Name of the failure domain. */
  failureDomain: string
  /** Region that it is in. */
  region: string
  /** Its live instances, each with the hash of its name. */
  members: Array<{ record: InstanceRecord, hash: number }>
}

/** The live instances by failure domain, prepared for many look-ups. */
export interface EntryDirectory {
  /** The failure domains that have a live instance. */
  domains: DirectoryDomain[]
}

/** What `chooseEntries` decides from. */
export interface ChooseEntriesOptions {
  /** Identifies the caller, its address as a rule. */
  callerKey: string
  /** Live instances. */
  directory: EntryDirectory
  /** Weights by region that are in force for the service. */
  regionWeights: Record<string, number>
  /** Region of the instance that answers, preferred where nothing else decides. */
  localRegion: string
  /** Names of failure domains or regions, nearest to the caller first; none by default. */
  sites?: readonly string[]
  /** Most entries to return; 3 by default. */
  maxEntries?: number
}

const defaultMaxEntries = 3

/**
 * Groups the live instances by failure domain.
 *
 * @param instances Instances known and reachable, leaving ones among them
 * @returns The directory
 */
export function createEntryDirectory (instances: InstanceRecord[]): EntryDirectory {
  const domains = new Map<string, DirectoryDomain>()
  for (const record of instances) {
    if (record.state !== MachineState.Live) continue
    const { failureDomain, region } = record
    const domain = domains.get(failureDomain) ?? { failureDomain, region, members: [] }
    domains.set(failureDomain, domain)
    domain.members.push({ record, hash: computeHash(record.instance) })
  }
  return { domains: [...domains.values()] }
}

/**
 * Chooses the entry instances for a caller, best first, in more than one failure domain if possible.
 *
 * The weights in force choose the first region, so that an entry stands where its requests run. The
 * caller's sites order the failure domains in that region, and the regions behind it.
 *
 * @param options What to decide from
 * @returns Live instances, best first; empty where none is live
 */
export function chooseEntries (options: ChooseEntriesOptions): InstanceRecord[] {
  const maxEntries = options.maxEntries ?? defaultMaxEntries
  const callerHash = computeHash(options.callerKey)
  const ranked = rankDomains(options)
  const chosen: InstanceRecord[] = []
  for (const [index, domain] of ranked.entries()) {
    const reserved = index === 0 && ranked.length > 1 && maxEntries > 1 ? 1 : 0
    chosen.push(...rankMembers(domain, { callerHash, count: maxEntries - reserved - chosen.length }))
    if (chosen.length >= maxEntries) break
  }
  return chosen
}

function rankDomains (options: ChooseEntriesOptions): DirectoryDomain[] {
  const { domains } = options.directory
  const sites = options.sites ?? []
  const weighted = rankByRendezvous(options.callerKey, options.regionWeights)
  const sizes = Object.fromEntries(domains.map(domain => [domain.failureDomain, domain.members.length]))
  const spread = rankByRendezvous(options.callerKey, sizes)
  const rankedRegions = rankRegions(options, weighted)
  const getRank = (domain: DirectoryDomain): number[] => [
    rankedRegions.indexOf(domain.region), locateSite(sites, domain), spread.indexOf(domain.failureDomain)
  ]
  const entries = domains.map(domain => ({ domain, rank: getRank(domain) }))
  entries.sort((a, b) => compareRanks(a.rank, b.rank))
  return entries.map(entry => entry.domain)
}

function rankRegions (options: ChooseEntriesOptions, weighted: string[]): string[] {
  const sites = options.sites ?? []
  const { domains } = options.directory
  const regions = [...new Set(domains.map(domain => domain.region))]
  const entries = regions.map(region => {
    const place = weighted.indexOf(region)
    const nearest = Math.min(...domains.filter(domain => domain.region === region).map(domain => locateSite(sites, domain)))
    const unweighted = region === options.localRegion ? 0 : 1
    return { region, rank: [place === 0 ? 0 : 1, place < 0 ? 1 : 0, nearest, place < 0 ? unweighted : place] }
  })
  entries.sort((a, b) => compareRanks(a.rank, b.rank))
  return entries.map(entry => entry.region)
}

/** Returns the place of a failure domain among the caller's sites; behind all others where it is none. */
function locateSite (sites: readonly string[], domain: DirectoryDomain): number {
  const index = sites.findIndex(site => site === domain.failureDomain || site === domain.region)
  return index < 0 ? sites.length : index
}

function compareRanks (a: number[], b: number[]): number {
  const index = a.findIndex((value, place) => value !== b[place])
  return index < 0 ? 0 : a[index]! - b[index]!
}

/** Returns the best instances of a failure domain for a caller, by rendezvous hashing. */
function rankMembers (domain: DirectoryDomain, options: { callerHash: number, count: number }): InstanceRecord[] {
  const best: Array<{ record: InstanceRecord, score: number }> = []
  for (const { record, hash } of domain.members) {
    const score = computePairHash(hash, options.callerHash)
    if (best.length === options.count && best.at(-1)!.score >= score) continue
    const place = best.findIndex(other => other.score < score)
    best.splice(place < 0 ? best.length : place, 0, { record, score })
    if (best.length > options.count) best.pop()
  }
  return best.map(entry => entry.record)
}

/** Mixes two hashes into one 32-bit hash. */
function computePairHash (a: number, b: number): number {
  let hash = Math.imul(a ^ Math.imul(b, 0x9e3779b1), 0x85ebca6b)
  hash ^= hash >>> 13
  hash = Math.imul(hash, 0xc2b2ae35)
  return (hash ^ hash >>> 16) >>> 0
}
