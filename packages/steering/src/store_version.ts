/**
 * Versions of the store's rows that stay ordered when the store loses its latest writes.
 *
 * A store that is restored from a copy counts its versions on from the copy, and thus gives numbers out again. Its era rises with
 * each restoration. A version here is one number that orders by era first and by the store's counter second.
 *
 * @module
 */

/** Number of counter values per era; up to 8,191 eras fit into a safe integer. */
const countersPerEra = 2 ** 40

/**
 * Encodes a version.
 *
 * @param era Era of the store, 0 before its first restoration
 * @param counter Value of the store's counter in that era
 * @returns The version; equal to the counter in era 0
 */
export function encodeStoreVersion (era: number, counter: number): number {
  return era * countersPerEra + counter
}

/**
 * Returns the era of a version.
 *
 * @param version The version
 * @returns The era
 */
export function getStoreEra (version: number): number {
  return Math.floor(version / countersPerEra)
}

/**
 * Returns the value of the store's counter in a version.
 *
 * @param version The version
 * @returns The counter
 */
export function getStoreCounter (version: number): number {
  return version % countersPerEra
}
