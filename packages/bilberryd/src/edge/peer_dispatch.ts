/**
 * Decides which attempts go through another instance, because this one has no network path to their targets.
 *
 * @module
 */
import type { Attempt } from './attempt.ts'
import type { AttemptFinisher } from './attempt_finisher.ts'
import type { ReachMonitor } from './reach_monitor.ts'
import type { Relayer } from './relayer.ts'
import type { TargetSelector } from './target_selector.ts'
import { createNotRunRefusal, RefusalReason } from '@bilberryworks/steering'
import { confirmUpload } from './confirm_caller.ts'

/** Options of {@linkcode createPeerDispatch}. */
export interface CreatePeerDispatchOptions {
  /** Name of this instance. */
  instance: string
  /** Sends attempts through other instances. */
  relayer: Relayer
  /** Network paths to targets. */
  reach: Pick<ReachMonitor, 'hasLost'>
  /** Selects targets. */
  targetSelector: TargetSelector
  /** Finishes attempts. */
  finisher: AttemptFinisher
  /** Returns the `Retry-After` of a refused attempt, in milliseconds. */
  getRetryAfterMs: (attempt: Attempt) => number
}

/** Sends attempts through other instances where this one has no path. */
export interface PeerDispatch {
  /** Returns whether no connection was established for an attempt, or for any other request that the same targets may serve. */
  isUnderDoubt (attempt: Attempt): boolean
  /** Returns whether this instance has no path to any target of an attempt. */
  isOutOfReach (attempt: Attempt): boolean
  /** Sends an attempt of a caller through another instance; returns whether there is one that may and can relay it. */
  sendThroughPeer (attempt: Attempt): boolean
  /** Sends an attempt through another instance, or refuses it if none may and can relay it. */
  sendThroughPeerOrRefuse (attempt: Attempt): void
}

/**
 * Creates the functions that send attempts through other instances.
 *
 * @param options Relayer, paths and finisher
 * @returns The functions
 */
export function createPeerDispatch ({ instance, relayer, reach, targetSelector, finisher, getRetryAfterMs }: CreatePeerDispatchOptions): PeerDispatch {
  function sendThroughPeer (attempt: Attempt): boolean {
    const peer = attempt.relay === undefined ? relayer.findPeer(attempt) : undefined
    if (peer !== undefined) confirmUpload(attempt, () => relayer.send(attempt, peer))
    return peer !== undefined
  }

  return {
    isUnderDoubt: attempt => attempt.tried.size > attempt.targetsReached && targetSelector.isPathDoubtful(attempt),
    isOutOfReach: attempt => reach.hasLost() && !targetSelector.hasPath(attempt),
    sendThroughPeer,
    sendThroughPeerOrRefuse (attempt) {
      if (!sendThroughPeer(attempt)) finisher.refuse(attempt, createNotRunRefusal(RefusalReason.TargetUnreachable, `Instance "${instance}" has no network path to targets of service "${attempt.service}", and no other instance can relay the request now`, getRetryAfterMs(attempt)))
    }
  }
}
