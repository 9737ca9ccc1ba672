/**
 * Keeps in doubt the groups of targets that an instance does not reach, or has just not reached, and no instance vouches for:
 * their targets count as cold for the time of a cold start, since they may have restarted.
 *
 * @module
 */
import type { ReachReport, RegisteredTarget } from '@bilberryworks/steering'
import type { ReportGroupCold } from './report_cold.ts'
import { ColdEvidence, createReachClaims, dropTargetDoubt, isVouched, recordTargetDoubt } from '@bilberryworks/steering'

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
  /** Reports that targets count as cold from now on. */
  reportGroupCold: ReportGroupCold
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** The groups in doubt. */
export interface GroupDoubts {
  /** Weighs what the other instances say; returns whether this instance vouches for further groups. To be called at short intervals. */
  advance (): boolean
  /** Lists the groups that another instance does not reach and for which this one vouches. */
  listVouched (): string[]
  /** Records that this instance reaches a group again, whose targets may have restarted; it is in doubt until another instance vouches for it. */
  recordReturn (group: string): void
}

/**
 * Creates the doubts of an instance that has heard of no group out of reach.
 *
 * @param options Groups, reports and clock
 * @returns The doubts
 */
export function createGroupDoubts (options: CreateGroupDoubtsOptions): GroupDoubts {
  const { listGroups, listTargets, listReports, getContactMs, isLost, reportGroupCold, getNowMs } = options
  const claims = createReachClaims()
  /** Keys of the groups whose targets have been put in doubt. */
  const doubted = new Set<string>()
  let vouched: string[] = []

  function addDoubt (group: string, evidence: ColdEvidence): void {
    const nowMs = getNowMs()
    doubted.add(group)
    reportGroupCold(listTargets(group).filter(entry => recordTargetDoubt(entry, nowMs + options.getColdForMs(entry), nowMs)), evidence)
  }

  function dropDoubt (group: string): void {
    if (!doubted.delete(group)) return
    for (const entry of listTargets(group)) dropTargetDoubt(entry)
  }

  return {
    advance () {
      const nowMs = getNowMs()
      const reports = listReports()
      const before = vouched
      const verdicts = claims.weigh({ reports, listGroups, getContactMs, isLost, nowMs })
      for (const group of doubted) if (isVouched(reports, group) || verdicts.excused.includes(group)) dropDoubt(group)
      for (const group of verdicts.doubtful) addDoubt(group, ColdEvidence.Doubted)
      vouched = verdicts.vouched
      return vouched.some(group => !before.includes(group))
    },
    listVouched: () => vouched,
    recordReturn (group) {
      if (!isVouched(listReports(), group)) addDoubt(group, ColdEvidence.Reached)
    }
  }
}
