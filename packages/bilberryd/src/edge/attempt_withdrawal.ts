/**
 * Ends attempts from outside of their exchanges: when the caller has disconnected, and when the deadline has passed.
 *
 * @module
 */
import type { Refusal } from '@bilberryworks/steering'
import type { Attempt } from './attempt.ts'
import type { AttemptFinisher } from './attempt_finisher.ts'
import { createNotRunRefusal, createUnknownRefusal, RefusalReason } from '@bilberryworks/steering'
import { AttemptPhase } from './attempt.ts'

/** Ends attempts. */
export interface AttemptWithdrawal {
  /** Finishes an attempt whose caller has disconnected. */
  abandon (attempt: Attempt): void
  /** Finishes an attempt that waits or is being sent, with a refusal. */
  cancel (attempt: Attempt, refusal: Refusal): void
  /** Finishes an attempt whose deadline has passed. */
  expire (attempt: Attempt): void
}

/** Options of {@linkcode createAttemptWithdrawal}. */
export interface CreateAttemptWithdrawalOptions {
  /** Finishes attempts. */
  finisher: AttemptFinisher
  /** Removes an attempt from the queue, and cancels its exchange if one is in progress. */
  detach: (attempt: Attempt) => void
  /** Called after an attempt has ended. */
  onEnd: (attempt: Attempt) => void
  /** Returns the `Retry-After` of a refused attempt, in milliseconds. */
  getRetryAfterMs: (attempt: Attempt) => number
}

/**
 * Creates the functions that end attempts.
 *
 * @param options Finisher and callbacks
 * @returns The functions
 */
export function createAttemptWithdrawal ({ finisher, detach, onEnd, getRetryAfterMs }: CreateAttemptWithdrawalOptions): AttemptWithdrawal {
  function cancelAttempt (attempt: Attempt, refusal: Refusal): void {
    if (attempt.phase === AttemptPhase.Ended) return
    detach(attempt)
    finisher.refuse(attempt, refusal)
    onEnd(attempt)
  }

  return {
    cancel: cancelAttempt,
    abandon: attempt => cancelAttempt(attempt, createNotRunRefusal(RefusalReason.CallerGone, 'Caller closed the connection')),
    expire (attempt) {
      if (attempt.phase === AttemptPhase.Ended) return
      const isResponding = attempt.phase === AttemptPhase.Responding
      detach(attempt)
      if (isResponding) finisher.abort(attempt, createUnknownRefusal(RefusalReason.TargetTimeout, 'Deadline passed before the response was complete'))
      else if (attempt.mayHaveRun) finisher.refuse(attempt, createUnknownRefusal(RefusalReason.TargetTimeout, 'Deadline passed after the request was sent to a target'))
      else finisher.refuse(attempt, createNotRunRefusal(RefusalReason.DeadlinePassed, 'Deadline passed before a target accepted the request', getRetryAfterMs(attempt)))
      onEnd(attempt)
    }
  }
}
