/**
 * What is emulated: sizes of a site, its callers and its load over time.
 *
 * @module
 */

/** A kind of request. */
export interface RequestKind {
  /** Name in the tables. */
  name: string
  /** Requests a second at the load 1. */
  perSecond: number
  /** Time that one holds a slot at a target that is warm for its object, in milliseconds. */
  warmServiceTimeMs: number
  /** Time within which an answer is worth most, in milliseconds. */
  objectiveMs: number
  /** Time that the caller waits for an attempt, in milliseconds. */
  timeoutMs: number
  /** Rank of its route; 0 comes first. */
  priority: number
  /** Worth of an answer in time; a later one is worth a fifth of it. */
  utility: number
}

/** A site. */
export interface SiteConfig {
  /** Name in the tables. */
  name: string
  /** Instances. */
  instances: number
  /** Slots of each. */
  slots: number
  /** Requests that wait at a target before it turns others away. */
  targetQueueLimit: number
  /** Objects that requests concern; the popularity of each falls with its rank. */
  objectCount: number
  /** How much longer a request takes whose object the target has not handled before. */
  coldServiceTimeFactor: number
  /** Targets of each region, by its name; an object is asked for by callers of one region. */
  targetsByRegion: Record<string, number>
  /** One-way time to a target of the own region, in milliseconds. */
  sameRegionLatencyMs: number
  /** One-way time to a target of another region, in milliseconds. */
  crossRegionLatencyMs: number
  /** Kinds of requests. */
  requestKinds: RequestKind[]
}

/** A course of the load. */
export interface LoadProfile {
  /** Name in the tables. */
  name: string
  /** Length, in seconds. */
  durationSeconds: number
  /** Returns the load at a second, as a multiple of the kinds' rates. */
  getLoadFactor: (second: number) => number
}

const smallKinds: RequestKind[] = [
  { name: 'read', perSecond: 70, warmServiceTimeMs: 260, objectiveMs: 500, timeoutMs: 2_000, priority: 1, utility: 1 },
  { name: 'order', perSecond: 38, warmServiceTimeMs: 330, objectiveMs: 650, timeoutMs: 2_500, priority: 0, utility: 2 }
]

function createKinds (kinds: RequestKind[], factor: number): RequestKind[] {
  return kinds.map(kind => ({ ...kind, perSecond: kind.perSecond * factor }))
}

const smallSite: SiteConfig = { name: 'small, 7 instances, 32 targets', instances: 7, targetsByRegion: { sofia: 4, plovdiv: 13, varna: 15 }, slots: 3, targetQueueLimit: 9, objectCount: 140, coldServiceTimeFactor: 3.3, sameRegionLatencyMs: 1, crossRegionLatencyMs: 55, requestKinds: smallKinds }

/** The sites: one of the size that is served today, and one grown to 26 instances. Holding times are those that the logs of played days show. */
export const siteConfigs: SiteConfig[] = [
  smallSite,
  { ...smallSite, name: 'grown, 26 instances, 216 targets', instances: 26, targetsByRegion: { sofia: 22, plovdiv: 92, varna: 102 }, objectCount: 440, requestKinds: createKinds(smallKinds, 7) }
]

const rushStartSecond = 20
const rushEndSecond = 30

/** The courses: a calm one, a heavy one, and a rush after which the load is as before. */
export const loadProfiles: LoadProfile[] = [
  { name: 'calm', durationSeconds: 40, getLoadFactor: () => 0.6 },
  { name: 'heavy', durationSeconds: 40, getLoadFactor: () => 1.6 },
  { name: 'rush', durationSeconds: 60, getLoadFactor: second => second >= rushStartSecond && second < rushEndSecond ? 3 : 1 }
]
