/**
 * Reads and writes ownership rows on the platform.
 *
 * @module
 */
import type { Platform, PlatformFailure, TableWrite } from '@bilberryworks/platform'
import type { OwnershipRow } from '@bilberryworks/steering'
import type { Result } from 'neverthrow'
import { TableName, writeWithIndex } from '@bilberryworks/platform'

/** An ownership row with its version on the platform. */
export interface StoredOwnershipRow {
  /** Version for a conditional write; 0 if the row does not exist. */
  version: number
  /** The row; `undefined` if it does not exist. */
  row: OwnershipRow | undefined
}

/**
 * Reads the ownership row of a failure domain.
 *
 * @param platform The platform
 * @param failureDomain The failure domain
 * @returns The row with its version, or the failure
 */
export async function readOwnershipRow (platform: Platform, failureDomain: string): Promise<Result<StoredOwnershipRow, PlatformFailure>> {
  const stored = await platform.readRow(TableName.Feeds, failureDomain)
  return stored.map(found => ({ version: found?.version ?? 0, row: found?.value as OwnershipRow | undefined }))
}

/** Options of {@linkcode writeOwnershipRow}. */
export interface WriteOwnershipRowOptions {
  /** Version that the row must have; 0 if the row must not exist. */
  version: number
  /** Writes that only check the versions of further rows, in the same transaction. */
  preconditions: TableWrite[]
}

/**
 * Writes an ownership row, and its revision in the index row, in one transaction.
 *
 * @param platform The platform
 * @param row The row
 * @param options Conditions of the transaction
 * @returns Nothing, or the failure
 */
export async function writeOwnershipRow (platform: Platform, row: OwnershipRow, options: WriteOwnershipRowOptions): Promise<Result<void, PlatformFailure>> {
  const { failureDomain, revision } = row
  const write = { table: TableName.Feeds, key: failureDomain, ifVersion: options.version, value: row }
  return writeWithIndex(platform, [write, ...options.preconditions], index => ({ ...index, feeds: { ...index.feeds, [failureDomain]: revision } }))
}

/**
 * Reads all ownership rows and checks in a transaction that they are the newest.
 *
 * @param platform The platform
 * @param mergeRow Called with each row read
 * @returns Whether the rows were the newest when the transaction was applied
 */
export async function confirmOwnershipRows (platform: Platform, mergeRow: (row: OwnershipRow) => void): Promise<boolean> {
  const stored = await platform.listRows(TableName.Feeds, '')
  if (stored.isErr()) return false
  stored.value.forEach(row => mergeRow(row.value as OwnershipRow))
  const checks = stored.value.map(row => ({ table: TableName.Feeds, key: row.key, ifVersion: row.version, checkOnly: true }))
  return (await platform.writeRows(checks)).isOk()
}
