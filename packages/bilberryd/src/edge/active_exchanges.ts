/**
 * The attempts that are at targets, and what their ends say of the targets.
 *
 * @module
 */
import type { RegisteredTarget } from '@bilberryworks/steering'
import type { TargetPool } from '@bilberryworks/targets'
import type { Attempt, AttemptDispatch } from './attempt.ts'
import type { EntryLog } from './entry_log.ts'
import type { EntryState } from './entry_state.ts'
import { isTargetLost, recordTargetEnd, RouteKind, TargetSignal } from '@bilberryworks/steering'
import { AttemptPhase } from './attempt.ts'

/** The attempts at targets. */
export interface ActiveExchanges {
  /** Takes note that an attempt is handed to a target, which counts it already. */
  add (attempt: Attempt, entry: RegisteredTarget): void
  /** Frees the target of an attempt whose exchange has ended. */
  release (attempt: Attempt, signal: TargetSignal): void
  /** Breaks off the exchange of an attempt, where one is under way. */
  cancel (attempt: Attempt, signal: TargetSignal): void
  /** Frees a target that an attempt was counted at and not sent to. */
  releaseUnused (entry: RegisteredTarget): void
  /** Lists the attempts that may run again and are at targets which are lost. */
  listLost (): Attempt[]
  /** Counts the attempts. */
  count (): number
}

/** Options of {@linkcode createActiveExchanges}. */
export interface CreateActiveExchangesOptions {
  /** What the instance believes. */
  state: EntryState
  /** Connections to targets. */
  pool: TargetPool
  /** Log of decisions. */
  log: EntryLog
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
  /** Returns a random number in [0, 1). */
  getRandom: () => number
}

/**
 * Creates the record of no attempt.
 *
 * @param options What the ends are recorded in
 * @returns The record
 */
export function createActiveExchanges (options: CreateActiveExchangesOptions): ActiveExchanges {
  const { state, pool, log, getNowMs, getRandom } = options
  const activeAttempts = new Set<Attempt>()

  function recordSignal (entry: RegisteredTarget, signal: TargetSignal): void {
    const coldForMs = state.getConfig()?.services.get(entry.target.service)?.coldForMs ?? 0
    recordTargetEnd(entry, signal, { nowMs: getNowMs(), getRandom, coldForMs })
  }

  function release (attempt: Attempt, signal: TargetSignal): void {
    const entry = attempt.currentTarget!
    activeAttempts.delete(attempt)
    attempt.exchange = undefined
    attempt.currentTarget = undefined
    recordSignal(entry, signal)
    if (signal === TargetSignal.ConnectFailed) pool.closeIdle(entry.target.id)
    if (signal === TargetSignal.Answered) return
    log.info('exchange_failed', { id: attempt.attemptId, target: entry.target.id, signal, elapsedMs: Math.round(getNowMs() - attempt.sentAtMs), inFlight: entry.inFlight, othersBusy: entry.othersBusy })
  }

  return {
    add (attempt, entry) {
      attempt.phase = AttemptPhase.Sent
      attempt.currentTarget = entry
      attempt.sentAtMs = getNowMs()
      attempt.tried.add(entry.target.id)
      attempt.dispatches.push(describeDispatch(attempt, entry))
      activeAttempts.add(attempt)
    },
    release,
    cancel (attempt, signal) {
      if (attempt.exchange === undefined) return
      attempt.exchange.cancel()
      release(attempt, signal)
    },
    releaseUnused: entry => recordSignal(entry, TargetSignal.Ended),
    listLost: () => [...activeAttempts].filter(attempt => attempt.phase === AttemptPhase.Sent && attempt.route.kind === RouteKind.Safe && isTargetLost(attempt.currentTarget!, getNowMs())),
    count: () => activeAttempts.size
  }
}

function describeDispatch (attempt: Attempt, entry: RegisteredTarget): AttemptDispatch {
  const { inFlight, othersBusy, reportedAtMs } = entry
  return {
    target: entry.target.id,
    afterMs: Math.round(attempt.sentAtMs - attempt.arrivedAtMs),
    inFlight,
    othersBusy,
    ...Number.isFinite(reportedAtMs) ? { reportAgeMs: Math.round(attempt.sentAtMs - reportedAtMs) } : {},
    ...entry.coldUntilMs > attempt.sentAtMs ? { cold: true } : {}
  }
}
