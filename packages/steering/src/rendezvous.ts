/**
 * Weighted rendezvous hashing: a change of one name's weight moves keys only to or from that name.
 *
 * @module
 */

const fnvOffset = 0x811c9dc5
const fnvPrime = 0x01000193
const uint32Range = 0x1_0000_0000

/**
 * Computes a 32-bit hash of a text (FNV-1a with the finalizer of MurmurHash3).
 *
 * @param text The text
 * @returns An unsigned 32-bit integer
 */
export function computeHash (text: string): number {
  let hash = fnvOffset
  for (let index = 0; index < text.length; index++) {
    hash ^= text.charCodeAt(index)
    hash = Math.imul(hash, fnvPrime)
  }
  hash ^= hash >>> 16
  hash = Math.imul(hash, 0x85ebca6b)
  hash ^= hash >>> 13
  hash = Math.imul(hash, 0xc2b2ae35)
  hash ^= hash >>> 16
  return hash >>> 0
}

/**
 * Ranks names for a key by weighted rendezvous hashing.
 *
 * Names with a weight of 0 or less are left out.
 *
 * @param key The key, for instance a caller's address
 * @param weights Weight by name, on any positive scale
 * @returns The names, best first
 * @example
 * ```ts
 * rankByRendezvous('192.0.2.7', { sofia: 0.5, varna: 0.5 })
 * ```
 */
export function rankByRendezvous (key: string, weights: Record<string, number>): string[] {
  const scored: Array<{ name: string, score: number }> = []
  for (const [name, weight] of Object.entries(weights)) {
    if (weight <= 0) continue
    const unit = (computeHash(`${name}\u0000${key}`) + 0.5) / uint32Range
    scored.push({ name, score: -weight / Math.log(unit) })
  }
  scored.sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1))
  return scored.map(entry => entry.name)
}
