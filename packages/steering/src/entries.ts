/**
 * Selects the entry instances to return for a look-up.
 *
 * @module
 */
import type { InstanceRecord } from './inventory.ts'
import { LifecycleState } from './inventory.ts'
import { computeHash, rankByRendezvous } from './rendezvous.ts'

/** A failure domain with its live instances. */
export interface DirectoryDomain {
  /** Name of the failure domain. */
  failureDomain: string
  /** Region that the failure domain is in. */
  region: string
  /** Live instances of the failure domain, each with the hash of its name. */
  members: Array<{ record: InstanceRecord, hash: number }>
}

/** The live instances grouped by failure domain; computed once for many look-ups. */
export interface EntryDirectory {
  /** The failure domains that have at least one live instance. */
  domains: DirectoryDomain[]
}

/** Options of {@linkcode chooseEntries}. */
export interface ChooseEntriesOptions {
  /** Key that identifies the caller, usually its IP address. */
  callerKey: string
  /** Live instances by failure domain. */
  directory: EntryDirectory
  /** Region weights in force for the service. */
  regionWeights: Record<string, number>
  /** Region of the instance that serves the look-up; preferred among regions without a weight that are equally near. */
  localRegion: string
  /** Site order of the caller: names of failure domains or regions, nearest first; empty by default. */
  sites?: readonly string[]
  /** Maximum number of instances to return; 3 by default. */
  maxEntries?: number
}

const defaultMaxEntries = 3

/**
 * Groups the live instances by failure domain.
 *
 * @param instances Known and reachable instances; those that are not live are left out
 * @returns The live instances by failure domain
 */
export function createEntryDirectory (instances: InstanceRecord[]): EntryDirectory {
  const domains = new Map<string, DirectoryDomain>()
  for (const record of instances) {
    if (record.state !== LifecycleState.Live) continue
    const { failureDomain, region } = record
    const domain = domains.get(failureDomain) ?? { failureDomain, region, members: [] }
    domains.set(failureDomain, domain)
    domain.members.push({ record, hash: computeHash(record.instance) })
  }
  return { domains: [...domains.values()] }
}

/**
 * Selects the entry instances for a caller, in more than one failure domain if possible.
 *
 * The first region is chosen by the weights in force, so that the entry instance is in the region whose targets run
 * the caller's requests. The site order of the caller ranks the failure domains of that region and the regions after it.
 *
 * @param options Caller, live instances, region weights and site order
 * @returns Live instances, best first; empty if there are none
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
  const regionsByWeight = rankByRendezvous(options.callerKey, options.regionWeights)
  const sizes = Object.fromEntries(domains.map(domain => [domain.failureDomain, domain.members.length]))
  const domainsByHash = rankByRendezvous(options.callerKey, sizes)
  const rankedRegions = rankRegions(options, regionsByWeight)
  const computeRank = (domain: DirectoryDomain): number[] => [
    rankedRegions.indexOf(domain.region), findSiteIndex(sites, domain), domainsByHash.indexOf(domain.failureDomain)
  ]
  const entries = domains.map(domain => ({ domain, rank: computeRank(domain) }))
  entries.sort((a, b) => compareRanks(a.rank, b.rank))
  return entries.map(entry => entry.domain)
}

function rankRegions (options: ChooseEntriesOptions, regionsByWeight: string[]): string[] {
  const sites = options.sites ?? []
  const { domains } = options.directory
  const regions = [...new Set(domains.map(domain => domain.region))]
  const entries = regions.map(region => {
    const weightIndex = regionsByWeight.indexOf(region)
    const nearestSiteIndex = Math.min(...domains.filter(domain => domain.region === region).map(domain => findSiteIndex(sites, domain)))
    const localRank = region === options.localRegion ? 0 : 1
    return { region, rank: [weightIndex === 0 ? 0 : 1, weightIndex < 0 ? 1 : 0, nearestSiteIndex, weightIndex < 0 ? localRank : weightIndex] }
  })
  entries.sort((a, b) => compareRanks(a.rank, b.rank))
  return entries.map(entry => entry.region)
}

/** Returns the index of a failure domain in a site order, matched by its name or region; the length of the site order if it is not there. */
function findSiteIndex (sites: readonly string[], domain: DirectoryDomain): number {
  const index = sites.findIndex(site => site === domain.failureDomain || site === domain.region)
  return index < 0 ? sites.length : index
}

function compareRanks (a: number[], b: number[]): number {
  const index = a.findIndex((value, position) => value !== b[position])
  return index < 0 ? 0 : a[index]! - b[index]!
}

/** Returns the instances of a failure domain that rank highest for a caller by rendezvous hashing, best first. */
function rankMembers (domain: DirectoryDomain, options: { callerHash: number, count: number }): InstanceRecord[] {
  const best: Array<{ record: InstanceRecord, score: number }> = []
  for (const { record, hash } of domain.members) {
    const score = computePairHash(hash, options.callerHash)
    if (best.length === options.count && best.at(-1)!.score >= score) continue
    const position = best.findIndex(other => other.score < score)
    best.splice(position < 0 ? best.length : position, 0, { record, score })
    if (best.length > options.count) best.pop()
  }
  return best.map(entry => entry.record)
}

/** Combines two hashes into one 32-bit hash. */
function computePairHash (a: number, b: number): number {
  let hash = Math.imul(a ^ Math.imul(b, 0x9e3779b1), 0x85ebca6b)
  hash ^= hash >>> 13
  hash = Math.imul(hash, 0xc2b2ae35)
  return (hash ^ hash >>> 16) >>> 0
}
