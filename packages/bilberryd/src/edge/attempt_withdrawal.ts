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
import { createStoppingRefusal } from './stopping.ts'

/** Ends attempts. */
export interface AttemptWithdrawal {
  /** Finishes an attempt whose caller has disconnected. */
  abandon (attempt: Attempt): void
  /** Finishes an attempt that waits or is being sent, with a refusal. */
  cancel (attempt: Attempt, refusal: Refusal): void
  /** Finishes an attempt whose deadline has passed. */
  expire (attempt: Attempt): void
  /** Finishes an attempt that this instance can't complete before it ends, which is any without a begun response if it is ending; returns whether it did. */
  end (attempt: Attempt, options: { isEnding: boolean }): boolean
}

/** Options of {@linkcode createAttemptWithdrawal}. */
export interface CreateAttemptWithdrawalOptions {
  /** Finishes attempts. */
  finisher: AttemptFinisher
  /** Removes an attempt from the queue, and cancels its exchange if one is in progress. */
  detach: (attempt: Attempt) => void
  /** Returns whether any target can be expected to end an attempt before this instance ends. */
  isCompletableAnywhere: (attempt: Attempt) => boolean
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
export function createAttemptWithdrawal ({ finisher, detach, onEnd, isCompletableAnywhere, getRetryAfterMs }: CreateAttemptWithdrawalOptions): AttemptWithdrawal {
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
    },
    end (attempt, { isEnding }) {
      if (attempt.phase === AttemptPhase.Ended || attempt.phase === AttemptPhase.Responding) return false
      if (!isEnding && (attempt.phase === AttemptPhase.Dispatched || isCompletableAnywhere(attempt))) return false
      cancelAttempt(attempt, attempt.mayHaveRun ? createUnknownRefusal(RefusalReason.Stopping, 'Instance ended before the target responded') : createStoppingRefusal())
      return true
    }
  }
}
