/**
 * Access control for service documents by team.
 *
 * Changing the owner of a document takes two steps: the owner names the next team in `handOverTo`,
 * then that team submits the document with itself as `ownerTeam`.
 *
 * @module
 */
import type { ServiceDocument } from './document.ts'

/** Result of an access check for a submitted document. */
export enum DocumentAccess {
  /** The team may submit the document. */
  Allowed = 'allowed',
  /** Another team owns the document in force. */
  OtherTeam = 'other_team',
  /** The submitted document names an `ownerTeam` other than the team that submits it. */
  OwnerChanged = 'owner_changed'
}

/**
 * Returns whether a team may read a document.
 *
 * @param document The document in force
 * @param team Name of the team
 * @returns Whether the team owns the document or is named in its `handOverTo`
 */
export function isReadableBy (document: ServiceDocument, team: string): boolean {
  return document.ownerTeam === team || document.handOverTo === team
}

/**
 * Checks whether a team may replace the document in force by a submitted document.
 *
 * @param submitted The submitted document
 * @param current The document in force; `undefined` if there is none
 * @param team Name of the team that submits the document
 * @returns Whether the team may submit the document, or why not
 */
export function checkDocumentAccess (submitted: ServiceDocument, current: ServiceDocument | undefined, { team }: { team: string }): DocumentAccess {
  if (current !== undefined && !isReadableBy(current, team)) return DocumentAccess.OtherTeam
  return submitted.ownerTeam === team ? DocumentAccess.Allowed : DocumentAccess.OwnerChanged
}
