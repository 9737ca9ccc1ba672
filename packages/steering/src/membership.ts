/**
 * Which of two announcements of an instance is the later one.
 *
 * @module
 */
import type { InstanceRecord } from './inventory.ts'

/**
 * Compares two announcements under one name.
 *
 * Incarnations are ordered by their start counts, equal ones by identifier; within an incarnation the sequence decides.
 *
 * @param a An announcement
 * @param b Another
 * @returns Above 0 where `a` is later, below 0 where `b` is, 0 where they are the same
 */
export function compareAnnouncements (a: AnnouncementOrder, b: AnnouncementOrder): number {
  if (a.incarnation === b.incarnation) return (a.start ?? 0) - (b.start ?? 0) || a.sequence - b.sequence
  return (a.start ?? 0) - (b.start ?? 0) || (a.incarnation < b.incarnation ? -1 : 1)
}

/** The fields by which announcements are ordered. */
export type AnnouncementOrder = Pick<InstanceRecord, 'incarnation' | 'start' | 'sequence'>

/** What an instance does about an announcement under its own name. */
export enum OwnNameDecision {
  /** It is this incarnation's own, or an earlier incarnation's that loses by itself. */
  Ignore = 'ignore',
  /** An earlier incarnation's announcement would win; the own start count has to exceed it. */
  RaiseStart = 'raise_start',
  /** A later incarnation runs under this name. */
  Superseded = 'superseded'
}

/** An instance's knowledge of its own start. */
export interface OwnStart extends AnnouncementOrder {
  /** Whether the start count was taken from the platform; until then it is a guess that may be too low. */
  confirmed: boolean
}

/**
 * Decides what to do about an announcement under the own name.
 *
 * @param own This incarnation
 * @param seen The announcement
 * @returns What to do
 */
export function checkOwnName (own: OwnStart, seen: AnnouncementOrder): OwnNameDecision {
  if (seen.incarnation === own.incarnation || compareAnnouncements(own, seen) > 0) return OwnNameDecision.Ignore
  return own.confirmed ? OwnNameDecision.Superseded : OwnNameDecision.RaiseStart
}
