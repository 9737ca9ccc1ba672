/**
 * Tracks the exchanges in progress with targets, and updates the load and health of a target when its exchange ends.
 *
 * @module
 */
import type { PendingExchange, RegisteredTarget, TargetSpeeds } from '@bilberryworks/steering'
import type { Attempt, AttemptDispatch } from './attempt.ts'
import type { EntryLog } from './entry_log.ts'
import type { EntryState } from './entry_state.ts'
import type { ReportCold } from './report_cold.ts'
import { ColdEvidence, isTargetCold, isTargetUnreachable, recordTargetResult, RouteKind, TargetSignal } from '@bilberryworks/steering'
import { AttemptPhase } from './attempt.ts'

/** The exchanges in progress with targets. */
export interface ActiveExchanges {
  /** Records the dispatch of an attempt to a target; the target's `inFlight` must already include the attempt. */
  add (attempt: Attempt, entry: RegisteredTarget): void
  /** Releases the target slot of an attempt whose exchange has ended, and records its health signal for the target. */
  release (attempt: Attempt, signal: TargetSignal): void
  /** Cancels the exchange of an attempt, if one is in progress. */
  cancel (attempt: Attempt, signal: TargetSignal): void
  /** Releases a target slot that was reserved for an attempt which was not dispatched. */
  releaseUnused (entry: RegisteredTarget): void
  /** Lists the attempts on idempotent routes that wait for a response of a target which sends none and accepts no connections. */
  listUnreachable (): Attempt[]
  /** Lists the attempts on idempotent routes that wait for a response of a target which matches. */
  listWaitingFor (matches: (entry: RegisteredTarget) => boolean): Attempt[]
  /** Lists the attempts that wait for a response. */
  listPending (): PendingExchange[]
  /** Returns the number of exchanges in progress. */
  count (): number
  /** Returns the number of attempts with an exchange in progress that match. */
  countMatching (matches: (attempt: Attempt) => boolean): number
}

/** Options of {@linkcode createActiveExchanges}. */
export interface CreateActiveExchangesOptions {
  /** Replicated configuration and target registry. */
  state: EntryState
  /** Objects that the targets have handled. */
  speeds: Pick<TargetSpeeds, 'hasHandled'>
  /** Structured log. */
  log: EntryLog
  /** Reports that a target counts as cold from now on. */
  reportCold: ReportCold
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
  /** Returns a random number in [0, 1). */
  getRandom: () => number
}

/**
 * Creates a tracker without exchanges.
 *
 * @param options State, connections and log
 * @returns The tracker
 */
export function createActiveExchanges (options: CreateActiveExchangesOptions): ActiveExchanges {
  const { state, log, getNowMs, getRandom } = options
  const activeAttempts = new Set<Attempt>()

  function recordSignal (entry: RegisteredTarget, signal: TargetSignal, nowMs: number): void {
    const coldForMs = state.getConfig()?.services.get(entry.target.service)?.coldForMs ?? 0
    const wasCold = isTargetCold(entry, nowMs)
    recordTargetResult(entry, signal, { nowMs, getRandom, coldForMs })
    if (!wasCold && isTargetCold(entry, nowMs)) options.reportCold(entry, ColdEvidence.Returned)
  }

  function release (attempt: Attempt, signal: TargetSignal): void {
    const entry = attempt.currentTarget!
    const nowMs = getNowMs()
    activeAttempts.delete(attempt)
    attempt.exchange = undefined
    attempt.currentTarget = undefined
    recordSignal(entry, signal, nowMs)
    if (signal === TargetSignal.Answered) return
    log.info('exchange_failed', { id: attempt.attemptId, target: entry.target.id, signal, elapsedMs: Math.round(nowMs - attempt.dispatchedAtMs), inFlight: entry.inFlight, othersBusy: entry.othersBusy })
  }

  function listWaitingFor (matches: (entry: RegisteredTarget) => boolean): Attempt[] {
    return [...activeAttempts].filter(attempt => attempt.phase === AttemptPhase.Dispatched && attempt.route.kind === RouteKind.Safe && matches(attempt.currentTarget!))
  }

  return {
    add (attempt, entry) {
      attempt.phase = AttemptPhase.Dispatched
      attempt.currentTarget = entry
      attempt.dispatchedAtMs = getNowMs()
      attempt.tried.add(entry.target.id)
      attempt.dispatches.push(describeDispatch(attempt, entry, options.speeds.hasHandled))
      activeAttempts.add(attempt)
    },
    release,
    cancel (attempt, signal) {
      if (attempt.currentTarget === undefined) return
      attempt.exchange?.cancel()
      release(attempt, signal)
    },
    releaseUnused: entry => recordSignal(entry, TargetSignal.Ended, getNowMs()),
    listUnreachable: () => listWaitingFor(entry => isTargetUnreachable(entry, getNowMs())),
    listWaitingFor,
    listPending: () => [...activeAttempts].filter(attempt => attempt.phase === AttemptPhase.Dispatched).map(({ currentTarget, dispatchedAtMs }) => ({ targetId: currentTarget!.target.id, sentAtMs: dispatchedAtMs })),
    count: () => activeAttempts.size,
    countMatching (matches) {
      let count = 0
      for (const attempt of activeAttempts) if (matches(attempt)) count++
      return count
    }
  }
}

function describeDispatch (attempt: Attempt, entry: RegisteredTarget, hasHandled: TargetSpeeds['hasHandled']): AttemptDispatch {
  const { inFlight, othersBusy, reportedAtMs } = entry
  const isFirst = attempt.objectKey !== undefined && !hasHandled(entry, attempt.objectKey)
  return {
    target: entry.target.id,
    afterMs: Math.round(attempt.dispatchedAtMs - attempt.arrivedAtMs),
    inFlight,
    othersBusy,
    slots: entry.target.slots,
    ...Number.isFinite(reportedAtMs) ? { reportAgeMs: Math.round(attempt.dispatchedAtMs - reportedAtMs) } : {},
    ...isTargetCold(entry, attempt.dispatchedAtMs) ? { cold: true } : {},
    ...isFirst ? { first: true } : {}
  }
}
