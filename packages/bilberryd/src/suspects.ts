/**
 * Targets that took no connection a moment ago, to be tried after all others.
 *
 * @module
 */
import type { TargetRecord } from '@bilberryworks/steering'

const suspectMs = 1_000

/** Targets that are tried only where no other is left. */
export interface Suspects {
  /** Marks a target that took no connection. */
  mark (target: string): void
  /** Selects the targets that are not marked, or all where all are. */
  select (targets: TargetRecord[]): TargetRecord[]
}

/**
 * Creates an empty set of suspects.
 *
 * @param getNowMs Returns the monotonic time, in milliseconds
 * @returns The set; a mark lasts for one second
 */
export function createSuspects (getNowMs: () => number): Suspects {
  const untilMs = new Map<string, number>()
  return {
    mark (target) {
      untilMs.set(target, getNowMs() + suspectMs)
    },
    select (targets) {
      if (untilMs.size === 0) return targets
      for (const [target, endMs] of untilMs) {
        if (endMs <= getNowMs()) untilMs.delete(target)
      }
      const others = targets.filter(target => !untilMs.has(target.target))
      return others.length > 0 ? others : targets
    }
  }
}
