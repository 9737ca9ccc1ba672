/**
 * Ownership rows known to an instance, and the changes that it has written without knowing their outcome yet.
 *
 * @module
 */
import type { OwnershipRow } from '@bilberryworks/steering'

/** A change whose write is under way or has an unknown outcome. */
export interface PendingChange {
  /** The row after the change. */
  row: OwnershipRow
  /** Called once the outcome of the change is known. */
  settle: () => void
}

/** Known row of a failure domain, and the change that is pending for it. */
interface KnownRow {
  row: OwnershipRow | undefined
  pending: PendingChange | undefined
}

/** Ownership rows by failure domain. */
export interface OwnershipRows {
  /** Returns the known row of a failure domain. */
  getRow (failureDomain: string): OwnershipRow | undefined
  /** Lists the rows that may be in force for a failure domain: the known row and the pending one. */
  listPossible (failureDomain: string): OwnershipRow[]
  /** Lists the known rows. */
  listRows (): OwnershipRow[]
  /** Lists the rows that may be in force for any failure domain. */
  listAllPossible (): OwnershipRow[]
  /** Merges a row unless the same or a later revision is known; returns whether it was merged. */
  mergeRow (row: OwnershipRow): boolean
  /** Whether the outcome of a change to a failure domain's row is unknown. */
  isPending (failureDomain: string): boolean
  /** Adds a change before it is sent. */
  addPending (change: PendingChange): void
  /** Removes the pending change of a failure domain, which must be known not to have been applied, and calls its `settle`. */
  dropPending (failureDomain: string): void
}

/**
 * Creates an empty collection.
 *
 * @returns The collection
 */
export function createOwnershipRows (): OwnershipRows {
  const domains = new Map<string, KnownRow>()

  function getKnown (failureDomain: string): KnownRow {
    const known = domains.get(failureDomain) ?? { row: undefined, pending: undefined }
    domains.set(failureDomain, known)
    return known
  }

  function listPossibleRows ({ row, pending }: KnownRow): OwnershipRow[] {
    return [row, pending?.row].filter(possible => possible !== undefined)
  }

  function dropPending (failureDomain: string): void {
    const known = getKnown(failureDomain)
    known.pending?.settle()
    known.pending = undefined
  }

  return {
    getRow: failureDomain => domains.get(failureDomain)?.row,
    listPossible: failureDomain => listPossibleRows(getKnown(failureDomain)),
    listRows: () => [...domains.values()].flatMap(known => known.row === undefined ? [] : [known.row]),
    listAllPossible: () => [...domains.values()].flatMap(listPossibleRows),
    mergeRow (row) {
      const known = getKnown(row.failureDomain)
      if (row.revision <= (known.row?.revision ?? 0)) return false
      known.row = row
      if (known.pending !== undefined && row.revision >= known.pending.row.revision) dropPending(row.failureDomain)
      return true
    },
    isPending: failureDomain => getKnown(failureDomain).pending !== undefined,
    addPending (change) {
      getKnown(change.row.failureDomain).pending = change
    },
    dropPending
  }
}
