/**
 * Builds the map of client blocks from blocks in CIDR notation.
 *
 * @module
 */
import type { Result } from 'neverthrow'
import type { ClientBlock } from './client_address.ts'
import type { BlockTable, ClientBlocks } from './client_blocks.ts'
import { err, ok } from 'neverthrow'
import { AddressFamily, maxPrefixBits, parseClientBlock } from './client_address.ts'
import { createTable, emptyOrderIndex, maxOrders } from './client_blocks.ts'

/** A block with its sites, as an operator writes it. */
export interface ClientBlockEntry {
  /** The block, in CIDR notation. */
  block: string
  /** Names of failure domains or regions, nearest first. */
  sites: string[]
}

/** One thing that is wrong with a list of blocks. */
export interface ClientBlockFinding {
  /** JSON pointer into the list. */
  pointer: string
  /** What is wrong. */
  message: string
}

/** Options of {@linkcode buildClientBlocks}. */
export interface BuildClientBlocksOptions {
  /** Revision of the map. */
  revision: number
  /** Orders of sites that keep their index, those of the map before; none by default. */
  knownOrders?: string[][]
}

interface Span {
  /** First value. */
  first: bigint
  /** Value behind the last. */
  end: bigint
  order: number
  /** Place in the list. */
  index: number
}

const sitePattern = /^[a-z0-9][a-z0-9-]{0,62}$/
const maxSites = 16
const maxFindings = 100

/**
 * Builds a map; where blocks are nested, the longest prefix holds.
 *
 * @param entries The blocks
 * @param options The revision, and orders of sites to keep
 * @returns The map, or the first findings with their places
 */
export function buildClientBlocks (entries: ClientBlockEntry[], options: BuildClientBlocksOptions): Result<ClientBlocks, ClientBlockFinding[]> {
  const findings: ClientBlockFinding[] = []
  const orders = [...options.knownOrders ?? [[]]]
  const orderIndex = new Map(orders.map((sites, index) => [sites.join(' '), index]))
  const spans: Record<AddressFamily, Span[]> = { [AddressFamily.V4]: [], [AddressFamily.V6]: [] }

  function locateOrder (sites: string[]): number {
    const text = sites.join(' ')
    const known = orderIndex.get(text)
    if (known !== undefined) return known
    orderIndex.set(text, orders.length)
    return orders.push([...sites]) - 1
  }

  for (const [index, entry] of entries.entries()) {
    const message = checkSites(entry.sites)
    if (message !== undefined) findings.push({ pointer: `/${index}/sites`, message })
    const parsed = parseClientBlock(entry.block)
    if (parsed.isErr()) {
      findings.push({ pointer: `/${index}/block`, message: parsed.error })
    } else {
      spans[parsed.value.first.family].push({ ...computeSpan(parsed.value), order: locateOrder(entry.sites), index })
    }
    if (findings.length >= maxFindings) return err(findings)
  }
  if (orders.length > maxOrders) findings.push({ pointer: '', message: `Map has ${orders.length} orders of sites, allowed are ${maxOrders}` })
  for (const family of Object.values(AddressFamily)) {
    spans[family].sort(compareSpans)
    findings.push(...spans[family].filter((span, at, all) => at > 0 && compareSpans(all[at - 1]!, span) === 0).map(span => {
      return { pointer: `/${span.index}/block`, message: `Block "${entries[span.index]!.block}" is listed twice` }
    }))
  }
  if (findings.length > 0) return err(findings.slice(0, maxFindings))
  const tables = { [AddressFamily.V4]: buildTable(AddressFamily.V4, spans.v4), [AddressFamily.V6]: buildTable(AddressFamily.V6, spans.v6) }
  return ok({ revision: options.revision, orders, tables })
}

function checkSites (sites: string[]): string | undefined {
  if (sites.length === 0 || sites.length > maxSites) return `Block has ${sites.length} sites, allowed are 1 to ${maxSites}`
  const malformed = sites.find(site => !sitePattern.test(site))
  if (malformed !== undefined) return `Site "${malformed}" is not a name of lower-case letters, digits and hyphens`
  return new Set(sites).size === sites.length ? undefined : 'A site is listed twice'
}

function computeSpan (block: ClientBlock): { first: bigint, end: bigint } {
  const { family, high, low } = block.first
  const first = family === AddressFamily.V4 ? BigInt(high) : BigInt(high) << 32n | BigInt(low)
  return { first, end: first + (1n << BigInt(maxPrefixBits[family] - block.prefixBits)) }
}

/** Orders spans by their first value, the widest of several first. */
function compareSpans (a: Span, b: Span): number {
  if (a.first !== b.first) return a.first < b.first ? -1 : 1
  if (a.end === b.end) return 0
  return a.end > b.end ? -1 : 1
}

/** Writes the step function of sorted, nested spans, equal neighbours joined. */
function buildTable (family: AddressFamily, spans: Span[]): BlockTable {
  const limit = 1n << BigInt(maxPrefixBits[family])
  const table = createTable(family, spans.length * 2)
  const open: Span[] = []
  let length = 0

  function addStep (at: bigint, order: number): void {
    if (at === limit) return
    const high = Number(family === AddressFamily.V4 ? at : at >> 32n)
    const low = family === AddressFamily.V4 ? 0 : Number(at & 0xffffffffn)
    const last = length - 1
    if (last >= 0 && table.highs[last] === high && (table.lows?.[last] ?? 0) === low) length--
    if ((length === 0 ? emptyOrderIndex : table.orders[length - 1]) === order) return
    table.highs[length] = high
    if (table.lows !== undefined) table.lows[length] = low
    table.orders[length++] = order
  }

  function closeUntil (at: bigint): void {
    for (let span = open.at(-1); span !== undefined && span.end <= at; span = open.at(-1)) {
      open.pop()
      addStep(span.end, open.at(-1)?.order ?? emptyOrderIndex)
    }
  }

  for (const span of spans) {
    closeUntil(span.first)
    addStep(span.first, span.order)
    open.push(span)
  }
  closeUntil(limit)
  return takeStarts(table, length)
}

/**
 * Copies the first starts of a table to arrays of their size.
 *
 * @param table The table
 * @param length Number of starts to keep
 * @returns The copy
 */
export function takeStarts (table: BlockTable, length: number): BlockTable {
  const trimmed: BlockTable = { highs: table.highs.slice(0, length), orders: table.orders.slice(0, length) }
  if (table.lows !== undefined) trimmed.lows = table.lows.slice(0, length)
  return trimmed
}
