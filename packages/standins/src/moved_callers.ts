/**
 * Counts from the targets' own logs how many callers moved to another region.
 *
 * @module
 */
import type { TargetRecord } from '@bilberryworks/steering'
import type { RunRecord } from './target_standin.ts'

/** A caller whose request ran in another region than its request before. */
export interface CallerMove {
  /** Tag of the caller. */
  caller: string
  /** Wall-clock time at which the later request arrived, in milliseconds since the epoch. */
  atMs: number
}

/**
 * Lists the moves of callers, by the tag that each of their requests carries.
 *
 * @param runs What the targets recorded
 * @param targets The targets
 * @returns The moves, earliest first
 */
export function listMoves (runs: RunRecord[], targets: TargetRecord[]): CallerMove[] {
  const regions = new Map(targets.map(target => [target.target, target.region]))
  const lastRegion = new Map<string, string>()
  const moves: CallerMove[] = []
  for (const run of [...runs].sort((a, b) => a.startedAtMs - b.startedAtMs)) {
    const region = regions.get(run.target) ?? ''
    if ((lastRegion.get(run.order) ?? region) !== region) moves.push({ caller: run.order, atMs: run.startedAtMs })
    lastRegion.set(run.order, region)
  }
  return moves
}

/**
 * Finds the largest number of moves in any window.
 *
 * @param moves The moves
 * @param windowMs Length of the window, in milliseconds
 * @returns The number
 */
export function countLargestWindow (moves: CallerMove[], windowMs: number): number {
  return Math.max(0, ...moves.map(({ atMs }) => moves.filter(move => move.atMs > atMs - windowMs && move.atMs <= atMs).length))
}
