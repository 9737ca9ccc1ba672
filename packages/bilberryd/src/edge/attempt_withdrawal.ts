/**
 * Ends attempts from outside of their exchanges: when the caller has disconnected, and when the deadline has passed.
 *
 * @module
 */
import type { Refusal } from '@bilberryworks/steering'
import type { Attempt } from './attempt.ts'
import type { AttemptFinisher } from './attempt_finisher.ts'
import type { CallbackGuard } from './callback_guard.ts'
import { createNotRunRefusal, createUnknownRefusal, RefusalReason } from '@bilberryworks/steering'
import { AttemptPhase } from './attempt.ts'
import { GuardedCallback } from './callback_guard.ts'
import { createStoppingRefusal } from './stopping.ts'

/** Ends attempts. */
export interface AttemptWithdrawal {
  /** Finishes an attempt whose caller has disconnected. */
  abandon (attempt: Attempt): void
  /** Finishes an attempt that waits or is being sent, with a refusal. */
  cancel (attempt: Attempt, refusal: Refusal): void
  /** Finishes an attempt one of whose callbacks has thrown: as unknown if a target may have run it, else as not run. */
  fail (attempt: Attempt): void
  /** Finishes an attempt whose deadline has passed. */
  expire (attempt: Attempt): void
  /** Finishes an attempt that this instance can't complete before it ends, which is any without a begun response if it is ending; returns whether it did. */
  end (attempt: Attempt, options: { isEnding: boolean }): boolean
}

/** Options of {@linkcode createAttemptWithdrawal}. */
export interface CreateAttemptWithdrawalOptions {
  /** Runs callbacks. */
  guard: CallbackGuard
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

const failureDetail = 'Instance failed while it handled the request'
/** `Retry-After` of a request that has not run since a callback threw, in milliseconds. */
const failureRetryAfterMs = 100

/**
 * Creates the functions that end attempts.
 *
 * @param options Finisher and callbacks
 * @returns The functions
 */
export function createAttemptWithdrawal ({ guard, finisher, detach, onEnd, isCompletableAnywhere, getRetryAfterMs }: CreateAttemptWithdrawalOptions): AttemptWithdrawal {
  function cancelAttempt (attempt: Attempt, refusal: Refusal): void {
    if (attempt.phase === AttemptPhase.Ended) return
    detach(attempt)
    finisher.refuse(attempt, refusal)
    onEnd(attempt)
  }

  function expireAttempt (attempt: Attempt): void {
    if (attempt.phase === AttemptPhase.Ended) return
    const isResponding = attempt.phase === AttemptPhase.Responding
    detach(attempt)
    if (isResponding) finisher.abort(attempt, createUnknownRefusal(RefusalReason.TargetTimeout, 'Deadline passed before the response was complete'))
    else if (attempt.mayHaveRun) finisher.refuse(attempt, createUnknownRefusal(RefusalReason.TargetTimeout, 'Deadline passed after the request was sent to a target'))
    else finisher.refuse(attempt, createNotRunRefusal(RefusalReason.DeadlinePassed, 'Deadline passed before a target accepted the request', getRetryAfterMs(attempt)))
    onEnd(attempt)
  }

  function refuseFailed (attempt: Attempt): void {
    const { response } = attempt
    if (attempt.phase === AttemptPhase.Ended) {
      if (!response.writableEnded) response.destroy()
    } else if (response.headersSent) finisher.abort(attempt, createUnknownRefusal(RefusalReason.InternalError, failureDetail))
    else if (attempt.mayHaveRun) finisher.refuse(attempt, createUnknownRefusal(RefusalReason.InternalError, failureDetail))
    else finisher.refuse(attempt, createNotRunRefusal(RefusalReason.InternalError, failureDetail, failureRetryAfterMs))
  }

  /** Ends an attempt without an answer: its caller has to take the outcome for unknown. */
  function dropResponse (attempt: Attempt): void {
    attempt.phase = AttemptPhase.Ended
    clearTimeout(attempt.deadlineTimer)
    attempt.response.destroy()
  }

  function failAttempt (attempt: Attempt): void {
    guard.run(GuardedCallback.Request, () => detach(attempt), () => attempt.exchange?.cancel())
    guard.run(GuardedCallback.Request, () => refuseFailed(attempt), () => dropResponse(attempt))
    guard.run(GuardedCallback.Request, () => onEnd(attempt))
  }

  const runGuarded = (attempt: Attempt, work: () => void): void => guard.run(GuardedCallback.Request, work, () => failAttempt(attempt))

  return {
    cancel: (attempt, refusal) => runGuarded(attempt, () => cancelAttempt(attempt, refusal)),
    abandon: attempt => runGuarded(attempt, () => cancelAttempt(attempt, createNotRunRefusal(RefusalReason.CallerGone, 'Caller closed the connection'))),
    fail: failAttempt,
    expire: attempt => runGuarded(attempt, () => expireAttempt(attempt)),
    end (attempt, { isEnding }) {
      let hasEnded = true
      runGuarded(attempt, () => {
        const isResponding = attempt.phase === AttemptPhase.Ended || attempt.phase === AttemptPhase.Responding
        hasEnded = !isResponding && (isEnding || (attempt.phase !== AttemptPhase.Dispatched && !isCompletableAnywhere(attempt)))
        if (hasEnded) cancelAttempt(attempt, attempt.mayHaveRun ? createUnknownRefusal(RefusalReason.Stopping, 'Instance ended before the target responded') : createStoppingRefusal())
      })
      return hasEnded
    }
  }
}
