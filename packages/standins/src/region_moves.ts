/**
 * Counts from the records of the targets how many callers moved to another region.
 *
 * @module
 */
import type { TargetRecord } from '@bilberryworks/steering'
import type { RunRecord } from './fake_target.ts'

/** A move of a caller: its request ran in another region than its previous request. */
export interface RegionMove {
  /** Value of `X-Order` in the requests of the caller. */
  caller: string
  /** Wall-clock time at which the later request arrived, in milliseconds since the epoch. */
  atMs: number
}

/**
 * Lists the moves of callers between regions. The field `order` of each record must identify the caller.
 *
 * @param runs Requests that the targets recorded
 * @param targets Targets, with their regions
 * @returns The moves, earliest first
 */
export function listRegionMoves (runs: RunRecord[], targets: TargetRecord[]): RegionMove[] {
  const regions = new Map(targets.map(target => [target.target, target.region]))
  const lastRegion = new Map<string, string>()
  const moves: RegionMove[] = []
  for (const run of [...runs].sort((a, b) => a.startedAtMs - b.startedAtMs)) {
    const region = regions.get(run.target) ?? ''
    if ((lastRegion.get(run.order) ?? region) !== region) moves.push({ caller: run.order, atMs: run.startedAtMs })
    lastRegion.set(run.order, region)
  }
  return moves
}

/**
 * Computes the largest number of moves in any time window of a given length.
 *
 * @param moves The moves
 * @param windowMs Length of the window, in milliseconds
 * @returns Largest number of moves; 0 if there are none
 */
export function countMaxMovesInWindow (moves: RegionMove[], windowMs: number): number {
  return Math.max(0, ...moves.map(({ atMs }) => moves.filter(move => move.atMs > atMs - windowMs && move.atMs <= atMs).length))
}
