/**
 * Moves the weights that an instance applies towards desired ones, never by more than the cap in a step.
 *
 * @module
 */

/** Weights by region, adding up to 1. */
export type RegionWeights = Record<string, number>

/** Bounds on a move. */
export interface WalkLimits {
  /** Largest share that may move within any window of one step, 0 to 1. */
  cap: number
  /** Length of a step, in milliseconds. */
  stepMs: number
}

/** The weights that an instance applies, and what it has moved lately. */
export interface WeightWalk {
  /** Weights applied now. */
  applied: RegionWeights
  /** Moves of the last step, oldest first. */
  moves: Array<{ atMs: number, share: number }>
}

/**
 * Scales weights so that they add up to 1.
 *
 * @param weights Weights on any scale; negative ones count as 0
 * @returns The shares; empty where no weight is positive
 */
export function computeShares (weights: Record<string, number>): RegionWeights {
  const positive = Object.entries(weights).filter(([, weight]) => weight > 0)
  const total = positive.reduce((sum, [, weight]) => sum + weight, 0)
  return Object.fromEntries(positive.map(([region, weight]) => [region, weight / total]))
}

/**
 * Computes the share of traffic that moves between two sets of weights.
 *
 * @param from Weights adding up to 1
 * @param to Weights adding up to 1
 * @returns The share that moves, 0 to 1
 */
export function computeMovedShare (from: RegionWeights, to: RegionWeights): number {
  const regions = new Set([...Object.keys(from), ...Object.keys(to)])
  let difference = 0
  for (const region of regions) difference += Math.abs((from[region] ?? 0) - (to[region] ?? 0))
  return difference / 2
}

/**
 * Walks towards the desired weights as far as the cap allows now.
 *
 * @param walk The weights applied and the moves of the last step
 * @param desired Weights to reach, adding up to 1
 * @param options The limits and the monotonic time, in milliseconds
 * @returns The walk after the move; the same object where nothing may move
 */
export function walkWeights (walk: WeightWalk, desired: RegionWeights, options: WalkLimits & { nowMs: number }): WeightWalk {
  const moves = walk.moves.filter(move => move.atMs > options.nowMs - options.stepMs)
  const left = options.cap - moves.reduce((sum, move) => sum + move.share, 0)
  const distance = computeMovedShare(walk.applied, desired)
  const share = Math.min(left, distance)
  if (share <= 0) return walk
  const fraction = share / distance
  const applied: RegionWeights = {}
  for (const region of new Set([...Object.keys(walk.applied), ...Object.keys(desired)])) {
    const from = walk.applied[region] ?? 0
    const weight = from + ((desired[region] ?? 0) - from) * fraction
    if (weight > 0) applied[region] = weight
  }
  return { applied, moves: [...moves, { atMs: options.nowMs, share }] }
}
