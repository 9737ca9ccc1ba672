/**
 * The choice of the entry instances that a look-up names.
 *
 * @module
 */
import type { InstanceRecord } from './inventory.ts'
import { MachineState } from './inventory.ts'
import { computeHash, rankByRendezvous } from './rendezvous.ts'

/** What `chooseEntries` decides from. */
export interface ChooseEntriesOptions {
  /** Identifies the caller, its address as a rule. */
  callerKey: string
  /** Instances known and reachable, leaving ones among them. */
  instances: InstanceRecord[]
  /** Weights by region that are in force for the service. */
  regionWeights: Record<string, number>
  /** Region of the instance that answers, preferred where no region has a weight. */
  localRegion: string
  /** Most entries to return; 3 by default. */
  maxEntries?: number
}

const defaultMaxEntries = 3

/**
 * Chooses the entry instances for a caller, best first, in more than one failure domain if possible.
 *
 * @param options What to decide from
 * @returns Live instances, best first; empty where none is live
 */
export function chooseEntries (options: ChooseEntriesOptions): InstanceRecord[] {
  const maxEntries = options.maxEntries ?? defaultMaxEntries
  const ranked = rankInstances(options)
  const chosen = ranked.slice(0, maxEntries)
  const domains = new Set(chosen.map(record => record.failureDomain))
  if (domains.size > 1 || chosen.length < 2) return chosen
  const other = ranked.find(record => !domains.has(record.failureDomain))
  if (other !== undefined) chosen[chosen.length - 1] = other
  return chosen
}

function rankInstances (options: ChooseEntriesOptions): InstanceRecord[] {
  const regions = rankByRendezvous(options.callerKey, options.regionWeights)
  const place = (record: InstanceRecord): number => {
    const index = regions.indexOf(record.region)
    if (index >= 0) return index
    return regions.length + (record.region === options.localRegion ? 0 : 1)
  }
  const score = (record: InstanceRecord): number => computeHash(`${record.instance}\u0000${options.callerKey}`)
  return options.instances
    .filter(record => record.state === MachineState.Live)
    .sort((a, b) => place(a) - place(b) || score(b) - score(a))
}
