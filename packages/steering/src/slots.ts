/**
 * Exact counts of the slots in use at the targets that this instance feeds, and the choice between targets.
 *
 * @module
 */
import type { TargetRecord } from './inventory.ts'

/** A target with its slots as the feeding instance counts them. */
export interface TargetOccupancy {
  /** The target. */
  target: TargetRecord
  /** Requests that hold a slot. */
  busy: number
  /** Slots that may be used now, at most those of the target. */
  limit: number
}

/** What a choice of target decides from besides the targets. */
export interface ChooseTargetOptions {
  /** Returns a random number in [0, 1). */
  getRandom: () => number
  /** Counts the choices made, from 0. */
  roundRobinIndex: number
}

/** Chooses a target with a free slot, or `undefined` where there is none. */
export type ChooseTarget = <T extends TargetOccupancy>(targets: readonly T[], options: ChooseTargetOptions) => T | undefined

/** Chooses the target with the most free slots; the first of the list from a random place on. */
export const chooseMostFree: ChooseTarget = (targets, options) => chooseHighest(targets, options, each => each.limit - each.busy)

/** Chooses the target with the fewest requests that has a free slot. */
export const chooseLeastBusy: ChooseTarget = (targets, options) => chooseHighest(targets, options, each => -each.busy)

/** Chooses at random among the targets that have a free slot. */
export const chooseAnyFree: ChooseTarget = (targets, options) => chooseHighest(targets, options, () => 0)

/** Chooses targets that have a free slot in turn. */
export const chooseRoundRobin: ChooseTarget = (targets, { roundRobinIndex: turn }) => {
  for (let step = 0; step < targets.length; step++) {
    const each = targets[(turn + step) % targets.length]!
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
