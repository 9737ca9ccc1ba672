/**
 * Checks of a soak: what callers and targets saw, against the promises of the users' pages.
 *
 * @module
 */
import type { SiteTarget, TargetRun } from '../site_target.ts'
import type { SoakCall } from './soak_callers.ts'
import type { SoakInstance, TimeSpan } from './soak_instance.ts'
import type { SoakPlan } from './soak_plan.ts'
import { SoakRequestKind } from './soak_callers.ts'
import { bytesFaults, SoakFault } from './soak_plan.ts'

/** What was recorded in a soak. */
export interface SoakRecord {
  /** The plan. */
  plan: SoakPlan
  /** Monotonic time of the begin of the load, in milliseconds. */
  startMs: number
  /** All calls. */
  calls: SoakCall[]
  /** All targets that were opened, by identifier. */
  targets: ReadonlyMap<string, SiteTarget>
  /** Times at which the store had accepted that a target leaves, by identifier, in milliseconds. */
  drainedAtMs: ReadonlyMap<string, number>
  /** The instances. */
  instances: readonly SoakInstance[]
  /** Times in which the store did not serve all instances. */
  storeFaults: TimeSpan[]
  /** Times in which targets sent bytes that are costly to receive, by identifier. */
  faultyTargets: ReadonlyMap<string, TimeSpan[]>
  /** Memory that each instance may take, in megabytes; `undefined` without a limit. */
  memoryMb: number | undefined
  /** Times in which the event loop of the soak itself was held. */
  holds: TimeSpan[]
  /** Log lines of each instance, by name. */
  logs: ReadonlyMap<string, Array<Record<string, unknown>>>
  /** Whether each instance counted as ready at the end. */
  areReady: boolean[]
}

const stableMs = 4_000
const drainMs = 2_500
const drainToleranceMs = 500
const lossToleranceMs = 1_000
const lossSlackMs = 200
const maxLosses = 3
const minServedRatio = 2 / 3
const minFailures = 10
const failureShare = 0.02
const calmSettleMs = 5_000
const minCalmShare = 0.95
const budgetWindowMs = 10_000
const retryRatio = 0.2
const retrySlack = 56
const minUndisturbedShare = 0.99
const bytesPerMb = 1_048_576
const refusals = new Set([408, 421, 429, 503])

/**
 * Lists the promises that were broken, each with what was seen.
 *
 * @param record What was recorded
 * @returns One text for each
 */
export function listSoakBreaches (record: SoakRecord): string[] {
  const runs = groupRuns(record)
  return [
    ...checkRuns(record, runs),
    ...checkResponses(record, runs),
    ...checkPaths(record),
    ...checkDrains(record),
    ...checkStops(record, runs),
    ...checkLosses(record, runs),
    ...checkRetries(record),
    ...checkVersions(record),
    ...checkCalm(record),
    ...checkUndisturbed(record, runs),
    ...checkMemory(record),
    ...record.instances.flatMap(({ unexpectedEnds }) => unexpectedEnds.map(end => `ENDED: ${end}`))
  ]
}

interface RunAtTarget extends TargetRun { target: string }

function groupRuns ({ targets }: SoakRecord): Map<string, RunAtTarget[]> {
  const runs = new Map<string, RunAtTarget[]>()
  for (const [target, { runs: all }] of targets) for (const run of all) runs.set(run.attemptId, [...runs.get(run.attemptId) ?? [], { ...run, target }])
  return runs
}

function checkRuns ({ calls }: SoakRecord, runs: ReadonlyMap<string, RunAtTarget[]>): string[] {
  return calls.filter(({ kind }) => kind !== SoakRequestKind.Safe).flatMap(({ id, instance, status }) => {
    const count = runs.get(id)?.length ?? 0
    return [
      ...count > 1 ? [`TWICE: ${id} at ${instance} ran ${count} times, answered ${status}`] : [],
      ...count > 0 && status !== undefined && refusals.has(status) ? [`REFUSED: ${id} at ${instance} ran and was answered ${status}`] : []
    ]
  })
}

/** Checks that each success is the whole response of a target that ran the request. */
function checkResponses ({ calls }: SoakRecord, runs: ReadonlyMap<string, RunAtTarget[]>): string[] {
  return calls.filter(({ status }) => status !== undefined && status < 300).flatMap(({ id, instance, headers, body }) => {
    const isTrue = headers['x-request-id'] === id && runs.get(id)?.some(({ target }) => body === `answer of ${target}` && headers['x-server-signature'] === `signed-${target}`) === true
    return isTrue ? [] : [`MIXED: ${id} at ${instance} got "${body.slice(0, 40)}" for ${String(headers['x-request-id'])}`]
  })
}

function isWithin (spans: readonly TimeSpan[], fromMs: number, toMs: number): boolean {
  return spans.some(span => span.fromMs <= toMs && span.toMs >= fromMs)
}

/** Checks that callers of instances without a path to targets are not served much worse than others, while there are others. */
function checkPaths ({ calls, instances }: SoakRecord): string[] {
  const byName = new Map(instances.map(instance => [instance.name, instance]))
  const counts = { cut: 0, cutServed: 0, others: 0, othersServed: 0 }
  for (const { instance: name, sentAtMs, status } of calls) {
    const instance = byName.get(name)!
    const hasOthers = instances.some(other => !isWithin([...other.cuts, ...other.disturbances, ...other.strains], sentAtMs - stableMs, sentAtMs))
    const isCut = hasOthers && instance.cuts.some(({ fromMs, toMs }) => sentAtMs >= fromMs + stableMs && sentAtMs < toMs)
    const isOther = !isWithin(instance.cuts, sentAtMs - stableMs, sentAtMs) && instances.some(({ cuts }) => cuts.some(({ fromMs, toMs }) => sentAtMs >= fromMs + stableMs && sentAtMs < toMs))
    if ((!isCut && !isOther) || isWithin([...instance.disturbances, ...instance.strains], sentAtMs - stableMs, sentAtMs + lossToleranceMs)) continue
    const isServed = status === 200
    counts[isCut ? 'cut' : 'others']++
    if (isServed) counts[isCut ? 'cutServed' : 'othersServed']++
  }
  const { cut, cutServed, others, othersServed } = counts
  const isWorse = cut > 0 && others > 0 && cutServed / cut < minServedRatio * othersServed / others && cut - cutServed > minFailures + failureShare * (cut + others)
  return isWorse ? [`RECOVER: instances without a path served ${cutServed} of ${cut} first attempts, the others ${othersServed} of ${others}`] : []
}

/** Checks that no request reaches a target long after it was registered as leaving, unless instances could not know. */
function checkDrains ({ targets, drainedAtMs, instances, storeFaults, calls }: SoakRecord): string[] {
  const sentAtMs = new Map(calls.map(call => [call.id, call.sentAtMs]))
  return [...drainedAtMs].flatMap(([id, atMs]) => {
    const boundMs = atMs + drainMs + drainToleranceMs
    const late = targets.get(id)!.runs.filter(({ attemptId, startedAtMs }) => startedAtMs > boundMs && (sentAtMs.get(attemptId) ?? 0) > atMs)
    const isExcused = isWithin(storeFaults, atMs - stableMs, boundMs) || instances.some(({ disturbances, strains }) => isWithin([...disturbances, ...strains], atMs - stableMs, boundMs))
    return late.length > 0 && !isExcused ? [`DRAIN: ${late.length} requests, the first ${late[0]!.attemptId}, reached ${id} ${Math.round(late[0]!.startedAtMs - atMs)} ms after it was registered as leaving`] : []
  })
}

/** Returns whether a target ran a request while it sent bytes that are costly to receive, so that its response may be lost. */
function hasRunAtFaulty ({ id }: SoakCall, { faultyTargets }: SoakRecord, runs: ReadonlyMap<string, RunAtTarget[]>): boolean {
  return runs.get(id)?.some(({ target, startedAtMs }) => isWithin(faultyTargets.get(target) ?? [], startedAtMs, startedAtMs + lossToleranceMs)) === true
}

/** Lists the times around faults of targets, in which a response may be lost on the way. */
function listTargetFaults ({ startMs, plan }: SoakRecord): TimeSpan[] {
  const kinds = new Set([SoakFault.TargetFaults, SoakFault.WrongBytes, SoakFault.ReplaceTarget])
  return plan.events.filter(({ fault }) => kinds.has(fault)).map(({ atMs, durationMs }) => ({ fromMs: startMs + atMs - lossToleranceMs, toMs: startMs + atMs + durationMs + lossToleranceMs }))
}

/** Returns whether a request got no response although a target ran it, or although it was connected for longer than a close may cross it. */
function isLost (call: SoakCall, runs: ReadonlyMap<string, RunAtTarget[]>): boolean {
  if (call.status !== undefined) return false
  const isShort = call.kind === SoakRequestKind.Safe || call.kind === SoakRequestKind.Unsafe
  return runs.has(call.id) || (isShort && call.wasConnected && call.endedAtMs - call.sentAtMs > lossSlackMs)
}

/** Sums the times in which the event loop of the soak was held during a call, in milliseconds. */
function sumHolds ({ holds }: SoakRecord, { sentAtMs, endedAtMs }: SoakCall): number {
  return holds.reduce((sum, { fromMs, toMs }) => sum + Math.max(0, Math.min(toMs, endedAtMs) - Math.max(fromMs, sentAtMs)), 0)
}

/** Checks that a planned stop without other disturbances loses no request, from its begin to the end of the process. */
function checkStops (record: SoakRecord, runs: ReadonlyMap<string, RunAtTarget[]>): string[] {
  const { calls, instances, targets } = record
  const targetFaults = listTargetFaults(record)
  return instances.flatMap(({ name, stops, cuts, disturbances, strains }) => stops.flatMap(stop => {
    const isAlone = !isWithin([...cuts, ...strains], stop.fromMs - stableMs, stop.toMs) && disturbances.filter(({ fromMs, toMs }) => fromMs <= stop.toMs && toMs >= stop.fromMs - stableMs).length === 1
    if (!isAlone || isWithin(targetFaults, stop.fromMs - stableMs, stop.toMs)) return []
    const lost = calls.filter(call => call.instance === name && call.sentAtMs > stop.fromMs - stableMs && call.sentAtMs < stop.toMs && isLost(call, runs) && !hasRunAtFaulty(call, record, runs))
    return lost.length > 0 ? [`LOST: ${lost.length} requests, the first ${lost[0]!.id} (${lost[0]!.kind}, sent ${Math.round(lost[0]!.sentAtMs - stop.fromMs)} ms after the signal, ran ${runs.get(lost[0]!.id)?.length ?? 0} times, ended after ${Math.round(lost[0]!.endedAtMs - lost[0]!.sentAtMs)} ms, the soak itself held for ${Math.round(sumHolds(record, lost[0]!))} ms of them), got no response around the stop of ${name} (${targets.size} targets)`] : []
  }))
}

/** Checks that an instance without any disturbance loses next to no request that a target ran. */
function checkLosses (record: SoakRecord, runs: ReadonlyMap<string, RunAtTarget[]>): string[] {
  const targetFaults = listTargetFaults(record)
  return record.instances.flatMap(({ name, cuts, disturbances }) => {
    const lost = record.calls.filter(call => call.instance === name && call.status === undefined && !call.hasGivenUp && runs.has(call.id) && !hasRunAtFaulty(call, record, runs) && !isWithin([...cuts, ...disturbances, ...targetFaults], call.sentAtMs - stableMs, call.endedAtMs))
    return lost.length > maxLosses ? [`LOST: ${lost.length} requests, the first ${lost[0]!.id}, ran and got no response from ${name}, which was not disturbed`] : []
  })
}

function checkRetries ({ calls, targets }: SoakRecord): string[] {
  const arrivals = [...targets.values()].flatMap(({ runs }) => runs).toSorted((a, b) => a.startedAtMs - b.startedAtMs)
  const seen = new Set<string>()
  const repeats = arrivals.filter(({ attemptId }) => seen.has(attemptId) || !seen.add(attemptId)).map(({ startedAtMs }) => startedAtMs)
  return repeats.flatMap((endMs, index) => {
    const count = repeats.slice(0, index + 1).filter(atMs => atMs > endMs - budgetWindowMs).length
    const requests = calls.filter(({ sentAtMs }) => sentAtMs > endMs - budgetWindowMs && sentAtMs <= endMs).length
    return count > retryRatio * requests + retrySlack ? [`BUDGET: ${count} repeated runs for ${requests} requests within ${budgetWindowMs} ms`] : []
  }).slice(0, 1)
}

/** Checks that no run of an instance goes back to an earlier configuration. */
function checkVersions ({ logs }: SoakRecord): string[] {
  return [...logs].flatMap(([name, lines]) => {
    const latest = new Map<unknown, number>()
    return lines.filter(({ event }) => event === 'config_in_force').flatMap(({ pid, version }) => {
      const before = latest.get(pid) ?? 0
      latest.set(pid, Number(version))
      return Number(version) <= before ? [`CONFIG: ${name} went from version ${before} to ${String(version)}`] : []
    })
  })
}

/** Checks that all instances serve again when the faults are over. */
function checkCalm ({ calls, plan, startMs, areReady }: SoakRecord): string[] {
  const fromMs = startMs + plan.durationMs - plan.calmMs + calmSettleMs
  const calm = calls.filter(({ sentAtMs }) => sentAtMs >= fromMs)
  const served = calm.filter(({ status }) => status === 200).length
  return [
    ...served < calm.length * minCalmShare ? [`RECOVER: ${served} of ${calm.length} requests served in the calm at the end`] : [],
    ...areReady.every(Boolean) ? [] : [`RECOVER: instances ${areReady.flatMap((isReady, index) => isReady ? [] : [index]).join(', ')} are not ready at the end`]
  ]
}

/** Checks that while faulty targets and callers are all that is in force, requests are served unless such a target ran them. */
function checkUndisturbed (record: SoakRecord, runs: ReadonlyMap<string, RunAtTarget[]>): string[] {
  const { calls, plan: { events }, startMs, instances, storeFaults } = record
  const listSpans = (isFaulty: boolean): TimeSpan[] => events.filter(({ fault }) => bytesFaults.has(fault) === isFaulty).map(({ atMs, durationMs }) => ({ fromMs: startMs + atMs, toMs: startMs + atMs + durationMs }))
  const [faulty, others] = [listSpans(true), [...listSpans(false), ...storeFaults, ...instances.flatMap(({ cuts, disturbances, strains }) => [...cuts, ...disturbances, ...strains])]]
  const concerned = calls.filter(call => isWithin(faulty, call.sentAtMs, call.sentAtMs) && !isWithin(others, call.sentAtMs - stableMs, call.endedAtMs) && !hasRunAtFaulty(call, record, runs))
  const served = concerned.filter(({ status }) => status === 200).length
  return concerned.length - served > Math.max(maxLosses, concerned.length * (1 - minUndisturbedShare)) ? [`SERVED: ${served} of ${concerned.length} requests beside faulty targets and callers`] : []
}

/** Checks that no instance takes more memory than its limit. */
function checkMemory ({ instances, memoryMb = Infinity }: SoakRecord): string[] {
  return instances.flatMap(({ name, process }) => {
    const peakMb = process.getPeakBytes() / bytesPerMb
    return peakMb > memoryMb ? [`MEMORY: ${name} took ${Math.round(peakMb)} MB, ${memoryMb} MB are allowed`] : []
  })
}
