/**
 * Divides the descriptors of a process among its connections, and decides which ones give way when they run short.
 *
 * @module
 */

/** Limits of the descriptors of a process. */
export interface DescriptorLimits {
  /** Limit that the settings state for sockets and files together; `undefined` if they state none. */
  configured?: number | undefined
  /** Limit that the operating system enforces; `undefined` if it is not known. */
  enforced?: number | undefined
  /** Number of descriptors that are open apart from connections, such as files and listeners. */
  openOthers: number
}

/** Numbers of connections that a process may have open. */
export interface DescriptorShares {
  /** Connections of all kinds together. */
  total: number
  /** Connections to the store and other instances, and those of readiness checks, look-ups and metrics. */
  reserved: number
  /** Connections of callers to which only a refusal is sent. */
  refusals: number
  /** Connections of callers and to targets together. */
  shared: number
  /** Connections of callers that connections to targets never displace. */
  minCallers: number
  /** Connections to targets that connections of callers never displace. */
  minTargets: number
}

/** What a descriptor is needed for. */
export enum DescriptorUse {
  /** A connection of a caller. */
  Caller = 'caller',
  /** A connection to a target. */
  Target = 'target'
}

/** What to do when a connection needs a descriptor. */
export enum DescriptorDecision {
  /** Open it. */
  Open = 'open',
  /** Close an idle connection of a caller, and decide again. */
  CloseIdleCaller = 'close_idle_caller',
  /** Close an idle connection to a target, and decide again. */
  CloseIdleTarget = 'close_idle_target',
  /** Refuse it. */
  Refuse = 'refuse'
}

/** Connections that are open. */
export interface DescriptorUsage {
  /** Connections of callers. */
  callers: number
  /** Connections to targets. */
  targets: number
  /** Whether a connection of a caller is known to be idle. */
  hasIdleCaller: boolean
  /** Whether a connection to a target is idle. */
  hasIdleTarget: boolean
}

/** Descriptors that the platform reserves for files out of the configured limit. */
const platformFileDescriptors = 200
/** Number of connections that the settings can't go below, since an instance that is told so must have some. */
const minStated = 16
const reservedShare = 0.2
const minReserved = 24
const maxReserved = 160
const refusalShare = 0.1
const minRefusals = 16
const maxRefusals = 256
const maxReservedShare = 0.5
const maxRefusalShare = 0.3
const guaranteedShare = 0.4
/** Share of the reserved connections that stays free of callers which are kept beyond their share. */
const keptFreeShare = 0.5
/** Share of callers and targets that no idle connection of a caller keeps, so that the next connections find it free. */
const spareShare = 0.1
/** Numbers of connections to targets, and of those kept until they have been refused, that kept callers leave. */
const minKeptTargets = 6
const minKeptRefusals = 2

/**
 * Divides the descriptors that the lower of two limits leaves to connections.
 *
 * @param limits The limits
 * @returns The shares; without limits, `Infinity` connections may be open
 */
export function computeDescriptorShares ({ configured, enforced, openOthers }: DescriptorLimits): DescriptorShares {
  const stated = Math.max(minStated, (configured ?? Infinity) - platformFileDescriptors)
  const total = Math.max(0, Math.min(stated, (enforced ?? Infinity) - openOthers))
  if (total === Infinity) return { total, reserved: maxReserved, refusals: maxRefusals, shared: Infinity, minCallers: Infinity, minTargets: Infinity }
  const reserved = Math.floor(Math.min(total * maxReservedShare, Math.max(minReserved, total * reservedShare), maxReserved))
  const refusals = Math.floor(Math.min((total - reserved) * maxRefusalShare, Math.max(minRefusals, total * refusalShare), maxRefusals))
  const shared = total - reserved - refusals
  const guaranteed = Math.floor(shared * guaranteedShare)
  return { total, reserved, refusals, shared, minCallers: guaranteed, minTargets: guaranteed }
}

/**
 * Returns how many connections of a kind may be open beside those of the other kind.
 *
 * @param use The kind
 * @param shares Shares of the process
 * @param usage Connections that are open
 * @returns The number
 */
export function computeMaxConnections (use: DescriptorUse, shares: DescriptorShares, { callers, targets }: Pick<DescriptorUsage, 'callers' | 'targets'>): number {
  if (shares.shared === Infinity) return Infinity
  // What is guaranteed holds also while the other kind has more than its part, after the limit has become lower.
  return use === DescriptorUse.Caller
    ? Math.max(shares.minCallers, shares.shared - Math.max(shares.minTargets, targets))
    : Math.max(shares.minTargets, shares.shared - Math.max(shares.minCallers, callers))
}

/** Numbers of connections of callers. */
export interface CallerConnectionLimits {
  /** Number of connections beyond which idle ones are closed. */
  maxWithIdle: number
  /** Number of connections beyond which requests are refused. */
  maxServed: number
  /** Number of connections in addition to `maxServed` that are kept until they have been refused. */
  maxRefused: number
  /** Number of connections in use that close after a response so that those which were refused find room. */
  maxYielding: number
  /** Number of connections beyond which responses close theirs. */
  maxOpen: number
}

/** Options of {@linkcode computeCallerConnections}. */
export interface ComputeCallerConnectionsOptions {
  /** Connections to targets that are open. */
  targets: number
  /** Connections of callers that were open when the limit became lower, and since then. */
  kept: number
  /** Number of connections of callers that the heap has room for. */
  maxCallers: number
}

/**
 * Returns how many connections of callers may be open. Those that were open when the limit became lower are kept beyond the
 * share as far as a few are left for targets: a caller whose connection is closed comes back, and takes a descriptor again.
 *
 * @param shares Shares of the process
 * @param options Connections that are open
 * @returns The numbers
 */
export function computeCallerConnections (shares: DescriptorShares, { targets, kept, maxCallers }: ComputeCallerConnectionsOptions): CallerConnectionLimits {
  const share = Math.min(maxCallers, computeMaxConnections(DescriptorUse.Caller, shares, { callers: 0, targets }))
  const maxOpen = shares.total === Infinity ? Infinity : shares.total - Math.ceil(shares.reserved * keptFreeShare) - Math.min(shares.minTargets, minKeptTargets)
  const maxServed = Math.max(share, Math.min(maxCallers, kept, maxOpen))
  if (maxServed > share) return { maxWithIdle: maxServed, maxServed, maxRefused: Math.max(minKeptRefusals, Math.min(shares.refusals, maxOpen - maxServed)), maxYielding: 0, maxOpen }
  const spare = Math.ceil(Math.min(maxCallers, shares.shared) * spareShare)
  return { maxWithIdle: Math.max(0, maxServed - spare), maxServed, maxRefused: shares.refusals, maxYielding: shares.refusals, maxOpen }
}

/**
 * Returns whether connections of callers that are kept beyond their share leave too few descriptors for another connection to a
 * target.
 *
 * @param shares Shares of the process
 * @param usage Connections that are open: those of callers, to targets, and all together
 * @returns Whether it must take the place of another one
 */
export function isKeptFromTargets (shares: DescriptorShares, { callers, targets, all }: { callers: number, targets: number, all: number }): boolean {
  const isBeyondShare = callers > shares.shared - shares.minTargets
  return isBeyondShare && targets >= minKeptTargets && shares.total - all <= shares.reserved * keptFreeShare
}

/**
 * Decides what to do when a connection needs a descriptor. Idle connections of callers give way first, then those to
 * targets, but neither below the number that is guaranteed to its kind.
 *
 * @param use What the descriptor is needed for
 * @param shares Shares of the process
 * @param usage Connections that are open, without the one that needs the descriptor
 * @returns The decision
 */
export function chooseDescriptor (use: DescriptorUse, shares: DescriptorShares, usage: DescriptorUsage): DescriptorDecision {
  const open = use === DescriptorUse.Caller ? usage.callers : usage.targets
  if (open < computeMaxConnections(use, shares, usage)) return DescriptorDecision.Open
  const mayTakeCaller = use === DescriptorUse.Caller || usage.callers > shares.minCallers
  if (usage.hasIdleCaller && mayTakeCaller) return DescriptorDecision.CloseIdleCaller
  const mayTakeTarget = use === DescriptorUse.Target || usage.targets > shares.minTargets
  return usage.hasIdleTarget && mayTakeTarget ? DescriptorDecision.CloseIdleTarget : DescriptorDecision.Refuse
}
