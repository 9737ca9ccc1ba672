/**
 * The map from blocks of client addresses to their sites, nearest first, as sorted arrays.
 *
 * A table is a step function over the addresses of one family: from each start on, up to the next
 * start, one order of sites holds. Nested blocks are flattened, so that a look-up is one binary search.
 *
 * @module
 */
import type { ClientAddress } from './client_address.ts'
import { AddressFamily } from './client_address.ts'

/** The step function of one family. */
export interface BlockTable {
  /** First 32 bits of each start, in ascending order. */
  highs: Uint32Array
  /** Next 32 bits of each start for IPv6; absent for IPv4. */
  lows?: Uint32Array
  /** Index of the order of sites that holds from each start on. */
  orders: Uint16Array
}

/** The map. */
export interface ClientBlocks {
  /** Revision of the map, 1 for the first. */
  revision: number
  /** Orders of sites that blocks share; the first one is empty, for addresses in no block. */
  orders: string[][]
  /** The table of each family. */
  tables: Record<AddressFamily, BlockTable>
}

/** Index of the empty order of sites. */
export const emptyOrderIndex = 0

/** Most orders of sites in a map, so that an index takes 16 bits and one value stays free. */
export const maxOrders = 65_535

/**
 * Creates a map without blocks.
 *
 * @returns The map, of revision 0
 */
export function createEmptyBlocks (): ClientBlocks {
  return {
    revision: 0,
    orders: [[]],
    tables: { [AddressFamily.V4]: createTable(AddressFamily.V4, 0), [AddressFamily.V6]: createTable(AddressFamily.V6, 0) }
  }
}

/**
 * Creates a table of zeros.
 *
 * @param family Family of the addresses
 * @param length Number of starts
 * @returns The table
 */
export function createTable (family: AddressFamily, length: number): BlockTable {
  const table: BlockTable = { highs: new Uint32Array(length), orders: new Uint16Array(length) }
  if (family === AddressFamily.V6) table.lows = new Uint32Array(length)
  return table
}

/**
 * Finds the sites for the address of a client.
 *
 * @param blocks The map
 * @param address The address
 * @returns Names of failure domains or regions, nearest first; empty where the address is in no block
 */
export function findSites (blocks: ClientBlocks, address: ClientAddress): readonly string[] {
  const table = blocks.tables[address.family]
  const index = findStart(table, address)
  return blocks.orders[index < 0 ? emptyOrderIndex : table.orders[index]!]!
}

/** Finds the last start that is not above an address; -1 where there is none. */
function findStart (table: BlockTable, address: ClientAddress): number {
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
 * Counts the bytes that the arrays of a map take.
 *
 * @param blocks The map
 * @returns The bytes, without the shared orders of sites
 */
export function countTableBytes (blocks: ClientBlocks): number {
  return Object.values(blocks.tables).reduce((sum, table) => sum + table.highs.byteLength + (table.lows?.byteLength ?? 0) + table.orders.byteLength, 0)
}
