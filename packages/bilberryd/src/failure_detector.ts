/**
 * Tells which instances have been silent long enough for their part to be taken over.
 *
 * @module
 */
import type { MachineList, Platform, TableWrite } from '@bilberryworks/platform'
import { isDeepStrictEqual } from 'node:util'
import { TableName } from '@bilberryworks/platform'

/** Options of {@linkcode createFailureDetector}. */
export interface CreateFailureDetectorOptions {
  /** Silence after which an instance's lease has surely lapsed and its last dispatch has ended, in milliseconds. */
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
export interface FailureDetector {
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

/** What was seen of the rows that a quiet instance would have changed. */
interface Observation {
  /** Checks that the rows are unchanged. */
  checks: TableWrite[]
  /** Monotonic time since when they are unchanged, in milliseconds. */
  unchangedSinceMs: number
}

/**
 * Creates a watch that has seen nothing.
 *
 * @param options Times, clock and platform
 * @returns The watch
 */
export function createFailureDetector (options: CreateFailureDetectorOptions): FailureDetector {
  const { takeoverMs, getNowMs } = options
  const startedMs = getNowMs()
  const lastContactMs = new Map<string, number>()
  const observations = new Map<string, Observation>()
  const suspicionCounts = new Map<string, number>()
  const unlistedInstances = new Set<string>()

  return {
    recordHeard (instance) {
      if (suspicionCounts.has(instance)) return false
      lastContactMs.set(instance, getNowMs())
      return true
    },
    async observe (instances) {
      for (const name of instances) {
        if (options.getSilenceMs(name) < options.watchAfterMs) {
          observations.delete(name)
          continue
        }
        const checks = await readHeartbeatChecks(options.platform, name)
        if (checks === undefined) return
        if (!isDeepStrictEqual(observations.get(name)?.checks, checks)) observations.set(name, { checks, unchangedSinceMs: getNowMs() })
      }
    },
    isSilent (instance) {
      const nowMs = getNowMs()
      const observed = observations.get(instance)
      const contactMs = lastContactMs.get(instance) ?? startedMs
      return observed !== undefined && nowMs - observed.unchangedSinceMs >= takeoverMs && nowMs - contactMs >= takeoverMs
    },
    isGone: instance => unlistedInstances.has(instance),
    recordMachines (list, { self, parties }) {
      const names = new Set(list.instances.map(record => record.instance))
      unlistedInstances.clear()
      if (!names.has(self)) return
      for (const name of parties) {
        if (!names.has(name)) unlistedInstances.add(name)
      }
    },
    suspect (instances) {
      for (const name of instances) suspicionCounts.set(name, (suspicionCounts.get(name) ?? 0) + 1)
      return instances.flatMap(name => observations.get(name)?.checks ?? [])
    },
    settle (instances) {
      for (const name of instances) {
        const remaining = (suspicionCounts.get(name) ?? 1) - 1
        if (remaining > 0) suspicionCounts.set(name, remaining)
        else suspicionCounts.delete(name)
        observations.delete(name)
      }
    }
  }
}

/** Reads the rows of which an instance changes at least one with each heartbeat; `undefined` where they can't be read. */
async function readHeartbeatChecks (platform: Platform, instance: string): Promise<TableWrite[] | undefined> {
  const start = await platform.readRow(TableName.Starts, instance)
  const heartbeats = await platform.listRows(TableName.Instances, `${instance}/`)
  if (start.isErr() || heartbeats.isErr()) return undefined
  const startCheck = { table: TableName.Starts, key: instance, ifVersion: start.value?.version ?? 0, checkOnly: true }
  return [startCheck, ...heartbeats.value.map(row => ({ table: TableName.Instances, key: row.key, ifVersion: row.version, checkOnly: true }))]
}
