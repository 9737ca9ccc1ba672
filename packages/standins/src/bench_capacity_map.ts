/**
 * Measures memory, look-ups, loading and differential updates of the map of client blocks at several sizes.
 *
 * @module
 */
import type { ClientAddress, ClientBlockEntry, ClientBlocks } from '@bilberryworks/steering'
import type { AddTable } from './bench_capacity_report.ts'
import { monitorEventLoopDelay } from 'node:perf_hooks'
import { createStorePlatform, runInSlices } from '@bilberryworks/platform'
import { publishClientBlocks } from '@bilberryworks/operators'
import { applyClientBlocksDifference, buildClientBlocks, countTableBytes, decodeDifference, decodeSnapshot, diffClientBlocks, encodeDifference, encodeSnapshot, findSites, parseClientAddress } from '@bilberryworks/steering'

/** Numbers of client blocks to measure; the last one is the planned size. */
export const blockCounts = [100_000, 400_000, 1_000_000, 2_200_000]

/** Number of sites at the planned size. */
export const siteCount = 88

const orderCount = 1_000
const sitesPerOrder = 4
const lookUpCount = 1_000_000
const parseCount = 200_000
const changedBlocks = 1_000
const ipv6Interval = 10

/** Measurements of the map at one size. */
export interface MapFigures {
  /** Number of client blocks. */
  blocks: number
  /** Memory of the tables per block, in bytes. */
  bytesPerBlock: number
  /** Size of the encoded snapshot, in bytes. */
  snapshotBytes: number
  /** Time to build the map from its entries, in milliseconds. */
  buildMs: number
  /** Time of a look-up by a parsed address, in nanoseconds. */
  findNs: number
  /** Time of a look-up that parses the address, in nanoseconds. */
  parseAndFindNs: number
  /** Time to decode the snapshot, in milliseconds. */
  decodeMs: number
  /** Longest delay of the event loop while the snapshot is decoded and the difference applied, in milliseconds. */
  longestDelayMs: number
  /** Size of the encoded difference between two revisions, in bytes. */
  differenceBytes: number
  /** Time to decode and apply the difference, in milliseconds. */
  applyMs: number
}

/**
 * Creates client blocks, one in ten of them IPv6. Neighbouring blocks have different orders of sites.
 *
 * @param count Number of blocks
 * @param options Offset added to the index of the site order of the first 1,000 blocks, 0 by default; revisions of the map with different offsets differ in these blocks
 * @returns The blocks
 */
export function createBlockEntries (count: number, options: { orderOffset?: number } = {}): ClientBlockEntry[] {
  const orders = Array.from({ length: orderCount }, (_, index) => Array.from({ length: sitesPerOrder }, (_, position) => `site-${(index * 7 + position * 13 + Math.floor(index / siteCount)) % siteCount}`))
  const orderOffset = options.orderOffset ?? 0
  return Array.from({ length: count }, (_, index) => {
    const sites = orders[(index * 31 + (index < changedBlocks ? orderOffset : 0)) % orderCount]!
    if (index % ipv6Interval === 0) return { block: `2${(index >> 16 & 0xfff).toString(16).padStart(3, '0')}:${(index & 0xffff).toString(16)}::/32`, sites }
    return { block: `${1 + (index >> 16)}.${index >> 8 & 255}.${index & 255}.0/24`, sites }
  })
}

/**
 * Measures the map of client blocks at each size.
 *
 * @param addTable Receives the table of results
 * @returns The measurements at each size
 */
export async function measureMaps (addTable: AddTable): Promise<MapFigures[]> {
  const figures: MapFigures[] = []
  for (const count of blockCounts) figures.push(await measureMap(count))
  addTable('Map of client blocks, by number of blocks', figures)
  return figures
}

async function measureMap (count: number): Promise<MapFigures> {
  const entries = createBlockEntries(count)
  const buildStartMs = performance.now()
  const map = buildClientBlocks(entries, { revision: 1 })._unsafeUnwrap()
  const buildMs = performance.now() - buildStartMs
  const nextMap = buildClientBlocks(createBlockEntries(count, { orderOffset: 1 }), { revision: 2, knownOrders: map.orders })._unsafeUnwrap()
  const snapshot = encodeSnapshot(map)
  const difference = encodeDifference(diffClientBlocks(map, nextMap))
  const eventLoopDelay = monitorEventLoopDelay({ resolution: 1 })
  eventLoopDelay.enable()
  const decodeStartMs = performance.now()
  const decoded = (await runInSlices(decodeSnapshot(snapshot)))._unsafeUnwrap()
  const decodeMs = performance.now() - decodeStartMs
  const applyStartMs = performance.now()
  const change = (await runInSlices(decodeDifference(difference)))._unsafeUnwrap()
  const applied = await runInSlices(applyClientBlocksDifference(decoded, change))
  const applyMs = performance.now() - applyStartMs
  eventLoopDelay.disable()
  if (countTableBytes(applied) !== countTableBytes(nextMap)) throw new Error('Map after applying the difference differs in size from the next map')
  return {
    blocks: count,
    bytesPerBlock: countTableBytes(map) / count,
    snapshotBytes: snapshot.length,
    buildMs: Math.round(buildMs),
    findNs: measureFind(map),
    parseAndFindNs: measureParseAndFind(map),
    decodeMs: computeTenths(decodeMs),
    longestDelayMs: computeTenths(eventLoopDelay.max / 1e6),
    differenceBytes: difference.length,
    applyMs: computeTenths(applyMs)
  }
}

function measureFind (map: ClientBlocks): number {
  const addresses: ClientAddress[] = Array.from({ length: 4_096 }, (_, index) => parseClientAddress(createClientAddress(index * 104_729))._unsafeUnwrap())
  let found = 0
  const startMs = performance.now()
  for (let index = 0; index < lookUpCount; index++) found += findSites(map, addresses[(index * 2_654_435) & 4_095]!).length
  const nanosecondsPerLookUp = (performance.now() - startMs) * 1e6 / lookUpCount
  if (found === 0) throw new Error('Look-ups found no sites for any client address')
  return Math.round(nanosecondsPerLookUp)
}

function measureParseAndFind (map: ClientBlocks): number {
  const texts = Array.from({ length: 4_096 }, (_, index) => createClientAddress(index * 104_729))
  const startMs = performance.now()
  for (let index = 0; index < parseCount; index++) findSites(map, parseClientAddress(texts[index & 4_095]!)._unsafeUnwrap())
  return Math.round((performance.now() - startMs) * 1e6 / parseCount)
}

/**
 * Creates the address of a client; one in ten is IPv6.
 *
 * @param index Number of the client, from 0
 * @returns The address
 */
export function createClientAddress (index: number): string {
  const block = index % 2_200_000
  if (block % ipv6Interval === 0) return `2${(block >> 16 & 0xfff).toString(16).padStart(3, '0')}:${(block & 0xffff).toString(16)}::1`
  return `${1 + (block >> 16)}.${block >> 8 & 255}.${block & 255}.9`
}

/**
 * Publishes a map of client blocks on a platform.
 *
 * @param platformUrl `http://host:port` of the platform
 * @param options Number of blocks, and the offset as for {@linkcode createBlockEntries}
 * @returns Time that the publication took, in milliseconds
 * @throws If the platform refuses the map
 */
export async function publishBlocks (platformUrl: string, options: { blocks: number, orderOffset?: number }): Promise<number> {
  await using platform = createStorePlatform(platformUrl)
  const startMs = performance.now()
  const published = await publishClientBlocks(platform, createBlockEntries(options.blocks, options))
  if (published.isErr()) throw new Error(published.error.detail)
  return performance.now() - startMs
}

function computeTenths (value: number): number {
  return Math.round(value * 10) / 10
}
