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
  /** Merges a word that a peer knows. */
  mergeSelfReport (word: TargetSelfReport): void
  /** Lists the words, latest first. */
  listSelfReports (): TargetSelfReport[]
}

/**
 * Creates an empty table.
 *
 * @param options The documents and the clock
 * @returns The table
 */
export function createTargetTable (options: CreateTargetTableOptions): TargetTable {
  const words = new Map<string, TargetSelfReport>()
  const listedLeavingAtMs = new Map<string, number>()
  let targets = new Map<string, TargetRecord>()
  let listedAtMs = -Infinity

  function isLeaving (record: TargetRecord): boolean {
    const word = words.get(record.target)
    const leavingAtMs = listedLeavingAtMs.get(formatPlace(record)) ?? -Infinity
    return record.state === MachineState.Leaving ||
      options.isLeavingByDocument(record.service, record.target) ||
      (word?.address === record.address && word.leaving) ||
      options.getNowMs() - leavingAtMs < listedLeavingHoldMs
  }

  function updateWord (word: TargetSelfReport): void {
    words.delete(word.target)
    words.set(word.target, word)
  }

  return {
    mergeList (listed, ageMs) {
      const atMs = options.getNowMs() - ageMs
      if (atMs < listedAtMs || (listed.length === 0 && targets.size > 0)) return
      listedAtMs = atMs
      targets = new Map(listed.map(record => [record.target, record]))
      const places = new Set(listed.map(formatPlace))
      for (const place of listedLeavingAtMs.keys()) {
        if (!places.has(place)) listedLeavingAtMs.delete(place)
      }
      for (const record of listed) {
        if (record.state === MachineState.Leaving) listedLeavingAtMs.set(formatPlace(record), atMs)
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
      const known = words.get(target)
      const word = recordTargetSelfReport(known, { target, address, leaving })
      if (word === undefined || word === known) return false
      updateWord(word)
      return true
    },
    mergeSelfReport (word) {
      const known = words.get(word.target)
      const merged = mergeTargetSelfReports(known, word)
      if (merged !== known) updateWord(merged)
    },
    listSelfReports: () => [...words.values()].reverse()
  }
}

function formatPlace (record: TargetRecord): string {
  return `${record.target} ${record.address}`
}
