/**
 * Enumerations of request outcomes and reasons, as callers, operators and metrics see them.
 *
 * @module
 */

/** Outcome of a request, sent as `Bilberry-Outcome`. */
export enum Outcome {
  /** A target responded, and the body is its complete response. */
  Answered = 'answered',
  /** The request did not run and will not run. */
  NotRun = 'not-run',
  /** The request may have run once; it is not run again under its idempotency key. */
  Unknown = 'unknown'
}

/** Reason why a request ended without a complete response, sent as `Bilberry-Reason` and used as a metric label. */
export enum RefusalReason {
  BadRequest = 'bad_request',
  RequestTimeout = 'request_timeout',
  Unauthenticated = 'unauthenticated',
  UnknownService = 'unknown_service',
  BodyTooLarge = 'body_too_large',
  HeadersTooLarge = 'headers_too_large',
  BadIdempotencyKey = 'bad_idempotency_key',
  /** An idempotency key was sent without a pin or credentials that scope it. */
  KeyScopeMissing = 'key_scope_missing',
  /** The idempotency key is in use with another request. */
  KeyReused = 'key_reused',
  /** The idempotency store has no room for another key. */
  KeyMemoryFull = 'key_memory_full',
  BadPin = 'bad_pin',
  PinExpired = 'pin_expired',
  /** The incarnation that retains the keys of the pin has ended. */
  PinnedInstanceGone = 'pinned_instance_gone',
  ResultNotRetained = 'result_not_retained',
  StoreUnavailable = 'store_unavailable',
  /** The instance has not loaded its documents or configuration yet. */
  NoDocument = 'no_document',
  NoUsableTarget = 'no_usable_target',
  Overloaded = 'overloaded',
  /** The caller's region has no capacity, and the shift cap does not let the caller move to another region yet. */
  ShiftCap = 'shift_cap',
  /** The byte budget of the link to another region is used up. */
  LinkBudget = 'link_budget',
  DeadlinePassed = 'deadline_passed',
  /** The request failed, and the retry budget is used up. */
  RetryBudget = 'retry_budget',
  /** The instance's lease on the target has lapsed. */
  LeaseLapsed = 'lease_lapsed',
  /** The request was forwarded more often than allowed. */
  ForwardLoop = 'forward_loop',
  PeerUnreachable = 'peer_unreachable',
  /** The instance has no room for another request that a peer relays. */
  RelayLimit = 'relay_limit',
  /** The exchange with the peer was interrupted, so it is unknown whether the request ran. */
  PeerLost = 'peer_lost',
  TargetUnreachable = 'target_unreachable',
  /** The host of the instance refuses connections, for want of descriptors, memory or ports. */
  HostLimit = 'host_limit',
  TargetRefused = 'target_refused',
  /** Targets have ended whenever they ran the same request. */
  CrashesTargets = 'crashes_targets',
  /** The exchange with the target was interrupted, so it is unknown whether the request ran. */
  TargetLost = 'target_lost',
  TargetTimeout = 'target_timeout',
  CallerGone = 'caller_gone',
  Stopping = 'stopping',
  /** An exception was thrown while the instance handled the request. */
  InternalError = 'internal_error'
}

/** Reason why an instance retried a request. */
export enum RetryReason {
  ConnectFailed = 'connect_failed',
  TargetExcluded = 'target_excluded',
  TargetRefused = 'target_refused',
  IdempotentLost = 'idempotent_lost',
  PeerRefused = 'peer_refused',
  PeerUnreachable = 'peer_unreachable',
  /** The host of the instance refused the connection. */
  RefusedLocally = 'refused_locally'
}

/** Class of a request, which determines how it is queued and retried, and whether its idempotency key is retained. */
export enum RequestClass {
  /** Idempotent; may be retried on another target. */
  LookUp = 'look-up',
  /** Runs at most once; never retried once a target may have read any part of it. */
  AtMostOnce = 'at-most-once',
  /** Carries a large streamed body, which can be delayed and which the instance can't replay. */
  Upload = 'upload'
}

/** Optimization goal of the choice of region and target, which the service's document sets. */
export enum Objective {
  /** Minimizes the load of the most loaded region. */
  Headroom = 'headroom',
  /** Prefers the nearest target with the shortest expected wait. */
  Latency = 'latency'
}

/** HTTP status codes of the reasons that do not map to 503. */
const statusByReason: Partial<Record<RefusalReason, number>> = {
  [RefusalReason.BadRequest]: 400,
  [RefusalReason.Unauthenticated]: 401,
  [RefusalReason.RequestTimeout]: 408,
  [RefusalReason.BadIdempotencyKey]: 400,
  [RefusalReason.KeyScopeMissing]: 400,
  [RefusalReason.BadPin]: 400,
  [RefusalReason.UnknownService]: 404,
  [RefusalReason.KeyReused]: 409,
  [RefusalReason.BodyTooLarge]: 413,
  [RefusalReason.HeadersTooLarge]: 431,
  [RefusalReason.ForwardLoop]: 508
}

/**
 * Returns the HTTP status code of a refusal.
 *
 * @param outcome The outcome, `not-run` or `unknown`
 * @param reason The reason
 * @returns 502 or 504 for `unknown`; a 4xx, 503 or 508 for `not-run`
 */
export function getRefusalStatus (outcome: Outcome, reason: RefusalReason): number {
  if (outcome === Outcome.Unknown) return reason === RefusalReason.TargetTimeout ? 504 : 502
  return statusByReason[reason] ?? 503
}
