/**
 * The routing configuration, the targets that serve its routes, and the table that finds the route of a request.
 *
 * @module
 */

/** Whether requests on a route may be repeated. */
export enum RouteKind {
  /** Requests may run more than once. */
  Safe = 'safe',
  /** Requests run at most once for each attempt of a caller. */
  Unsafe = 'unsafe',
  /** Requests carry a large body and run at most once. */
  Upload = 'upload'
}

/** A service that receives a share of a route's requests. */
export interface WeightedService {
  /** Name of the service. */
  service: string
  /** Share of the requests, relative to the weights of the route's other services. */
  weight: number
}

/** A route: the requests that it matches, the services that receive them, and their limits. */
export interface Route {
  /** Name of the route. */
  name: string
  /** Host that the route matches, in lower case and without a port. */
  host: string
  /** Path prefix that the route matches; begins and ends with a slash. */
  pathPrefix: string
  /** Whether its requests may be repeated. */
  kind: RouteKind
  /** Maximum time that a caller waits for a response, in milliseconds. */
  timeoutMs: number
  /** Latency objective (SLO) of responses, in milliseconds. */
  latencyObjectiveMs: number
  /** Priority of the route's requests; 0 is the highest. */
  priority: number
  /** Maximum number of targets that may receive one attempt; targets to which no connection was established do not count. */
  maxAttempts: number
  /** Services of the route, at least one of them with a positive weight. */
  weightedServices: WeightedService[]
  /** Whether requests for the same object go to the same targets where possible. */
  hasAffinity: boolean
  /** Regions in which the requests may be served; empty if any region may serve them. */
  homeRegions: string[]
}

/** Limits of a service's targets. */
export interface TargetLimits {
  /** Maximum number of connections to each target from all instances together. */
  maxConnections: number
  /** Time after its start for which a target is cold and gets requests at a limited rate, in milliseconds. */
  coldForMs: number
  /** Maximum rate of requests to a cold target from all instances together, per second. */
  coldRequestsPerSecond: number
}

/** Limits on callers' requests and on idle connections. */
export interface CallerLimits {
  /** Maximum size of a request's header section, in bytes. */
  maxHeaderBytes: number
  /** Maximum size of a request's body, in bytes. */
  maxBodyBytes: number
  /** Maximum time for receiving a header section, in milliseconds. */
  headerTimeoutMs: number
  /** Maximum time that a connection may be idle between requests, in milliseconds. */
  idleTimeoutMs: number
}

/** A version of the routing configuration. */
export interface RoutingConfig {
  /** Version; a higher one replaces a lower one. */
  version: number
  /** The routes. */
  routes: Route[]
  /** Limits of the services' targets, by service name. */
  services: Map<string, TargetLimits>
  /** Limits on callers' requests. */
  limits: CallerLimits
}

/** A registered target, to which instances dispatch requests directly. */
export interface ServingTarget {
  /** Identifier of the target. */
  id: string
  /** Service that the target runs. */
  service: string
  /** IP address and port that the target listens on. */
  address: { host: string, port: number }
  /** Failure domain of the target. */
  failureDomain: string
  /** Maximum number of requests that the target processes concurrently. */
  slots: number
  /** Whether the target accepts no new requests. */
  leaving: boolean
  /** Remaining time for which the target was cold when it wrote its registration, in milliseconds. */
  coldLeftMs: number
  /** Start time of the target in Unix milliseconds, 0 if not stated; a restart has a later one. */
  startedAtMs: number
}

/** Routes of a configuration, indexed by host. */
export interface RouteTable {
  /** Finds the route of the host with the longest matching path prefix; `undefined` if there is none. */
  findRoute (host: string, path: string): Route | undefined
}

/**
 * Creates the route table of a configuration.
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
