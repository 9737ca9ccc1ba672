/**
 * Decides what becomes of attempts while the host of this instance refuses connections.
 *
 * @module
 */
import type { ConnectionHold, Refusal, RegisteredTarget } from '@bilberryworks/steering'
import type { TargetPool } from '@bilberryworks/targets'
import type { Attempt } from './attempt.ts'
import type { TargetSelector } from './target_selector.ts'
import { createNotRunRefusal, RefusalReason } from '@bilberryworks/steering'

/** Decisions while the host refuses connections. */
export interface HostLimits {
  /** Returns whether an attempt can be sent to a target now: on an idle connection, or on a new one that is not held back. */
  isConnectable (entry: RegisteredTarget): boolean
  /** Counts the connection for an attempt that is sent to a target; returns whether it may be opened or there is an idle one. */
  takeConnection (entry: RegisteredTarget): boolean
  /** Returns whether an attempt has waited for nothing but a connection for longer than an idle one takes to come. */
  isHeldLong (attempt: Attempt): boolean
  /** Returns the refusal of an attempt that has waited for too long for nothing but a connection; `undefined` if it waited for a target. */
  findExpiryRefusal (attempt: Attempt): Refusal | undefined
}

/** Options of {@linkcode createHostLimits}. */
export interface CreateHostLimitsOptions {
  /** Holds new connections back while this host refuses them. */
  hold: ConnectionHold
  /** Connections to targets. */
  pool: TargetPool
  /** Selects targets. */
  targetSelector: TargetSelector
  /** Returns whether a target can be expected to end an attempt before this instance ends. */
  isCompletable: (attempt: Attempt, entry: RegisteredTarget) => boolean
  /** Returns the `Retry-After` of a refused attempt, in milliseconds. */
  getRetryAfterMs: (attempt: Attempt) => number
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Number of connections that the host may refuse for one attempt before it is not tried here again. */
export const maxLocalRefusals = 4
/** Time for which a request waits for an idle connection before it is sent through another instance, in milliseconds: several requests end in it. */
const idleWaitMs = 100

/**
 * Returns the reason for which an attempt is refused while the host refuses connections.
 *
 * @param attempt The attempt
 * @returns The reason; for what another instance relays, one that earlier versions know
 */
export function getHostLimitReason ({ relay }: Attempt): RefusalReason {
  return relay === undefined ? RefusalReason.HostLimit : RefusalReason.RelayLimit
}

/**
 * Creates the decisions.
 *
 * @param options Hold, connections and targets
 * @returns The decisions
 */
export function createHostLimits ({ hold, pool, targetSelector, isCompletable, getRetryAfterMs, getNowMs }: CreateHostLimitsOptions): HostLimits {
  function isHeldBack (attempt: Attempt): boolean {
    return attempt.localRefusals > 0 || (hold.isActive(getNowMs()) && targetSelector.findTarget(attempt, entry => isCompletable(attempt, entry)) !== undefined)
  }

  return {
    isConnectable: ({ target }) => !hold.isHeld(target.id, getNowMs()) || pool.hasIdle(target.id),
    takeConnection: ({ target }) => pool.hasIdle(target.id) || hold.take(target.id, getNowMs()),
    isHeldLong: attempt => hold.isActive(getNowMs()) && getNowMs() - attempt.arrivedAtMs >= idleWaitMs && isHeldBack(attempt),
    findExpiryRefusal: attempt => isHeldBack(attempt) ? createNotRunRefusal(getHostLimitReason(attempt), 'Host of the instance refused connections within the queueing time limit', getRetryAfterMs(attempt)) : undefined
  }
}
