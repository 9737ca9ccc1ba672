/**
 * Failure detector: finds the instances that have been silent so long that other instances may take over their targets.
 *
 * An instance is silent when, for the takeover time, its rows on the platform have not changed and no direct call from it
 * has arrived.
 *
 * @module
 */
import type { MachineList, Platform, TableWrite } from '@bilberryworks/platform'
import { isDeepStrictEqual } from 'node:util'
import { TableName } from '@bilberryworks/platform'

/** Options of {@linkcode createFailureDetector}. */
export interface CreateFailureDetectorOptions {
  /** Silence after which an instance's lease has certainly expired and its last dispatched request has ended, in milliseconds. */
  takeoverMs: number
  /** Silence after which the heartbeat rows of an instance are read and compared, in milliseconds. */
  watchAfterMs: number
  /** The platform. */
  platform: Platform
  /** Returns the time since the last announcement of an instance, from any source, in milliseconds. */
  getSilenceMs: (instance: string) => number
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Detects silent instances and guards takeovers from them. */
export interface FailureDetector {
  /** Records a call from another instance and returns `true`. While this instance is declaring the other one silent, returns `false`: the call must not renew the lease of the other one. */
  recordContact (instance: string): boolean
  /** Reads the heartbeat rows of the instances that have been silent for `watchAfterMs`; stops at the first failed read. */
  observe (instances: string[]): Promise<void>
  /** Whether an instance has been silent for the takeover time. */
  isSilent (instance: string): boolean
  /** Whether an instance is missing from the platform's list of machines. */
  isUnlisted (instance: string): boolean
  /** Records which instances are missing from the platform's list of machines; none if this instance itself is missing, since such a list is not trusted. */
  recordMachines (list: MachineList, known: { self: string, parties: string[] }): void
  /** Begins to declare instances silent; returns preconditions for the write that declares them, which fail if one of them has written a heartbeat since `observe` last read its rows. */
  startSuspicion (instances: string[]): TableWrite[]
  /** Ends the suspicion of instances and discards their observations, after the write that declares them silent has succeeded or failed. */
  endSuspicion (instances: string[]): void
}

/** Last observed versions of the rows that an instance changes with its heartbeats. */
interface Observation {
  /** Write preconditions that hold while the rows are unchanged. */
  checks: TableWrite[]
  /** Monotonic time of the first read that returned these versions, in milliseconds. */
  unchangedSinceMs: number
}

/**
 * Creates a failure detector without observations.
 *
 * @param options Thresholds, clock and platform
 * @returns The failure detector
 */
export function createFailureDetector (options: CreateFailureDetectorOptions): FailureDetector {
  const { takeoverMs, getNowMs } = options
  const startedAtMs = getNowMs()
  const lastContactMs = new Map<string, number>()
  const observations = new Map<string, Observation>()
  const suspicionCounts = new Map<string, number>()
  const unlistedInstances = new Set<string>()

  return {
    recordContact (instance) {
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
      const contactMs = lastContactMs.get(instance) ?? startedAtMs
      return observed !== undefined && nowMs - observed.unchangedSinceMs >= takeoverMs && nowMs - contactMs >= takeoverMs
    },
    isUnlisted: instance => unlistedInstances.has(instance),
    recordMachines (list, { self, parties }) {
      const names = new Set(list.instances.map(record => record.instance))
      unlistedInstances.clear()
      if (!names.has(self)) return
      for (const name of parties) {
        if (!names.has(name)) unlistedInstances.add(name)
      }
    },
    startSuspicion (instances) {
      for (const name of instances) suspicionCounts.set(name, (suspicionCounts.get(name) ?? 0) + 1)
      return instances.flatMap(name => observations.get(name)?.checks ?? [])
    },
    endSuspicion (instances) {
      for (const name of instances) {
        const remaining = (suspicionCounts.get(name) ?? 1) - 1
        if (remaining > 0) suspicionCounts.set(name, remaining)
        else suspicionCounts.delete(name)
        observations.delete(name)
      }
    }
  }
}

/** Reads the rows of which an instance changes at least one with each heartbeat, as write preconditions; `undefined` when they can't be read. */
async function readHeartbeatChecks (platform: Platform, instance: string): Promise<TableWrite[] | undefined> {
  const start = await platform.readRow(TableName.Starts, instance)
  const heartbeats = await platform.listRows(TableName.Instances, `${instance}/`)
  if (start.isErr() || heartbeats.isErr()) return undefined
  const startCheck = { table: TableName.Starts, key: instance, ifVersion: start.value?.version ?? 0, checkOnly: true }
  return [startCheck, ...heartbeats.value.map(row => ({ table: TableName.Instances, key: row.key, ifVersion: row.version, checkOnly: true }))]
}
