/**
 * Moves the region weights that an instance applies towards the desired ones, by no more than the cap per step.
 *
 * @module
 */

/** Weights by region, which add up to 1. */
export type RegionWeights = Record<string, number>

/** Limits of a weight ramp. */
export interface RampLimits {
  /** Maximum share of callers that may move within any window of one step, 0 to 1. */
  cap: number
  /** Length of a step, in milliseconds. */
  stepMs: number
}

/** The weights that an instance applies, and its recent moves. */
export interface WeightRamp {
  /** Weights applied now. */
  applied: RegionWeights
  /** Moves within the last step, oldest first: the monotonic time in milliseconds and the share moved. */
  moves: Array<{ atMs: number, share: number }>
}

/** Share below which two sets of weights count as equal, so that rounding errors cause no step. */
export const minMovedShare = 1e-9

/** Rounds of bisection, which works because the moved share grows monotonically along the line between two sets of weights. */
const bisectionRounds = 40

/**
 * Normalizes weights so that they add up to 1.
 *
 * @param weights Weights on any scale; negative and non-finite ones count as 0
 * @returns The shares; empty if no weight is positive
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
 * Weighted rendezvous hashing is a race of exponential variables with the weights as rates. A caller stays in region
 * `i` if no other region wins under either set, which has the probability
 * 1 / sum over `j` of max(w_j / w_i, w'_j / w'_i).
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
 * @param options The maximum share of callers that may move, 0 to 1
 * @returns The weights after the move; the desired ones if reaching them moves no more than the maximum share
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

/** Interpolates linearly between two sets of weights. */
function computeInterpolatedWeights (from: RegionWeights, desired: RegionWeights, { fraction }: { fraction: number }): RegionWeights {
  const interpolated: RegionWeights = {}
  for (const region of new Set([...Object.keys(from), ...Object.keys(desired)])) {
    const weight = from[region] ?? 0
    const next = weight + ((desired[region] ?? 0) - weight) * fraction
    if (next > 0) interpolated[region] = next
  }
  return interpolated
}

/**
 * Advances the applied weights towards the desired ones as far as the cap allows now.
 *
 * Keeps the applied weights if none are desired. Applies the desired weights without a limit if none are applied.
 *
 * @param ramp The applied weights and the moves within the last step
 * @param desired Weights to reach, adding up to 1
 * @param options The limits and the monotonic time, in milliseconds
 * @returns The ramp after the move; the same object if nothing may move
 */
export function advanceWeights (ramp: WeightRamp, desired: RegionWeights, options: RampLimits & { nowMs: number }): WeightRamp {
  if (Object.keys(desired).length === 0) return ramp
  if (Object.keys(ramp.applied).length === 0) return { applied: desired, moves: [] }
  const moves = ramp.moves.filter(move => move.atMs > options.nowMs - options.stepMs)
  const remainingShare = options.cap - moves.reduce((sum, move) => sum + move.share, 0)
  if (!(remainingShare >= minMovedShare) || computeMovedShare(ramp.applied, desired) < minMovedShare) return ramp
  const applied = moveWeights(ramp.applied, desired, { maxShare: remainingShare })
  return { applied, moves: [...moves, { atMs: options.nowMs, share: computeMovedShare(ramp.applied, applied) }] }
}
