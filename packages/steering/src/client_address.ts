/**
 * Parsing of client IP addresses and address blocks.
 *
 * Only the first 64 bits of an IPv6 address are kept, because the prefix of a block has at most 64 bits.
 * An IPv4-mapped IPv6 address is converted to the IPv4 address in it.
 *
 * @module
 */
import type { Result } from 'neverthrow'
import ipaddr from 'ipaddr.js'
import { err, ok } from 'neverthrow'

/** Family of an IP address. */
export enum AddressFamily {
  V4 = 'v4',
  V6 = 'v6'
}

/** The bits of a client IP address that can determine its block. */
export interface ClientAddress {
  /** Family of the address. */
  family: AddressFamily
  /** All 32 bits of an IPv4 address; bits 0 to 31 of an IPv6 address. */
  high: number
  /** 0 for IPv4; bits 32 to 63 of an IPv6 address. */
  low: number
}

/** A block of IP addresses with a common prefix. */
export interface ClientBlock {
  /** First address of the block. */
  first: ClientAddress
  /** Length of the common prefix, in bits. */
  prefixBits: number
}

/** Maximum prefix length of a block by address family, in bits. */
export const maxPrefixBits: Record<AddressFamily, number> = { [AddressFamily.V4]: 32, [AddressFamily.V6]: 64 }

const addressBits = { [AddressFamily.V4]: 32, [AddressFamily.V6]: 128 }
const dottedDecimalPattern = /^(0|[1-9]\d{0,2})(\.(0|[1-9]\d{0,2})){3}$/
const mappedPrefixBits = 96
const maxAddressLength = 45

/**
 * Parses a client IP address: dotted-decimal IPv4, or IPv6 without a zone.
 *
 * @param text Text of the address
 * @returns The address, or an error message
 */
export function parseClientAddress (text: string): Result<ClientAddress, string> {
  if (text.length > maxAddressLength || text.includes('%')) return createAddressError(text)
  if (!text.includes(':')) return parseIpv4(text)
  if (!ipaddr.IPv6.isValid(text)) return createAddressError(text)
  const address = ipaddr.IPv6.parse(text)
  if (address.isIPv4MappedAddress()) return ok(readIpv4(address.toIPv4Address()))
  const [a = 0, b = 0, c = 0, d = 0] = address.parts
  return ok({ family: AddressFamily.V6, high: joinGroups(a, b), low: joinGroups(c, d) })
}

/**
 * Parses a block in CIDR notation, such as `192.0.2.0/24` or `2001:db8::/48`.
 *
 * @param text Text of the block
 * @returns The block, or an error message
 */
export function parseClientBlock (text: string): Result<ClientBlock, string> {
  const parts = /^([^/]+)\/(\d{1,3})$/.exec(text)
  if (parts === null) return err(`Block "${text.slice(0, maxAddressLength)}" is not in CIDR notation (ADDRESS/BITS)`)
  const [, addressText = '', bitsText = ''] = parts
  return parseClientAddress(addressText).andThen(first => {
    const isMapped = first.family === AddressFamily.V4 && addressText.includes(':')
    const prefixBits = Number(bitsText) - (isMapped ? mappedPrefixBits : 0)
    if (prefixBits < 0 || prefixBits > addressBits[first.family]) return err(`Block "${text}" has a prefix length of ${bitsText} bits, which its address family does not allow`)
    if (prefixBits > maxPrefixBits[first.family]) return err(`Block "${text}" has a prefix longer than the maximum of /${maxPrefixBits[first.family]}`)
    const lowerGroups = first.family === AddressFamily.V6 ? ipaddr.IPv6.parse(addressText).parts.slice(4) : []
    if (hasHostBits(first, prefixBits) || lowerGroups.some(group => group !== 0)) return err(`Block "${text}" has bits set after its prefix`)
    return ok({ first, prefixBits })
  })
}

function parseIpv4 (text: string): Result<ClientAddress, string> {
  if (!dottedDecimalPattern.test(text)) return createAddressError(text)
  try {
    return ok(readIpv4(ipaddr.IPv4.parse(text)))
  } catch {
    return createAddressError(text)
  }
}

function createAddressError<T> (text: string): Result<T, string> {
  return err(`Address "${text.slice(0, maxAddressLength)}" is neither dotted-decimal IPv4 nor IPv6 without a zone`)
}

function joinGroups (high: number, low: number): number {
  return (high << 16 | low) >>> 0
}

function readIpv4 (address: ipaddr.IPv4): ClientAddress {
  const [a = 0, b = 0, c = 0, d = 0] = address.octets
  return { family: AddressFamily.V4, high: joinGroups(a << 8 | b, c << 8 | d), low: 0 }
}

function hasHostBits (first: ClientAddress, prefixBits: number): boolean {
  return (first.high & getHostMask(prefixBits)) !== 0 || (first.low & getHostMask(prefixBits - 32)) !== 0
}

/** Returns a mask of the bits of a 32-bit word after a prefix of the given length. */
function getHostMask (prefixBits: number): number {
  if (prefixBits <= 0) return 0xffffffff | 0
  return prefixBits >= 32 ? 0 : 0xffffffff >>> prefixBits
}
