/**
 * The typed refusal that every layer returns in place of an answer.
 *
 * @module
 */
import type { RefusalReason } from './outcomes.ts'
import { Outcome } from './outcomes.ts'

/** A request that ended without an answer of a target. */
export interface Refusal {
  /** `not-run` or `unknown`. */
  outcome: Outcome.NotRun | Outcome.Unknown
  /** The reason, which also labels the counter. */
  reason: RefusalReason
  /** One sentence for the caller. */
  detail: string
  /** Milliseconds after which a later try can help; absent where none can. */
  retryAfterMs?: number
}

/**
 * Creates the refusal of a request that did not run.
 *
 * @param reason The reason
 * @param detail One sentence for the caller
 * @param retryAfterMs Milliseconds until a later try can help
 * @returns The refusal
 */
export function createNotRun (reason: RefusalReason, detail: string, retryAfterMs?: number): Refusal {
  const refusal: Refusal = { outcome: Outcome.NotRun, reason, detail }
  if (retryAfterMs !== undefined) refusal.retryAfterMs = retryAfterMs
  return refusal
}

/**
 * Creates the refusal of a request of which it can't be told whether it ran.
 *
 * @param reason The reason
 * @param detail One sentence for the caller
 * @returns The refusal
 */
export function createUnknown (reason: RefusalReason, detail: string): Refusal {
  return { outcome: Outcome.Unknown, reason, detail }
}
