/**
 * The typed refusal that every layer returns in place of a target's response.
 *
 * @module
 */
import type { RefusalReason } from './outcomes.ts'
import { Outcome } from './outcomes.ts'

/** Error result of a request that ended without a response from a target. */
export interface Refusal {
  /** `not-run` if the request did not run, `unknown` if it may have run. */
  outcome: Outcome.NotRun | Outcome.Unknown
  /** The reason, which is also used as a metric label. */
  reason: RefusalReason
  /** Description for the caller, in one sentence. */
  detail: string
  /** Milliseconds after which a retry may succeed; absent if the refusal suggests none. */
  retryAfterMs?: number
}

/**
 * Creates the refusal of a request that did not run.
 *
 * @param reason The reason
 * @param detail Description for the caller, in one sentence
 * @param retryAfterMs Milliseconds after which a retry may succeed
 * @returns The refusal
 */
export function createNotRunRefusal (reason: RefusalReason, detail: string, retryAfterMs?: number): Refusal {
  const refusal: Refusal = { outcome: Outcome.NotRun, reason, detail }
  if (retryAfterMs !== undefined) refusal.retryAfterMs = retryAfterMs
  return refusal
}

/**
 * Creates the refusal of a request that may or may not have run.
 *
 * @param reason The reason
 * @param detail Description for the caller, in one sentence
 * @returns The refusal
 */
export function createUnknownRefusal (reason: RefusalReason, detail: string): Refusal {
  return { outcome: Outcome.Unknown, reason, detail }
}
