/**
 * An instance's lease on what it feeds: valid while everybody who could take over has heard of it lately.
 *
 * @module
 */
import { LeaseState } from '@bilberryworks/steering'

const renewShare = 0.3

/** Options of {@linkcode createLease}. */
export interface CreateLeaseOptions {
  /** Time that the lease lasts without contact, in milliseconds. */
  leaseMs: number
  /** Lists the instances that may take over. */
  listCandidates: () => string[]
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
  /** Called at each change of state. */
  recordLease: (state: LeaseState) => void
}

/** The lease. */
export interface Lease {
  /** Returns the state now. */
  getState (): LeaseState
  /**
   * Takes note of a heartbeat that the platform acknowledged, by the time at which it was sent.
   *
   * After a lapse it counts only once the rows have been confirmed, since somebody may have taken over before it.
   */
  recordHeartbeat (sentAtMs: number): void
  /** Whether a heartbeat waits for the rows to be confirmed. */
  needsConfirmation (): boolean
  /** Takes note that the rows known are those on the platform, by the time at which the check was sent. */
  confirmRows (sentAtMs: number): void
  /** Takes note that an instance has heard of this one, by the time at which it was told. */
  recordHeardBy (instance: string, sentAtMs: number): void
  /** Reports a change of state, and asks the instances that may take over where the platform has not answered lately. */
  renew (exchangeWith: (instance: string) => Promise<void>): Promise<void>
}

/**
 * Creates a lease that has lapsed.
 *
 * @param options Times, clock and who could take over
 * @returns The lease
 */
export function createLease (options: CreateLeaseOptions): Lease {
  const { leaseMs, getNowMs } = options
  const heardBy = new Map<string, number>()
  let heartbeatMs = -Infinity
  let lastTrialMs: number | undefined
  let unconfirmed: { sentAtMs: number, acknowledgedAtMs: number } | undefined
  let reported: LeaseState | undefined

  /** Time at which the lease lapses; peers count only once the platform has shown the rows since the start. */
  function computeEndMs (): number {
    if (heartbeatMs === -Infinity) return -Infinity
    const heard = options.listCandidates().map(name => heardBy.get(name) ?? -Infinity)
    return Math.max(heartbeatMs, Math.min(...heard)) + leaseMs
  }

  function getState (): LeaseState {
    const endMs = computeEndMs()
    let state = LeaseState.Valid
    if (getNowMs() >= endMs) state = lastTrialMs !== undefined && lastTrialMs >= endMs ? LeaseState.CutOff : LeaseState.Lapsed
    if (state !== reported) options.recordLease(state)
    reported = state
    return state
  }

  return {
    getState,
    recordHeartbeat (sentAtMs) {
      if (sentAtMs < computeEndMs()) heartbeatMs = Math.max(heartbeatMs, sentAtMs)
      else if (unconfirmed !== undefined && sentAtMs < unconfirmed.sentAtMs + leaseMs) unconfirmed.sentAtMs = sentAtMs
      else unconfirmed = { sentAtMs, acknowledgedAtMs: getNowMs() }
    },
    needsConfirmation: () => unconfirmed !== undefined,
    confirmRows (sentAtMs) {
      if (unconfirmed === undefined || sentAtMs < unconfirmed.acknowledgedAtMs) return
      heartbeatMs = Math.max(heartbeatMs, unconfirmed.sentAtMs)
      unconfirmed = undefined
    },
    recordHeardBy (instance, sentAtMs) {
      heardBy.set(instance, Math.max(heardBy.get(instance) ?? -Infinity, sentAtMs))
    },
    async renew (exchangeWith) {
      getState()
      if (getNowMs() < heartbeatMs + leaseMs * renewShare) return
      const startedMs = getNowMs()
      await Promise.all(options.listCandidates().map(exchangeWith))
      if (getState() !== LeaseState.Valid) lastTrialMs = startedMs
    }
  }
}
