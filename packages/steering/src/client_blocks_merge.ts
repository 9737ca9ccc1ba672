/**
 * Differences between two maps of client blocks, and their application, a slice at a time.
 *
 * A difference is a pair of tables in which {@linkcode unchangedOrderIndex} stands for addresses that keep their order.
 *
 * @module
 */
import type { BlockTable, ClientBlocks } from './client_blocks.ts'
import { AddressFamily } from './client_address.ts'
import { createTable, emptyOrderIndex, maxOrders } from './client_blocks.ts'
import { takeStarts } from './client_blocks_build.ts'

/** Order in a difference's table of addresses that do not change. */
export const unchangedOrderIndex = maxOrders

/** What leads from one revision of the map to the next. */
export interface ClientBlocksDifference {
  /** Revision that it applies to. */
  baseRevision: number
  /** Revision that it leads to. */
  revision: number
  /** Number of orders of sites in the base. */
  baseOrders: number
  /** Orders of sites to append to those of the base. */
  addedOrders: string[][]
  /** Step functions of changed orders. */
  tables: Record<AddressFamily, BlockTable>
}

/** Options of {@linkcode mergeTables}. */
export interface MergeTablesOptions {
  /** Value of each step function before its first start. */
  before: { left: number, right: number, merged: number }
  /** Computes the value of the result. */
  mergeOrders: (left: number, right: number) => number
}

const startsPerSlice = 32_768

/**
 * Merges two step functions into one, equal neighbours joined; yields after each slice of work.
 *
 * @param left A table
 * @param right A table of the same family
 * @param options How values are merged
 * @returns The merged table, at the end of the generator
 */
export function * mergeTables (left: BlockTable, right: BlockTable, options: MergeTablesOptions): Generator<void, BlockTable> {
  const family = left.lows === undefined ? AddressFamily.V4 : AddressFamily.V6
  const merged = createTable(family, left.highs.length + right.highs.length)
  const cursor = { left: 0, right: 0, length: 0 }
  while (cursor.left < left.highs.length || cursor.right < right.highs.length) {
    mergeSlice({ left, right, merged, cursor, options })
    yield
  }
  return takeStarts(merged, cursor.length)
}

interface MergeState {
  left: BlockTable
  right: BlockTable
  merged: BlockTable
  /** Next start of each table. */
  cursor: { left: number, right: number, length: number }
  options: MergeTablesOptions
}

function mergeSlice ({ left, right, merged, cursor, options }: MergeState): void {
  const { before, mergeOrders } = options
  let { left: l, right: r, length } = cursor
  const end = l + r + startsPerSlice
  let leftOrder = l === 0 ? before.left : left.orders[l - 1]!
  let rightOrder = r === 0 ? before.right : right.orders[r - 1]!
  let lastOrder = length === 0 ? before.merged : merged.orders[length - 1]!
  while (l + r < end && (l < left.highs.length || r < right.highs.length)) {
    const order = compareStarts(left, l, { other: right, otherIndex: r })
    const source = order <= 0 ? left : right
    const index = order <= 0 ? l : r
    if (order <= 0) leftOrder = left.orders[l++]!
    if (order >= 0) rightOrder = right.orders[r++]!
    const value = mergeOrders(leftOrder, rightOrder)
    if (value === lastOrder) continue
    merged.highs[length] = source.highs[index]!
    if (merged.lows !== undefined) merged.lows[length] = source.lows![index]!
    merged.orders[length++] = value
    lastOrder = value
  }
  Object.assign(cursor, { left: l, right: r, length })
}

/** Compares two starts; a table that is used up counts as above all. */
function compareStarts (table: BlockTable, index: number, { other, otherIndex }: { other: BlockTable, otherIndex: number }): number {
  if (index >= table.highs.length) return 1
  if (otherIndex >= other.highs.length) return -1
  const high = table.highs[index]! - other.highs[otherIndex]!
  return high !== 0 || table.lows === undefined ? high : table.lows[index]! - other.lows![otherIndex]!
}

/**
 * Computes the difference between two maps, of which the later one keeps the orders of the earlier one.
 *
 * @param base The earlier map
 * @param next The later map, built with the orders of the earlier one
 * @returns The difference
 */
export function diffClientBlocks (base: ClientBlocks, next: ClientBlocks): ClientBlocksDifference {
  const options: MergeTablesOptions = {
    before: { left: emptyOrderIndex, right: emptyOrderIndex, merged: unchangedOrderIndex },
    mergeOrders: (left, right) => left === right ? unchangedOrderIndex : right
  }
  const diffFamily = (family: AddressFamily): BlockTable => finishWork(mergeTables(base.tables[family], next.tables[family], options))
  return {
    baseRevision: base.revision,
    revision: next.revision,
    baseOrders: base.orders.length,
    addedOrders: next.orders.slice(base.orders.length),
    tables: { [AddressFamily.V4]: diffFamily(AddressFamily.V4), [AddressFamily.V6]: diffFamily(AddressFamily.V6) }
  }
}

/**
 * Applies a difference to the map that it was computed from; yields after each slice of work.
 *
 * @param base The map of the difference's base revision
 * @param difference The difference
 * @returns The map of the difference's revision, at the end of the generator
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
 * Runs a generator of slices to its end without a pause.
 *
 * @param work The generator
 * @returns Its result
 */
export function finishWork<T> (work: Generator<void, T>): T {
  for (;;) {
    const step = work.next()
    if (step.done === true) return step.value
  }
}
