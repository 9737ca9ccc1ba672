/**
 * Slot counts of the targets that this instance owns, and policies that choose among targets.
 *
 * @module
 */
import type { TargetRecord } from './inventory.ts'

/** A target with the exact slot counts of the instance that owns it. */
export interface TargetOccupancy {
  /** The target. */
  target: TargetRecord
  /** Number of requests that hold a slot. */
  busy: number
  /** Number of slots that may be used now, at most those of the target. */
  limit: number
}

/** Options of {@linkcode ChooseTarget}. */
export interface ChooseTargetOptions {
  /** Returns a random number in [0, 1). */
  getRandom: () => number
  /** Number of targets chosen before; modulo the length of the list, the index at which round robin starts. */
  roundRobinIndex: number
}

/** Chooses a target with a free slot; returns `undefined` if there is none. */
export type ChooseTarget = <T extends TargetOccupancy>(targets: readonly T[], options: ChooseTargetOptions) => T | undefined

/** Chooses the target with the most free slots; of several, the first one from a random position in the list. */
export const chooseMostFree: ChooseTarget = (targets, options) => chooseHighest(targets, options, each => each.limit - each.busy)

/** Chooses the target with the fewest requests among those with a free slot. */
export const chooseLeastBusy: ChooseTarget = (targets, options) => chooseHighest(targets, options, each => -each.busy)

/** Chooses the first target with a free slot from a random position in the list. */
export const chooseAnyFree: ChooseTarget = (targets, options) => chooseHighest(targets, options, () => 0)

/** Chooses the first target with a free slot, starting at the round robin index. */
export const chooseRoundRobin: ChooseTarget = (targets, { roundRobinIndex }) => {
  for (let step = 0; step < targets.length; step++) {
    const each = targets[(roundRobinIndex + step) % targets.length]!
    if (each.busy < each.limit) return each
  }
  return undefined
}

function chooseHighest<T extends TargetOccupancy> (targets: readonly T[], options: ChooseTargetOptions, score: (each: T) => number): T | undefined {
  const start = Math.floor(options.getRandom() * targets.length)
  let best: T | undefined
  let bestScore = -Infinity
  for (let step = 0; step < targets.length; step++) {
    const index = start + step
    const each = targets[index < targets.length ? index : index - targets.length]!
    if (each.busy >= each.limit) continue
    const value = score(each)
    if (value <= bestScore) continue
    best = each
    bestScore = value
  }
  return best
}
