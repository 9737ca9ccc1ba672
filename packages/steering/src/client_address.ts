/**
 * Addresses of clients, and the blocks that they stand in.
 *
 * Of an IPv6 address the first 64 bits count, since blocks are at most that long.
 * An IPv4-mapped IPv6 address counts as the IPv4 address in it.
 *
 * @module
 */
import type { Result } from 'neverthrow'
import ipaddr from 'ipaddr.js'
import { err, ok } from 'neverthrow'

/** The family of an address. */
export enum AddressFamily {
  V4 = 'v4',
  V6 = 'v6'
}

/** The part of an address by which its block is found. */
export interface ClientAddress {
  /** Its family. */
  family: AddressFamily
  /** All 32 bits of an IPv4 address; bits 0 to 31 of an IPv6 address. */
  high: number
  /** 0 for IPv4; bits 32 to 63 of an IPv6 address. */
  low: number
}

/** A block of addresses. */
export interface ClientBlock {
  /** Its first address. */
  first: ClientAddress
  /** Number of leading bits that its addresses share. */
  prefixBits: number
}

/** Longest prefix of a block, by family. */
export const maxPrefixBits: Record<AddressFamily, number> = { [AddressFamily.V4]: 32, [AddressFamily.V6]: 64 }

const addressBits = { [AddressFamily.V4]: 32, [AddressFamily.V6]: 128 }
const dottedDecimals = /^(0|[1-9]\d{0,2})(\.(0|[1-9]\d{0,2})){3}$/
const mappedPrefixBits = 96
const maxAddressLength = 45

/**
 * Parses the address of a client: dotted decimal IPv4, or IPv6 without a zone.
 *
 * @param text The address
 * @returns The address, or a message that says what is wrong
 */
export function parseClientAddress (text: string): Result<ClientAddress, string> {
  if (text.length > maxAddressLength || text.includes('%')) return fail(text)
  if (!text.includes(':')) return parseV4(text)
  if (!ipaddr.IPv6.isValid(text)) return fail(text)
  const address = ipaddr.IPv6.parse(text)
  if (address.isIPv4MappedAddress()) return ok(readV4(address.toIPv4Address()))
  const [a = 0, b = 0, c = 0, d = 0] = address.parts
  return ok({ family: AddressFamily.V6, high: joinWords(a, b), low: joinWords(c, d) })
}

/**
 * Parses a block in CIDR notation, such as `192.0.2.0/24` or `2001:db8::/48`.
 *
 * @param text The block
 * @returns The block, or a message that says what is wrong
 */
export function parseClientBlock (text: string): Result<ClientBlock, string> {
  const parts = /^([^/]+)\/(\d{1,3})$/.exec(text)
  if (parts === null) return err(`Block "${text.slice(0, maxAddressLength)}" is not of the form ADDRESS/BITS`)
  const [, addressText = '', bitsText = ''] = parts
  return parseClientAddress(addressText).andThen(first => {
    const mapped = first.family === AddressFamily.V4 && addressText.includes(':')
    const prefixBits = Number(bitsText) - (mapped ? mappedPrefixBits : 0)
    if (prefixBits < 0 || prefixBits > addressBits[first.family]) return err(`Block "${text}" has a prefix of ${bitsText} bits`)
    if (prefixBits > maxPrefixBits[first.family]) return err(`Block "${text}" is longer than /${maxPrefixBits[first.family]}`)
    const lowerHalf = first.family === AddressFamily.V6 ? ipaddr.IPv6.parse(addressText).parts.slice(4) : []
    if (hasHostBits(first, prefixBits) || lowerHalf.some(word => word !== 0)) return err(`Block "${text}" has bits set behind its prefix`)
    return ok({ first, prefixBits })
  })
}

function parseV4 (text: string): Result<ClientAddress, string> {
  if (!dottedDecimals.test(text)) return fail(text)
  try {
    return ok(readV4(ipaddr.IPv4.parse(text)))
  } catch {
    return fail(text)
  }
}

function fail<T> (text: string): Result<T, string> {
  return err(`Address "${text.slice(0, maxAddressLength)}" is neither IPv4 in dotted decimals nor IPv6`)
}

function joinWords (high: number, low: number): number {
  return (high << 16 | low) >>> 0
}

function readV4 (address: ipaddr.IPv4): ClientAddress {
  const [a = 0, b = 0, c = 0, d = 0] = address.octets
  return { family: AddressFamily.V4, high: joinWords(a << 8 | b, c << 8 | d), low: 0 }
}

function hasHostBits (first: ClientAddress, prefixBits: number): boolean {
  return (first.high & getHostMask(prefixBits)) !== 0 || (first.low & getHostMask(prefixBits - 32)) !== 0
}

/** Returns a mask of the bits of a 32-bit word that stand behind a prefix. */
function getHostMask (prefixBits: number): number {
  if (prefixBits <= 0) return 0xffffffff | 0
  return prefixBits >= 32 ? 0 : 0xffffffff >>> prefixBits
}
