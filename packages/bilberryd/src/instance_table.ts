/**
 * The instances that an instance has heard of, merged so that no later announcement is replaced by an earlier one.
 *
 * @module
 */
import type { InstanceRecord } from '@bilberryworks/steering'
import { compareAnnouncements, MachineState } from '@bilberryworks/steering'

const unreachableRetentionMs = 600_000

/** An instance with the age of its last announcement. */
export interface InstanceWithAge {
  /** The announcement. */
  record: InstanceRecord
  /** Milliseconds since it was made, as far as is known. */
  ageMs: number
}

/** Options of {@linkcode createInstanceTable}. */
export interface CreateInstanceTableOptions {
  /** Milliseconds of silence after which an instance counts as gone. */
  instanceTimeoutMs: number
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** The instances heard of. */
export interface InstanceTable {
  /** Takes an announcement over unless a later one is known; returns whether it was taken. */
  merge (heard: InstanceWithAge): boolean
  /** Returns the last announcement under a name. */
  get (instance: string): InstanceRecord | undefined
  /** Marks an instance as not reachable until it is heard of again. */
  markUnreachable (instance: string): void
  /** Returns the time since an instance was last heard of, in milliseconds; infinite where it never was. */
  getSilenceMs (instance: string): number
  /** Sets the incarnations that the platform lists as leaving. */
  updateLeavingIncarnations (incarnations: Set<string>): void
  /** Lists the instances heard of within the timeout, latest first. */
  listWithAge (): InstanceWithAge[]
  /** Lists the names that were live and then fell silent or could not be reached. */
  listUnreachable (): string[]
}

/**
 * Creates an empty table.
 *
 * @param options The timeout and the clock
 * @returns The table
 */
export function createInstanceTable (options: CreateInstanceTableOptions): InstanceTable {
  const entries = new Map<string, { record: InstanceRecord, heardAtMs: number, isUnreachable: boolean }>()
  let leavingIncarnations = new Set<string>()

  return {
    merge ({ record, ageMs }) {
      const heardAtMs = options.getNowMs() - ageMs
      const known = entries.get(record.instance)
      const order = known === undefined ? 1 : compareAnnouncements(record, known.record)
      if (order > 0) entries.set(record.instance, { record, heardAtMs, isUnreachable: false })
      else if (order === 0 && known !== undefined) known.heardAtMs = Math.min(known.heardAtMs, heardAtMs)
      return order > 0
    },
    get: instance => entries.get(instance)?.record,
    getSilenceMs: instance => options.getNowMs() - (entries.get(instance)?.heardAtMs ?? -Infinity),
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
        .filter(entry => !entry.isUnreachable && nowMs - entry.heardAtMs <= options.instanceTimeoutMs)
        .sort((a, b) => b.heardAtMs - a.heardAtMs)
        .map(({ record, heardAtMs }) => ({
          record: leavingIncarnations.has(record.incarnation) ? { ...record, state: MachineState.Leaving } : record,
          ageMs: Math.max(0, nowMs - heardAtMs)
        }))
    },
    listUnreachable () {
      const nowMs = options.getNowMs()
      return [...entries.values()].filter(entry => {
        const silentMs = nowMs - entry.heardAtMs
        const isSilent = entry.isUnreachable || silentMs > options.instanceTimeoutMs
        return isSilent && silentMs < unreachableRetentionMs && entry.record.state === MachineState.Live
      }).map(entry => entry.record.instance).sort()
    }
  }
}
