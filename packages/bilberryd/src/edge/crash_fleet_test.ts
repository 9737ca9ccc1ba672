import type { CrashEvidence } from '@bilberryworks/steering'
import { computeHash, createCrashEvidence } from '@bilberryworks/steering'
import test from 'ava'
import { createEvents } from './_virtual_events.ts'
import { formatUpdate, parseUpdate } from './peer_view.ts'

const stableMs = 4_000
const durationMs = 40_000
const slots = 3
const newsMs = 250
const poison = 'poison'

interface FleetOptions {
  instances: number
  targets: number
  /** Mean time between two requests of the fleet, in milliseconds. */
  requestIntervalMs: number
  /** Mean time between two repeats of the request that crashes targets, in milliseconds; none by default. */
  poisonIntervalMs?: number
  /** Time between two losses of a quarter of the targets, in milliseconds; none by default. */
  lossIntervalMs?: number
  getRandom: () => number
}

interface FleetResult { lateRetries: number, crashes: number, sent: number, refused: number }

interface RunningRequest { fingerprint: string, instance: number, isLost: boolean }

/** Simulates a fleet whose instances tell each other of targets that end under requests, with heartbeats that are delayed and lost. */
function simulateFleet ({ instances, targets, getRandom, ...options }: FleetOptions): FleetResult {
  const events = createEvents()
  const fleet = Array.from({ length: instances }, () => ({ evidence: createCrashEvidence(), revision: 0, sequence: 0 }))
  const running = Array.from({ length: targets }, () => new Set<RunningRequest>())
  const runs: number[] = Array.from({ length: targets }, () => 1)
  const isUp: boolean[] = Array.from({ length: targets }, () => true)
  const crashTimes: number[] = []
  const result: FleetResult = { lateRetries: 0, crashes: 0, sent: 0, refused: 0 }
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
      // Half of the callers send the request again, once.
      if (request.fingerprint !== poison && !request.fingerprint.endsWith('+') && getRandom() < 0.5) events.add(nowMs + 100 + getRandom() * 500, () => sendRequest(`${request.fingerprint}`, true))
    }
    running[target]!.clear()
    events.add(nowMs + 2_000 + getRandom() * 3_000, () => { isUp[target] = true })
  }

  function sendRequest (fingerprint: string, isRepeat = false): void {
    const instance = pick(instances)
    const { evidence } = fleet[instance]!
    const target = runs.map((_, index) => index).filter(index => isUp[index] && running[index]!.size < slots).at(pick(targets) % targets)
    if (fingerprint !== poison) result.sent++
    if (evidence.findQuarantine(fingerprint, nowMs) !== undefined) {
      if (fingerprint !== poison) result.refused++
      return
    }
    if (target === undefined) return
    const request: RunningRequest = { fingerprint, instance, isLost: false }
    running[target]!.add(request)
    if (fingerprint === poison) {
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
    if (isRepeat) requests++
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
      if (other === index || getRandom() < 0.05) continue
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

  const { poisonIntervalMs, lossIntervalMs } = options
  for (const index of fleet.keys()) events.add(getRandom() * newsMs, () => sendNews(index))
  scheduleEvery(() => drawMs(options.requestIntervalMs), () => sendRequest(`r${requests++}`))
  if (poisonIntervalMs !== undefined) scheduleEvery(() => drawMs(poisonIntervalMs), () => sendRequest(poison))
  if (lossIntervalMs !== undefined) scheduleEvery(() => lossIntervalMs, () => runs.forEach((_, target) => { if (target % 4 === 0) stopTarget(target) }))
  for (let event = events.take(); event !== undefined && event.atMs <= durationMs; event = events.take()) {
    nowMs = event.atMs
    event.run()
  }
  return result
}

function createRandom (seed: string): () => number {
  let draws = 0
  return () => computeHash(`${seed} ${draws++}`) / 2 ** 32
}

function runSeeds (title: string, seeds: number, options: Omit<FleetOptions, 'getRandom'>): FleetResult[] {
  return Array.from({ length: seeds }, (_, index) => simulateFleet({ ...options, getRandom: createRandom(`${title} ${index}`) }))
}

for (const [title, size] of [['7 instances', { instances: 7, targets: 20, requestIntervalMs: 25 }], ['29 instances', { instances: 29, targets: 120, requestIntervalMs: 8 }]] as const) {
  for (const poisonIntervalMs of [80, 400, 2_000]) {
    test(`${title} stop sending a request that crashes targets and is repeated every ${poisonIntervalMs} ms, and few others`, t => {
      const results = runSeeds(`${title} ${poisonIntervalMs}`, 10, { ...size, poisonIntervalMs })
      t.deepEqual(results.filter(({ lateRetries }) => lateRetries > 3), [])
      const [sent, refused, crashes] = (['sent', 'refused', 'crashes'] as const).map(name => results.reduce((sum, result) => sum + result[name], 0))
      t.true(refused! <= sent! / 1_000, `${refused} of ${sent} other requests were refused`)
      t.log(`${(crashes! / results.length).toFixed(1)} targets ended in the mean, ${refused} of ${sent} other requests were refused`)
    })
  }

  test(`${title} refuse no request while a quarter of the targets is lost, again and again`, t => {
    const results = runSeeds(`${title} loss`, 10, { ...size, lossIntervalMs: 6_000 })
    t.deepEqual(results.filter(({ refused }) => refused > 0), [])
  })
}
