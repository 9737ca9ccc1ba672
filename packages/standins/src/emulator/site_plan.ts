/**
 * Inputs of the simulation: the size of a site, the requests of its callers, and the load over time.
 *
 * @module
 */

/** A kind of request, with its rate, its timing and its utility. */
export interface RequestKind {
  /** Name of the kind. */
  name: string
  /** Rate at a load factor of 1, in requests per second. */
  requestsPerSecond: number
  /** Mean service time at a target that has cached the object, in milliseconds. */
  warmServiceTimeMs: number
  /** Latency objective, in milliseconds; a later response has only a fifth of the utility. */
  objectiveMs: number
  /** Timeout of each attempt, in milliseconds. */
  timeoutMs: number
  /** Priority of the route; 0 is the highest. */
  priority: number
  /** Utility of a response within the objective. */
  utility: number
}

/** Size and request kinds of a simulated site. */
export interface SiteConfig {
  /** Name in the tables of results. */
  name: string
  /** Number of entry instances. */
  instances: number
  /** Number of slots of each target. */
  slots: number
  /** Number of requests that may wait at a target before the target refuses further requests. */
  targetQueueLimit: number
  /** Number of objects that requests refer to; the popularity of an object falls with its index. */
  objectCount: number
  /** Factor by which the service time grows at a target that has not cached the object. */
  coldServiceTimeFactor: number
  /** Number of targets by region. All callers of an object are in one region. */
  targetsByRegion: Record<string, number>
  /** One-way latency from an instance to a target in its region, in milliseconds. */
  sameRegionLatencyMs: number
  /** One-way latency from an instance to a target in another region, in milliseconds. */
  crossRegionLatencyMs: number
  /** Kinds of requests that the callers send. */
  requestKinds: RequestKind[]
}

/** The load on a site over time. */
export interface LoadProfile {
  /** Name in the tables of results. */
  name: string
  /** Duration, in seconds. */
  durationSeconds: number
  /** Returns the factor by which the rates of all request kinds are multiplied at a time, in seconds from the start. */
  getLoadFactor: (second: number) => number
}

const smallKinds: RequestKind[] = [
  { name: 'read', requestsPerSecond: 70, warmServiceTimeMs: 260, objectiveMs: 500, timeoutMs: 2_000, priority: 1, utility: 1 },
  { name: 'order', requestsPerSecond: 38, warmServiceTimeMs: 330, objectiveMs: 650, timeoutMs: 2_500, priority: 0, utility: 2 }
]

function createKinds (kinds: RequestKind[], factor: number): RequestKind[] {
  return kinds.map(kind => ({ ...kind, requestsPerSecond: kind.requestsPerSecond * factor }))
}

const smallSite: SiteConfig = { name: 'small, 7 instances, 32 targets', instances: 7, targetsByRegion: { sofia: 4, plovdiv: 13, varna: 15 }, slots: 3, targetQueueLimit: 9, objectCount: 140, coldServiceTimeFactor: 3.3, sameRegionLatencyMs: 1, crossRegionLatencyMs: 55, requestKinds: smallKinds }

const quickKinds: RequestKind[] = [
  { name: 'look-up', requestsPerSecond: 107, warmServiceTimeMs: 108, objectiveMs: 400, timeoutMs: 1_000, priority: 1, utility: 1 }
]

/** A site whose requests take little time and have short timeouts, with few targets for each region. */
export const quickSite: SiteConfig = { ...smallSite, name: 'quick, 7 instances, 12 targets', targetsByRegion: { amman: 4, irbid: 6, aqaba: 2 }, objectCount: 78, requestKinds: quickKinds }

/** The simulated sites: with 7, 26 and 77 instances. The service times come from request logs of simulated days. */
export const siteConfigs: SiteConfig[] = [
  smallSite,
  { ...smallSite, name: 'grown, 26 instances, 216 targets', instances: 26, targetsByRegion: { sofia: 22, plovdiv: 92, varna: 102 }, objectCount: 440, requestKinds: createKinds(smallKinds, 7) },
  { ...smallSite, name: 'large, 77 instances, 449 targets', instances: 77, targetsByRegion: { sofia: 45, plovdiv: 184, varna: 220 }, objectCount: 476, requestKinds: createKinds(smallKinds, 11) }
]

const rushStartSecond = 20
const rushEndSecond = 30

/** The load profiles: constant light load, constant heavy load, and a rush of 10 s at three times the load before and after it. */
export const loadProfiles: LoadProfile[] = [
  { name: 'calm', durationSeconds: 40, getLoadFactor: () => 0.6 },
  { name: 'heavy', durationSeconds: 40, getLoadFactor: () => 1.6 },
  { name: 'rush', durationSeconds: 60, getLoadFactor: second => second >= rushStartSecond && second < rushEndSecond ? 3 : 1 }
]
