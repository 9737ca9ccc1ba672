/**
 * Ownership of the targets of a failure domain, agreed on through one row in a table of the platform.
 *
 * The row lists the owners of the failure domain, and rendezvous hashing assigns each target to one of them. An
 * instance that is silent may be partitioned and still dispatching. While that is possible, it keeps the larger half
 * of each target's slots and its successor uses the rest, so that both together stay within the target's slots.
 *
 * @module
 */
import type { TargetRecord } from './inventory.ts'
import { rankByRendezvous } from './rendezvous.ts'

/** Assignment of a failure domain's targets, from which an instance decides whether it owns a target. */
export interface OwnershipAssignment {
  /** Instances that own the failure domain's targets. */
  feeders: string[]
  /** Instances that may declare an owner silent; each owner therefore stays in contact with them. */
  candidates: string[]
}

/** State of one instance that owns targets or may still dispatch to them. */
export interface OwnershipParticipant {
  /** The assignment that the instance last acknowledged. */
  assignment: OwnershipAssignment
  /** Slots that it still holds at targets that it no longer owns, by target. */
  busy: Record<string, number>
  /** Whether a candidate declared it silent after hearing nothing from it; it may then still act on its old assignment. */
  silent: boolean
}

/** Ownership row of one failure domain. */
export interface OwnershipRow {
  /** The failure domain. */
  failureDomain: string
  /** Counts the changes of the row. */
  revision: number
  /** The assignment in force. */
  assignment: OwnershipAssignment
  /** Instances that own targets or may still dispatch to them, by name. */
  parties: Record<string, OwnershipParticipant>
}

/** State of an instance's lease on its assignment, as far as the instance knows. */
export enum LeaseState {
  /** Within the lease time, the platform acknowledged a heartbeat of this instance, or each instance that could take over acknowledged a message of it. */
  Valid = 'valid',
  /** The lease has lapsed, and this instance has not tried to make contact since. */
  Lapsed = 'lapsed',
  /** The lease has lapsed, and attempts to make contact have failed since: this instance is partitioned. */
  CutOff = 'cut_off'
}

/**
 * Chooses the owner of a target.
 *
 * @param target Name of the target
 * @param owners Names of the instances that own the failure domain's targets
 * @returns Name of the owner, or `undefined` if there are no owners
 */
export function chooseOwner (target: string, owners: string[]): string | undefined {
  if (owners.length < 2) return owners[0]
  return rankByRendezvous(target, Object.fromEntries(owners.map(name => [name, 1])))[0]
}

/**
 * Computes the slots that a silent or partitioned instance keeps.
 *
 * @param slots Slots of the target
 * @returns The larger half
 */
export function computeRetainedSlots (slots: number): number {
  return Math.ceil(slots / 2)
}

/** Options of {@linkcode computeOwnedSlots}. */
export interface ComputeOwnedSlotsOptions {
  /** Name of this instance. */
  instance: string
  /** The ownership row as this instance knows it. */
  row: OwnershipRow
  /** State of this instance's lease on its assignment. */
  lease: LeaseState
  /** Whether requests that an earlier incarnation of this instance sent may still run at the targets. */
  mayHaveOrphanedRequests: boolean
}

/**
 * Computes how many slots of a target this instance may use now.
 *
 * @param target The target
 * @param options The instance, the ownership row and the lease
 * @returns The slots; 0 if the instance does not own the target or `lease` is `Lapsed`
 */
export function computeOwnedSlots (target: Pick<TargetRecord, 'target' | 'slots'>, options: ComputeOwnedSlotsOptions): number {
  const { instance, row, lease } = options
  if (lease === LeaseState.Lapsed || chooseOwner(target.target, row.assignment.feeders) !== instance) return 0
  let limit = target.slots
  for (const [name, participant] of Object.entries(row.parties)) {
    if (name !== instance) limit -= computeHeldSlots(target, { name, participant, current: row.assignment })
  }
  if (options.mayHaveOrphanedRequests) limit = Math.min(limit, target.slots - computeRetainedSlots(target.slots))
  if (lease === LeaseState.CutOff) limit = Math.min(limit, computeRetainedSlots(target.slots))
  return Math.max(0, limit)
}

/** Computes the slots of a target that another instance still uses or may be using. */
function computeHeldSlots (target: Pick<TargetRecord, 'target' | 'slots'>, other: { name: string, participant: OwnershipParticipant, current: OwnershipAssignment }): number {
  const { name, participant, current } = other
  const mayDispatch = !isSameAssignment(participant.assignment, current) && chooseOwner(target.target, participant.assignment.feeders) === name
  if (!mayDispatch) return participant.busy[target.target] ?? 0
  return participant.silent ? computeRetainedSlots(target.slots) : target.slots
}

/**
 * Returns whether two assignments are the same.
 *
 * @param a An assignment
 * @param b Another assignment
 * @returns Whether owners and candidates are the same, in any order
 */
export function isSameAssignment (a: OwnershipAssignment, b: OwnershipAssignment): boolean {
  return isSameSet(a.feeders, b.feeders) && isSameSet(a.candidates, b.candidates)
}

function isSameSet (a: string[], b: string[]): boolean {
  return a.length === b.length && a.every(name => b.includes(name))
}
