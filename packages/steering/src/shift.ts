/**
 * Decides when the weights in force of a service advance, and how far.
 *
 * @module
 */
import type { AcceptedDocument, ShiftRow } from './document.ts'
import type { RegionWeights } from './weight_ramp.ts'
import { computeMovedShare, computeShares, minMovedShare, moveWeights } from './weight_ramp.ts'

/** What a shift is doing, or what holds it. */
export enum ShiftState {
  /** The weights in force are those of the document. */
  Settled = 'settled',
  /** The next step may be taken now. */
  Due = 'due',
  /** The current step is not over. */
  StepRunning = 'step_running',
  /** The platform does not answer. */
  PlatformOut = 'platform_out',
  /** A region that would get more traffic has no capacity for it. */
  NoCapacity = 'no_capacity',
  /** The document's cap is 0. */
  CapZero = 'cap_zero',
  /** The row follows a later document than the one known here. */
  DocumentBehind = 'document_behind'
}

/** What is decided about a shift. */
export interface ShiftPlan {
  /** What the shift is doing. */
  state: ShiftState
  /** The row to write, where `state` is `Due`. */
  next?: ShiftRow
}

/** What {@linkcode planShift} decides from. */
export interface PlanShiftOptions {
  /** The row in force. */
  row: ShiftRow
  /** The newest document known. */
  accepted: AcceptedDocument
  /** Monotonic time at which the row was first seen with its step, in milliseconds. */
  seenAtMs: number
  /** Monotonic time, in milliseconds. */
  nowMs: number
  /** Whether the platform answered lately. */
  isPlatformReachable: boolean
  /** Whether the regions that get more can take it. */
  hasCapacity: (service: string, change: WeightChange) => boolean
}

/** A change of weights that is about to be made. */
export interface WeightChange {
  /** Weights in force. */
  from: RegionWeights
  /** Weights after the change. */
  to: RegionWeights
}

/**
 * Creates the row of a service's first document, whose weights are in force at once.
 *
 * @param accepted The document
 * @returns The row of step 1
 */
export function createShiftRow (accepted: AcceptedDocument): ShiftRow {
  const { service, regionWeights } = accepted.document
  return { service, documentRevision: accepted.revision, step: 1, weights: computeShares(regionWeights) }
}

/**
 * Decides whether the weights in force may advance by a step.
 *
 * The row must have been seen unchanged for a whole step by the decider's own monotonic clock, so that
 * two steps are never closer together than the step's length, whoever took the one before.
 *
 * @param options The row, the document and what is known about time and capacity
 * @returns The state, with the row to write where a step is due
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
