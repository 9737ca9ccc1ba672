/**
 * Random numbers that a seed determines.
 *
 * @module
 */
import { computeHash } from '@bilberryworks/steering'

const hashRange = 2 ** 32

/**
 * Creates a source of random numbers.
 *
 * @param seed The seed
 * @returns A function that returns the next number in [0, 1)
 */
export function createSeededRandom (seed: string): () => number {
  let draws = 0
  return () => computeHash(`${seed} ${draws++}`) / hashRange
}
