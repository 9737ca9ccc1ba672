import type { ClientBlockEntry } from './client_blocks_build.ts'
import type { ClientBlocks } from './client_blocks.ts'
import { createHash } from 'node:crypto'
import test from 'ava'
import fc from 'fast-check'
import ipaddr from 'ipaddr.js'
import { parseClientAddress, parseClientBlock } from './client_address.ts'
import { findSites } from './client_blocks.ts'
import { buildClientBlocks } from './client_blocks_build.ts'
import { decodeDifference, decodeSnapshot, encodeDifference, encodeSnapshot } from './client_blocks_codec.ts'
import { applyClientBlocksDifference, diffClientBlocks, runToCompletion } from './client_blocks_merge.ts'

const seed = 20_260_712

const siteLists: fc.Arbitrary<string[]> = fc.constantFrom<string[][]>(['sofia'], ['varna', 'sofia'], ['plovdiv-a', 'plovdiv-b', 'varna'])
const v4Blocks = fc.tuple(fc.nat(3), fc.nat(3), fc.oneof(fc.integer({ min: 22, max: 26 }), fc.integer({ min: 0, max: 32 }))).map(([c, d, bits]) => formatBlock(`10.0.${c}.${d * 64}`, bits))
const v6Blocks = fc.tuple(fc.nat(3), fc.nat(3), fc.oneof(fc.integer({ min: 46, max: 52 }), fc.integer({ min: 0, max: 64 }))).map(([c, d, bits]) => formatBlock(`2001:db8:${c}:${d}000::`, bits))
const entryLists = fc.uniqueArray(fc.record({ block: fc.oneof(v4Blocks, v6Blocks), sites: siteLists }), { selector: entry => entry.block, maxLength: 30 })
const addresses = fc.oneof(
  fc.tuple(fc.nat(4), fc.nat(255)).map(([c, d]) => `10.0.${c}.${d}`),
  fc.tuple(fc.nat(4), fc.nat(255)).map(([c, d]) => `::ffff:10.0.${c}.${d}`),
  fc.tuple(fc.nat(3), fc.nat(0xffff)).map(([c, d]) => `2001:db8:${c}:${d.toString(16)}::1`),
  fc.constantFrom('0.0.0.0', '255.255.255.255', '::', 'ffff::')
)

function formatBlock (address: string, bits: number): string {
  const network = address.includes(':') ? ipaddr.IPv6.networkAddressFromCIDR(`${address}/${bits}`) : ipaddr.IPv4.networkAddressFromCIDR(`${address}/${bits}`)
  return `${network.toString()}/${bits}`
}

function findSitesByLinearScan (entries: ClientBlockEntry[], text: string): string[] {
  const address = ipaddr.process(text)
  const matches = entries.map(entry => ({ ...entry, cidr: ipaddr.parseCIDR(entry.block) }))
    .filter(({ cidr }) => cidr[0].kind() === address.kind() && (address as ipaddr.IPv4).match(cidr as [ipaddr.IPv4, number]))
    .sort((a, b) => b.cidr[1] - a.cidr[1])
  return matches[0]?.sites ?? []
}

function build (entries: ClientBlockEntry[], options: { revision: number, knownOrders?: string[][] }): ClientBlocks {
  return buildClientBlocks(entries, options)._unsafeUnwrap()
}

function find (blocks: ClientBlocks, text: string): readonly string[] {
  return findSites(blocks, parseClientAddress(text)._unsafeUnwrap())
}

test('finds the sites of the block with the longest prefix', t => {
  fc.assert(fc.property(entryLists, fc.array(addresses, { minLength: 1, maxLength: 20 }), (entries, clients) => {
    const blocks = build(entries, { revision: 1 })
    for (const client of clients) t.deepEqual(find(blocks, client), findSitesByLinearScan(entries, client))
  }), { seed })
})

test('decoding a snapshot or applying a decoded difference restores the map', t => {
  fc.assert(fc.property(entryLists, entryLists, (before, after) => {
    const base = build(before, { revision: 4 })
    const next = build(after, { revision: 5, knownOrders: base.orders })
    const snapshot = runToCompletion(decodeSnapshot(encodeSnapshot(next)))._unsafeUnwrap()
    const difference = runToCompletion(decodeDifference(encodeDifference(diffClientBlocks(base, next))))._unsafeUnwrap()
    t.deepEqual(snapshot, next)
    t.deepEqual(runToCompletion(applyClientBlocksDifference(base, difference)), next)
  }), { seed })
})

for (const text of ['', '1.2.3', '1.2.3.256', '01.2.3.4', '0x1.2.3.4', '1.2.3.4 ', 'fe80::1%eth0', '::g', '1.2.3.4/8', '1:2:3', 'x'.repeat(100)]) {
  test(`refuses address "${text.slice(0, 20)}"`, t => t.true(parseClientAddress(text).isErr()))
}

for (const text of ['10.0.0.0', '10.0.0.1/24', '10.0.0.0/33', '2001:db8::/65', '2001:db8::1/48', '::ffff:10.0.0.0/95', '10.0.0.0/-1']) {
  test(`refuses block "${text}"`, t => t.true(parseClientBlock(text).isErr()))
}

test('reports all faults of a list of blocks in one result', t => {
  const findings = buildClientBlocks([
    { block: '10.0.0.0/8', sites: [] }, { block: '10.0.0.0/8', sites: ['Sofia'] }, { block: '10.0.0.0/8', sites: ['sofia'] }, { block: '10/8', sites: ['sofia', 'sofia'] }
  ], { revision: 1 })._unsafeUnwrapErr()
  t.deepEqual(findings.map(finding => finding.pointer), ['/0/sites', '/1/sites', '/3/sites', '/3/block', '/1/block', '/2/block'])
})

const encodedSnapshot = encodeSnapshot(build([
  { block: '10.0.0.0/8', sites: ['sofia'] }, { block: '10.1.0.0/16', sites: ['varna'] }, { block: '2001:db8::/32', sites: ['sofia'] }
], { revision: 7 }))

function updateDigest (bytes: Uint8Array): Uint8Array {
  const body = bytes.subarray(0, -32)
  return Buffer.concat([body, createHash('sha256').update(body).digest()])
}

function createCorruptSnapshot (offset: number, options: { isDigestUpdated: boolean }): Uint8Array {
  const bytes = Buffer.from(encodedSnapshot)
  const byteIndex = offset < 0 ? bytes.length + offset : offset
  bytes[byteIndex] = bytes[byteIndex]! ^ 0xff
  return options.isDigestUpdated ? updateDigest(bytes) : bytes
}

const corruptions: Array<[name: string, bytes: () => Uint8Array]> = [
  ['empty content', () => new Uint8Array()],
  ['other magic bytes', () => createCorruptSnapshot(0, { isDigestUpdated: true })],
  ['a header length beyond the content', () => createCorruptSnapshot(7, { isDigestUpdated: true })],
  ['a header that is not JSON', () => createCorruptSnapshot(8, { isDigestUpdated: true })],
  ['only the first half', () => updateDigest(encodedSnapshot.subarray(0, encodedSnapshot.length >> 1))],
  ['the last byte missing', () => encodedSnapshot.subarray(0, -1)],
  ['one byte too many', () => Buffer.concat([encodedSnapshot, Buffer.of(0)])],
  ['a changed start address', () => createCorruptSnapshot(-60, { isDigestUpdated: false })],
  ['a changed digest', () => createCorruptSnapshot(-1, { isDigestUpdated: false })],
  ['a site order index out of range', () => createCorruptSnapshot(-33, { isDigestUpdated: true })],
  ['start addresses that do not ascend', () => {
    const bytes = Buffer.from(encodedSnapshot)
    const columnsOffset = bytes.readUInt32LE(4) + 8
    bytes.writeUInt32LE(0xffffffff, columnsOffset)
    return updateDigest(bytes)
  }],
  ['another format version', () => updateDigest(Buffer.from(Buffer.from(encodedSnapshot).toString('latin1').replace('"format":1', '"format":2'), 'latin1'))],
  ['a difference instead of a snapshot', () => encodeDifference(diffClientBlocks(build([], { revision: 1 }), build([], { revision: 2 })))]
]
for (const [name, bytes] of corruptions) {
  test(`refuses to decode as a snapshot: ${name}`, t => t.true(runToCompletion(decodeSnapshot(bytes())).isErr()))
}
