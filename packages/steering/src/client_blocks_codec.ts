/**
 * Binary encoding of snapshots and differences of the map of client blocks.
 *
 * An encoding consists of the text `BBCB`, the length of the header in 4 bytes, the header as JSON padded with blanks
 * to a multiple of 4 bytes, the arrays of both tables, and the SHA-256 digest of all bytes before it. Numbers are
 * little-endian. A decoder returns an error, and no partial result, if any part of an encoding is invalid.
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
import { createBlockTable, maxSiteOrders } from './client_blocks.ts'
import { unchangedOrderIndex } from './client_blocks_merge.ts'

/** Kind of an encoding. */
export enum EncodingKind {
  /** A complete map. */
  Snapshot = 'snapshot',
  /** The changes from one revision of a map to a later one. */
  Difference = 'difference'
}

/** Header of an encoding; written as JSON. */
interface Header {
  format: number
  kind: EncodingKind
  revision: number
  baseRevision: number
  baseOrders: number
  orders: string[][]
  /** Number of ranges by address family. */
  starts: Record<AddressFamily, number>
}

const formatVersion = 1
const magic = 'BBCB'
/** Length of the magic text and the header length together. */
const preambleBytes = 8
const alignmentBytes = 4
const digestBytes = 32
const maxHeaderBytes = 64 * 1024 * 1024
const rangesPerSlice = 65_536
const bytesPerSlice = 256 * 1024
const isLittleEndian = new Uint8Array(Uint16Array.of(1).buffer)[0] === 1

const countSchema = { type: 'integer', minimum: 0, maximum: 0x7fffffff }
const validateHeader = new Ajv().compile<Header>({
  type: 'object',
  additionalProperties: false,
  required: ['format', 'kind', 'revision', 'baseRevision', 'baseOrders', 'orders', 'starts'],
  properties: {
    format: { const: formatVersion },
    kind: { enum: Object.values(EncodingKind) },
    revision: countSchema,
    baseRevision: countSchema,
    baseOrders: countSchema,
    orders: { type: 'array', maxItems: maxSiteOrders, items: { type: 'array', items: { type: 'string' } } },
    starts: { type: 'object', additionalProperties: false, required: ['v4', 'v6'], properties: { v4: countSchema, v6: countSchema } }
  }
})

/**
 * Encodes a map of client blocks as a snapshot.
 *
 * @param blocks The map
 * @returns The encoding
 * @throws {Error} On a big-endian machine
 */
export function encodeSnapshot (blocks: ClientBlocks): Uint8Array {
  return encodeTables(blocks.tables, { kind: EncodingKind.Snapshot, revision: blocks.revision, baseRevision: 0, baseOrders: 0, orders: blocks.orders })
}

/**
 * Encodes a difference between two maps of client blocks.
 *
 * @param difference The difference
 * @returns The encoding
 * @throws {Error} On a big-endian machine
 */
export function encodeDifference (difference: ClientBlocksDifference): Uint8Array {
  const { baseRevision, revision, baseOrders, addedOrders: orders, tables } = difference
  return encodeTables(tables, { kind: EncodingKind.Difference, revision, baseRevision, baseOrders, orders })
}

/**
 * Decodes a snapshot; the generator yields after each slice of work.
 *
 * @param bytes Encoding of the snapshot
 * @returns A generator that returns the map or an error message
 */
export function * decodeSnapshot (bytes: Uint8Array): Generator<void, Result<ClientBlocks, string>> {
  const decoded = yield * decodeTables(bytes, EncodingKind.Snapshot)
  return decoded.map(({ header, tables }) => ({ revision: header.revision, orders: header.orders, tables }))
}

/**
 * Decodes a difference; the generator yields after each slice of work.
 *
 * @param bytes Encoding of the difference
 * @returns A generator that returns the difference or an error message
 */
export function * decodeDifference (bytes: Uint8Array): Generator<void, Result<ClientBlocksDifference, string>> {
  const decoded = yield * decodeTables(bytes, EncodingKind.Difference)
  return decoded.map(({ header, tables }) => {
    return { baseRevision: header.baseRevision, revision: header.revision, baseOrders: header.baseOrders, addedOrders: header.orders, tables }
  })
}

/**
 * Returns the digest at the end of an encoding, without verifying it.
 *
 * @param bytes The encoding
 * @returns SHA-256 digest, in hexadecimal
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
  if (!isLittleEndian) throw new Error('Client blocks can be encoded only on a little-endian machine')
  const header: Header = { format: formatVersion, ...fields, starts: { v4: tables.v4.highs.length, v6: tables.v6.highs.length } }
  const headerJson = JSON.stringify(header)
  const headerBytes = Math.ceil(Buffer.byteLength(headerJson) / alignmentBytes) * alignmentBytes
  const columns = listColumns(tables).map(readColumnBytes)
  const length = preambleBytes + headerBytes + columns.reduce((sum, column) => sum + column.length, 0)
  const bytes = Buffer.alloc(length + digestBytes, ' ')
  bytes.write(magic, 0, 'latin1')
  bytes.writeUInt32LE(headerBytes, magic.length)
  bytes.write(headerJson, preambleBytes)
  let offset = preambleBytes + headerBytes
  for (const column of columns) {
    bytes.set(column, offset)
    offset += column.length
  }
  createHash('sha256').update(bytes.subarray(0, length)).digest().copy(bytes, length)
  return bytes
}

interface DecodedTables {
  header: Header
  tables: Record<AddressFamily, BlockTable>
}

function * decodeTables (bytes: Uint8Array, kind: EncodingKind): Generator<void, Result<DecodedTables, string>> {
  const parsed = parseHeader(bytes, kind)
  if (parsed.isErr()) return err(parsed.error)
  const { header, columnsOffset } = parsed.value
  const digest = createHash('sha256')
  const end = bytes.length - digestBytes
  for (let offset = 0; offset < end; offset += bytesPerSlice) {
    digest.update(bytes.subarray(offset, Math.min(offset + bytesPerSlice, end)))
    yield
  }
  if (digest.digest('hex') !== readDigest(bytes)) return err('Content does not match its SHA-256 digest')
  const tables = { [AddressFamily.V4]: createBlockTable(AddressFamily.V4, header.starts.v4), [AddressFamily.V6]: createBlockTable(AddressFamily.V6, header.starts.v6) }
  let offset = columnsOffset
  for (const column of listColumns(tables)) {
    const target = readColumnBytes(column)
    for (let done = 0; done < target.length; done += bytesPerSlice) {
      target.set(bytes.subarray(offset + done, offset + Math.min(done + bytesPerSlice, target.length)), done)
      yield
    }
    offset += target.length
  }
  const orderCount = header.baseOrders + header.orders.length
  for (const table of Object.values(tables)) {
    const message = yield * checkTable(table, { orderCount, allowsUnchanged: kind === EncodingKind.Difference })
    if (message !== undefined) return err(message)
  }
  return ok({ header, tables })
}

function parseHeader (bytes: Uint8Array, kind: EncodingKind): Result<{ header: Header, columnsOffset: number }, string> {
  if (!isLittleEndian) return err('Client blocks can be decoded only on a little-endian machine')
  const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength)
  if (bytes.length < preambleBytes + digestBytes || buffer.toString('latin1', 0, magic.length) !== magic) return err('Content is not an encoded map of client blocks')
  const headerBytes = buffer.readUInt32LE(magic.length)
  const columnsOffset = preambleBytes + headerBytes
  if (headerBytes > maxHeaderBytes || columnsOffset + digestBytes > bytes.length) return err('Header length exceeds the content or the limit of 64 MiB')
  let header: unknown
  try {
    header = JSON.parse(buffer.toString('utf8', preambleBytes, columnsOffset))
  } catch {
    return err('Header is not valid JSON')
  }
  if (!validateHeader(header)) return err(`Header does not match its schema at "${validateHeader.errors?.[0]?.instancePath ?? ''}"`)
  if (header.kind !== kind) return err(`Content is a ${header.kind}, expected a ${kind}`)
  if (kind === EncodingKind.Snapshot && header.orders[0]?.length !== 0) return err('First site order of the snapshot is not empty')
  // A range takes 4 address bytes in IPv4 and 8 in IPv6, and 2 bytes for its site order index.
  const expected = columnsOffset + header.starts.v4 * 6 + header.starts.v6 * 10 + digestBytes
  if (expected !== bytes.length) return err(`Content has ${bytes.length} bytes, expected ${expected}`)
  return ok({ header, columnsOffset })
}

function * checkTable (table: BlockTable, options: { orderCount: number, allowsUnchanged: boolean }): Generator<void, string | undefined> {
  for (let from = 0; from < table.highs.length; from += rangesPerSlice) {
    const message = checkRanges(table, { ...options, from, to: Math.min(from + rangesPerSlice, table.highs.length) })
    if (message !== undefined) return message
    yield
  }
  return undefined
}

function checkRanges ({ highs, lows, orders }: BlockTable, options: { orderCount: number, allowsUnchanged: boolean, from: number, to: number }): string | undefined {
  for (let index = options.from; index < options.to; index++) {
    const orderIndex = orders[index]!
    if (orderIndex >= options.orderCount && !(options.allowsUnchanged && orderIndex === unchangedOrderIndex)) return `Range ${index} has site order index ${orderIndex}, expected less than ${options.orderCount}`
    if (index === 0) continue
    const rise = highs[index]! - highs[index - 1]! || (lows === undefined ? 0 : lows[index]! - lows[index - 1]!)
    if (rise <= 0) return `Start address of range ${index} is not above that of the preceding range`
  }
  return undefined
}
