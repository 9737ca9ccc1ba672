/**
 * Decides which requests crash the targets that run them, from the requests that were in flight at targets that ended.
 *
 * Answers the load of a request that ends each target which begins to run it, and that its caller repeats at any instance.
 * A target that ends takes all its requests with it, so each of them is a suspect, and a single end proves nothing. A request
 * is quarantined after several ends that no request with more ends explains, and cleared by any response to it.
 *
 * The evidence of several instances merges in any order: a set of ends for each request, less those that a response has
 * cleared.
 *
 * @module
 */

/** Ends of targets under a request, as told to peers. */
export interface CrashReport {
  /** Fingerprint of the request. */
  fingerprint: string
  /** Runs of targets that ended under the request. */
  runs: string[]
  /** Those of the runs that a later response to the request has cleared. */
  cleared: string[]
  /** Time since the last end, in milliseconds. */
  ageMs: number
}

/** State of a request that is not to be sent to targets. */
export interface Quarantine {
  /** Number of targets that ended under the request. */
  crashes: number
  /** Time since the last end, in milliseconds. */
  ageMs: number
  /** Time until the request is accepted again, in milliseconds. */
  remainingMs: number
}

/** Evidence on requests that crash targets. */
export interface CrashEvidence {
  /** Records that a run of a target ended under a request of this instance. */
  recordCrash (fingerprint: string, run: string, nowMs: number): void
  /** Records that a target has run a request of this instance and responded, which clears the request. */
  recordResponse (fingerprint: string, nowMs: number): void
  /** Merges a report of a peer. */
  merge (report: CrashReport, nowMs: number): void
  /** Returns the quarantine of a request; `undefined` if it may be sent. */
  findQuarantine (fingerprint: string, nowMs: number): Quarantine | undefined
  /** Returns whether a target has ended under a request, so that it should not be sent to several targets in a row. */
  isSuspect (fingerprint: string): boolean
  /** Returns whether there is no evidence at all, so that fingerprints need not be computed. */
  isEmpty (): boolean
  /** Lists what this instance recorded a short time ago, for heartbeats. */
  listRecent (nowMs: number): CrashReport[]
  /** Lists the requests with the most ends, also those that peers told of, for instances that have started. */
  listWorst (nowMs: number): CrashReport[]
  /** Returns a counter that rises with each record of this instance. */
  getRevision (): number
  /** Drops evidence that has become too old. */
  removeExpired (nowMs: number): void
}

/** Number of ends of targets after which a request is quarantined. */
export const crashesToQuarantine = 3
/** Number of ends after which it is quarantined although another request was in flight at each of them. */
const crashesToQuarantineAmbiguous = 5
/** Time since the last end for which evidence counts, in milliseconds: long enough for a repeat to be useless, short enough for a corrected service. */
export const evidenceLifetimeMs = 600_000
/** Time for which peers are told of a record, in milliseconds: a few heartbeats, also between regions. */
const recentMs = 10_000
/** Maximum number of requests with evidence; those with the fewest ends are dropped first. */
const maxRequests = 256
/** Maximum number of ends that are recorded of a request. */
const maxRuns = 64
/** Maximum number of requests in a list for peers, so that a heartbeat fits into a datagram. */
const maxListed = 6
/** Maximum number of ends of a request in a list for peers; the latest ones count. */
const maxListedRuns = 6

interface Suspect {
  /** Runs that ended under the request and are not cleared. */
  runs: Set<string>
  cleared: Set<string>
  /** Runs that this instance has recorded or cleared itself. */
  ownRuns: Set<string>
  lastCrashAtMs: number
  /** Monotonic time of the last record of this instance, in milliseconds. */
  recordedAtMs: number
  /** Monotonic time of the last record or report, in milliseconds. */
  updatedAtMs: number
}

/**
 * Creates an empty collection.
 *
 * @returns The evidence
 */
export function createCrashEvidence (): CrashEvidence {
  const suspects = new Map<string, Suspect>()
  let revision = 0

  function getSuspect (fingerprint: string): Suspect {
    const known = suspects.get(fingerprint)
    if (known !== undefined) return known
    const created = { runs: new Set<string>(), cleared: new Set<string>(), ownRuns: new Set<string>(), lastCrashAtMs: -Infinity, recordedAtMs: -Infinity, updatedAtMs: -Infinity }
    suspects.set(fingerprint, created)
    return created
  }

  function addRun (suspect: Suspect, run: string, atMs: number): void {
    if (suspect.cleared.has(run) || suspect.runs.has(run) || suspect.runs.size >= maxRuns) return
    suspect.runs.add(run)
    suspect.lastCrashAtMs = Math.max(suspect.lastCrashAtMs, atMs)
  }

  function dropRun (suspect: Suspect, run: string): void {
    suspect.runs.delete(run)
    suspect.cleared.add(run)
  }

  /** Drops the requests with the fewest ends, except for the given one. */
  function dropWeakest (kept: string): void {
    if (suspects.size <= maxRequests) return
    let weakest: string | undefined
    for (const [fingerprint, { runs }] of suspects) if (fingerprint !== kept && (weakest === undefined || runs.size < suspects.get(weakest)!.runs.size)) weakest = fingerprint
    if (weakest !== undefined) suspects.delete(weakest)
  }

  /** Counts the ends that only this request, or only requests with as many ends, may have caused. */
  function countUnexplained (suspect: Suspect): { unexplained: number, isAmbiguous: boolean } {
    const unexplained = new Set(suspect.runs)
    let isAmbiguous = false
    for (const other of suspects.values()) {
      if (other === suspect || other.runs.size < suspect.runs.size) continue
      const shared = [...unexplained].filter(run => other.runs.has(run))
      if (other.runs.size > suspect.runs.size) for (const run of shared) unexplained.delete(run)
      else if (shared.length > 0) isAmbiguous = true
    }
    return { unexplained: unexplained.size, isAmbiguous }
  }

  function describe (fingerprint: string, { runs, cleared, lastCrashAtMs }: Pick<Suspect, 'runs' | 'cleared' | 'lastCrashAtMs'>, nowMs: number): CrashReport {
    const ageMs = lastCrashAtMs === -Infinity ? 0 : Math.round(nowMs - lastCrashAtMs)
    return { fingerprint, runs: [...runs].slice(-maxListedRuns), cleared: [...cleared].slice(-maxListedRuns), ageMs }
  }

  return {
    recordCrash (fingerprint, run, nowMs) {
      const suspect = getSuspect(fingerprint)
      addRun(suspect, run, nowMs)
      suspect.ownRuns.add(run)
      suspect.recordedAtMs = suspect.updatedAtMs = nowMs
      revision++
      dropWeakest(fingerprint)
    },
    recordResponse (fingerprint, nowMs) {
      const suspect = suspects.get(fingerprint)
      if (suspect === undefined || suspect.runs.size === 0) return
      for (const run of [...suspect.runs]) {
        dropRun(suspect, run)
        suspect.ownRuns.add(run)
      }
      suspect.recordedAtMs = suspect.updatedAtMs = nowMs
      revision++
    },
    merge ({ fingerprint, runs, cleared, ageMs }, nowMs) {
      if (ageMs >= evidenceLifetimeMs) return
      const suspect = getSuspect(fingerprint)
      suspect.updatedAtMs = Math.max(suspect.updatedAtMs, nowMs - ageMs)
      for (const run of cleared) dropRun(suspect, run)
      for (const run of runs) addRun(suspect, run, nowMs - ageMs)
      dropWeakest(fingerprint)
    },
    findQuarantine (fingerprint, nowMs) {
      const suspect = suspects.get(fingerprint)
      if (suspect === undefined || suspect.runs.size < crashesToQuarantine || nowMs - suspect.lastCrashAtMs >= evidenceLifetimeMs) return undefined
      const { unexplained, isAmbiguous } = countUnexplained(suspect)
      if (unexplained < (isAmbiguous ? crashesToQuarantineAmbiguous : crashesToQuarantine)) return undefined
      const ageMs = nowMs - suspect.lastCrashAtMs
      return { crashes: suspect.runs.size, ageMs, remainingMs: evidenceLifetimeMs - ageMs }
    },
    isSuspect: fingerprint => (suspects.get(fingerprint)?.runs.size ?? 0) > 0,
    isEmpty: () => suspects.size === 0,
    listRecent (nowMs) {
      return [...suspects].filter(([, { recordedAtMs }]) => nowMs - recordedAtMs < recentMs).slice(-maxListed).map(([fingerprint, suspect]) => {
        const own = (all: Set<string>): Set<string> => new Set([...all].filter(run => suspect.ownRuns.has(run)))
        return describe(fingerprint, { ...suspect, runs: own(suspect.runs), cleared: own(suspect.cleared) }, nowMs)
      })
    },
    listWorst: nowMs => [...suspects].toSorted(([, a], [, b]) => b.runs.size - a.runs.size).slice(0, maxListed).map(([fingerprint, suspect]) => describe(fingerprint, suspect, nowMs)),
    getRevision: () => revision,
    removeExpired (nowMs) {
      for (const [fingerprint, { updatedAtMs }] of suspects) if (nowMs - updatedAtMs >= evidenceLifetimeMs) suspects.delete(fingerprint)
    }
  }
}
