/**
 * Decides which attempts a stopping instance can still complete.
 *
 * @module
 */
import type { LifeCycle, RegisteredTarget, Refusal } from '@bilberryworks/steering'
import type { Attempt } from './attempt.ts'
import type { TargetSelector } from './target_selector.ts'
import { computeHoldMs, createNotRunRefusal, RefusalReason } from '@bilberryworks/steering'
import { computeBodyMs } from './attempt.ts'

/** Options of {@linkcode createStopLimits}. */
export interface CreateStopLimitsOptions {
  /** Phases of this instance. */
  life: LifeCycle
  /** Selects targets. */
  targetSelector: Pick<TargetSelector, 'hasUntriedTarget' | 'measureCapacity'>
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Which attempts can be completed before this instance ends; all of them unless it stops. */
export interface StopLimits {
  /** Returns whether a target can be expected to end an attempt in time. */
  isCompletable (attempt: Attempt, entry: RegisteredTarget): boolean
  /** Returns whether any target to which an attempt was not dispatched before can be expected to end it in time. */
  isCompletableAnywhere (attempt: Attempt): boolean
}

/** `Retry-After` of a refusal during a stop, in milliseconds; short, since other instances can serve the request immediately. */
const stoppingRetryAfterMs = 50

/**
 * Creates the refusal of a request that a stopping instance can't complete.
 *
 * @returns The refusal
 */
export function createStoppingRefusal (): Refusal {
  return createNotRunRefusal(RefusalReason.Stopping, 'Instance is shutting down', stoppingRetryAfterMs)
}

/**
 * Creates the functions that tell which attempts can be completed.
 *
 * @param options Life cycle and targets
 * @returns The functions
 */
export function createStopLimits ({ life, targetSelector, getNowMs }: CreateStopLimitsOptions): StopLimits {
  function isCompletable (attempt: Attempt, entry: RegisteredTarget): boolean {
    if (!life.isStopping()) return true
    const nowMs = getNowMs()
    const holdMs = computeHoldMs(entry, nowMs) ?? targetSelector.measureCapacity(attempt.service).holdMs
    return life.isCompletable(computeBodyMs(attempt, nowMs) + holdMs, nowMs)
  }

  return {
    isCompletable,
    isCompletableAnywhere: attempt => !life.isStopping() || targetSelector.hasUntriedTarget(attempt, entry => isCompletable(attempt, entry))
  }
}
