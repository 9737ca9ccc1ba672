/**
 * Bounds retries to a share of first attempts, so that they do not amplify an outage.
 *
 * @module
 */

/** Options of {@linkcode createRetryBudget}. */
export interface CreateRetryBudgetOptions {
  /** Retries allowed per first attempt; 0.1 by default. */
  share?: number
  /** Maximum number of retries saved up, which are also available at the start; 10 by default. */
  maxSaved?: number
}

/** A budget of retries. */
export interface RetryBudget {
  /** Records a first attempt. */
  recordAttempt (): void
  /** Takes a retry from the budget; returns `false` if the budget is used up. */
  take (): boolean
}

const defaultShare = 0.1
const defaultMaxSaved = 10

/**
 * Creates a full budget.
 *
 * @param options Bounds of the budget
 * @returns The budget
 */
export function createRetryBudget (options: CreateRetryBudgetOptions = {}): RetryBudget {
  const { share = defaultShare, maxSaved = defaultMaxSaved } = options
  let saved = maxSaved
  return {
    recordAttempt () {
      saved = Math.min(maxSaved, saved + share)
    },
    take () {
      if (saved < 1) return false
      saved -= 1
      return true
    }
  }
}
