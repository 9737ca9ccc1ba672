/**
 * The deployments that a soak is played on: their sizes, services and load.
 *
 * @module
 */
import { testSiteHost, testSiteService } from '../test_site.ts'
import { SoakRequestKind } from './soak_callers.ts'

/** Size of a deployment. */
export enum SoakScale {
  /** A few instances with one service and little load. */
  Small = 'small',
  /** 7 instances in 6 failure domains with two services and 325 requests a second. */
  Full = 'full'
}

/** A service of a deployment. */
export interface SoakService {
  /** Name. */
  name: string
  /** Number of targets. */
  targets: number
  /** Requests that each target runs at a time. */
  slots: number
  /** Bounds of the processing time of a request, in milliseconds. */
  processingMs: [from: number, to: number]
}

/** A request that a caller sends. */
export interface SoakRequest {
  /** Kind. */
  kind: SoakRequestKind
  /** Session affinity key. */
  affinityKey: string
  /** Duration of the body of a slow upload, in milliseconds. */
  slowBodyMs: number
  /** Length of the body, in bytes. */
  bodyBytes: number
  /** Time left that the caller states, in milliseconds. */
  timeLeftMs: number
}

/** A deployment. */
export interface SoakSite {
  /** Failure domains, which instances and targets take in turn. */
  failureDomains: string[]
  /** Services. */
  services: SoakService[]
  /** Services and time limits of the routes, by kind. */
  routes: Record<SoakRequestKind, { service: string, timeout: string }>
  /** Connections to a target that may wait to be accepted. */
  backlog: number
  /** Callers of each instance. */
  callersPerInstance: number
  /** Mean time between two requests of a caller, in milliseconds. */
  meanPauseMs: number
  /** Kinds that use a connection of their own for each request. */
  freshKinds: Set<SoakRequestKind>
  /** Returns the next request of a caller. */
  chooseRequest (getRandom: () => number): SoakRequest
}

const addedRoutes = 350
const maxSlowBodyMs = 5_000
const smallBodyBytes = { [SoakRequestKind.Safe]: 0, [SoakRequestKind.Unsafe]: 5, [SoakRequestKind.Upload]: 300_000, [SoakRequestKind.Slow]: 100_000 }
const fullTimesLeftMs = { [SoakRequestKind.Safe]: 2_500, [SoakRequestKind.Unsafe]: 3_000, [SoakRequestKind.Upload]: 3_000, [SoakRequestKind.Slow]: 8_000 }
const fullRequestsPerSecond = 325
const fullCallersPerInstance = 30
const fullBacklog = 15
const upload = { meanBytes: 60_000, spread: 0.6, maxBytes: 360_000 }

/**
 * Creates the deployment of a size.
 *
 * @param scale Size
 * @param instances Number of instances
 * @returns The deployment
 */
export function createSoakSite (scale: SoakScale, instances: number): SoakSite {
  return scale === SoakScale.Small ? createSmallSite(instances) : createFullSite(instances)
}

/**
 * Creates a configuration of a deployment, in the format of the platform.
 *
 * @param site Deployment
 * @param options Version, and whether there are 350 more routes
 * @returns The value of its row
 */
export function createSoakConfig ({ routes, services }: SoakSite, { version, hasAddedRoutes }: { version: number, hasAddedRoutes: boolean }): object {
  const createRoute = (kind: SoakRequestKind, prefix: string): object => ({ host: testSiteHost, prefix: `/${prefix}/`, kind: kind === SoakRequestKind.Slow ? SoakRequestKind.Upload : kind, latency_slo: '500ms', priority: 1, max_attempts: 3, session_affinity: true, home_regions: [], ...routes[kind] })
  return {
    version: `r${version}`,
    routes: {
      ...Object.fromEntries(Object.values(SoakRequestKind).map(kind => [kind, createRoute(kind, kind)])),
      ...Object.fromEntries(Array.from({ length: hasAddedRoutes ? addedRoutes : 0 }, (_, index) => [`added-${index}`, createRoute(SoakRequestKind.Safe, `added-${index}`)]))
    },
    services: Object.fromEntries(services.map(({ name }) => [name, { health_path: '/health', max_conns: 330, cold_start: '0s', cold_per_s: 100 }])),
    limits: { max_header_bytes: 16_384, max_body_bytes: 1_048_576, header_timeout: '3000ms', idle_timeout: '15000ms' }
  }
}

function createSmallSite (instances: number): SoakSite {
  const failureDomains = ['a-1', 'a-2', 'b-1', 'b-2']
  const route = { service: testSiteService, timeout: '2000ms' }
  return {
    failureDomains,
    services: [{ name: testSiteService, targets: instances * 2 + failureDomains.length, slots: 3, processingMs: [60, 60] }],
    routes: { [SoakRequestKind.Safe]: route, [SoakRequestKind.Unsafe]: route, [SoakRequestKind.Upload]: route, [SoakRequestKind.Slow]: { ...route, timeout: '8000ms' } },
    backlog: 1,
    callersPerInstance: 6,
    meanPauseMs: 400,
    freshKinds: new Set(),
    chooseRequest (getRandom) {
      const draw = getRandom()
      const kind = draw < 0.6 ? SoakRequestKind.Safe : draw < 0.93 ? SoakRequestKind.Unsafe : draw < 0.97 ? SoakRequestKind.Upload : SoakRequestKind.Slow
      const affinityKey = String(Math.floor(getRandom() * 60))
      return { kind, affinityKey, slowBodyMs: getRandom() * maxSlowBodyMs, bodyBytes: smallBodyBytes[kind], timeLeftMs: kind === SoakRequestKind.Slow ? 8_000 : 2_000 }
    }
  }
}

function createFullSite (instances: number): SoakSite {
  const board = { service: 'board', timeout: '2500ms' }
  const photos = { service: 'photos', timeout: '3000ms' }
  return {
    failureDomains: ['a-1', 'b-1', 'c-1', 'a-2', 'b-2', 'c-2'],
    services: [{ name: 'board', targets: 22, slots: 6, processingMs: [100, 250] }, { name: 'photos', targets: 12, slots: 3, processingMs: [100, 250] }],
    routes: { [SoakRequestKind.Safe]: board, [SoakRequestKind.Unsafe]: board, [SoakRequestKind.Upload]: photos, [SoakRequestKind.Slow]: { ...photos, timeout: '8000ms' } },
    backlog: fullBacklog,
    callersPerInstance: fullCallersPerInstance,
    meanPauseMs: fullCallersPerInstance * instances * 1_000 / fullRequestsPerSecond,
    freshKinds: new Set([SoakRequestKind.Upload, SoakRequestKind.Slow]),
    chooseRequest (getRandom) {
      const draw = getRandom()
      const kind = draw < 0.58 ? SoakRequestKind.Safe : draw < 0.92 ? SoakRequestKind.Unsafe : draw < 0.98 ? SoakRequestKind.Upload : SoakRequestKind.Slow
      const bodyBytes = kind === SoakRequestKind.Safe ? 0 : kind === SoakRequestKind.Unsafe ? 300 : chooseUploadBytes(getRandom)
      return { kind, affinityKey: String(Math.floor(getRandom() * 47)), slowBodyMs: getRandom() * maxSlowBodyMs, bodyBytes, timeLeftMs: fullTimesLeftMs[kind] }
    }
  }
}

/** Chooses the length of an upload from a log-normal distribution. */
function chooseUploadBytes (getRandom: () => number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - getRandom())) * Math.cos(2 * Math.PI * getRandom())
  const bytes = upload.meanBytes * Math.exp(upload.spread * normal - upload.spread ** 2 / 2)
  return Math.max(1, Math.min(upload.maxBytes, Math.round(bytes)))
}
