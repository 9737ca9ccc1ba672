/**
 * Retries the requests that wait for targets which are out of reach.
 *
 * @module
 */
import type { FleetRetryBudget } from '@bilberryworks/steering'
import type { ActiveExchanges } from './active_exchanges.ts'
import type { Attempt } from './attempt.ts'
import type { ReachMonitor } from './reach_monitor.ts'
import { TargetSignal } from '@bilberryworks/steering'
import { ExchangeResult } from './send_attempt.ts'

/** Options of {@linkcode createUnreachableRetries}. */
export interface CreateUnreachableRetriesOptions {
  /** Runs a callback of an attempt, and ends the attempt if that throws. */
  runGuarded: (attempt: Attempt, work: () => void) => void
  /** Exchanges in progress with targets. */
  exchanges: ActiveExchanges
  /** Network paths to targets. */
  reach: ReachMonitor
  /** Returns the retry budget of a service. */
  getBudget: (service: string) => FleetRetryBudget
  /** Handles the result of an exchange. */
  handleExchangeResult: (attempt: Attempt, result: ExchangeResult, detail: string) => void
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
}

/**
 * Creates the function that retries, or ends, the requests on idempotent routes whose targets are out of reach.
 *
 * @param options Exchanges and paths
 * @returns The function
 */
export function createUnreachableRetries ({ runGuarded, exchanges, reach, getBudget, handleExchangeResult, getNowMs }: CreateUnreachableRetriesOptions): () => void {
  /** Retries an attempt unless it would be refused, since its response may still arrive. */
  function retryStalled (attempt: Attempt): void {
    if (getBudget(attempt.service).computeRemaining(getNowMs()) < 1) return
    exchanges.cancel(attempt, TargetSignal.Ended)
    handleExchangeResult(attempt, ExchangeResult.Lost, 'Instance has no network path to the target')
  }

  function retryUnreachable (): void {
    for (const attempt of exchanges.listUnreachable()) {
      runGuarded(attempt, () => {
        exchanges.cancel(attempt, TargetSignal.Lost)
        handleExchangeResult(attempt, ExchangeResult.Lost, 'Target sends no responses and accepts no connections')
      })
    }
    if (reach.hasLost()) for (const attempt of exchanges.listWaitingFor(reach.isStalled)) runGuarded(attempt, () => retryStalled(attempt))
  }

  return retryUnreachable
}
