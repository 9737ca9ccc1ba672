/**
 * Decides which of two announcements of an instance is the later one.
 *
 * @module
 */
import type { InstanceRecord } from './inventory.ts'

/**
 * Compares two announcements under the same instance name.
 *
 * The higher start count is later. With equal counts, different incarnations are ordered by identifier, and announcements
 * of the same incarnation by sequence.
 *
 * @param a An announcement
 * @param b Another announcement
 * @returns A positive number if `a` is later, a negative one if `b` is later, 0 if they are the same
 */
export function compareAnnouncements (a: AnnouncementOrder, b: AnnouncementOrder): number {
  if (a.incarnation === b.incarnation) return (a.start ?? 0) - (b.start ?? 0) || a.sequence - b.sequence
  return (a.start ?? 0) - (b.start ?? 0) || (a.incarnation < b.incarnation ? -1 : 1)
}

/** The fields by which announcements are ordered. */
export type AnnouncementOrder = Pick<InstanceRecord, 'incarnation' | 'start' | 'sequence'>

/** How an instance reacts to an announcement under its own name. */
export enum OwnNameDecision {
  /** The announcement is from this incarnation, or from an earlier one that loses against it. */
  Ignore = 'ignore',
  /** An earlier incarnation's announcement would win; this incarnation must raise its start count above the announced one. */
  RaiseStart = 'raise_start',
  /** A later incarnation runs under this name. */
  Superseded = 'superseded'
}

/** Order of this incarnation's own announcements. */
export interface OwnIncarnation extends AnnouncementOrder {
  /** Whether the start count was read from the platform; until then it is an estimate that may be too low. */
  isConfirmed: boolean
}

/**
 * Decides how an instance reacts to an announcement under its own name.
 *
 * @param own This incarnation
 * @param seen The announcement
 * @returns The reaction
 */
export function checkOwnName (own: OwnIncarnation, seen: AnnouncementOrder): OwnNameDecision {
  if (seen.incarnation === own.incarnation || compareAnnouncements(own, seen) > 0) return OwnNameDecision.Ignore
  return own.isConfirmed ? OwnNameDecision.Superseded : OwnNameDecision.RaiseStart
}
