/**
 * Keeps in doubt the groups of targets that another instance does not reach and no instance vouches for: their targets
 * count as ended until they respond, since they may have restarted when they are back.
 *
 * @module
 */
import type { ReachReport, RegisteredTarget } from '@bilberryworks/steering'
import type { ReportCold } from './report_cold.ts'
import { ColdEvidence, createReachClaims, dropTargetEnd, endedLifetimeMs, isVouched, recordCold, recordTargetEnd } from '@bilberryworks/steering'

/** Options of {@linkcode createGroupDoubts}. */
export interface CreateGroupDoubtsOptions {
  /** Lists the keys of all groups. */
  listGroups: () => string[]
  /** Lists the targets of a group. */
  listTargets: (group: string) => RegisteredTarget[]
  /** Lists what the other live instances say of groups. */
  listReports: () => ReachReport[]
  /** Returns the monotonic time of this instance's last contact with a group, in milliseconds. */
  getContactMs: (group: string) => number
  /** Returns whether this instance does not reach a group. */
  isLost: (group: string) => boolean
  /** Returns the time for which a target is cold after its start, in milliseconds. */
  getColdForMs: (entry: RegisteredTarget) => number
  /** Reports that a target counts as cold from now on. */
  reportCold: ReportCold
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** The groups in doubt. */
export interface GroupDoubts {
  /** Weighs what the other instances say; returns whether this instance vouches for further groups. To be called at short intervals. */
  advance (): boolean
  /** Lists the groups that another instance does not reach and for which this one vouches. */
  listVouched (): string[]
  /** Records that this instance reaches a group again: unless another one vouches for it, its targets count as cold, since they may have restarted. */
  recordReturn (group: string): void
}

/**
 * Creates the doubts of an instance that has heard of no group out of reach.
 *
 * @param options Groups, reports and clock
 * @returns The doubts
 */
export function createGroupDoubts (options: CreateGroupDoubtsOptions): GroupDoubts {
  const { listGroups, listTargets, listReports, getContactMs, isLost, reportCold, getNowMs } = options
  const claims = createReachClaims()
  /** Monotonic times at which the targets of groups were last counted as ended, in milliseconds. */
  const doubtedAtMs = new Map<string, number>()
  let vouched: string[] = []

  function dropDoubts (reports: ReachReport[], nowMs: number): void {
    for (const [group, atMs] of doubtedAtMs) {
      const isWrong = isVouched(reports, group)
      if (isWrong) for (const entry of listTargets(group)) dropTargetEnd(entry, atMs)
      if (isWrong || nowMs - atMs >= endedLifetimeMs) doubtedAtMs.delete(group)
    }
  }

  return {
    advance () {
      const nowMs = getNowMs()
      const reports = listReports()
      const before = vouched
      const verdicts = claims.weigh({ reports, listGroups, getContactMs, isLost, nowMs })
      dropDoubts(reports, nowMs)
      for (const group of verdicts.doubtful) {
        doubtedAtMs.set(group, nowMs)
        for (const entry of listTargets(group)) if (recordTargetEnd(entry, nowMs, nowMs)) reportCold(entry, ColdEvidence.Doubted)
      }
      vouched = verdicts.vouched
      return vouched.some(group => !before.includes(group))
    },
    listVouched: () => vouched,
    recordReturn (group) {
      if (isVouched(listReports(), group)) return
      for (const entry of listTargets(group)) if (recordCold(entry, options.getColdForMs(entry), getNowMs())) reportCold(entry, ColdEvidence.Reached)
    }
  }
}
