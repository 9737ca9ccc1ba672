/**
 * Differences between two maps of client blocks, computed and applied in slices so that the event loop is not blocked.
 *
 * A difference has a range table for each address family, in which {@linkcode unchangedOrderIndex} marks the ranges
 * whose site order is the same in both maps.
 *
 * @module
 */
import type { BlockTable, ClientBlocks } from './client_blocks.ts'
import { AddressFamily } from './client_address.ts'
import { createBlockTable, emptyOrderIndex, maxSiteOrders } from './client_blocks.ts'
import { copyFirstRanges } from './client_blocks_build.ts'

/** Site order index of a range whose site order the difference leaves unchanged. */
export const unchangedOrderIndex = maxSiteOrders

/** Changes from one revision of the map to a later one. */
export interface ClientBlocksDifference {
  /** Revision of the map to which the difference applies. */
  baseRevision: number
  /** Revision of the map that results. */
  revision: number
  /** Number of site orders in the base map. */
  baseOrders: number
  /** Site orders to append to those of the base map. */
  addedOrders: string[][]
  /** Range tables with the new site orders. */
  tables: Record<AddressFamily, BlockTable>
}

/** Options of {@linkcode mergeTables}. */
export interface MergeTablesOptions {
  /** Site order index of the addresses below the first range of each table. */
  before: { left: number, right: number, merged: number }
  /** Returns the site order index in the merged table for a range with the given indexes in the two tables. */
  mergeOrders: (left: number, right: number) => number
}

const rangesPerSlice = 32_768

/**
 * Merges two range tables; the generator yields after each slice of work.
 *
 * Adjacent ranges with the same merged site order are joined.
 *
 * @param left A table
 * @param right A table of the same address family
 * @param options How site order indexes are merged
 * @returns A generator that returns the merged table
 */
export function * mergeTables (left: BlockTable, right: BlockTable, options: MergeTablesOptions): Generator<void, BlockTable> {
  const family = left.lows === undefined ? AddressFamily.V4 : AddressFamily.V6
  const merged = createBlockTable(family, left.highs.length + right.highs.length)
  const cursor = { left: 0, right: 0, length: 0 }
  while (cursor.left < left.highs.length || cursor.right < right.highs.length) {
    mergeSlice({ left, right, merged, cursor, options })
    yield
  }
  return copyFirstRanges(merged, cursor.length)
}

interface MergeState {
  left: BlockTable
  right: BlockTable
  merged: BlockTable
  /** Index of the next range to read of each table, and the number of merged ranges. */
  cursor: { left: number, right: number, length: number }
  options: MergeTablesOptions
}

function mergeSlice ({ left, right, merged, cursor, options }: MergeState): void {
  const { before, mergeOrders } = options
  let { left: leftIndex, right: rightIndex, length } = cursor
  const end = leftIndex + rightIndex + rangesPerSlice
  let leftOrder = leftIndex === 0 ? before.left : left.orders[leftIndex - 1]!
  let rightOrder = rightIndex === 0 ? before.right : right.orders[rightIndex - 1]!
  let lastOrder = length === 0 ? before.merged : merged.orders[length - 1]!
  while (leftIndex + rightIndex < end && (leftIndex < left.highs.length || rightIndex < right.highs.length)) {
    const comparison = compareRangeStarts(left, leftIndex, { other: right, otherIndex: rightIndex })
    const source = comparison <= 0 ? left : right
    const index = comparison <= 0 ? leftIndex : rightIndex
    if (comparison <= 0) leftOrder = left.orders[leftIndex++]!
    if (comparison >= 0) rightOrder = right.orders[rightIndex++]!
    const mergedOrder = mergeOrders(leftOrder, rightOrder)
    if (mergedOrder === lastOrder) continue
    merged.highs[length] = source.highs[index]!
    if (merged.lows !== undefined) merged.lows[length] = source.lows![index]!
    merged.orders[length++] = mergedOrder
    lastOrder = mergedOrder
  }
  Object.assign(cursor, { left: leftIndex, right: rightIndex, length })
}

/** Compares the start addresses of two ranges; an index past the end of its table compares as greater. */
function compareRangeStarts (table: BlockTable, index: number, { other, otherIndex }: { other: BlockTable, otherIndex: number }): number {
  if (index >= table.highs.length) return 1
  if (otherIndex >= other.highs.length) return -1
  const high = table.highs[index]! - other.highs[otherIndex]!
  return high !== 0 || table.lows === undefined ? high : table.lows[index]! - other.lows![otherIndex]!
}

/**
 * Computes the difference between two maps.
 *
 * @param base The earlier map
 * @param next The later map, built with the site orders of the earlier one as `knownOrders`
 * @returns The difference
 */
export function diffClientBlocks (base: ClientBlocks, next: ClientBlocks): ClientBlocksDifference {
  const options: MergeTablesOptions = {
    before: { left: emptyOrderIndex, right: emptyOrderIndex, merged: unchangedOrderIndex },
    mergeOrders: (left, right) => left === right ? unchangedOrderIndex : right
  }
  const diffFamily = (family: AddressFamily): BlockTable => runToCompletion(mergeTables(base.tables[family], next.tables[family], options))
  return {
    baseRevision: base.revision,
    revision: next.revision,
    baseOrders: base.orders.length,
    addedOrders: next.orders.slice(base.orders.length),
    tables: { [AddressFamily.V4]: diffFamily(AddressFamily.V4), [AddressFamily.V6]: diffFamily(AddressFamily.V6) }
  }
}

/**
 * Applies a difference to a map; the generator yields after each slice of work.
 *
 * @param base The map with the base revision of the difference
 * @param difference The difference
 * @returns A generator that returns the map with the revision of the difference
 */
export function * applyClientBlocksDifference (base: ClientBlocks, difference: ClientBlocksDifference): Generator<void, ClientBlocks> {
  const options: MergeTablesOptions = {
    before: { left: emptyOrderIndex, right: unchangedOrderIndex, merged: emptyOrderIndex },
    mergeOrders: (left, right) => right === unchangedOrderIndex ? left : right
  }
  const v4 = yield * mergeTables(base.tables.v4, difference.tables.v4, options)
  const v6 = yield * mergeTables(base.tables.v6, difference.tables.v6, options)
  return {
    revision: difference.revision,
    orders: [...base.orders, ...difference.addedOrders],
    tables: { [AddressFamily.V4]: v4, [AddressFamily.V6]: v6 }
  }
}

/**
 * Runs a generator to completion without pausing between its slices of work.
 *
 * @param work The generator
 * @returns Return value of the generator
 */
export function runToCompletion<T> (work: Generator<void, T>): T {
  for (;;) {
    const step = work.next()
    if (step.done === true) return step.value
  }
}
