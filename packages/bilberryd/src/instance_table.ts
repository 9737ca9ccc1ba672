/**
 * A table of the known instances with the newest announcement of each.
 *
 * @module
 */
import type { InstanceRecord } from '@bilberryworks/steering'
import { compareAnnouncements, LifecycleState } from '@bilberryworks/steering'

const unreachableRetentionMs = 600_000

/** An instance with the age of its last announcement. */
export interface InstanceWithAge {
  /** The announcement. */
  record: InstanceRecord
  /** Time since the announcement was made, in milliseconds; a lower bound, because network delays are not counted. */
  ageMs: number
}

/** Options of {@linkcode createInstanceTable}. */
export interface CreateInstanceTableOptions {
  /** Time since its last announcement after which an instance counts as unreachable, in milliseconds. */
  instanceTimeoutMs: number
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** The known instances, by name. */
export interface InstanceTable {
  /** Stores an announcement unless the same or a later one is known; returns whether it was stored. */
  merge (instance: InstanceWithAge): boolean
  /** Returns the newest announcement of an instance. */
  get (instance: string): InstanceRecord | undefined
  /** Marks an instance as unreachable until a later announcement of it arrives. */
  markUnreachable (instance: string): void
  /** Returns the time since the last announcement of an instance, in milliseconds; infinite for an unknown instance. */
  getSilenceMs (instance: string): number
  /** Replaces the set of incarnations that the platform lists as leaving. */
  updateLeavingIncarnations (incarnations: Set<string>): void
  /** Lists the reachable instances with an announcement within the timeout, most recent first. */
  listWithAge (): InstanceWithAge[]
  /** Lists the names of instances that were live and then timed out or were marked as unreachable, up to 10 minutes after their last announcement. */
  listUnreachable (): string[]
}

/**
 * Creates an empty table.
 *
 * @param options The instance timeout and the clock
 * @returns The table
 */
export function createInstanceTable (options: CreateInstanceTableOptions): InstanceTable {
  const entries = new Map<string, { record: InstanceRecord, announcedAtMs: number, isUnreachable: boolean }>()
  let leavingIncarnations = new Set<string>()

  return {
    merge ({ record, ageMs }) {
      const announcedAtMs = options.getNowMs() - ageMs
      const known = entries.get(record.instance)
      const order = known === undefined ? 1 : compareAnnouncements(record, known.record)
      if (order > 0) entries.set(record.instance, { record, announcedAtMs, isUnreachable: false })
      else if (order === 0 && known !== undefined) known.announcedAtMs = Math.min(known.announcedAtMs, announcedAtMs)
      return order > 0
    },
    get: instance => entries.get(instance)?.record,
    getSilenceMs: instance => options.getNowMs() - (entries.get(instance)?.announcedAtMs ?? -Infinity),
    markUnreachable (instance) {
      const known = entries.get(instance)
      if (known !== undefined) known.isUnreachable = true
    },
    updateLeavingIncarnations (incarnations) {
      leavingIncarnations = incarnations
    },
    listWithAge () {
      const nowMs = options.getNowMs()
      return [...entries.values()]
        .filter(entry => !entry.isUnreachable && nowMs - entry.announcedAtMs <= options.instanceTimeoutMs)
        .sort((a, b) => b.announcedAtMs - a.announcedAtMs)
        .map(({ record, announcedAtMs }) => ({
          record: leavingIncarnations.has(record.incarnation) ? { ...record, state: LifecycleState.Leaving } : record,
          ageMs: Math.max(0, nowMs - announcedAtMs)
        }))
    },
    listUnreachable () {
      const nowMs = options.getNowMs()
      return [...entries.values()].filter(entry => {
        const ageMs = nowMs - entry.announcedAtMs
        const isUnavailable = entry.isUnreachable || ageMs > options.instanceTimeoutMs
        return isUnavailable && ageMs < unreachableRetentionMs && entry.record.state === LifecycleState.Live
      }).map(entry => entry.record.instance).sort()
    }
  }
}
