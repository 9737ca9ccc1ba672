/**
 * Slow start: a target that is new or has come back takes few requests at once until it is warm.
 *
 * @module
 */

/** When targets became usable, from which follows which of them are cold. */
export interface WarmUps {
  /** Takes note of the targets of a service that are usable now, whoever feeds them. */
  observe (service: string, usable: ReadonlyArray<{ target: string }>, nowMs: number): void
  /** Restarts the warm-up of a target. */
  start (target: string, nowMs: number): void
  /** Returns the monotonic time since which a target is warming up; `-Infinity` for one that is warm. */
  getStartedAtMs (target: string): number
}

/** Length of a warm-up, in milliseconds. */
export const warmUpMs = 2_000

/**
 * Computes the slots that a target may use while it warms up.
 *
 * @param slots Its slots
 * @param startedAtMs Monotonic time since which it warms up
 * @param nowMs Monotonic time now
 * @returns At least 1, rising evenly to all
 */
export function computeWarmSlots (slots: number, startedAtMs: number, nowMs: number): number {
  const share = (nowMs - startedAtMs) / warmUpMs
  return share >= 1 ? slots : Math.max(Math.min(1, slots), Math.ceil(slots * share))
}

/**
 * Creates the warm-ups of an instance that has seen no target yet.
 *
 * The targets of the first list of a service count as warm, since they serve already.
 *
 * @returns The warm-ups
 */
export function createWarmUps (): WarmUps {
  const usableByService = new Map<string, Set<string>>()
  const startTimesMs = new Map<string, number>()
  return {
    observe (service, usable, nowMs) {
      const before = usableByService.get(service)
      const names = new Set(usable.map(record => record.target))
      if (before === undefined && names.size === 0) return
      usableByService.set(service, names)
      if (before === undefined) return
      for (const name of names) if (!before.has(name)) startTimesMs.set(name, nowMs)
      for (const name of before) if (!names.has(name)) startTimesMs.delete(name)
    },
    start (target, nowMs) {
      startTimesMs.set(target, nowMs)
    },
    getStartedAtMs: target => startTimesMs.get(target) ?? -Infinity
  }
}
