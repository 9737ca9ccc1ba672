/**
 * Simulates a fleet of instances that share a target which names a rate, on a virtual clock, with the modules that decide in
 * the product.
 *
 * @module
 */
import type { EntrySettings, RegisteredTarget, ServingTarget } from '@bilberryworks/steering'
import type { ResponseFields } from '@bilberryworks/users-platform'
import type { CreateTargetReportsOptions, CreateTargetSelectorOptions, PeerHeartbeat, PeerView, TargetReports, TargetSelector } from 'bilberryd'
import { PassThrough } from 'node:stream'
import { createTargetRegistry, createTargetSpeeds, recordTargetDispatch, recordTargetResult, TargetSignal } from '@bilberryworks/steering'
import { createEntryLog, createPeerView, createTargetReports, createTargetSelector, formatUpdate, parseUpdate } from 'bilberryd'
import { createEvents } from './virtual_events.ts'

/** A change of what the target names in its responses. */
export interface RateChange {
  /** Time of the change, in milliseconds. */
  atMs: number
  /** Rate that responses name from then on, in requests per second; `undefined` if they name none. */
  perSecond: number | undefined
}

/** Options of {@linkcode simulateRateFleet}. */
export interface SimulateRateFleetOptions {
  /** Number of instances. */
  instances: number
  /** Duration of the simulation, in milliseconds. */
  durationMs: number
  /** Requests per second of the whole fleet that select the target if it is usable. */
  requestsPerSecond: number
  /** What the target names. */
  changes: RateChange[]
  /** Restarts: the instance forgets everything, and is down for a second unless a time is given, in milliseconds. */
  restarts: Array<{ atMs: number, instance: number, downMs?: number }>
  /** Share of the heartbeats that are lost; 0 by default. */
  lostHeartbeatShare?: number
  /** Share of the responses that are delayed by up to a second, and so are overtaken by others. */
  delayedShare: number
  /** Share of the responses to which a target that names a rate does not add it. */
  omittedShare?: number
  /** Whether each instance takes itself for the only one, as a fault of the division; false by default. */
  isUndivided?: boolean
  /** Share of the instances that have all requests; 1 by default. */
  demandShare?: number
  /** Returns a random number in [0, 1). */
  getRandom: () => number
}

/** Result of a simulation. */
export interface RateFleetResult {
  /** Largest number of requests in a window from instances that the target had told, as a share of what is allowed there. */
  worstShare: number
  /** Requests that arrived while a rate was in force and its notice had passed, as a share of the rate. */
  usedShare: number
  /** Time from the last end of a rate until the target got half of its usual requests again, in milliseconds; `Infinity` if it did not, `undefined` if no rate ended. */
  recoveryMs: number | undefined
}

interface SimulatedInstance {
  name: string
  region: string
  startedAtMs: number
  isUp: boolean
  view: PeerView
  reports: TargetReports
  entry: RegisteredTarget
  selector: TargetSelector
  sequence: number
  toldAtMs: number
}

const windowMs = 4_000
const stableMs = 3_000
/** Time after which an instance that was told counts. */
const noticeMs = 500
const heartbeatMs = 1_000
const restartMs = 1_000
const regions = ['a', 'b', 'c']
const peerTimeoutMs = 5_200
const target: ServingTarget = { id: 't', service: 's', address: { host: '10.0.0.1', port: 1 }, failureDomain: 'a', slots: 6, leaving: false, coldLeftMs: 0, startedAtMs: 7 }

/**
 * Simulates the fleet.
 *
 * @param options Size, load, and what happens
 * @returns How far the requests kept to the rate, and how much of it they used
 */
export function simulateRateFleet (options: SimulateRateFleetOptions): RateFleetResult {
  const { getRandom } = options
  const events = createEvents()
  const arrivals: Array<{ atMs: number, instance: SimulatedInstance, toldAtMs: number }> = []
  let nowMs = 0
  const fleet = Array.from({ length: options.instances }, (_, index) => startInstance(`entry-${index}`, regions[index % regions.length]!))

  function startInstance (name: string, region: string): SimulatedInstance {
    const targets = createTargetRegistry()
    const view = createPeerView({ instance: name, getTimeoutMs: () => peerTimeoutMs, evictionMs: 120_000 })
    const entry = targets.register(target, { region: 'a', nowMs })
    const state = { targets, getRevision: () => 0, isEvacuated: () => false, isStoreReachable: () => true, getConfig: () => undefined } as unknown as CreateTargetReportsOptions['state'] & CreateTargetSelectorOptions['state']
    const reports = createTargetReports({
      reportCold: () => undefined,
      state,
      metrics: { countTargetReport: () => undefined } as unknown as CreateTargetReportsOptions['metrics'],
      log: createEntryLog(name, new PassThrough()),
      getNowMs: () => nowMs
    })
    const selector = createTargetSelector({
      settings: { instance: name, region, bounds: { coldOver: 1.5, coldSlack: 5 } } as EntrySettings,
      state,
      reach: { hasLost: () => false, isReached: () => true, isReachedByPeers: () => true, getFailingSinceMs: () => Infinity, isDoubtful: () => false },
      listInstances: () => [name, ...view.listLive(nowMs).map(peer => peer.heartbeat.instance)],
      listKnownInstances: () => [],
      isMembershipKnown: () => true,
      listContenders: targetId => options.isUndivided === true ? [] : view.listKnown().map(({ heartbeat: { instance } }) => ({ instance, mayClaim: reports.mayClaim(instance, targetId) })),
      getRegionShare: () => undefined,
      speeds: createTargetSpeeds(),
      getNowMs: () => nowMs
    })
    return { name, region, startedAtMs: nowMs, isUp: true, view, reports, entry, selector, sequence: 0, toldAtMs: Infinity }
  }

  function describeHeartbeat (sender: SimulatedInstance): PeerHeartbeat {
    const address = { host: sender.name, port: 1 }
    return { instance: sender.name, startedAtMs: sender.startedAtMs, sequence: sender.sequence++, isReady: true, versions: {}, demand: {}, failureDomain: sender.region, region: sender.region, callers: '', heartbeats: address, peers: address, targetReports: sender.reports.listRecent() }
  }

  function sendHeartbeats (index: number): void {
    const sender = fleet[index]!
    if (sender.isUp) {
      const heartbeat = describeHeartbeat(sender)
      const update = parseUpdate(formatUpdate(heartbeat))!
      for (const receiver of fleet) {
        if (receiver === sender || (receiver.region !== sender.region && heartbeat.sequence % 2 === 1) || getRandom() < (options.lostHeartbeatShare ?? 0)) continue
        events.add(nowMs + 1 + getRandom() * 30, () => {
          receiver.view.recordHeartbeat(heartbeat, nowMs)
          receiver.reports.handlePeerReports(sender.name, update.targetReports)
        })
      }
    }
    events.add(nowMs + heartbeatMs, () => sendHeartbeats(index))
  }

  function findNamedRate (): number | undefined {
    return options.changes.findLast(change => change.atMs <= nowMs)?.perSecond
  }

  function sendRequest (): void {
    events.add(nowMs + -Math.log(1 - getRandom()) * 1_000 / options.requestsPerSecond, sendRequest)
    const sender = fleet[Math.floor(getRandom() * Math.ceil(fleet.length * (options.demandShare ?? 1)))]!
    if (!sender.isUp) return
    const entry = sender.selector.findTarget({ attemptId: '', service: target.service, objectKey: 'o', homeRegions: [], tried: new Set() })
    if (entry === undefined) return
    recordTargetDispatch(entry, nowMs)
    const dispatchedAtMs = nowMs
    events.add(nowMs + 1 + getRandom() * 30, () => {
      arrivals.push({ atMs: nowMs, instance: sender, toldAtMs: sender.toldAtMs })
      events.add(nowMs + 200 + getRandom() * 300, () => sendResponse(sender, entry, dispatchedAtMs))
    })
  }

  function sendResponse (sender: SimulatedInstance, entry: RegisteredTarget, dispatchedAtMs: number): void {
    const named = findNamedRate()
    const acceptedPerSecond = getRandom() < (options.omittedShare ?? 0) ? undefined : named
    const delayMs = getRandom() < options.delayedShare ? getRandom() * 1_000 : 0
    const fields: ResponseFields = { attemptId: '', isNotRun: false, isSigned: true, isFromTarget: true, load: undefined, isLeaving: false, pauseMs: undefined, acceptedPerSecond, unreadableRate: undefined }
    events.add(nowMs + 1 + getRandom() * 30 + delayMs, () => {
      if (!sender.isUp) return
      if (acceptedPerSecond !== undefined) sender.toldAtMs = Math.min(sender.toldAtMs, nowMs)
      sender.reports.handleResponse(entry, fields, { dispatchedAtMs })
      recordTargetResult(entry, TargetSignal.Answered, { nowMs, getRandom, coldForMs: 0 })
    })
  }

  /** Tells an instance of the others, as its seeds do at its start. */
  function addPeers (receiver: SimulatedInstance): void {
    for (const peer of fleet) if (peer.isUp && peer !== receiver) receiver.view.recordHeartbeat(describeHeartbeat(peer), nowMs)
  }

  function scheduleRestart (index: number, downMs = restartMs): void {
    const before = fleet[index]!
    before.isUp = false
    events.add(nowMs + downMs, () => {
      const started = startInstance(before.name, before.region)
      fleet[index] = started
      addPeers(started)
    })
  }

  for (const receiver of fleet) addPeers(receiver)
  for (const index of fleet.keys()) events.add(getRandom() * heartbeatMs, () => sendHeartbeats(index))
  for (const { atMs, instance, downMs } of options.restarts) events.add(atMs, () => scheduleRestart(instance, downMs))
  events.add(0, sendRequest)
  for (let event = events.take(); event !== undefined && event.atMs <= options.durationMs; event = events.take()) {
    nowMs = event.atMs
    event.run()
  }
  const episodes = listEpisodes(options)
  return { worstShare: findWorstShare(arrivals, episodes), usedShare: computeUsedShare(arrivals, episodes), recoveryMs: findRecoveryMs(arrivals, options) }
}

interface Episode { startMs: number, endMs: number, perSecond: number }
type Arrival = { atMs: number, instance: SimulatedInstance, toldAtMs: number }

/** Lists the times in which the target names a rate, each from when it binds. */
function listEpisodes ({ changes, durationMs }: SimulateRateFleetOptions): Episode[] {
  return changes.flatMap(({ atMs, perSecond }, index) => perSecond === undefined ? [] : [{ startMs: atMs + stableMs, endMs: changes[index + 1]?.atMs ?? durationMs, perSecond }])
}

function findWorstShare (arrivals: Arrival[], episodes: Episode[]): number {
  let worst = 0
  for (const { startMs, endMs, perSecond } of episodes) {
    const counted = arrivals.filter(({ atMs, instance, toldAtMs }) => instance.isUp && atMs >= startMs && atMs < endMs && atMs >= toldAtMs + noticeMs)
    const allowed = Math.floor(1.5 * perSecond * windowMs / 1_000 + 5)
    for (let first = 0, last = 0; last < counted.length; last++) {
      while (counted[last]!.atMs - counted[first]!.atMs >= windowMs) first++
      worst = Math.max(worst, (last - first + 1) / allowed)
    }
  }
  return worst
}

function computeUsedShare (arrivals: Arrival[], episodes: Episode[]): number {
  const offered = episodes.reduce((sum, { startMs, endMs, perSecond }) => sum + Math.max(0, endMs - startMs) / 1_000 * perSecond, 0)
  const used = arrivals.filter(({ atMs }) => episodes.some(({ startMs, endMs }) => atMs >= startMs && atMs < endMs)).length
  return offered === 0 ? 1 : used / offered
}

function findRecoveryMs (arrivals: Arrival[], { changes, durationMs, requestsPerSecond }: SimulateRateFleetOptions): number | undefined {
  const last = changes.at(-1)
  if (last === undefined || last.perSecond !== undefined) return undefined
  for (let fromMs = last.atMs; fromMs + 2_000 <= durationMs; fromMs += 500) {
    if (arrivals.filter(({ atMs }) => atMs >= fromMs && atMs < fromMs + 2_000).length >= requestsPerSecond) return fromMs + 2_000 - last.atMs
  }
  return Infinity
}
