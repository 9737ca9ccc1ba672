/**
 * Builds the map of client blocks from a list of blocks in CIDR notation.
 *
 * @module
 */
import type { Result } from 'neverthrow'
import type { ClientBlock } from './client_address.ts'
import type { BlockTable, ClientBlocks } from './client_blocks.ts'
import { err, ok } from 'neverthrow'
import { AddressFamily, maxPrefixBits, parseClientBlock } from './client_address.ts'
import { createBlockTable, emptyOrderIndex, maxSiteOrders } from './client_blocks.ts'

/** A client block with its site order, as an operator writes it. */
export interface ClientBlockEntry {
  /** Address block, in CIDR notation. */
  block: string
  /** Names of failure domains or regions, nearest first. */
  sites: string[]
}

/** One fault of a list of client blocks. */
export interface ClientBlockFinding {
  /** JSON pointer to the faulty value in the list; empty for a fault of the whole list. */
  pointer: string
  /** Description of the fault. */
  message: string
}

/** Options of {@linkcode buildClientBlocks}. */
export interface BuildClientBlocksOptions {
  /** Revision of the new map. */
  revision: number
  /** Site orders of the previous map, which keep their indexes; only the empty site order by default. */
  knownOrders?: string[][]
}

/** The address range of a block; addresses are numbers of 32 bits for IPv4 and 64 bits for IPv6. */
interface AddressRange {
  /** First address. */
  first: bigint
  /** First address after the range. */
  end: bigint
  /** Index of the site order. */
  order: number
  /** Index of the block in the list. */
  entryIndex: number
}

const siteNamePattern = /^[a-z0-9][a-z0-9-]{0,62}$/
const maxSites = 16
const maxFindings = 100

/**
 * Builds a map of client blocks; of several blocks that contain an address, the one with the longest prefix applies.
 *
 * @param entries The blocks with their site orders
 * @param options The revision, and the site orders that keep their indexes
 * @returns The map, or the first findings (at most 100)
 */
export function buildClientBlocks (entries: ClientBlockEntry[], options: BuildClientBlocksOptions): Result<ClientBlocks, ClientBlockFinding[]> {
  const findings: ClientBlockFinding[] = []
  const orders = [...options.knownOrders ?? [[]]]
  const indexesBySiteOrder = new Map(orders.map((sites, index) => [sites.join(' '), index]))
  const rangesByFamily: Record<AddressFamily, AddressRange[]> = { [AddressFamily.V4]: [], [AddressFamily.V6]: [] }

  function registerSiteOrder (sites: string[]): number {
    const text = sites.join(' ')
    const knownIndex = indexesBySiteOrder.get(text)
    if (knownIndex !== undefined) return knownIndex
    indexesBySiteOrder.set(text, orders.length)
    return orders.push([...sites]) - 1
  }

  for (const [index, entry] of entries.entries()) {
    const message = checkSites(entry.sites)
    if (message !== undefined) findings.push({ pointer: `/${index}/sites`, message })
    const parsed = parseClientBlock(entry.block)
    if (parsed.isErr()) {
      findings.push({ pointer: `/${index}/block`, message: parsed.error })
    } else {
      rangesByFamily[parsed.value.first.family].push({ ...computeRange(parsed.value), order: registerSiteOrder(entry.sites), entryIndex: index })
    }
    if (findings.length >= maxFindings) return err(findings)
  }
  if (orders.length > maxSiteOrders) findings.push({ pointer: '', message: `Map has ${orders.length} different site orders, the limit is ${maxSiteOrders}` })
  for (const family of Object.values(AddressFamily)) {
    rangesByFamily[family].sort(compareRanges)
    findings.push(...rangesByFamily[family].filter((range, index, all) => index > 0 && compareRanges(all[index - 1]!, range) === 0).map(range => {
      return { pointer: `/${range.entryIndex}/block`, message: `Block "${entries[range.entryIndex]!.block}" is listed more than once` }
    }))
  }
  if (findings.length > 0) return err(findings.slice(0, maxFindings))
  const tables = { [AddressFamily.V4]: buildTable(AddressFamily.V4, rangesByFamily.v4), [AddressFamily.V6]: buildTable(AddressFamily.V6, rangesByFamily.v6) }
  return ok({ revision: options.revision, orders, tables })
}

function checkSites (sites: string[]): string | undefined {
  if (sites.length === 0 || sites.length > maxSites) return `Block has ${sites.length} sites, expected 1 to ${maxSites}`
  const malformed = sites.find(site => !siteNamePattern.test(site))
  if (malformed !== undefined) return `Site name "${malformed}" is not 1 to 63 lower-case letters, digits and hyphens, starting with a letter or digit`
  return new Set(sites).size === sites.length ? undefined : 'Block lists a site more than once'
}

function computeRange (block: ClientBlock): { first: bigint, end: bigint } {
  const { family, high, low } = block.first
  const first = family === AddressFamily.V4 ? BigInt(high) : BigInt(high) << 32n | BigInt(low)
  return { first, end: first + (1n << BigInt(maxPrefixBits[family] - block.prefixBits)) }
}

/** Compares two ranges by their first address; of ranges with the same first address, the larger one sorts first. */
function compareRanges (a: AddressRange, b: AddressRange): number {
  if (a.first !== b.first) return a.first < b.first ? -1 : 1
  if (a.end === b.end) return 0
  return a.end > b.end ? -1 : 1
}

/** Flattens sorted, possibly nested ranges into a table; adjacent ranges with the same site order are joined. */
function buildTable (family: AddressFamily, ranges: AddressRange[]): BlockTable {
  const limit = 1n << BigInt(maxPrefixBits[family])
  const table = createBlockTable(family, ranges.length * 2)
  const openRanges: AddressRange[] = []
  let length = 0

  function addBoundary (address: bigint, orderIndex: number): void {
    if (address === limit) return
    const high = Number(family === AddressFamily.V4 ? address : address >> 32n)
    const low = family === AddressFamily.V4 ? 0 : Number(address & 0xffffffffn)
    const last = length - 1
    if (last >= 0 && table.highs[last] === high && (table.lows?.[last] ?? 0) === low) length--
    if ((length === 0 ? emptyOrderIndex : table.orders[length - 1]) === orderIndex) return
    table.highs[length] = high
    if (table.lows !== undefined) table.lows[length] = low
    table.orders[length++] = orderIndex
  }

  function closeRanges (address: bigint): void {
    for (let range = openRanges.at(-1); range !== undefined && range.end <= address; range = openRanges.at(-1)) {
      openRanges.pop()
      addBoundary(range.end, openRanges.at(-1)?.order ?? emptyOrderIndex)
    }
  }

  for (const range of ranges) {
    closeRanges(range.first)
    addBoundary(range.first, range.order)
    openRanges.push(range)
  }
  closeRanges(limit)
  return copyFirstRanges(table, length)
}

/**
 * Copies the first ranges of a table to arrays of exactly that length.
 *
 * @param table The table
 * @param length Number of ranges to copy
 * @returns The copy
 */
export function copyFirstRanges (table: BlockTable, length: number): BlockTable {
  const trimmed: BlockTable = { highs: table.highs.slice(0, length), orders: table.orders.slice(0, length) }
  if (table.lows !== undefined) trimmed.lows = table.lows.slice(0, length)
  return trimmed
}
