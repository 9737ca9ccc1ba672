/**
 * Applies the changes of the targets' table to the registry: registrations, their changes, and their ends.
 *
 * @module
 */
import type { TargetRegistry } from '@bilberryworks/steering'
import type { EntryLog } from './entry_log.ts'
import type { ReportCold } from './report_cold.ts'
import type { RowChange } from './table_replica.ts'
import { ColdEvidence, isTargetCold } from '@bilberryworks/steering'
import { decodeTarget, parseJsonRow } from '@bilberryworks/users-platform'
import { ReplicatedTable } from './replicated_table.ts'

/** Options of {@linkcode createTargetRegistrations}. */
export interface CreateTargetRegistrationsOptions {
  /** Registered targets. */
  targets: TargetRegistry
  /** Regions by failure domain. */
  regions: Map<string, string>
  /** Structured log. */
  log: EntryLog
  /** Counts a row that can't be decoded. */
  countUndecodable: (table: ReplicatedTable) => void
  /** Reports that a target counts as cold from now on. */
  reportCold: ReportCold
  /** Returns the monotonic time at which the store last came back, in milliseconds; `-Infinity` if it was never away. */
  getStoreRecoveredAtMs: () => number
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Applies changes of the targets' table. */
export interface TargetRegistrations {
  /** Applies the change of a row. */
  applyChange (change: RowChange): void
  /** Removes the targets that have not registered again in time after a store outage; returns whether there were any. */
  removeExpired (nowMs: number): boolean
}

/** Time within which live targets register again after a store outage, in milliseconds: about two seconds on this platform, plus network latency. */
const reregistrationMs = 2_200

/**
 * Creates the function that applies changes of the targets' table.
 *
 * @param options Registry, log, metrics and clock
 * @returns The functions
 */
export function createTargetRegistrations (options: CreateTargetRegistrationsOptions): TargetRegistrations {
  const { targets, regions, log, getNowMs } = options
  /** Monotonic times at which unregistered targets are removed, in milliseconds, by target identifier. */
  const removalTimesMs = new Map<string, number>()

  function registerTarget ({ key, text, version }: RowChange): void {
    const target = decodeTarget(key, parseJsonRow(text))
    if (target === undefined) {
      options.countUndecodable(ReplicatedTable.Targets)
      log.warn('target_undecodable', { target: key, version })
      return
    }
    removalTimesMs.delete(key)
    const nowMs = getNowMs()
    // The registry updates the entry of a known target in place.
    const before = targets.find(key)
    const wasLeaving = before?.target.leaving
    const wasCold = before !== undefined && isTargetCold(before, nowMs)
    const entry = targets.register(target, { region: regions.get(target.failureDomain) ?? '', nowMs })
    if (wasLeaving !== target.leaving || target.coldLeftMs > 0) {
      log.info('target', { target: key, service: target.service, failureDomain: target.failureDomain, region: regions.get(target.failureDomain), leaving: target.leaving, coldLeftMs: target.coldLeftMs, version })
    }
    if (!wasCold && isTargetCold(entry, nowMs)) options.reportCold(entry, ColdEvidence.Registered)
  }

  /** Removes an unregistered target; after a store outage with a delay, since registrations expire during the outage and live targets renew them. */
  function handleUnregistration (id: string): void {
    if (targets.find(id) === undefined) return
    const removeAtMs = options.getStoreRecoveredAtMs() + reregistrationMs
    if (removeAtMs <= getNowMs()) removeTarget(id)
    else removalTimesMs.set(id, removeAtMs)
  }

  function removeTarget (id: string): void {
    removalTimesMs.delete(id)
    targets.remove(id)
    log.info('target_gone', { target: id })
  }

  return {
    applyChange (change) {
      if (change.text === undefined) handleUnregistration(change.key)
      else registerTarget(change)
    },
    removeExpired (nowMs) {
      let hasExpired = false
      for (const [id, removeAtMs] of removalTimesMs) {
        if (removeAtMs > nowMs) continue
        removeTarget(id)
        hasExpired = true
      }
      return hasExpired
    }
  }
}
