/**
 * Decides when the region weights in force for a service advance towards those of its document, and how far.
 *
 * @module
 */
import type { AcceptedDocument, ShiftRow } from './document.ts'
import type { RegionWeights } from './weight_ramp.ts'
import { computeMovedShare, computeShares, minMovedShare, moveWeights } from './weight_ramp.ts'

/** State of a traffic shift: its progress, or the reason why it does not advance. */
export enum ShiftState {
  /** The weights in force equal those of the document. */
  Settled = 'settled',
  /** The next step can be taken now. */
  Due = 'due',
  /** The current step has not lasted for its full length. */
  StepRunning = 'step_running',
  /** The platform does not respond. */
  PlatformOut = 'platform_out',
  /** A region that would receive more traffic lacks the capacity for it. */
  NoCapacity = 'no_capacity',
  /** The document's shift cap is 0, so no traffic may move. */
  CapZero = 'cap_zero',
  /** The row is based on a newer document than this instance knows. */
  DocumentBehind = 'document_behind'
}

/** Decision about a shift. */
export interface ShiftPlan {
  /** State of the shift. */
  state: ShiftState
  /** The row to write if `state` is `Due`. */
  next?: ShiftRow
}

/** Options of {@linkcode planShift}. */
export interface PlanShiftOptions {
  /** The row in force. */
  row: ShiftRow
  /** The newest document known to this instance. */
  accepted: AcceptedDocument
  /** Monotonic time at which this instance first saw the row at its current step, in milliseconds. */
  seenAtMs: number
  /** Monotonic time, in milliseconds. */
  nowMs: number
  /** Whether the platform responded recently. */
  isPlatformReachable: boolean
  /** Returns whether the regions that gain weight have capacity for a change. */
  hasCapacity: (service: string, change: WeightChange) => boolean
}

/** A planned change of region weights. */
export interface WeightChange {
  /** Weights in force. */
  from: RegionWeights
  /** Weights after the change. */
  to: RegionWeights
}

/**
 * Creates the shift row of a service's first document, whose weights take effect immediately.
 *
 * @param accepted The document
 * @returns The row, at step 1
 */
export function createShiftRow (accepted: AcceptedDocument): ShiftRow {
  const { service, regionWeights } = accepted.document
  return { service, documentRevision: accepted.revision, step: 1, weights: computeShares(regionWeights) }
}

/**
 * Decides whether the weights in force advance by a step.
 *
 * This instance must have seen the row unchanged for the length of a step by its own monotonic clock. Two steps are
 * therefore never closer together than that length, even if different instances take them.
 *
 * @param options The row, the document, the time and the available capacity
 * @returns The state, with the row to write if a step is due
 */
export function planShift (options: PlanShiftOptions): ShiftPlan {
  const { row, accepted } = options
  const { service, regionWeights, shiftCap, shiftStepMs } = accepted.document
  if (accepted.revision < row.documentRevision) return { state: ShiftState.DocumentBehind }
  const desired = computeShares(regionWeights)
  const hasDesired = Object.keys(desired).length > 0
  if (!hasDesired || computeMovedShare(row.weights, desired) < minMovedShare) return { state: ShiftState.Settled }
  if (!(shiftCap >= minMovedShare)) return { state: ShiftState.CapZero }
  if (!options.isPlatformReachable) return { state: ShiftState.PlatformOut }
  const weights = moveWeights(row.weights, desired, { maxShare: shiftCap })
  if (!options.hasCapacity(service, { from: row.weights, to: weights })) return { state: ShiftState.NoCapacity }
  if (options.nowMs - options.seenAtMs < shiftStepMs) return { state: ShiftState.StepRunning }
  return { state: ShiftState.Due, next: { service, documentRevision: accepted.revision, step: row.step + 1, weights } }
}
