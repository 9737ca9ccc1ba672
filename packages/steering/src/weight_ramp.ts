/**
 * Moves the weights that an instance applies towards desired ones, never by more than the cap in a step.
 *
 * @module
 */

/** Weights by region, adding up to 1. */
export type RegionWeights = Record<string, number>

/** Bounds on a move. */
export interface RampLimits {
  /** Largest share that may move within any window of one step, 0 to 1. */
  cap: number
  /** Length of a step, in milliseconds. */
  stepMs: number
}

/** The weights that an instance applies, and what it has moved lately. */
export interface WeightRamp {
  /** Weights applied now. */
  applied: RegionWeights
  /** Moves of the last step, oldest first. */
  moves: Array<{ atMs: number, share: number }>
}

/** Share below which two sets of weights count as equal, so that rounding never makes a step. */
export const minMovedShare = 1e-9

/** Rounds of bisection; the share that moves only grows along the straight way between two sets of weights. */
const bisectionRounds = 40

/**
 * Scales weights so that they add up to 1.
 *
 * @param weights Weights on any scale; those that are negative or not finite count as 0
 * @returns The shares; empty where no weight is positive
 */
export function computeShares (weights: Record<string, number>): RegionWeights {
  const positive = Object.entries(weights).filter(([, weight]) => weight > 0 && Number.isFinite(weight))
  const largest = positive.reduce((most, [, weight]) => Math.max(most, weight), 0)
  const total = positive.reduce((sum, [, weight]) => sum + weight / largest, 0)
  return Object.fromEntries(positive.map(([region, weight]) => [region, weight / largest / total]))
}

/**
 * Computes the share of callers whose first region by weighted rendezvous hashing differs between two sets of weights.
 *
 * Rendezvous hashing is a race of exponential variables with the weights as rates. A caller stays in region `i` if no
 * other region wins under either set, which has the probability 1 / sum over `j` of max(w_j / w_i, w'_j / w'_i).
 * With two regions this is the change of weights; with more it may be larger.
 *
 * @param from Weights adding up to 1
 * @param to Weights adding up to 1
 * @returns The share that moves, 0 to 1
 */
export function computeMovedShare (from: RegionWeights, to: RegionWeights): number {
  const regions = [...new Set([...Object.keys(from), ...Object.keys(to)])]
  if (regions.every(region => (from[region] ?? 0) === (to[region] ?? 0))) return 0
  let stayed = 0
  for (const region of regions) {
    const [before, after] = [from[region] ?? 0, to[region] ?? 0]
    if (before <= 0 || after <= 0) continue
    const rates = regions.map(other => Math.max((from[other] ?? 0) / before, (to[other] ?? 0) / after))
    stayed += 1 / rates.reduce((sum, rate) => sum + rate, 0)
  }
  return Math.min(1, Math.max(0, 1 - stayed))
}

/**
 * Moves weights towards desired ones.
 *
 * @param from Weights adding up to 1
 * @param desired Weights to reach, adding up to 1
 * @param options The largest share of callers that may move, 0 to 1
 * @returns The weights after the move: the desired ones where the whole distance may be moved
 */
export function moveWeights (from: RegionWeights, desired: RegionWeights, { maxShare }: { maxShare: number }): RegionWeights {
  if (computeMovedShare(from, desired) <= maxShare) return desired
  let lowest = 0
  let highest = 1
  for (let round = 0; round < bisectionRounds; round++) {
    const middle = (lowest + highest) / 2
    if (computeMovedShare(from, computeInterpolatedWeights(from, desired, { fraction: middle })) <= maxShare) lowest = middle
    else highest = middle
  }
  return computeInterpolatedWeights(from, desired, { fraction: lowest })
}

/** Computes the weights at a fraction of the straight way between two sets. */
function computeInterpolatedWeights (from: RegionWeights, desired: RegionWeights, { fraction }: { fraction: number }): RegionWeights {
  const mixed: RegionWeights = {}
  for (const region of new Set([...Object.keys(from), ...Object.keys(desired)])) {
    const weight = from[region] ?? 0
    const next = weight + ((desired[region] ?? 0) - weight) * fraction
    if (next > 0) mixed[region] = next
  }
  return mixed
}

/**
 * Walks towards the desired weights as far as the cap allows now.
 *
 * Stands still where no weights are desired. Takes the desired weights over at once where none are applied.
 *
 * @param walk The weights applied and the moves of the last step
 * @param desired Weights to reach, adding up to 1
 * @param options The limits and the monotonic time, in milliseconds
 * @returns The walk after the move; the same object where nothing may move
 */
export function advanceWeights (walk: WeightRamp, desired: RegionWeights, options: RampLimits & { nowMs: number }): WeightRamp {
  if (Object.keys(desired).length === 0) return walk
  if (Object.keys(walk.applied).length === 0) return { applied: desired, moves: [] }
  const moves = walk.moves.filter(move => move.atMs > options.nowMs - options.stepMs)
  const left = options.cap - moves.reduce((sum, move) => sum + move.share, 0)
  if (!(left >= minMovedShare) || computeMovedShare(walk.applied, desired) < minMovedShare) return walk
  const applied = moveWeights(walk.applied, desired, { maxShare: left })
  return { applied, moves: [...moves, { atMs: options.nowMs, share: computeMovedShare(walk.applied, applied) }] }
}
