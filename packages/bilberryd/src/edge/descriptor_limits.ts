/**
 * Reads how many descriptors this process may open, and applies the shares of them to its connections.
 *
 * @module
 */
import type { CallerConnectionLimits, DescriptorShares, HostLimits, Refusal } from '@bilberryworks/steering'
import type { Server } from 'node:http'
import type { Socket } from 'node:net'
import type { ConnectionGuard } from './connection_guard.ts'
import { openSync, readdirSync, readSync } from 'node:fs'
import { applyGracefulClose, formatRefusal, observeRequests } from '@bilberryworks/callers'
import { chooseDescriptor, computeCallerConnections, computeDescriptorShares, computeMaxConnections, createNotRunRefusal, DescriptorDecision, DescriptorUse, isKeptFromTargets, RefusalReason } from '@bilberryworks/steering'
import { createConnectionGuard } from './connection_guard.ts'

/** Descriptors of this process. */
export interface DescriptorBudget {
  /** Shares of the descriptors; of an unlimited number before {@linkcode DescriptorBudget.measure}. */
  getShares (): DescriptorShares
  /** Computes the shares from the limits and what is open; to be called before callers can connect. */
  measure (): void
  /** Applies the limit of the process if it has changed; to be called at short intervals with monotonic time, in milliseconds. */
  refresh (nowMs: number): void
  /** Guards the listener for callers. */
  guardCallers (server: Server): void
  /** Guards a listener whose connections are reserved; to be called after its handlers are added. */
  guardReserved (server: Server): void
  /** Returns the number of open connections of callers. */
  countCallers (): number
  /** Returns the number of connections of callers beyond which requests are refused. */
  getMaxCallers (): number
  /** Returns the number of connections to targets that may be open. */
  getMaxTargets (): number
  /** Returns whether the response on a connection is to close it, which then gives way to another one; to be called once for each response. */
  takeClose (socket: Socket): boolean
  /** Returns the refusal of a request on a connection beyond the share of callers; `undefined` if it is to be served. */
  findRefusal (socket: Socket): Refusal | undefined
  /** Decides on a connection to a target. */
  chooseForTarget (pool: { count: number, hasIdle: boolean }): DescriptorDecision
  /** Decides on a connection to another instance. */
  chooseForPeer (pool: { count: number, hasIdle: boolean }): DescriptorDecision
}

/** Options of {@linkcode createDescriptorBudget}. */
export interface CreateDescriptorBudgetOptions {
  /** What the settings state of the host. */
  limits: HostLimits | undefined
  /** Returns the number of open connections to targets. */
  countTargets: () => number
  /** Number of connections of callers that the heap has room for. */
  maxCallers: number
  /** Returns a random number in [0, 1). */
  getRandom: () => number
}

/** Open descriptors apart from connections, where the process can't list them: those of Node.js and the listeners. */
const defaultOpenOthers = 40
/** Share of the reserved connections of each reserved listener, and of those to other instances, while descriptors are short. */
const reservedListenerShare = 0.2
/** Share of all connections from which descriptors count as short. */
const shortShare = 0.8
/** Size of `/proc/self/limits` that is read, in bytes. */
const maxLimitsBytes = 4_096
/** Interval at which the limit of the process is read, in milliseconds: others may change it while it runs. */
const refreshIntervalMs = 1_000
const minRetryAfterMs = 100
const retryAfterSpreadMs = 200
const refusalDetail = 'Host has no descriptor left for another connection'

/**
 * Creates the budget of descriptors.
 *
 * @param options Limits and connections
 * @returns The budget
 */
export function createDescriptorBudget ({ limits, countTargets, maxCallers, getRandom }: CreateDescriptorBudgetOptions): DescriptorBudget {
  let shares = computeDescriptorShares({ openOthers: 0 })
  let callers: ConnectionGuard | undefined
  const reservedGuards: ConnectionGuard[] = []
  let peers = 0
  let keptCallers = 0
  let openOthers = 0
  let refreshedAtMs = -Infinity
  const readEnforcedLimit = openLimitReader()
  const formatUnreadRefusal = (): string => formatRefusal(RefusalReason.HostLimit, refusalDetail)
  const countCallers = (): number => callers?.count() ?? 0
  const getCallerConnections = (): CallerConnectionLimits => computeCallerConnections(shares, { targets: countTargets(), kept: keptCallers, maxCallers })
  const getMaxCallers = (): number => getCallerConnections().maxServed
  const getReservedMax = (): number => isScarce() ? Math.max(1, Math.floor(shares.reserved * reservedListenerShare)) : Infinity

  const countConnections = (): number => reservedGuards.reduce((sum, guard) => sum + guard.count(), countCallers() + countTargets() + peers)
  /** Returns whether so many connections are open that the reserved ones need their limits. */
  const isScarce = (): boolean => shares.total !== Infinity && countConnections() >= shares.total * shortShare

  function computeShares (): void {
    shares = computeDescriptorShares({ configured: limits?.maxDescriptors, enforced: readEnforcedLimit(), openOthers })
  }

  return {
    getShares: () => shares,
    measure () {
      openOthers = countOpen()
      computeShares()
    },
    refresh (nowMs) {
      if (nowMs - refreshedAtMs < refreshIntervalMs) return
      refreshedAtMs = nowMs
      const { total } = shares
      computeShares()
      const most = callers?.takeMaxCount() ?? 0
      keptCallers = shares.total < total ? most : Math.min(keptCallers, most)
      if (countCallers() > getCallerConnections().maxOpen) callers?.closeIdle()
    },
    guardCallers (server) {
      callers = createConnectionGuard(server, {
        getLimits: getCallerConnections,
        formatRefusal: formatUnreadRefusal
      })
    },
    guardReserved (server) {
      applyGracefulClose(server)
      const guard = createConnectionGuard(server, {
        getLimits: () => ({ maxWithIdle: Math.ceil(getReservedMax() / 2), maxServed: getReservedMax(), maxRefused: 1, maxYielding: 1, maxOpen: Infinity }),
        formatRefusal: formatUnreadRefusal
      })
      reservedGuards.push(guard)
      observeRequests(server, (_message, response) => { if (guard.isFull()) response.shouldKeepAlive = false })
    },
    countCallers,
    getMaxCallers,
    getMaxTargets: () => computeMaxConnections(DescriptorUse.Target, shares, { callers: countCallers(), targets: 0 }),
    takeClose: socket => callers?.takeClose(socket) ?? false,
    findRefusal: socket => callers?.admitRequest(socket) === false ? createNotRunRefusal(RefusalReason.HostLimit, refusalDetail, minRetryAfterMs + getRandom() * retryAfterSpreadMs) : undefined,
    chooseForTarget ({ count, hasIdle }) {
      const isKept = isKeptFromTargets(shares, { callers: countCallers(), targets: count, all: countConnections() })
      const decision = isKept ? hasIdle ? DescriptorDecision.CloseIdleTarget : DescriptorDecision.Refuse : chooseDescriptor(DescriptorUse.Target, shares, { callers: countCallers(), targets: count, hasIdleCaller: false, hasIdleTarget: hasIdle })
      if (decision !== DescriptorDecision.Refuse) return decision
      // Callers may hold more than their share after the limit has become lower.
      if (shares.total - countConnections() > shares.reserved / 2) return DescriptorDecision.Open
      // Which connections of callers are idle is known only when what has arrived has been read.
      if (count < shares.minTargets / 2) callers?.closeIdle()
      return decision
    },
    chooseForPeer ({ count, hasIdle }) {
      peers = count
      const maxPeers = getReservedMax()
      return chooseDescriptor(DescriptorUse.Target, { ...shares, shared: maxPeers, minCallers: 0, minTargets: maxPeers }, { callers: 0, targets: count, hasIdleCaller: false, hasIdleTarget: hasIdle })
    }
  }
}

/**
 * Opens the limits of this process, so that they can be read when no descriptor is left.
 *
 * @returns A function that reads the soft limit of descriptors; `undefined` where the kernel does not say
 */
function openLimitReader (): () => number | undefined {
  const buffer = Buffer.alloc(maxLimitsBytes)
  let file: number | undefined
  return () => {
    try {
      file ??= openSync('/proc/self/limits', 'r')
      const text = buffer.toString('latin1', 0, readSync(file, buffer, 0, maxLimitsBytes, 0))
      const limit = /^Max open files\s+(\d+)/m.exec(text)?.[1]
      return limit === undefined ? undefined : Number(limit)
    } catch {
      return undefined
    }
  }
}

/**
 * Counts the open descriptors of this process.
 *
 * @returns The number, or an estimate where the process can't list them
 */
export function countOpen (): number {
  try {
    return readdirSync('/proc/self/fd').length
  } catch {
    return defaultOpenOthers
  }
}
