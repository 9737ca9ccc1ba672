/**
 * A map from blocks of client addresses to site orders, stored as sorted arrays.
 *
 * A site order lists names of failure domains or regions, nearest to the client first. A table divides the addresses
 * of one family into ranges, each of which extends from its start address to the next one and has one site order.
 * Nested blocks are flattened into such ranges, so that one binary search finds the site order of an address.
 *
 * @module
 */
import type { ClientAddress } from './client_address.ts'
import { AddressFamily } from './client_address.ts'

/** Address ranges of one family with their site orders. */
export interface BlockTable {
  /** First 32 bits of the start address of each range; the addresses ascend. */
  highs: Uint32Array
  /** Next 32 bits of the start address of each range for IPv6; absent for IPv4. */
  lows?: Uint32Array
  /** Index of the site order of each range. */
  orders: Uint16Array
}

/** A map from client addresses to site orders. */
export interface ClientBlocks {
  /** Revision of the map, 1 for the first. */
  revision: number
  /** Site orders, each shared by all blocks that have it; the first is empty, for addresses outside all blocks. */
  orders: string[][]
  /** Range table of each address family. */
  tables: Record<AddressFamily, BlockTable>
}

/** Index of the empty site order, which addresses outside all blocks have. */
export const emptyOrderIndex = 0

/** Maximum number of site orders in a map: an index takes 16 bits, and one value is reserved for `unchangedOrderIndex`. */
export const maxSiteOrders = 65_535

/**
 * Creates a map without blocks.
 *
 * @returns The empty map, with revision 0
 */
export function createEmptyClientBlocks (): ClientBlocks {
  return {
    revision: 0,
    orders: [[]],
    tables: { [AddressFamily.V4]: createBlockTable(AddressFamily.V4, 0), [AddressFamily.V6]: createBlockTable(AddressFamily.V6, 0) }
  }
}

/**
 * Creates a range table whose values are all 0.
 *
 * @param family Address family of the table
 * @param length Number of ranges
 * @returns The table
 */
export function createBlockTable (family: AddressFamily, length: number): BlockTable {
  const table: BlockTable = { highs: new Uint32Array(length), orders: new Uint16Array(length) }
  if (family === AddressFamily.V6) table.lows = new Uint32Array(length)
  return table
}

/**
 * Finds the site order for a client address.
 *
 * @param blocks The map
 * @param address Address of the client
 * @returns Names of failure domains or regions, nearest first; empty if the address is in no block
 */
export function findSites (blocks: ClientBlocks, address: ClientAddress): readonly string[] {
  const table = blocks.tables[address.family]
  const index = findRangeIndex(table, address)
  return blocks.orders[index < 0 ? emptyOrderIndex : table.orders[index]!]!
}

/** Returns the index of the range that contains an address; -1 if the address is below the first range. */
function findRangeIndex (table: BlockTable, address: ClientAddress): number {
  const { highs, lows } = table
  let below = -1
  let above = highs.length
  while (above - below > 1) {
    const middle = (below + above) >>> 1
    const high = highs[middle]!
    const isAbove = high > address.high || (high === address.high && lows !== undefined && lows[middle]! > address.low)
    if (isAbove) above = middle
    else below = middle
  }
  return below
}

/**
 * Returns the size of the arrays of a map.
 *
 * @param blocks The map
 * @returns Size in bytes, without the site orders
 */
export function countTableBytes (blocks: ClientBlocks): number {
  return Object.values(blocks.tables).reduce((sum, table) => sum + table.highs.byteLength + (table.lows?.byteLength ?? 0) + table.orders.byteLength, 0)
}
