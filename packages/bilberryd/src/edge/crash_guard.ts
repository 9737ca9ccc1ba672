/**
 * Keeps requests that crash targets from reaching further ones: collects the evidence of this instance and of its peers,
 * and refuses the requests that the evidence quarantines.
 *
 * @module
 */
import type { AttemptPacer, CrashReport, Refusal, RegisteredTarget } from '@bilberryworks/steering'
import type { checkListening } from '@bilberryworks/targets'
import type { Attempt } from './attempt.ts'
import type { EntryLog } from './entry_log.ts'
import type { EntryMetrics } from './entry_metrics.ts'
import { computeHash, createCrashEvidence, createNotRunRefusal, RefusalReason } from '@bilberryworks/steering'
import { getFingerprint } from './request_fingerprint.ts'
import { createTargetEndDetector } from './target_end_detector.ts'

/** Options of {@linkcode createCrashGuard}. */
export interface CreateCrashGuardOptions {
  /** Metrics. */
  metrics: EntryMetrics
  /** Limits the checks of targets at which no request was lost. */
  pacer: AttemptPacer
  /** Returns whether the network path to a target that refuses connections works; `undefined` if `isPaced` held the checks back. */
  confirmPath: (entry: RegisteredTarget, options: { isPaced: boolean }) => Promise<boolean | undefined>
  /** Connects to an address, to tell whether a process listens there. */
  checkListening: typeof checkListening
  /** Called once when the run of a target has ended. */
  onTargetEnd: (entry: RegisteredTarget) => void
  /** Structured log. */
  log: EntryLog
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Refuses requests that crash targets. */
export interface CrashGuard {
  /** Records that the connection of an attempt was closed before the response was complete. */
  recordLoss (attempt: Attempt, entry: RegisteredTarget): void
  /** Records that a target closed an idle connection, or accepted none. */
  recordClose (entry: RegisteredTarget): void
  /** Records that a target has responded to an attempt. */
  recordResponse (attempt: Attempt): void
  /** Returns the refusal of an attempt whose request crashes targets; `undefined` if it may be sent. */
  findRefusal (attempt: Attempt): Refusal | undefined
  /** Returns whether a target has ended under the same request before. */
  isSuspect (attempt: Attempt): boolean
  /** Merges the reports of a peer. */
  mergeReports (peer: string, reports: CrashReport[]): void
  /** Lists what this instance recorded a short time ago, for heartbeats. */
  listRecent (): CrashReport[]
  /** Lists the requests with the most evidence, for instances that have started. */
  listWorst (): CrashReport[]
  /** Returns whether this instance has recorded something since the last call. */
  takeNews (): boolean
  /** Drops evidence that has become too old. */
  removeExpired (): void
}

const msPerSecond = 1_000
const runKeyRadix = 36

/**
 * Creates a guard without evidence.
 *
 * @param options Metrics, log and clock
 * @returns The guard
 */
export function createCrashGuard ({ pacer, confirmPath, checkListening, onTargetEnd, metrics, log, getNowMs }: CreateCrashGuardOptions): CrashGuard {
  const evidence = createCrashEvidence()
  const detector = createTargetEndDetector({ onRequestLost: recordCrash, onEnd: onTargetEnd, pacer, confirmPath, checkListening, log, getNowMs })
  /** Fingerprints of the quarantined requests that have been logged. */
  const reported = new Set<string>()
  let knownRevision = 0

  function recordCrash (fingerprint: string, target: RegisteredTarget['target']): void {
    evidence.recordCrash(fingerprint, computeHash(`${target.id}\u0000${target.startedAtMs}`).toString(runKeyRadix), getNowMs())
    reportQuarantine(fingerprint)
  }

  function reportQuarantine (fingerprint: string, peer?: string): void {
    if (reported.has(fingerprint)) return
    const quarantine = evidence.findQuarantine(fingerprint, getNowMs())
    if (quarantine === undefined) return
    reported.add(fingerprint)
    metrics.countQuarantined()
    log.warn('request_quarantined', { fingerprint, crashes: quarantine.crashes, lastCrashAgoMs: Math.round(quarantine.ageMs), remainingMs: Math.round(quarantine.remainingMs), peer })
  }

  return {
    recordLoss: detector.recordLoss,
    recordClose: detector.recordClose,
    recordResponse (attempt) {
      if (!evidence.isEmpty()) evidence.recordResponse(getFingerprint(attempt), getNowMs())
    },
    findRefusal (attempt) {
      if (evidence.isEmpty()) return undefined
      const fingerprint = getFingerprint(attempt)
      const quarantine = evidence.findQuarantine(fingerprint, getNowMs())
      if (quarantine === undefined) return undefined
      const detail = `Request with fingerprint "${fingerprint}" is not sent to targets, since ${quarantine.crashes} of them ended under it, the last one ${Math.round(quarantine.ageMs / msPerSecond)} s ago`
      return createNotRunRefusal(RefusalReason.CrashesTargets, detail, quarantine.remainingMs)
    },
    isSuspect: attempt => !evidence.isEmpty() && evidence.isSuspect(getFingerprint(attempt)),
    mergeReports (peer, reports) {
      for (const report of reports) {
        evidence.merge(report, getNowMs())
        reportQuarantine(report.fingerprint, peer)
      }
    },
    listRecent: () => evidence.listRecent(getNowMs()),
    listWorst: () => evidence.listWorst(getNowMs()),
    takeNews () {
      const hasNews = evidence.getRevision() !== knownRevision
      knownRevision = evidence.getRevision()
      return hasNews
    },
    removeExpired () {
      evidence.removeExpired(getNowMs())
      for (const fingerprint of reported) if (evidence.findQuarantine(fingerprint, getNowMs()) === undefined) reported.delete(fingerprint)
    }
  }
}
