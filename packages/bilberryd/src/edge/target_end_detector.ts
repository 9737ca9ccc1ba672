/**
 * Detects that the process of a target has ended under the requests that were in flight there.
 *
 * A connection that closes before its response may be one lost response. The target has ended if it refuses connections
 * afterwards, or does not respond to them, while others nearby accept them; otherwise the network of this instance may be
 * the cause.
 *
 * @module
 */
import type { AttemptPacer, RegisteredTarget } from '@bilberryworks/steering'
import type { checkListening } from '@bilberryworks/targets'
import type { Attempt } from './attempt.ts'
import type { EntryLog } from './entry_log.ts'
import { ListeningState } from '@bilberryworks/targets'
import { getFingerprint } from './request_fingerprint.ts'

/** Options of {@linkcode createTargetEndDetector}. */
export interface CreateTargetEndDetectorOptions {
  /** Called for each request that was lost when a run of a target ended, with the fingerprint of the request. */
  onRequestLost: (fingerprint: string, target: RegisteredTarget['target']) => void
  /** Called once when a run of a target has ended. */
  onEnd: (entry: RegisteredTarget) => void
  /** Returns whether the network path to a target that accepts no connection works; `undefined` if `isPaced` held the checks back. */
  confirmPath: (entry: RegisteredTarget, options: { isPaced: boolean }) => Promise<boolean | undefined>
  /** Limits the checks of targets at which no request was lost. */
  pacer: AttemptPacer
  /** Connects to an address, to tell whether a process listens there. */
  checkListening: typeof checkListening
  /** Structured log. */
  log: EntryLog
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Detects ended targets. */
export interface TargetEndDetector {
  /** Records that the connection of an attempt was closed by the target or the network before the response was complete. */
  recordLoss (attempt: Attempt, entry: RegisteredTarget): void
  /** Records that a target closed an idle connection, or accepted none. */
  recordClose (entry: RegisteredTarget): void
}

/** Time limit of the attempt to connect, in milliseconds: a round trip between regions with one lost packet. */
const checkTimeoutMs = 600
/** Number of checks in progress from which those for connections without a request have to wait. */
const maxChecks = 8
/** Number of checks that may wait: the targets of a failure domain of a large deployment. */
const maxWaitingChecks = 64
/** Time until checks that were held back are tried again, in milliseconds. */
const waitingPauseMs = 100
/** Time for which further losses are ascribed to the end of a target, in milliseconds: they are noticed within a round trip of each other. */
const endedLifetimeMs = 2_000

interface EndingRun {
  /** Fingerprints of the requests that were lost, by identifier of the attempt. */
  fingerprints: Map<string, string>
  /** Monotonic time at which the run was found to have ended, in milliseconds; `undefined` before. */
  endedAtMs: number | undefined
  /** Whether the target refused connections then; otherwise it did not respond. */
  isRefused: boolean
}

/**
 * Creates a detector.
 *
 * @param options Callback, log and clock
 * @returns The detector
 */
export function createTargetEndDetector (options: CreateTargetEndDetectorOptions): TargetEndDetector {
  const { onRequestLost, confirmPath, checkListening, log, getNowMs } = options
  const runs = new Map<RegisteredTarget, EndingRun>()
  /** Targets that are to be checked once fewer checks are in progress. */
  const waiting = new Set<RegisteredTarget>()
  let isStartScheduled = false
  let pauseTimer: NodeJS.Timeout | undefined

  async function checkRun (entry: RegisteredTarget, run: EndingRun): Promise<void> {
    const { target } = entry
    const state = await checkListening(target.address, { timeoutMs: checkTimeoutMs })
    const mayHaveEnded = state !== ListeningState.Listening && state !== ListeningState.Unchecked
    // What is known of a lost request is not found out again, so its check is not held back.
    const isConfirmed = mayHaveEnded && await confirmPath(entry, { isPaced: run.fingerprints.size === 0 })
    if (isConfirmed !== true) {
      runs.delete(entry)
      if (isConfirmed === undefined && waiting.size < maxWaitingChecks) waiting.add(entry)
      return
    }
    run.endedAtMs = getNowMs()
    run.isRefused = state === ListeningState.Refused
    log.info('target_ended', { target: target.id, startedAtMs: target.startedAtMs, state, requests: Object.fromEntries(run.fingerprints) })
    options.onEnd(entry)
    // A target that does not respond may have lost its machine or its network, which is no evidence against its requests.
    if (run.isRefused) for (const fingerprint of run.fingerprints.values()) onRequestLost(fingerprint, target)
  }

  function findRun (entry: RegisteredTarget): EndingRun | undefined {
    for (const [other, { endedAtMs }] of runs) if (endedAtMs !== undefined && getNowMs() - endedAtMs >= endedLifetimeMs) runs.delete(other)
    return runs.get(entry)
  }

  function startCheck (entry: RegisteredTarget, fingerprints: EndingRun['fingerprints']): void {
    const run: EndingRun = { fingerprints, endedAtMs: undefined, isRefused: false }
    runs.set(entry, run)
    checkRun(entry, run).catch((error: Error) => log.warn('target_check_failed', { target: entry.target.id, detail: error.message })).finally(() => scheduleWaiting())
  }

  /** Starts further checks later, since a check may fail at once, and ask for others. */
  function scheduleWaiting (delayMs = 0): void {
    if (isStartScheduled) return
    clearTimeout(pauseTimer)
    if (delayMs > 0) {
      pauseTimer = setTimeout(startWaiting, delayMs).unref()
      return
    }
    isStartScheduled = true
    setImmediate(startWaiting)
  }

  function startWaiting (): void {
    isStartScheduled = false
    for (const entry of waiting) {
      if ([...runs.values()].filter(({ endedAtMs }) => endedAtMs === undefined).length >= maxChecks) return
      if (findRun(entry) === undefined) {
        if (!options.pacer.take(entry.target.id, getNowMs())) continue
        startCheck(entry, new Map())
      }
      waiting.delete(entry)
    }
    if (waiting.size > 0) scheduleWaiting(waitingPauseMs)
  }

  return {
    recordLoss (attempt, entry) {
      const fingerprint = getFingerprint(attempt)
      const known = findRun(entry)
      if (known !== undefined) {
        if (known.fingerprints.has(attempt.attemptId)) return
        known.fingerprints.set(attempt.attemptId, fingerprint)
        if (known.endedAtMs === undefined || !known.isRefused) return
        log.info('target_ended', { target: entry.target.id, startedAtMs: entry.target.startedAtMs, requests: { [attempt.attemptId]: fingerprint } })
        onRequestLost(fingerprint, entry.target)
        return
      }
      startCheck(entry, new Map([[attempt.attemptId, fingerprint]]))
    },
    recordClose (entry) {
      if (waiting.size < maxWaitingChecks) waiting.add(entry)
      scheduleWaiting()
    }
  }
}
