/**
 * Slow start: limits the concurrent requests at a new or recovered target until it has warmed up.
 *
 * @module
 */

/** Tracks when targets became usable, and thereby which of them are cold. */
export interface WarmUps {
  /** Updates the usable targets of a service, owned by any instance; those that were not usable in the previous call start to warm up. */
  observe (service: string, usable: ReadonlyArray<{ target: string }>, nowMs: number): void
  /** Restarts the warm-up of a target. */
  start (target: string, nowMs: number): void
  /** Returns the monotonic time at which the warm-up of a target started, in milliseconds; `-Infinity` if no warm-up is recorded. */
  getStartedAtMs (target: string): number
}

/** Length of a warm-up, in milliseconds. */
export const warmUpMs = 2_000

/**
 * Computes the slots of a target that may be used while it warms up.
 *
 * @param slots Slots of the target
 * @param startedAtMs Monotonic time at which its warm-up started, in milliseconds
 * @param nowMs Monotonic time, in milliseconds
 * @returns At least 1, rising linearly to all slots
 */
export function computeWarmSlots (slots: number, startedAtMs: number, nowMs: number): number {
  const share = (nowMs - startedAtMs) / warmUpMs
  return share >= 1 ? slots : Math.max(Math.min(1, slots), Math.ceil(slots * share))
}

/**
 * Creates the warm-ups of an instance that has seen no target yet.
 *
 * The targets in the first list of a service count as warm, because they already serve requests.
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
