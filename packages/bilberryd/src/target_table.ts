/**
 * The targets that an instance knows of, and all that says that they are leaving.
 *
 * @module
 */
import type { TargetRecord, TargetSelfReport } from '@bilberryworks/steering'
import { MachineState, mergeTargetSelfReports, recordTargetSelfReport } from '@bilberryworks/steering'

/** Milliseconds for which a target must be listed as live before an earlier listing as leaving is forgotten. */
const listedLeavingHoldMs = 10_000

/** Options of {@linkcode createTargetTable}. */
export interface CreateTargetTableOptions {
  /** Whether a service's document names a target as leaving. */
  isLeavingByDocument: (service: string, target: string) => boolean
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** The targets known. */
export interface TargetTable {
  /** Takes a list over unless a later one is known. */
  mergeList (targets: TargetRecord[], ageMs: number): void
  /** Milliseconds since the list was asked for at the platform; infinite where there is none. */
  getAgeMs (): number
  /** Lists the targets, with the most cautious state of each. */
  list (service?: string): TargetRecord[]
  /** Lists the targets as the platform listed them. */
  listListed (): TargetRecord[]
  /** Records what a target said of itself; returns whether that is news. */
  recordSelfReport (target: string, leaving: boolean): boolean
  /** Merges a report that a peer knows. */
  mergeSelfReport (report: TargetSelfReport): void
  /** Lists the selfReports, latest first. */
  listSelfReports (): TargetSelfReport[]
}

/**
 * Creates an empty table.
 *
 * @param options The documents and the clock
 * @returns The table
 */
export function createTargetTable (options: CreateTargetTableOptions): TargetTable {
  const selfReports = new Map<string, TargetSelfReport>()
  const listedLeavingAtMs = new Map<string, number>()
  let targets = new Map<string, TargetRecord>()
  let listedAtMs = -Infinity

  function isLeaving (record: TargetRecord): boolean {
    const report = selfReports.get(record.target)
    const leavingAtMs = listedLeavingAtMs.get(formatTargetKey(record)) ?? -Infinity
    return record.state === MachineState.Leaving ||
      options.isLeavingByDocument(record.service, record.target) ||
      (report?.address === record.address && report.leaving) ||
      options.getNowMs() - leavingAtMs < listedLeavingHoldMs
  }

  function updateSelfReport (report: TargetSelfReport): void {
    selfReports.delete(report.target)
    selfReports.set(report.target, report)
  }

  return {
    mergeList (listed, ageMs) {
      const atMs = options.getNowMs() - ageMs
      if (atMs < listedAtMs || (listed.length === 0 && targets.size > 0)) return
      listedAtMs = atMs
      targets = new Map(listed.map(record => [record.target, record]))
      const listedKeys = new Set(listed.map(formatTargetKey))
      for (const key of listedLeavingAtMs.keys()) {
        if (!listedKeys.has(key)) listedLeavingAtMs.delete(key)
      }
      for (const record of listed) {
        if (record.state === MachineState.Leaving) listedLeavingAtMs.set(formatTargetKey(record), atMs)
      }
    },
    getAgeMs: () => options.getNowMs() - listedAtMs,
    list: service => [...targets.values()]
      .filter(record => service === undefined || record.service === service)
      .map(record => isLeaving(record) ? { ...record, state: MachineState.Leaving } : record),
    listListed: () => [...targets.values()],
    recordSelfReport (target, leaving) {
      const address = targets.get(target)?.address
      if (address === undefined) return false
      const known = selfReports.get(target)
      const report = recordTargetSelfReport(known, { target, address, leaving })
      if (report === undefined || report === known) return false
      updateSelfReport(report)
      return true
    },
    mergeSelfReport (report) {
      const known = selfReports.get(report.target)
      const merged = mergeTargetSelfReports(known, report)
      if (merged !== known) updateSelfReport(merged)
    },
    listSelfReports: () => [...selfReports.values()].reverse()
  }
}

function formatTargetKey (record: TargetRecord): string {
  return `${record.target} ${record.address}`
}
