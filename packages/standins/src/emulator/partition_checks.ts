/**
 * Checks of what a simulated fleet did against the rules that hold for it.
 *
 * @module
 */
import type { FleetRecord } from './fleet_record.ts'
import type { Arrival } from './fleet_target.ts'
import type { ColdPlan, FleetPlan } from './partition_plan.ts'
import { fleetBounds, getRegion } from './fleet_world.ts'

/** Attempts at instances without a path to any target, and at the others at the same time. */
export interface ServedShares {
  /** Number of attempts at instances without a path, and of those that were served. */
  cut: number
  cutServed: number
  /** Number of attempts at the other instances, and of those that were served. */
  others: number
  othersServed: number
}

const minFailures = 10
const failureShare = 0.02
const minServedRatio = 2 / 3
/** Time after which a pause of a target binds, in milliseconds. */
const pauseTransitMs = 500
const maxPausedArrivals = 2
const timeToleranceMs = 500
const coldWindowMs = 1_000
const maxAttempts = 3

/**
 * Lists the rules that a fleet has broken, each with what was seen.
 *
 * @param plan What happened
 * @param record What the fleet did
 * @returns One text for each rule that was broken
 */
export function listBreaches (plan: FleetPlan, record: FleetRecord): string[] {
  return [
    ...checkRecovery(plan, record),
    ...checkRuns(record),
    ...checkRetries(record),
    ...checkPauses(record),
    ...checkLeavings(record),
    ...checkColdTargets(plan, record),
    ...checkTimes(record),
    ...checkHomes(plan, record)
  ]
}

/**
 * Counts the attempts at instances without a path to any target and those at the others meanwhile.
 *
 * @param plan What happened
 * @param record What the fleet did
 * @param fromCutMs Time after the begin of a cut from which attempts count, in milliseconds
 * @returns The counts
 */
export function countServed (plan: FleetPlan, record: FleetRecord, fromCutMs: number): ServedShares {
  const shares: ServedShares = { cut: 0, cutServed: 0, others: 0, othersServed: 0 }
  for (const attempt of record.attempts) {
    if (!isAnyCut(plan, attempt.sentAtMs, fromCutMs) || isNearKill(record, attempt.instance, attempt.sentAtMs)) continue
    const isServed = attempt.status === 200
    const own = plan.fullCuts.filter(({ instance, fromMs, toMs }) => instance === attempt.instance && attempt.sentAtMs >= fromMs && attempt.sentAtMs < toMs)
    if (own.length === 0) {
      shares.others++
      if (isServed) shares.othersServed++
    } else if (own.every(({ fromMs }) => attempt.sentAtMs >= fromMs + fromCutMs)) {
      shares.cut++
      if (isServed) shares.cutServed++
    }
  }
  return shares
}

function isAnyCut ({ fullCuts }: FleetPlan, atMs: number, fromCutMs: number): boolean {
  return fullCuts.some(({ fromMs, toMs }) => atMs >= fromMs + fromCutMs && atMs < toMs)
}

function isNearKill ({ kills }: FleetRecord, instance: string, atMs: number): boolean {
  return (kills.get(instance) ?? []).some(killMs => atMs > killMs - fleetBounds.stableMs && atMs < killMs + fleetBounds.stableMs)
}

function checkRecovery (plan: FleetPlan, record: FleetRecord): string[] {
  const { cut, cutServed, others, othersServed } = countServed(plan, record, fleetBounds.stableMs)
  const isWorse = cut > 0 && others > 0 && cutServed / cut < minServedRatio * othersServed / others
  const hasManyFailures = cut - cutServed > minFailures + failureShare * (cut + others)
  return isWorse && hasManyFailures ? [`RECOVER: instances without a path to targets served ${cutServed} of ${cut} first attempts, the others ${othersServed} of ${others}`] : []
}

function checkRuns (record: FleetRecord): string[] {
  const runs = new Map<string, Set<string>>()
  const counts = new Map<string, number>()
  for (const { attemptId, target, hasRun } of record.arrivals) {
    if (!hasRun) continue
    counts.set(attemptId, (counts.get(attemptId) ?? 0) + 1)
    runs.set(attemptId, (runs.get(attemptId) ?? new Set()).add(target))
  }
  return record.attempts.flatMap(({ id, isUnsafe, status, outcome }) => [
    ...isUnsafe && (counts.get(id) ?? 0) > 1 ? [`TWICE: unsafe attempt ${id} ran ${counts.get(id)} times`] : [],
    ...isUnsafe && counts.has(id) && (status === 503 || outcome === 'not-run') ? [`REFUSED: unsafe attempt ${id} ran and was answered ${status} ${outcome}`] : [],
    ...(runs.get(id)?.size ?? 0) > maxAttempts ? [`BUDGET: attempt ${id} ran on ${runs.get(id)!.size} targets`] : []
  ])
}

function checkRetries (record: FleetRecord): string[] {
  const { retryRatio, retrySlack, budgetWindowMs } = fleetBounds
  const seen = new Set<string>()
  const repeats = record.arrivals.filter(({ attemptId }) => seen.has(attemptId) || !seen.add(attemptId)).map(({ atMs }) => atMs)
  const sent = record.attempts.map(({ sentAtMs }) => sentAtMs)
  for (const [index, endMs] of repeats.entries()) {
    const count = repeats.slice(0, index + 1).filter(atMs => atMs > endMs - budgetWindowMs).length
    const requests = Math.max(...[0, 0.5, 1].map(shift => countBetween(sent, endMs - budgetWindowMs * (1 + shift), endMs - budgetWindowMs * shift)))
    if (count > retryRatio * requests + retrySlack) return [`BUDGET: ${count} repeated arrivals for ${requests} requests within ${budgetWindowMs} ms before ${Math.round(endMs)}`]
  }
  return []
}

function countBetween (timesMs: number[], fromMs: number, toMs: number): number {
  let count = 0
  for (const atMs of timesMs) if (atMs > fromMs && atMs <= toMs) count++
  return count
}

function checkPauses (record: FleetRecord): string[] {
  return record.pauses.flatMap(pause => {
    const count = record.arrivals.filter(({ target, run, sender, atMs }) => target === pause.target && run === pause.run && sender === pause.sender && atMs > pause.atMs + pauseTransitMs && atMs < pause.endMs).length
    const wasKilled = (record.kills.get(pause.sender) ?? []).some(killMs => killMs > pause.atMs && killMs < pause.endMs)
    return count > maxPausedArrivals && !wasKilled ? [`BUDGET: ${count} requests of ${pause.sender} reached ${pause.target} in its pause from ${Math.round(pause.atMs)} to ${Math.round(pause.endMs)}`] : []
  })
}

function checkLeavings (record: FleetRecord): string[] {
  const passedAtMs = new Map<string, number>()
  for (const { instance, target, run, atMs } of record.passedLeavings) if (!passedAtMs.has(`${instance}>${target}.${run}`)) passedAtMs.set(`${instance}>${target}.${run}`, atMs)
  const sentAtMs = new Map(record.attempts.map(({ id, sentAtMs: atMs }) => [id, atMs]))
  return record.arrivals.flatMap(({ attemptId, target, run, sender }) => {
    const toldAtMs = passedAtMs.get(`${sender}>${target}.${run}`) ?? Infinity
    const wasKilled = (record.kills.get(sender) ?? []).some(killMs => killMs > toldAtMs)
    return sentAtMs.get(attemptId)! > toldAtMs + fleetBounds.drainMs && !wasKilled ? [`DRAIN: attempt ${attemptId} reached ${target} from ${sender}, which had passed on at ${Math.round(toldAtMs)} that it leaves`] : []
  })
}

function checkColdTargets (plan: FleetPlan, record: FleetRecord): string[] {
  if (plan.cold === undefined) return []
  const allowed = computeColdAllowance(plan.cold)
  return listColdPeaks(record).filter(({ count }) => count > allowed).map(({ target, count, atMs }) => `FAILBACK: cold target ${target} got ${count} requests in the second from ${Math.round(atMs)}; ${allowed} are allowed`)
}

/**
 * Computes the number of requests that may be sent to a cold target and arrive there within one second.
 *
 * @param cold Limits of cold targets
 * @returns The number, which may be fractional
 */
export function computeColdAllowance ({ perSecond, slack }: ColdPlan): number {
  return perSecond * fleetBounds.coldOver + slack
}

/**
 * Finds for each cold time of a target the second in which most requests were sent to it and arrived.
 *
 * @param record What the fleet did
 * @returns The targets with the number of requests and the begin of the second in virtual time, in milliseconds
 */
export function listColdPeaks (record: FleetRecord): Array<{ target: string, count: number, atMs: number }> {
  const byTarget = new Map<string, Arrival[]>()
  for (const arrival of record.arrivals) if (arrival.isCold) byTarget.set(arrival.target, [...byTarget.get(arrival.target) ?? [], arrival])
  return [...byTarget].map(([target, arrivals]) => {
    let peak = { target, count: 0, atMs: 0 }
    for (const { sentAtMs: fromMs } of arrivals) {
      const count = arrivals.filter(({ sentAtMs, atMs }) => sentAtMs >= fromMs && atMs < fromMs + coldWindowMs).length
      if (count > peak.count) peak = { target, count, atMs: fromMs }
    }
    return peak
  })
}

function checkTimes (record: FleetRecord): string[] {
  const attempts = new Map(record.attempts.map(attempt => [attempt.id, attempt]))
  return record.arrivals.flatMap(({ attemptId, target, timeLeftMs, sentAtMs }) => {
    const attempt = attempts.get(attemptId)!
    // Neither instance can know how long a path between them held the request up.
    const elapsedMs = sentAtMs - attempt.sentAtMs - (record.heldMs.get(attemptId) ?? 0)
    return timeLeftMs > attempt.timeLeftMs - elapsedMs + timeToleranceMs ? [`BUDGET: attempt ${attemptId} reached ${target} with ${timeLeftMs} ms left`] : []
  })
}

function checkHomes (plan: FleetPlan, record: FleetRecord): string[] {
  if (plan.homeRegions.length === 0) return []
  const locate = (index: number): string => getRegion(plan.failureDomains[index % plan.failureDomains.length]!)
  return record.arrivals.flatMap(({ attemptId, target, sender }) => {
    const isAtHome = plan.homeRegions.includes(locate(Number(target.slice(1))))
    const attempt = record.attempts.find(({ id }) => id === attemptId)!
    const isOwn = attempt.instance === sender
    const isRelayedAtHome = plan.homeRegions.includes(locate(Number(sender.slice('entry-'.length))))
    return isAtHome && (isOwn || isRelayedAtHome) ? [] : [`HOME: attempt ${attemptId} reached ${target} from ${sender}`]
  })
}
