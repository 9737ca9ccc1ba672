/**
 * What an entry instance learns from its settings.
 *
 * @module
 */

/** IP address and port. */
export interface SocketAddress {
  /** IP address. */
  host: string
  /** TCP or UDP port. */
  port: number
}

/** Time bounds and budgets that hold for all instances together. */
export interface SteeringBounds {
  /** Time without trouble after which an instance counts as stable, in milliseconds. */
  stableMs: number
  /** Time within which a leaving target must get no more requests, in milliseconds. */
  drainMs: number
  /** Time between the request to stop and the kill, in milliseconds. */
  graceMs: number
  /** Time within which a configuration must be in force, in milliseconds. */
  configMs: number
  /** Repeats allowed for each request of a service within the budget's window. */
  retryRatio: number
  /** Repeats allowed besides, for all instances together. */
  retrySlack: number
  /** Length of the window of the retry budget, in milliseconds. */
  budgetWindowMs: number
  /** Factor on the rate that a cold target bears. */
  coldOver: number
  /** Requests in a second allowed besides, for all instances together. */
  coldSlack: number
  /** Longest time for which callers keep a look-up, in milliseconds. */
  maxLookUpTtlMs: number
}

/** Settings of an entry instance. */
export interface EntrySettings {
  /** Name of the instance. */
  instance: string
  /** Failure domain that it is in. */
  failureDomain: string
  /** Region that it is in. */
  region: string
  /** Where its listeners are opened: for callers, look-ups, readiness checks and peers. */
  listen: { callers: SocketAddress, lookUps: SocketAddress, readiness: SocketAddress, peers: SocketAddress }
  /** UDP port of heartbeats, the same on all instances. */
  heartbeatPort: number
  /** Peers' listeners that may answer at the start; they may be stale. */
  seeds: SocketAddress[]
  /** Region by failure domain. */
  regions: Map<string, string>
  /** Address of the platform's store. */
  store: SocketAddress
  /** Bounds for all instances together. */
  bounds: SteeringBounds
}

/** A finding in a settings file. */
export interface SettingsFinding {
  /** JSON pointer to the place. */
  pointer: string
  /** What is wrong there. */
  message: string
}
