/**
 * Who feeds the targets of a failure domain, agreed through one row on the platform.
 *
 * Each target has one owner, chosen by rendezvous hashing among the feeders in the row. An instance that is
 * silent may still be sending, since it may only be cut off: while that is possible it keeps the larger half of
 * each target's slots and its successor takes the rest, so that the sum stays within the slots.
 *
 * @module
 */
import type { TargetRecord } from './inventory.ts'
import { rankByRendezvous } from './rendezvous.ts'

/** What an instance must know to decide whether it feeds a target. */
export interface OwnershipAssignment {
  /** Instances that feed the failure domain's targets. */
  feeders: string[]
  /** Instances that may declare a feeder silent, which a feeder therefore keeps in contact with. */
  candidates: string[]
}

/** What the row remembers of one instance that feeds, or may still feed. */
export interface OwnershipParticipant {
  /** The assignment that the instance last acknowledged. */
  assignment: OwnershipAssignment
  /** Slots that it still holds at targets that it no longer owns, by target. */
  busy: Record<string, number>
  /** Whether it was declared silent, so that it may still act on its old assignment. */
  silent: boolean
}

/** The row of one failure domain. */
export interface OwnershipRow {
  /** The failure domain. */
  failureDomain: string
  /** Counts the changes of this row. */
  revision: number
  /** The assignment in force. */
  assignment: OwnershipAssignment
  /** Instances that feed, or may still feed, by name. */
  parties: Record<string, OwnershipParticipant>
}

/** What an instance knows of its own hold on an assignment. */
export enum LeaseState {
  /** Every instance that could take over has heard of this one within the lease. */
  Valid = 'valid',
  /** The lease has lapsed, and contact has not been tried since. */
  Lapsed = 'lapsed',
  /** The lease has lapsed, and contact was tried in vain since: this instance is cut off. */
  CutOff = 'cut_off'
}

/**
 * Chooses the feeder that owns a target.
 *
 * @param target Name of the target
 * @param feeders Names of the feeders
 * @returns The owner, or `undefined` where there is no feeder
 */
export function chooseOwner (target: string, feeders: string[]): string | undefined {
  if (feeders.length < 2) return feeders[0]
  return rankByRendezvous(target, Object.fromEntries(feeders.map(name => [name, 1])))[0]
}

/**
 * Computes the slots that stay with an instance which is silent or cut off.
 *
 * @param slots Slots of the target
 * @returns The larger half
 */
export function computeRetainedSlots (slots: number): number {
  return Math.ceil(slots / 2)
}

/** What {@linkcode computeOwnedSlots} decides from. */
export interface ComputeOwnedSlotsOptions {
  /** Name of this instance. */
  instance: string
  /** The row as this instance knows it. */
  row: OwnershipRow
  /** This instance's hold on its assignment. */
  lease: LeaseState
  /** Whether an earlier run of this instance may have left requests at the targets. */
  mayHaveOrphanedRequests: boolean
}

/**
 * Computes how many slots of a target this instance may use now.
 *
 * @param target The target
 * @param options What to decide from
 * @returns The slots, 0 where the instance does not feed the target
 */
export function computeOwnedSlots (target: Pick<TargetRecord, 'target' | 'slots'>, options: ComputeOwnedSlotsOptions): number {
  const { instance, row, lease } = options
  if (lease === LeaseState.Lapsed || chooseOwner(target.target, row.assignment.feeders) !== instance) return 0
  let limit = target.slots
  for (const [name, party] of Object.entries(row.parties)) {
    if (name !== instance) limit -= computeHeldSlots(target, { name, party, current: row.assignment })
  }
  if (options.mayHaveOrphanedRequests) limit = Math.min(limit, target.slots - computeRetainedSlots(target.slots))
  if (lease === LeaseState.CutOff) limit = Math.min(limit, computeRetainedSlots(target.slots))
  return Math.max(0, limit)
}

/** Slots that another instance may be using, or still uses. */
function computeHeldSlots (target: Pick<TargetRecord, 'target' | 'slots'>, other: { name: string, party: OwnershipParticipant, current: OwnershipAssignment }): number {
  const { name, party, current } = other
  const mayFeed = !isSameAssignment(party.assignment, current) && chooseOwner(target.target, party.assignment.feeders) === name
  if (!mayFeed) return party.busy[target.target] ?? 0
  return party.silent ? computeRetainedSlots(target.slots) : target.slots
}

/**
 * Tells whether two assignments are the same.
 *
 * @param a An assignment
 * @param b Another
 * @returns Whether feeders and candidates are the same, in any order
 */
export function isSameAssignment (a: OwnershipAssignment, b: OwnershipAssignment): boolean {
  return isSameSet(a.feeders, b.feeders) && isSameSet(a.candidates, b.candidates)
}

function isSameSet (a: string[], b: string[]): boolean {
  return a.length === b.length && a.every(name => b.includes(name))
}
