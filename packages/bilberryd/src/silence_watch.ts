/**
 * Tells which instances have been silent long enough for their part to be taken over.
 *
 * @module
 */
import type { MachineList, Platform, TableWrite } from '@bilberryworks/platform'
import { TableName } from '@bilberryworks/platform'

/** Options of {@linkcode createSilenceWatch}. */
export interface CreateSilenceWatchOptions {
  /** Silence after which an instance's hold has surely lapsed and its last dispatch has ended, in milliseconds. */
  takeoverMs: number
  /** Silence after which an instance's heartbeat row is watched, in milliseconds. */
  watchAfterMs: number
  /** The platform. */
  platform: Platform
  /** Returns the time since an instance was last heard of by anybody, in milliseconds. */
  getSilenceMs: (instance: string) => number
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** The watch. */
export interface SilenceWatch {
  /** Takes note that an instance spoke to this one; returns whether it may count on not being declared silent. */
  recordHeard (instance: string): boolean
  /** Reads the heartbeat rows of those instances that are quiet. */
  observe (instances: string[]): Promise<void>
  /** Whether an instance has been silent for the whole takeover time. */
  isSilent (instance: string): boolean
  /** Whether the platform no longer lists an instance. */
  isGone (instance: string): boolean
  /** Takes note of the platform's list, where it names this instance at all. */
  recordMachines (list: MachineList, known: { self: string, parties: string[] }): void
  /** Starts to declare instances silent; returns the checks that their heartbeats are unchanged. */
  suspect (instances: string[]): TableWrite[]
  /** Ends a suspicion, once it is known what became of the declaration. */
  settle (instances: string[]): void
}

/** What was seen of the heartbeat row of a quiet instance. */
interface Observation {
  version: number
  sinceMs: number
}

/**
 * Creates a watch that has seen nothing.
 *
 * @param options Times, clock and platform
 * @returns The watch
 */
export function createSilenceWatch (options: CreateSilenceWatchOptions): SilenceWatch {
  const { takeoverMs, getNowMs } = options
  const startedMs = getNowMs()
  const heardAt = new Map<string, number>()
  const observations = new Map<string, Observation>()
  const suspicions = new Map<string, number>()
  const gone = new Set<string>()

  return {
    recordHeard (instance) {
      if (suspicions.has(instance)) return false
      heardAt.set(instance, getNowMs())
      return true
    },
    async observe (instances) {
      for (const name of instances) {
        if (options.getSilenceMs(name) < options.watchAfterMs) {
          observations.delete(name)
          continue
        }
        const row = await options.platform.readRow(TableName.Instances, name)
        if (row.isErr()) return
        const version = row.value?.version ?? 0
        if (observations.get(name)?.version !== version) observations.set(name, { version, sinceMs: getNowMs() })
      }
    },
    isSilent (instance) {
      const nowMs = getNowMs()
      const observed = observations.get(instance)
      const heardMs = heardAt.get(instance) ?? startedMs
      return observed !== undefined && nowMs - observed.sinceMs >= takeoverMs && nowMs - heardMs >= takeoverMs
    },
    isGone: instance => gone.has(instance),
    recordMachines (list, { self, parties }) {
      const names = new Set(list.instances.map(record => record.instance))
      gone.clear()
      if (!names.has(self)) return
      for (const name of parties) {
        if (!names.has(name)) gone.add(name)
      }
    },
    suspect (instances) {
      for (const name of instances) suspicions.set(name, (suspicions.get(name) ?? 0) + 1)
      return instances.map(name => ({ table: TableName.Instances, key: name, ifVersion: observations.get(name)?.version ?? 0, checkOnly: true }))
    },
    settle (instances) {
      for (const name of instances) {
        const left = (suspicions.get(name) ?? 1) - 1
        if (left > 0) suspicions.set(name, left)
        else suspicions.delete(name)
        observations.delete(name)
      }
    }
  }
}
