/**
 * Sends the attempts that this instance has no network path for through other instances, and handles the results.
 *
 * @module
 */
import type { ConnectionHold, EntrySettings, FleetRetryBudget, Refusal } from '@bilberryworks/steering'
import type { ResponseHead, TargetPool } from '@bilberryworks/targets'
import type { Attempt } from './attempt.ts'
import type { AttemptFinisher } from './attempt_finisher.ts'
import type { EntryLog } from './entry_log.ts'
import type { EntryMetrics } from './entry_metrics.ts'
import type { EntryState } from './entry_state.ts'
import type { PeerHeartbeat } from './peer_view.ts'
import type { RelayPeers } from './relay_peers.ts'
import { createNotRunRefusal, createUnknownRefusal, FailureSide, Outcome, RefusalReason, RetryReason, RouteKind } from '@bilberryworks/steering'
import { AttemptPhase } from './attempt.ts'
import { RequestStage } from './entry_metrics.ts'
import { maxLocalRefusals } from './host_limits.ts'
import { findRetryDenial } from './exchange_results.ts'
import { RelayResultKind, sendRelayed } from './send_relayed.ts'

/** Sends attempts through other instances. */
export interface Relayer {
  /** Returns the instance through which to send an attempt now; `undefined` if none may and can relay it. */
  findPeer (attempt: Attempt): PeerHeartbeat | undefined
  /** Sends an attempt through an instance. */
  send (attempt: Attempt, peer: PeerHeartbeat): void
  /** Cancels the exchange of an attempt that is being relayed. */
  cancel (attempt: Attempt): void
  /** Retries the requests on idempotent routes whose relaying instance is no longer live. */
  retryUnreachable (): void
  /** Returns the number of attempts that are being relayed. */
  count (): number
}

/** Options of {@linkcode createRelayer}. */
export interface CreateRelayerOptions {
  /** Runs a callback of an attempt, and ends the attempt if that throws. */
  runGuarded: (attempt: Attempt, work: () => void) => void
  /** Settings of the instance. */
  settings: EntrySettings
  /** Replicated configuration. */
  state: EntryState
  /** Connections to other instances. */
  peerPool: TargetPool
  /** The other instances. */
  relayPeers: RelayPeers
  /** Holds new connections back while this host refuses them. */
  hold: ConnectionHold
  /** Finishes attempts. */
  finisher: AttemptFinisher
  /** Structured log. */
  log: EntryLog
  /** Metrics. */
  metrics: EntryMetrics
  /** Returns the keys of the groups of targets that may serve an attempt. */
  listGroups: (attempt: Attempt) => string[]
  /** Returns whether an attempt may still be sent to targets. */
  maySend: (attempt: Attempt) => boolean
  /** Handles the response of a target to another instance. */
  handleRelayedResponse: (targetId: string, head: ResponseHead, attempt: Attempt) => void
  /** Dispatches an attempt again. */
  requeue: (attempt: Attempt) => void
  /** Returns the retry budget of a service. */
  getBudget: (service: string) => FleetRetryBudget
  /** Returns the `Retry-After` of a refused attempt, in milliseconds. */
  getRetryAfterMs: (attempt: Attempt) => number
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Maximum number of instances through which one attempt is sent. */
const maxPeers = 3
/** Time that a response takes from an instance in the same region, and from one in another region, in milliseconds; the peer gets that much less time. */
const transitMs = 5
const remoteTransitMs = 80
/** Reasons for which an instance refuses what another one may serve. */
const retriedReasons = new Set([RefusalReason.RelayLimit, RefusalReason.TargetUnreachable, RefusalReason.NoUsableTarget, RefusalReason.NoDocument, RefusalReason.Stopping, RefusalReason.UnknownService])

/** Returns the address of an instance as distinct from those of targets. */
function formatPeerKey (instance: string): string {
  return `peer ${instance}`
}

/**
 * Creates a relayer.
 *
 * @param options Peers, connections, log and metrics
 * @returns The relayer
 */
export function createRelayer (options: CreateRelayerOptions): Relayer {
  const { settings, state, relayPeers, peerPool, hold, finisher, log, metrics, getNowMs } = options
  const relayed = new Set<Attempt>()

  function release (attempt: Attempt): void {
    relayed.delete(attempt)
    if (attempt.currentPeer !== undefined) relayPeers.recordEnd(attempt.currentPeer)
    attempt.currentPeer = undefined
    attempt.exchange = undefined
  }

  function refuseNotRun (attempt: Attempt, refusal: Refusal): void {
    // The route is in this instance's configuration, so the request is proper although the peer does not know the route.
    const reason = refusal.reason === RefusalReason.UnknownService ? RefusalReason.NoUsableTarget : refusal.reason
    finisher.refuse(attempt, createNotRunRefusal(reason, refusal.detail, refusal.retryAfterMs ?? options.getRetryAfterMs(attempt)))
  }

  /** Dispatches an attempt again, or refuses it if its limits don't allow that; `refusal` is sent if it has not run. */
  function retryAttempt (attempt: Attempt, cause: { reason: RetryReason, consumesBudget: boolean, detail: string, refusal: Refusal }): void {
    const nowMs = getNowMs()
    const isBarred = attempt.localRefusals > maxLocalRefusals || attempt.triedPeers.size >= maxPeers || findRetryDenial(attempt, nowMs) !== undefined || (cause.consumesBudget && !options.getBudget(attempt.service).take(nowMs))
    log.info(isBarred ? 'retry_barred' : 'retry', { id: attempt.attemptId, reason: cause.reason, detail: cause.detail, peers: attempt.triedPeers.size, leftMs: Math.round(attempt.deadlineAtMs - nowMs) })
    if (!isBarred) {
      metrics.countRetry(cause.reason)
      options.requeue(attempt)
    } else if (attempt.mayHaveRun) finisher.refuse(attempt, createUnknownRefusal(RefusalReason.PeerLost, cause.detail))
    else refuseNotRun(attempt, cause.refusal)
  }

  function handleRefusal (attempt: Attempt, refusal: Refusal): void {
    if (refusal.outcome === Outcome.Unknown) finisher.refuse(attempt, createUnknownRefusal(refusal.reason, refusal.detail))
    else if (retriedReasons.has(refusal.reason)) retryAttempt(attempt, { reason: RetryReason.PeerRefused, consumesBudget: false, detail: `${refusal.detail}: ${refusal.reason}`, refusal })
    else refuseNotRun(attempt, refusal)
  }

  function handleResult (attempt: Attempt, result: RelayResultKind, end: { detail: string, refusal?: Refusal }): void {
    const { detail, refusal } = end
    if (result === RelayResultKind.Answered) return finisher.finish(attempt)
    if (result === RelayResultKind.Refused) return handleRefusal(attempt, refusal!)
    if (result === RelayResultKind.Truncated) return finisher.abort(attempt, createUnknownRefusal(RefusalReason.PeerLost, detail))
    const unreachable = createNotRunRefusal(RefusalReason.PeerUnreachable, detail)
    if (result === RelayResultKind.RefusedLocally) return retryAttempt(attempt, { reason: RetryReason.RefusedLocally, consumesBudget: false, detail, refusal: createNotRunRefusal(RefusalReason.HostLimit, detail) })
    if (result === RelayResultKind.Unsent) retryAttempt(attempt, { reason: RetryReason.PeerUnreachable, consumesBudget: false, detail, refusal: unreachable })
    else if (attempt.route.kind === RouteKind.Safe) retryAttempt(attempt, { reason: RetryReason.IdempotentLost, consumesBudget: true, detail, refusal: unreachable })
    else finisher.refuse(attempt, createUnknownRefusal(RefusalReason.PeerLost, detail))
  }

  function sendAttempt (attempt: Attempt, peer: PeerHeartbeat): void {
    attempt.phase = AttemptPhase.Dispatched
    attempt.currentPeer = peer.instance
    attempt.dispatchedAtMs = getNowMs()
    attempt.triedPeers.add(peer.instance)
    relayed.add(attempt)
    if (!peerPool.hasIdle(peer.instance)) hold.take(formatPeerKey(peer.instance), getNowMs())
    const inFlight = relayPeers.recordStart(peer.instance)
    attempt.dispatches.push({ peer: peer.instance, afterMs: Math.round(attempt.dispatchedAtMs - attempt.arrivedAtMs), inFlight })
    sendRelayed(attempt, peer, {
      runGuarded: work => options.runGuarded(attempt, work),
      instance: settings.instance,
      pool: peerPool,
      getNowMs,
      maxBodyBytes: state.getConfig()?.limits.maxBodyBytes ?? Infinity,
      transitMs: peer.region === settings.region ? transitMs : remoteTransitMs,
      maySend: () => options.maySend(attempt),
      onTargetResponse (targetId, head) {
        metrics.recordStage(RequestStage.Relay, attempt.route.kind, getNowMs() - attempt.dispatchedAtMs)
        options.handleRelayedResponse(targetId, head, attempt)
      },
      onBodyTooLarge () {
        attempt.exchange?.cancel()
        release(attempt)
        finisher.refuse(attempt, createUnknownRefusal(RefusalReason.BodyTooLarge, 'Body exceeds the size limit of the routing configuration'))
      },
      onEnd (result, end) {
        release(attempt)
        metrics.countRelayed(result)
        if (result === RelayResultKind.RefusedLocally) recordLocalRefusal(attempt, peer)
        if (end.refusal?.reason === RefusalReason.TargetUnreachable) relayPeers.recordUnreached(peer.instance, options.listGroups(attempt))
        if (end.refusal?.reason === RefusalReason.RelayLimit || result === RelayResultKind.Unsent) relayPeers.recordBusy(peer.instance)
        if (result !== RelayResultKind.Answered) log.info('relay_failed', { id: attempt.attemptId, peer: peer.instance, result, reason: end.refusal?.reason, detail: end.detail, elapsedMs: Math.round(getNowMs() - attempt.dispatchedAtMs) })
        handleResult(attempt, result, end)
      }
    })
  }

  /** Records that this host refused the connection to a peer, which has not been tried then. */
  function recordLocalRefusal (attempt: Attempt, { instance }: PeerHeartbeat): void {
    attempt.localRefusals++
    attempt.triedPeers.delete(instance)
    hold.recordFailure(formatPeerKey(instance), FailureSide.LocalAddress, getNowMs())
  }

  const mayConnect = (instance: string): boolean => !hold.isHeld(formatPeerKey(instance), getNowMs()) || peerPool.hasIdle(instance)

  return {
    findPeer: attempt => attempt.triedPeers.size >= maxPeers ? undefined : relayPeers.choose(options.listGroups(attempt), { homeRegions: attempt.homeRegions, tried: attempt.triedPeers, mayConnect }),
    send: sendAttempt,
    cancel (attempt) {
      attempt.exchange?.cancel()
      release(attempt)
    },
    retryUnreachable () {
      for (const attempt of relayed) {
        const isWaiting = attempt.phase === AttemptPhase.Dispatched && attempt.route.kind === RouteKind.Safe
        if (!isWaiting || relayPeers.isLive(attempt.currentPeer!)) continue
        const detail = `Instance "${attempt.currentPeer!}" sends neither a response nor heartbeats`
        options.runGuarded(attempt, () => {
          attempt.exchange?.cancel()
          release(attempt)
          handleResult(attempt, RelayResultKind.Lost, { detail })
        })
      }
    },
    count: () => relayed.size
  }
}
