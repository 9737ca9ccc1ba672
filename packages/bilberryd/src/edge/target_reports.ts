/**
 * Records what targets report about themselves in their responses, to this instance or to a peer, and logs each change.
 *
 * @module
 */
import type { RateNotice, RecentTargetReports, RegisteredTarget } from '@bilberryworks/steering'
import type { ResponseHead } from '@bilberryworks/targets'
import type { ResponseFields } from '@bilberryworks/users-platform'
import type { EntryLog } from './entry_log.ts'
import type { EntryMetrics } from './entry_metrics.ts'
import type { EntryState } from './entry_state.ts'
import type { ReportCold } from './report_cold.ts'
import { claimProofMs, ColdEvidence, createTargetNotices, isRateClaimed, mergePeerRate, recordNamedRate, recordTargetEnd, recordTargetLoad, recordTargetPause, recordUnnamedResponse } from '@bilberryworks/steering'
import { readResponseFields } from '@bilberryworks/users-platform'
import { TargetReport } from './entry_metrics.ts'
import { maxKnownPeers } from './peer_view.ts'

/** Options of {@linkcode createTargetReports}. */
export interface CreateTargetReportsOptions {
  /** Replicated configuration and target registry. */
  state: EntryState
  /** Metrics. */
  metrics: EntryMetrics
  /** Structured log. */
  log: EntryLog
  /** Reports that a target counts as cold from now on. */
  reportCold: ReportCold
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** The exchange in which a target reports. */
export interface TargetExchange {
  /** Monotonic time at which the request was dispatched to the target, in milliseconds. */
  dispatchedAtMs: number
}

/** Reports of targets. */
export interface TargetReports {
  /** Handles the fields of a response of a target; the answered request must still count as in flight. */
  handleResponse (entry: RegisteredTarget, fields: ResponseFields, exchange: TargetExchange): void
  /** Handles the fields of a response of a target to another instance, which relayed a request of this one. */
  handleRelayedResponse (targetId: string, head: ResponseHead, exchange: TargetExchange): void
  /** Handles the reports of a heartbeat of a peer; `undefined` if it has none. */
  handlePeerReports (peer: string, reports: RecentTargetReports | undefined): void
  /** Records that the run of a target has ended, of which peers are told. */
  recordEnd (entry: RegisteredTarget): void
  /** Returns whether an end has been recorded since the last call. */
  takeNews (): boolean
  /** Lists the recent reports to this instance, and its claims on the rates of targets, of which its peers are to be told. */
  listRecent (): RecentTargetReports
  /** Returns whether a peer claims a part of the rate of a target, or may do so because its last heartbeat is too old. */
  mayClaim (peer: string, targetId: string): boolean
}

/** Number of characters of an unreadable value that are logged. */
const maxLoggedValueLength = 40
/** Longest list of claims of a peer that is retained, in targets. */
const maxPeerClaims = 1_000

/**
 * Creates the handler of targets' reports.
 *
 * @param options Registry, metrics, log and clock
 * @returns The handler
 */
export function createTargetReports ({ state, metrics, log, reportCold, getNowMs }: CreateTargetReportsOptions): TargetReports {
  const { targets } = state
  const notices = createTargetNotices()
  let hasNews = false
  /** Claims on the rates of targets in the last heartbeat of each peer, and its monotonic time in milliseconds. */
  const peerClaims = new Map<string, { claims: string[], heardAtMs: number }>()

  function recordClaims (peer: string, claims: string[]): void {
    peerClaims.delete(peer)
    // A peer without a list counts as one that may claim any target.
    if (claims.length > maxPeerClaims) return
    peerClaims.set(peer, { claims, heardAtMs: getNowMs() })
    if (peerClaims.size > maxKnownPeers) peerClaims.delete(peerClaims.keys().next().value!)
  }

  /** Lists all claims, since peers take a target that is missing from the list for one to which this instance sends nothing. */
  function listClaims (): string[] {
    const nowMs = getNowMs()
    const entries = targets.listServices().flatMap(service => targets.list(service))
    return entries.filter(({ rate, rateClaim }) => rate.perSecond !== undefined && isRateClaimed(rateClaim, nowMs)).map(({ target }) => target.id)
  }

  /** Marks a target as leaving; `peer` is absent if it said so to this instance. */
  function markLeaving ({ target }: RegisteredTarget, peer?: string): void {
    if (!targets.recordLeaving(target.id)) return
    metrics.countTargetReport(TargetReport.Leaving)
    log.info('target_leaving', { target: target.id, isRegisteredAsLeaving: target.leaving, peer })
  }

  /** Returns the time since an event, in milliseconds; `undefined` if it has not happened. */
  function computeAgeMs (atMs = -Infinity): number | undefined {
    return atMs === -Infinity ? undefined : Math.round(getNowMs() - atMs)
  }

  /** Runs a function that may change the rate of a target, and logs the change. */
  function applyRate (entry: RegisteredTarget, apply: () => void, source: { peer?: string, exchange?: TargetExchange }): void {
    const { perSecond: before, namedAtMs } = entry.rate
    apply()
    const { perSecond } = entry.rate
    if (perSecond === before) return
    metrics.countTargetReport(TargetReport.Rate)
    log.info('target_rate', { target: entry.target.id, acceptedPerSecond: perSecond ?? null, before: before ?? null, namedAgoMs: computeAgeMs(namedAtMs), dispatchedAgoMs: computeAgeMs(source.exchange?.dispatchedAtMs), peer: source.peer })
  }

  function recordRate (entry: RegisteredTarget, { acceptedPerSecond, isSigned }: ResponseFields, exchange: TargetExchange): void {
    const nowMs = getNowMs()
    if (acceptedPerSecond !== undefined) {
      applyRate(entry, () => recordNamedRate(entry.rate, acceptedPerSecond, nowMs), { exchange })
      notices.recordRate(entry.target, acceptedPerSecond, nowMs)
    } else if (isSigned) {
      applyRate(entry, () => {
        if (recordUnnamedResponse(entry.rate, exchange.dispatchedAtMs)) notices.recordRate(entry.target, undefined, exchange.dispatchedAtMs)
      }, { exchange })
    }
  }

  function mergeRate (peer: string, entry: RegisteredTarget, { perSecond, ageMs }: RateNotice): void {
    const { rate, target } = entry
    applyRate(entry, () => {
      const hasChanged = mergePeerRate(rate, { perSecond: perSecond ?? undefined, atMs: getNowMs() - ageMs })
      if (hasChanged && perSecond !== null) notices.dropRate(target.id)
    }, { peer })
  }

  /** Finds a registered target by its identifier and the start time of its run. */
  function findRun (id: string, startedAtMs: number): RegisteredTarget | undefined {
    const entry = targets.find(id)
    return entry?.target.startedAtMs === startedAtMs ? entry : undefined
  }

  function handleResponse (entry: RegisteredTarget, fields: ResponseFields, exchange: TargetExchange): void {
    if (!fields.isFromTarget) return
    const nowMs = getNowMs()
    if (fields.load !== undefined) recordTargetLoad(entry, fields.load, nowMs)
    if (fields.isLeaving && targets.find(entry.target.id) === entry) {
      notices.recordLeaving(entry.target, nowMs)
      markLeaving(entry)
    }
    if (fields.pauseMs !== undefined) {
      recordTargetPause(entry, fields.pauseMs, nowMs)
      metrics.countTargetReport(TargetReport.Pause)
      log.info('target_pause', { target: entry.target.id, pauseMs: fields.pauseMs })
    }
    if (fields.unreadableRate !== undefined) {
      metrics.countTargetReport(TargetReport.UnreadableRate)
      log.warn('target_rate_unreadable', { target: entry.target.id, value: fields.unreadableRate.slice(0, maxLoggedValueLength) })
      return
    }
    recordRate(entry, fields, exchange)
  }

  return {
    handleResponse,
    handleRelayedResponse (targetId, { status, fields }, exchange) {
      const entry = targets.find(targetId)
      if (entry !== undefined) handleResponse(entry, readResponseFields(status, fields), exchange)
    },
    handlePeerReports (peer, reports) {
      recordClaims(peer, reports?.claims ?? [])
      if (reports === undefined) return
      const { leaving, rates, ended = {} } = reports
      for (const [id, startedAtMs] of Object.entries(leaving)) {
        const entry = findRun(id, startedAtMs)
        if (entry !== undefined) markLeaving(entry, peer)
      }
      for (const [id, notice] of Object.entries(rates)) {
        const entry = findRun(id, notice.startedAtMs)
        if (entry !== undefined) mergeRate(peer, entry, notice)
      }
      for (const [id, { startedAtMs, ageMs }] of Object.entries(ended)) {
        const entry = findRun(id, startedAtMs)
        if (entry !== undefined && recordTargetEnd(entry, getNowMs() - Math.max(0, ageMs), getNowMs())) reportCold(entry, ColdEvidence.EndedAtPeer)
      }
    },
    recordEnd (entry) {
      const nowMs = getNowMs()
      notices.recordEnd(entry.target, nowMs)
      hasNews = true
      if (recordTargetEnd(entry, nowMs, nowMs)) reportCold(entry, ColdEvidence.Ended)
    },
    takeNews () {
      const hadNews = hasNews
      hasNews = false
      return hadNews
    },
    listRecent: () => ({ ...notices.list(getNowMs()), claims: listClaims() }),
    mayClaim (peer, targetId) {
      const known = peerClaims.get(peer)
      return known === undefined || getNowMs() - known.heardAtMs > claimProofMs || known.claims.includes(targetId)
    }
  }
}
