/**
 * Holds new connections back after this host has refused one, and lets single ones try whether it still does.
 *
 * A refusal for want of resources of the host holds back all connections, any other one those to the same address. The time
 * doubles with each refusal after a hold, so that a host that stays at its limit is asked a few times a second.
 *
 * @module
 */
import { FailureSide } from './failure_side.ts'

/** Holds new connections back. */
export interface ConnectionHold {
  /** Returns whether a new connection to an address is held back; `nowMs` is monotonic time. */
  isHeld (key: string, nowMs: number): boolean
  /** Counts a new connection to an address if it is not held back; returns whether it may be opened. */
  take (key: string, nowMs: number): boolean
  /** Returns whether this host has refused a connection a short time ago, and none has been established since. */
  isActive (nowMs: number): boolean
  /** Records that this host refused a connection; failures on other sides are ignored. */
  recordFailure (key: string, side: FailureSide, nowMs: number): void
  /** Records that a connection was established. */
  recordEstablished (key: string, nowMs: number): void
}

/** Options of {@linkcode createConnectionHold}. */
export interface CreateConnectionHoldOptions {
  /** Returns a random number in [0, 1). */
  getRandom: () => number
}

interface Hold {
  /** Number of refusals in a row, each after the hold of the one before. */
  refusals: number
  untilMs: number
  /** Time until which no other connection tries whether the host still refuses, in milliseconds. */
  nextTryMs: number
}

/** First and longest hold, in milliseconds; half of it is random. */
const initialHoldMs = 20
const maxHoldMs = 400
/** Time between two connections after a hold, until one is established, in milliseconds. */
const tryPauseMs = 10
/** Time after a hold from which the refusals no longer count, in milliseconds. */
const lifetimeMs = 2_000
/** Number of addresses above which those that are not held are dropped. */
const maxHolds = 1_024

/**
 * Creates a hold of an instance whose host has refused nothing.
 *
 * @param options Random source
 * @returns The hold
 */
export function createConnectionHold ({ getRandom }: CreateConnectionHoldOptions): ConnectionHold {
  const all: Hold = createHold()
  const holds = new Map<string, Hold>()

  function isHolding (hold: Hold | undefined, nowMs: number): boolean {
    return hold !== undefined && (nowMs < hold.untilMs || (isRecent(hold, nowMs) && nowMs < hold.nextTryMs))
  }

  function isHeld (key: string, nowMs: number): boolean {
    return isHolding(all, nowMs) || isHolding(holds.get(key), nowMs)
  }

  function getHold (key: string, nowMs: number): Hold {
    if (holds.size > maxHolds) for (const [other, hold] of holds) if (!isRecent(hold, nowMs)) holds.delete(other)
    const hold = holds.get(key) ?? createHold()
    holds.set(key, hold)
    return hold
  }

  return {
    isHeld,
    take (key, nowMs) {
      if (isHeld(key, nowMs)) return false
      for (const hold of [all, holds.get(key)]) if (hold !== undefined && isRecent(hold, nowMs)) hold.nextTryMs = nowMs + tryPauseMs
      return true
    },
    isActive: nowMs => isRecent(all, nowMs) || [...holds.values()].some(hold => isRecent(hold, nowMs)),
    recordFailure (key, side, nowMs) {
      if (side !== FailureSide.Local && side !== FailureSide.LocalAddress) return
      const hold = side === FailureSide.Local ? all : getHold(key, nowMs)
      // Connections that were opened together are refused together.
      if (nowMs < hold.untilMs) return
      if (!isRecent(hold, nowMs)) hold.refusals = 0
      hold.untilMs = nowMs + Math.min(maxHoldMs, initialHoldMs * 2 ** hold.refusals) * (0.5 + getRandom() / 2)
      hold.refusals++
    },
    recordEstablished (key, nowMs) {
      for (const hold of [all, holds.get(key)]) if (hold !== undefined && nowMs >= hold.untilMs) hold.refusals = 0
    }
  }
}

function createHold (): Hold {
  return { refusals: 0, untilMs: -Infinity, nextTryMs: -Infinity }
}

function isRecent ({ refusals, untilMs }: Hold, nowMs: number): boolean {
  return refusals > 0 && nowMs - untilMs < lifetimeMs
}
