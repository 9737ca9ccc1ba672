/**
 * The routing configuration in force, the targets that serve it, and the route of a request.
 *
 * @module
 */

/** What may be repeated of the requests on a route. */
export enum RouteKind {
  /** May run more than once. */
  Safe = 'safe',
  /** Runs at most once for each attempt of a caller. */
  Unsafe = 'unsafe',
  /** Carries a large body and runs at most once. */
  Upload = 'upload'
}

/** A service that takes a share of a route's requests. */
export interface WeightedService {
  /** Name of the service. */
  service: string
  /** Its part of the requests, relative to the other shares' weights. */
  weight: number
}

/** A route: which requests go to which services, and on what terms. */
export interface Route {
  /** Name of the route. */
  name: string
  /** Host that the route belongs to, in lower case, without a port. */
  host: string
  /** Prefix of the paths on the route; begins and ends with a slash. */
  pathPrefix: string
  /** What may be repeated. */
  kind: RouteKind
  /** Longest time that a caller is kept waiting, in milliseconds. */
  timeoutMs: number
  /** Time within which an answer is worth most, in milliseconds. */
  objectiveMs: number
  /** Rank of the route's requests; 0 comes first. */
  priority: number
  /** Most targets that one attempt may be sent to. */
  maxAttempts: number
  /** The services, with at least one of positive weight. */
  weightedServices: WeightedService[]
  /** Whether requests of the same object go to the same targets where possible. */
  hasAffinity: boolean
  /** Regions in which the requests may be served; empty where all may. */
  homeRegions: string[]
}

/** The terms of a service. */
export interface ServiceTerms {
  /** Connections that each of its targets takes from all instances together. */
  maxConnections: number
  /** Time for which a target is cold after its start, in milliseconds. */
  coldForMs: number
  /** Requests a second that a cold target bears from all instances together. */
  coldRequestsPerSecond: number
}

/** Bounds on what a caller may send, and for how long a connection may idle. */
export interface CallerLimits {
  /** Most bytes of a request's header section. */
  maxHeaderBytes: number
  /** Most bytes of a request's body. */
  maxBodyBytes: number
  /** Longest time that a header section may take, in milliseconds. */
  headerTimeoutMs: number
  /** Longest time that a connection may idle between requests, in milliseconds. */
  idleTimeoutMs: number
}

/** A version of the routing configuration. */
export interface RoutingConfig {
  /** Version; a higher one replaces a lower one. */
  version: number
  /** The routes. */
  routes: Route[]
  /** The terms of the services, by name. */
  services: Map<string, ServiceTerms>
  /** Bounds on what callers send. */
  limits: CallerLimits
}

/** A target that requests may be sent to directly. */
export interface ServingTarget {
  /** Identifier of this run of the target. */
  id: string
  /** Service that it runs. */
  service: string
  /** IP address and port that it listens on. */
  address: { host: string, port: number }
  /** Failure domain that it is in. */
  failureDomain: string
  /** Requests that it works on at once. */
  slots: number
  /** Whether it takes no new work. */
  leaving: boolean
  /** How much longer it said it was cold when it wrote this, in milliseconds. */
  coldLeftMs: number
  /** Time of its start in Unix milliseconds, 0 where it does not say; a restart has a later one. */
  startedAtMs: number
}

/** The routes of a configuration, prepared for finding the one of a request. */
export interface RouteTable {
  /** Finds the route with the longest prefix of a path. */
  findRoute (host: string, path: string): Route | undefined
}

/**
 * Creates the table of a configuration's routes.
 *
 * @param config The configuration
 * @returns The table
 */
export function createRouteTable (config: RoutingConfig): RouteTable {
  const byHost = new Map<string, Route[]>()
  for (const route of config.routes) byHost.set(route.host, [...byHost.get(route.host) ?? [], route])
  for (const routes of byHost.values()) routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
  return {
    findRoute: (host, path) => byHost.get(host.toLowerCase())?.find(route => path.startsWith(route.pathPrefix))
  }
}
