/**
 * Encodes and decodes snapshots and differences of the map of client blocks.
 *
 * An encoding is the text `BBCB`, the length of the header, the header as JSON, the arrays of both tables
 * in little-endian order, and the SHA-256 of all bytes before it. Whatever does not match is refused whole.
 *
 * @module
 */
import type { Result } from 'neverthrow'
import type { BlockTable, ClientBlocks } from './client_blocks.ts'
import type { ClientBlocksDifference } from './client_blocks_merge.ts'
import { createHash } from 'node:crypto'
import { Ajv } from 'ajv'
import { err, ok } from 'neverthrow'
import { AddressFamily } from './client_address.ts'
import { createTable, maxOrders } from './client_blocks.ts'
import { unchangedOrderIndex } from './client_blocks_merge.ts'

/** What an encoding holds. */
export enum EncodingKind {
  Snapshot = 'snapshot',
  Difference = 'difference'
}

interface Header {
  format: number
  kind: EncodingKind
  revision: number
  baseRevision: number
  baseOrders: number
  orders: string[][]
  starts: Record<AddressFamily, number>
}

const formatVersion = 1
const magic = 'BBCB'
const prefixBytes = 8
const alignmentBytes = 4
const digestBytes = 32
const maxHeaderBytes = 64 * 1024 * 1024
const startsPerSlice = 65_536
const bytesPerSlice = 256 * 1024
const isLittleEndian = new Uint8Array(Uint16Array.of(1).buffer)[0] === 1

const count = { type: 'integer', minimum: 0, maximum: 0x7fffffff }
const checkHeader = new Ajv().compile<Header>({
  type: 'object',
  additionalProperties: false,
  required: ['format', 'kind', 'revision', 'baseRevision', 'baseOrders', 'orders', 'starts'],
  properties: {
    format: { const: formatVersion },
    kind: { enum: Object.values(EncodingKind) },
    revision: count,
    baseRevision: count,
    baseOrders: count,
    orders: { type: 'array', maxItems: maxOrders, items: { type: 'array', items: { type: 'string' } } },
    starts: { type: 'object', additionalProperties: false, required: ['v4', 'v6'], properties: { v4: count, v6: count } }
  }
})

/**
 * Encodes a map.
 *
 * @param blocks The map
 * @returns The snapshot
 */
export function encodeSnapshot (blocks: ClientBlocks): Uint8Array {
  return encodeTables(blocks.tables, { kind: EncodingKind.Snapshot, revision: blocks.revision, baseRevision: 0, baseOrders: 0, orders: blocks.orders })
}

/**
 * Encodes a difference.
 *
 * @param difference The difference
 * @returns Its encoding
 */
export function encodeDifference (difference: ClientBlocksDifference): Uint8Array {
  const { baseRevision, revision, baseOrders, addedOrders: orders, tables } = difference
  return encodeTables(tables, { kind: EncodingKind.Difference, revision, baseRevision, baseOrders, orders })
}

/**
 * Decodes a snapshot; yields after each slice of work.
 *
 * @param bytes The snapshot
 * @returns At the end of the generator the map, or a message that says what is wrong
 */
export function * decodeSnapshot (bytes: Uint8Array): Generator<void, Result<ClientBlocks, string>> {
  const decoded = yield * decodeTables(bytes, EncodingKind.Snapshot)
  return decoded.map(({ header, tables }) => ({ revision: header.revision, orders: header.orders, tables }))
}

/**
 * Decodes a difference; yields after each slice of work.
 *
 * @param bytes The encoding
 * @returns At the end of the generator the difference, or a message that says what is wrong
 */
export function * decodeDifference (bytes: Uint8Array): Generator<void, Result<ClientBlocksDifference, string>> {
  const decoded = yield * decodeTables(bytes, EncodingKind.Difference)
  return decoded.map(({ header, tables }) => {
    return { baseRevision: header.baseRevision, revision: header.revision, baseOrders: header.baseOrders, addedOrders: header.orders, tables }
  })
}

/**
 * Reads the digest at the end of an encoding, without a check.
 *
 * @param bytes The encoding
 * @returns The SHA-256, in hexadecimal
 */
export function readDigest (bytes: Uint8Array): string {
  return Buffer.from(bytes.subarray(bytes.length - digestBytes)).toString('hex')
}

/** Lists the arrays of both tables in the order in which they are encoded. */
function listColumns (tables: Record<AddressFamily, BlockTable>): Array<Uint32Array | Uint16Array> {
  const { v4, v6 } = tables
  return [v4.highs, v6.highs, v6.lows!, v4.orders, v6.orders]
}

function readColumnBytes (column: Uint32Array | Uint16Array): Uint8Array {
  return new Uint8Array(column.buffer, column.byteOffset, column.byteLength)
}

function encodeTables (tables: Record<AddressFamily, BlockTable>, fields: Omit<Header, 'format' | 'starts'>): Uint8Array {
  if (!isLittleEndian) throw new Error('Client blocks are encoded on little-endian machines only')
  const header: Header = { format: formatVersion, ...fields, starts: { v4: tables.v4.highs.length, v6: tables.v6.highs.length } }
  const text = JSON.stringify(header)
  const textBytes = Math.ceil(Buffer.byteLength(text) / alignmentBytes) * alignmentBytes
  const columns = listColumns(tables).map(readColumnBytes)
  const length = prefixBytes + textBytes + columns.reduce((sum, column) => sum + column.length, 0)
  const bytes = Buffer.alloc(length + digestBytes, ' ')
  bytes.write(magic, 0, 'latin1')
  bytes.writeUInt32LE(textBytes, magic.length)
  bytes.write(text, prefixBytes)
  let at = prefixBytes + textBytes
  for (const column of columns) {
    bytes.set(column, at)
    at += column.length
  }
  createHash('sha256').update(bytes.subarray(0, length)).digest().copy(bytes, length)
  return bytes
}

interface Decoded {
  header: Header
  tables: Record<AddressFamily, BlockTable>
}

function * decodeTables (bytes: Uint8Array, kind: EncodingKind): Generator<void, Result<Decoded, string>> {
  const parsed = parseHeader(bytes, kind)
  if (parsed.isErr()) return err(parsed.error)
  const { header, columnsAt } = parsed.value
  const digest = createHash('sha256')
  const end = bytes.length - digestBytes
  for (let at = 0; at < end; at += bytesPerSlice) {
    digest.update(bytes.subarray(at, Math.min(at + bytesPerSlice, end)))
    yield
  }
  if (digest.digest('hex') !== readDigest(bytes)) return err('Content does not match its digest')
  const tables = { [AddressFamily.V4]: createTable(AddressFamily.V4, header.starts.v4), [AddressFamily.V6]: createTable(AddressFamily.V6, header.starts.v6) }
  let at = columnsAt
  for (const column of listColumns(tables)) {
    const target = readColumnBytes(column)
    for (let done = 0; done < target.length; done += bytesPerSlice) {
      target.set(bytes.subarray(at + done, at + Math.min(done + bytesPerSlice, target.length)), done)
      yield
    }
    at += target.length
  }
  const orderCount = header.baseOrders + header.orders.length
  for (const table of Object.values(tables)) {
    const message = yield * checkTable(table, { orderCount, allowKept: kind === EncodingKind.Difference })
    if (message !== undefined) return err(message)
  }
  return ok({ header, tables })
}

function parseHeader (bytes: Uint8Array, kind: EncodingKind): Result<{ header: Header, columnsAt: number }, string> {
  if (!isLittleEndian) return err('Client blocks are decoded on little-endian machines only')
  const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength)
  if (bytes.length < prefixBytes + digestBytes || buffer.toString('latin1', 0, magic.length) !== magic) return err('Content is not an encoding of client blocks')
  const textBytes = buffer.readUInt32LE(magic.length)
  const columnsAt = prefixBytes + textBytes
  if (textBytes > maxHeaderBytes || columnsAt + digestBytes > bytes.length) return err('Header is longer than the content')
  let header: unknown
  try {
    header = JSON.parse(buffer.toString('utf8', prefixBytes, columnsAt))
  } catch {
    return err('Header is not JSON')
  }
  if (!checkHeader(header)) return err(`Header is malformed at "${checkHeader.errors?.[0]?.instancePath ?? ''}"`)
  if (header.kind !== kind) return err(`Content is a ${header.kind}, expected a ${kind}`)
  if (kind === EncodingKind.Snapshot && header.orders[0]?.length !== 0) return err('First order of sites is not empty')
  const expected = columnsAt + header.starts.v4 * 6 + header.starts.v6 * 10 + digestBytes
  if (expected !== bytes.length) return err(`Content has ${bytes.length} bytes, expected ${expected}`)
  return ok({ header, columnsAt })
}

function * checkTable (table: BlockTable, options: { orderCount: number, allowKept: boolean }): Generator<void, string | undefined> {
  for (let from = 0; from < table.highs.length; from += startsPerSlice) {
    const message = checkStarts(table, { ...options, from, to: Math.min(from + startsPerSlice, table.highs.length) })
    if (message !== undefined) return message
    yield
  }
  return undefined
}

function checkStarts ({ highs, lows, orders }: BlockTable, options: { orderCount: number, allowKept: boolean, from: number, to: number }): string | undefined {
  for (let index = options.from; index < options.to; index++) {
    const order = orders[index]!
    if (order >= options.orderCount && !(options.allowKept && order === unchangedOrderIndex)) return `Start ${index} has order ${order} of ${options.orderCount}`
    if (index === 0) continue
    const rise = highs[index]! - highs[index - 1]! || (lows === undefined ? 0 : lows[index]! - lows[index - 1]!)
    if (rise <= 0) return `Start ${index} is not above the one before it`
  }
  return undefined
}
