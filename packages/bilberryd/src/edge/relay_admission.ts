/**
 * Decides which requests that other instances relay this instance has room for.
 *
 * @module
 */
import type { Refusal, WaitingRequests } from '@bilberryworks/steering'
import type { ActiveExchanges } from './active_exchanges.ts'
import type { Attempt } from './attempt.ts'
import { createNotRunRefusal, isRelayAdmitted, RefusalReason } from '@bilberryworks/steering'

/** Options of {@linkcode createRelayAdmission}. */
export interface CreateRelayAdmissionOptions {
  /** Name of this instance. */
  instance: string
  /** Maximum number of relayed requests, waiting or in flight. */
  maxRelayed: number
  /** Returns the requests of a service that wait. */
  getWaiting: (service: string) => WaitingRequests<Attempt>
  /** Returns the number of relayed requests of all services that wait. */
  countWaitingRelayed: () => number
  /** Exchanges in progress with targets. */
  exchanges: ActiveExchanges
  /** Returns the `Retry-After` of a refused attempt, in milliseconds. */
  getRetryAfterMs: (attempt: Attempt) => number
}

/**
 * Creates the function that returns the refusal of a relayed attempt; `undefined` if there is room for it.
 *
 * @param options Load of this instance and its limit
 * @returns The function
 */
export function createRelayAdmission (options: CreateRelayAdmissionOptions): (attempt: Attempt) => Refusal | undefined {
  const { instance, maxRelayed, exchanges } = options

  function findRefusal (attempt: Attempt): Refusal | undefined {
    const { service, relay } = attempt
    const waiting = options.getWaiting(service)
    const count = (matches: (other: Attempt) => boolean): number => waiting.countMatching(matches) + exchanges.countMatching(other => other.service === service && matches(other))
    const load = {
      waiting: waiting.count(),
      own: count(other => other.relay === undefined),
      fromOrigin: count(other => other.relay?.instance === relay?.instance),
      relayed: options.countWaitingRelayed() + exchanges.countMatching(other => other.relay !== undefined)
    }
    if (isRelayAdmitted({ ...load, maxRelayed })) return undefined
    const detail = `Instance "${instance}" has ${load.fromOrigin} requests of instance "${relay?.instance}" and ${load.relayed} relayed ones in all, of at most ${maxRelayed}, while ${load.waiting} wait`
    return createNotRunRefusal(RefusalReason.RelayLimit, detail, options.getRetryAfterMs(attempt))
  }

  return findRefusal
}
