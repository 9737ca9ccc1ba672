/**
 * The feed rows that an instance knows, with the changes of its own that are under way.
 *
 * @module
 */
import type { OwnershipRow } from '@bilberryworks/steering'

/** A change that was sent and whose result is not known. */
export interface PendingChange {
  /** The row as changed. */
  row: OwnershipRow
  /** Called when it is known what became of the change. */
  settle: () => void
}

/** A failure domain's row. */
interface KnownRow {
  row: OwnershipRow | undefined
  pending: PendingChange | undefined
}

/** The rows, by failure domain. */
export interface OwnershipRows {
  /** Returns the row of a failure domain. */
  getRow (failureDomain: string): OwnershipRow | undefined
  /** Returns the rows that may be in force for a failure domain: the one known and the one pending. */
  listPossible (failureDomain: string): OwnershipRow[]
  /** Lists the rows known. */
  listRows (): OwnershipRow[]
  /** Lists every row that may be in force. */
  listAllPossible (): OwnershipRow[]
  /** Takes a row over unless a newer one is known; returns whether it was taken. */
  mergeRow (row: OwnershipRow): boolean
  /** Whether a change of a failure domain's row is under way. */
  isPending (failureDomain: string): boolean
  /** Remembers a change before it is sent. */
  addPending (change: PendingChange): void
  /** Forgets a change that was certainly not carried out. */
  dropPending (failureDomain: string): void
}

/**
 * Creates a collection with no row.
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

  function listPossibleOf ({ row, pending }: KnownRow): OwnershipRow[] {
    return [row, pending?.row].filter(possible => possible !== undefined)
  }

  function dropPending (failureDomain: string): void {
    const known = getKnown(failureDomain)
    known.pending?.settle()
    known.pending = undefined
  }

  return {
    getRow: failureDomain => domains.get(failureDomain)?.row,
    listPossible: failureDomain => listPossibleOf(getKnown(failureDomain)),
    listRows: () => [...domains.values()].flatMap(known => known.row === undefined ? [] : [known.row]),
    listAllPossible: () => [...domains.values()].flatMap(listPossibleOf),
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
