/**
 * Known targets, with the sources that mark a target as leaving: platform list, document and self-report.
 *
 * @module
 */
import type { TargetRecord, TargetSelfReport } from '@bilberryworks/steering'
import { LifecycleState, mergeTargetSelfReports, recordTargetSelfReport } from '@bilberryworks/steering'

/** Time for which a target stays leaving after the platform last listed it as leaving, since the next list may be outdated, in milliseconds. */
const listedLeavingHoldMs = 10_000

/** Options of {@linkcode createTargetTable}. */
export interface CreateTargetTableOptions {
  /** Whether the document of a service lists a target as leaving. */
  isLeavingByDocument: (service: string, target: string) => boolean
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Table of the known targets. */
export interface TargetTable {
  /** Replaces the known targets by a list of the given age. Ignores a list older than the known one, and an empty list if targets are known. */
  mergeList (targets: TargetRecord[], ageMs: number): void
  /** Returns the time since the list was requested from the platform, in milliseconds; Infinity before the first list. */
  getAgeMs (): number
  /** Lists the targets, of one service if given. A target is leaving if any source marks it as leaving. */
  list (service?: string): TargetRecord[]
  /** Lists the targets with the states that the platform listed, without other sources. */
  listPlatformTargets (): TargetRecord[]
  /** Records whether a target reports itself as leaving; returns whether the record changed. */
  recordSelfReport (target: string, leaving: boolean): boolean
  /** Merges a self-report received from a peer. */
  mergeSelfReport (report: TargetSelfReport): void
  /** Lists the self-reports, last updated first. */
  listSelfReports (): TargetSelfReport[]
}

/**
 * Creates an empty table.
 *
 * @param options Access to the documents, and the clock
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
    return record.state === LifecycleState.Leaving ||
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
        if (record.state === LifecycleState.Leaving) listedLeavingAtMs.set(formatTargetKey(record), atMs)
      }
    },
    getAgeMs: () => options.getNowMs() - listedAtMs,
    list: service => [...targets.values()]
      .filter(record => service === undefined || record.service === service)
      .map(record => isLeaving(record) ? { ...record, state: LifecycleState.Leaving } : record),
    listPlatformTargets: () => [...targets.values()],
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
