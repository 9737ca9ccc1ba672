/**
 * Types of the settings of an entry instance.
 *
 * @module
 */

/** An IP address with a port. */
export interface SocketAddress {
  /** IP address. */
  host: string
  /** TCP or UDP port. */
  port: number
}

/** Time limits and budgets that apply to all instances together. */
export interface SteeringBounds {
  /** Time without faults after which an instance counts as stable, in milliseconds. */
  stableMs: number
  /** Maximum time until a leaving target gets no more requests, in milliseconds. */
  drainMs: number
  /** Time between the request to stop the process and its forced termination, in milliseconds. */
  graceMs: number
  /** Maximum time until a new configuration is in force, in milliseconds. */
  configMs: number
  /** Retries allowed per request of a service within the window of the retry budget. */
  retryRatio: number
  /** Retries allowed in addition within the window, for all instances together. */
  retrySlack: number
  /** Length of the window of the retry budget, in milliseconds. */
  budgetWindowMs: number
  /** Requests to a cold target allowed within one second, as a multiple of its sustained rate per second. */
  coldOver: number
  /** Requests to a cold target allowed in addition within one second, for all instances together. */
  coldSlack: number
  /** Maximum time for which callers may cache the response to a look-up, in milliseconds. */
  maxLookUpTtlMs: number
}

/** What a host allows a process. */
export interface HostLimits {
  /** Number of descriptors, for sockets and files together. */
  maxDescriptors?: number
  /** Resident memory, in bytes. */
  memoryBytes?: number
}

/** Settings of an entry instance. */
export interface EntrySettings {
  /** Name of the instance. */
  instance: string
  /** Failure domain that the instance is in. */
  failureDomain: string
  /** Region that the instance is in. */
  region: string
  /** Addresses to listen on: for callers, look-ups, readiness checks and peers. */
  listen: { callers: SocketAddress, lookUps: SocketAddress, readiness: SocketAddress, peers: SocketAddress }
  /** UDP port of heartbeats, the same on all instances. */
  heartbeatPort: number
  /** Addresses of the peer listeners to contact when the instance starts; some may be stale. */
  seeds: SocketAddress[]
  /** Region of each failure domain. */
  regions: Map<string, string>
  /** Address of the store of the platform. */
  store: SocketAddress
  /** Time limits and budgets that apply to all instances together. */
  bounds: SteeringBounds
  /** What the host allows the process; absent where the settings do not state it. */
  limits?: HostLimits
}

/** A fault in a settings file. */
export interface SettingsFinding {
  /** JSON pointer to the faulty value. */
  pointer: string
  /** Description of the fault. */
  message: string
}
