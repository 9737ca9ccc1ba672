/**
 * Which teams may read and change a document.
 *
 * A document changes its owner in two steps: the owner names the next team in `handOverTo`,
 * then that team submits the document with itself as the owner.
 *
 * @module
 */
import type { ServiceDocument } from './document.ts'

/** What a team may do with a submitted document. */
export enum DocumentAccess {
  /** The team may submit it. */
  Allowed = 'allowed',
  /** The service belongs to another team. */
  OtherTeam = 'other_team',
  /** The submitted document names an owner other than the team that submits it. */
  OwnerChanged = 'owner_changed'
}

/**
 * Checks whether a team may read a document.
 *
 * @param document The document in force
 * @param team The team
 * @returns Whether it owns the document or is to take it over
 */
export function isReadableBy (document: ServiceDocument, team: string): boolean {
  return document.ownerTeam === team || document.handOverTo === team
}

/**
 * Checks whether a team may put a document in the place of the one in force.
 *
 * @param submitted The document submitted
 * @param current The document in force; `undefined` where there is none
 * @param team The team that submits
 * @returns What it may do
 */
export function checkDocumentAccess (submitted: ServiceDocument, current: ServiceDocument | undefined, { team }: { team: string }): DocumentAccess {
  if (current !== undefined && !isReadableBy(current, team)) return DocumentAccess.OtherTeam
  return submitted.ownerTeam === team ? DocumentAccess.Allowed : DocumentAccess.OwnerChanged
}
