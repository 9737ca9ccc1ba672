/**
 * Simulates a fleet that meets a request which crashes targets: instances tell each other of targets that end under
 * requests, with heartbeats that are delayed and lost.
 *
 * @module
 */
import type { CrashEvidence } from '@bilberryworks/steering'
import { createCrashEvidence } from '@bilberryworks/steering'
import { formatUpdate, parseUpdate } from 'bilberryd'
import { createEvents } from './virtual_events.ts'

const stableMs = 4_000
const durationMs = 40_000
const slots = 3
const newsMs = 250
/** Fingerprint of the request that crashes targets. */
const crashing = 'crashing'

/** Options of {@linkcode simulateCrashFleet}. */
export interface SimulateCrashFleetOptions {
  /** Number of instances. */
  instances: number
  /** Number of targets. */
  targets: number
  /** Mean time between two requests of the fleet, in milliseconds. */
  requestIntervalMs: number
  /** Mean time between two repeats of the request that crashes targets, in milliseconds; none by default. */
  crashingIntervalMs?: number
  /** Time between two losses of a quarter of the targets, in milliseconds; none by default. */
  lossIntervalMs?: number
  /** Whether the instances hear nothing of each other, as a fault of the exchange; false by default. */
  isSilent?: boolean
  /** Returns a random number in [0, 1). */
  getRandom: () => number
}

/** Result of a simulation. */
export interface CrashFleetResult {
  /** Requests that crash targets and were sent later than the stability window after the third target had ended. */
  lateRetries: number
  /** Targets that ended under such a request. */
  crashes: number
  /** Other requests. */
  sent: number
  /** Other requests that were refused. */
  refused: number
}

interface RunningRequest { fingerprint: string, instance: number, isLost: boolean }

/**
 * Simulates the fleet for 40 s.
 *
 * @param options Size, load, and what happens
 * @returns How many targets ended, and how many requests were refused
 */
export function simulateCrashFleet ({ instances, targets, getRandom, ...options }: SimulateCrashFleetOptions): CrashFleetResult {
  const events = createEvents()
  const fleet = Array.from({ length: instances }, () => ({ evidence: createCrashEvidence(), revision: 0, sequence: 0 }))
  const running = Array.from({ length: targets }, () => new Set<RunningRequest>())
  const runs: number[] = Array.from({ length: targets }, () => 1)
  const isUp: boolean[] = Array.from({ length: targets }, () => true)
  const crashTimes: number[] = []
  const result: CrashFleetResult = { lateRetries: 0, crashes: 0, sent: 0, refused: 0 }
  let nowMs = 0
  let requests = 0

  const pick = (count: number): number => Math.floor(getRandom() * count)
  const drawMs = (meanMs: number): number => -Math.log(1 - getRandom()) * meanMs

  function stopTarget (target: number): void {
    if (!isUp[target]) return
    isUp[target] = false
    const run = `${target}.${runs[target]!++}`
    for (const request of running[target]!) {
      request.isLost = true
      events.add(nowMs + 1 + getRandom() * 120, () => fleet[request.instance]!.evidence.recordCrash(request.fingerprint, run, nowMs))
      // Half of the callers send the request again.
      if (request.fingerprint !== crashing && getRandom() < 0.5) events.add(nowMs + 100 + getRandom() * 500, () => sendRequest(request.fingerprint))
    }
    running[target]!.clear()
    events.add(nowMs + 2_000 + getRandom() * 3_000, () => { isUp[target] = true })
  }

  function sendRequest (fingerprint: string): void {
    const instance = pick(instances)
    const { evidence } = fleet[instance]!
    const usable = runs.map((_, index) => index).filter(index => isUp[index] && running[index]!.size < slots)
    const target = usable[pick(usable.length)]
    if (fingerprint !== crashing) result.sent++
    if (evidence.findQuarantine(fingerprint, nowMs) !== undefined) {
      if (fingerprint !== crashing) result.refused++
      return
    }
    if (target === undefined) return
    const request: RunningRequest = { fingerprint, instance, isLost: false }
    running[target]!.add(request)
    if (fingerprint === crashing) {
      if (crashTimes.length >= 3 && nowMs > crashTimes[2]! + stableMs) result.lateRetries++
      events.add(nowMs + 50, () => {
        crashTimes.push(nowMs)
        result.crashes++
        stopTarget(target)
      })
      return
    }
    events.add(nowMs + 200 + getRandom() * 800, () => {
      if (request.isLost) return
      running[target]!.delete(request)
      if (!evidence.isEmpty()) evidence.recordResponse(fingerprint, nowMs)
    })
  }

  function sendNews (index: number): void {
    const sender = fleet[index]!
    const isNews = sender.evidence.getRevision() !== sender.revision
    sender.revision = sender.evidence.getRevision()
    if (isNews || sender.sequence++ % 4 === 0) sendReports(sender.evidence, index)
    events.add(nowMs + newsMs, () => sendNews(index))
  }

  function sendReports (evidence: CrashEvidence, index: number): void {
    const text = formatUpdate({ instance: `entry-${index}`, startedAtMs: 1, sequence: 1, isReady: true, versions: {}, demand: {}, crashReports: evidence.listRecent(nowMs) })
    for (const [other, receiver] of fleet.entries()) {
      if (other === index || options.isSilent === true || getRandom() < 0.05) continue
      events.add(nowMs + 1 + getRandom() * 60, () => {
        for (const report of parseUpdate(text)!.crashReports ?? []) receiver.evidence.merge(report, nowMs)
      })
    }
  }

  function scheduleEvery (drawIntervalMs: () => number, run: () => void): void {
    events.add(nowMs + drawIntervalMs(), () => {
      run()
      scheduleEvery(drawIntervalMs, run)
    })
  }

  const { crashingIntervalMs, lossIntervalMs } = options
  for (const index of fleet.keys()) events.add(getRandom() * newsMs, () => sendNews(index))
  scheduleEvery(() => drawMs(options.requestIntervalMs), () => sendRequest(`r${requests++}`))
  if (crashingIntervalMs !== undefined) scheduleEvery(() => drawMs(crashingIntervalMs), () => sendRequest(crashing))
  if (lossIntervalMs !== undefined) scheduleEvery(() => lossIntervalMs, () => runs.forEach((_, target) => { if (target % 4 === 0) stopTarget(target) }))
  for (let event = events.take(); event !== undefined && event.atMs <= durationMs; event = events.take()) {
    nowMs = event.atMs
    event.run()
  }
  return result
}
