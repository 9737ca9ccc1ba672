/**
 * The lease under which an instance dispatches to the targets that it owns.
 *
 * The lease is renewed by each heartbeat that the platform acknowledges, or by an acknowledgement from every instance
 * that may take the targets over.
 *
 * @module
 */
import { LeaseState } from '@bilberryworks/steering'

/** Fraction of the lease without an acknowledged heartbeat after which the lease is renewed through peers. */
const renewAfterFraction = 0.3

/** Options of {@linkcode createLease}. */
export interface CreateLeaseOptions {
  /** Duration of the lease after the last contact, in milliseconds. */
  leaseMs: number
  /** Lists the instances that may take over this instance's targets. */
  listCandidates: () => string[]
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
  /** Called with each new state. */
  recordLease: (state: LeaseState) => void
}

/** Lease of one instance on the targets that it owns. */
export interface Lease {
  /** Returns the current state. Calls `recordLease` if it has changed since the last call. */
  getState (): LeaseState
  /**
   * Records that the platform acknowledged a heartbeat sent at the given monotonic time.
   *
   * After the lease has lapsed, a heartbeat renews it only once the rows have been confirmed, since another instance
   * may have taken over before the heartbeat.
   */
  recordHeartbeat (sentAtMs: number): void
  /** Whether a heartbeat takes effect only once the rows have been confirmed. */
  needsConfirmation (): boolean
  /** Records that the known rows were the newest on the platform in a check sent at the given monotonic time. */
  confirmRows (sentAtMs: number): void
  /** Records that an instance acknowledged a message sent at the given monotonic time. */
  recordAcknowledgement (instance: string, sentAtMs: number): void
  /** Reports a change of state, and contacts the takeover candidates if the platform acknowledged no recent heartbeat. */
  renew (exchangeWith: (instance: string) => Promise<void>): Promise<void>
}

/**
 * Creates a lease in the lapsed state.
 *
 * @param options Duration, clock and takeover candidates
 * @returns The lease
 */
export function createLease (options: CreateLeaseOptions): Lease {
  const { leaseMs, getNowMs } = options
  /** Send time of the last message acknowledged by each instance. */
  const heardBy = new Map<string, number>()
  /** Send time of the last heartbeat that renewed the lease. */
  let heartbeatMs = -Infinity
  let lastFailedRenewalMs: number | undefined
  let unconfirmedHeartbeat: { sentAtMs: number, acknowledgedAtMs: number } | undefined
  let reportedState: LeaseState | undefined

  /** Returns -Infinity until the first confirmed heartbeat: contact with peers alone does not show that the rows are current. */
  function computeExpiryMs (): number {
    if (heartbeatMs === -Infinity) return -Infinity
    const heardAtMs = options.listCandidates().map(name => heardBy.get(name) ?? -Infinity)
    return Math.max(heartbeatMs, Math.min(...heardAtMs)) + leaseMs
  }

  function getState (): LeaseState {
    const expiryMs = computeExpiryMs()
    let state = LeaseState.Valid
    if (getNowMs() >= expiryMs) state = lastFailedRenewalMs !== undefined && lastFailedRenewalMs >= expiryMs ? LeaseState.CutOff : LeaseState.Lapsed
    if (state !== reportedState) options.recordLease(state)
    reportedState = state
    return state
  }

  return {
    getState,
    recordHeartbeat (sentAtMs) {
      // Heartbeats less than a lease apart need a single confirmation.
      if (sentAtMs < computeExpiryMs()) heartbeatMs = Math.max(heartbeatMs, sentAtMs)
      else if (unconfirmedHeartbeat !== undefined && sentAtMs < unconfirmedHeartbeat.sentAtMs + leaseMs) unconfirmedHeartbeat.sentAtMs = sentAtMs
      else unconfirmedHeartbeat = { sentAtMs, acknowledgedAtMs: getNowMs() }
    },
    needsConfirmation: () => unconfirmedHeartbeat !== undefined,
    confirmRows (sentAtMs) {
      if (unconfirmedHeartbeat === undefined || sentAtMs < unconfirmedHeartbeat.acknowledgedAtMs) return
      heartbeatMs = Math.max(heartbeatMs, unconfirmedHeartbeat.sentAtMs)
      unconfirmedHeartbeat = undefined
    },
    recordAcknowledgement (instance, sentAtMs) {
      heardBy.set(instance, Math.max(heardBy.get(instance) ?? -Infinity, sentAtMs))
    },
    async renew (exchangeWith) {
      getState()
      if (getNowMs() < heartbeatMs + leaseMs * renewAfterFraction) return
      const startedAtMs = getNowMs()
      await Promise.all(options.listCandidates().map(exchangeWith))
      if (getState() !== LeaseState.Valid) lastFailedRenewalMs = startedAtMs
    }
  }
}
