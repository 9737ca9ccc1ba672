/**
 * Plans ways in which targets of a simulated fleet become cold, with what instances know of it cut down.
 *
 * @module
 */
import type { FleetEvent, FleetPlan } from './partition_plan.ts'
import { LinkState } from './fleet_connection.ts'
import { FleetEventKind } from './partition_plan.ts'

/** How targets become cold. */
export enum ColdTrouble {
  /** Single targets end, and start again before their rows change. */
  Restarts = 'restarts',
  /** A failure domain loses power, and comes back. */
  Domain = 'domain',
  /** Targets end and start again while no row reaches the instances. */
  StoreAway = 'store_away',
  /** No instance hears of any other while targets end and start again. */
  Alone = 'alone',
  /** Targets become cold while they run. */
  Chilled = 'chilled',
  /** An evacuated failure domain is taken back, with cold targets whose rows come late. */
  Evacuated = 'evacuated',
  /** The rows of cold targets lapse and come back. */
  Lapsed = 'lapsed'
}

/** Options of {@linkcode createColdPlan}. */
export interface CreateColdPlanOptions {
  /** Number of instances. */
  instances: number
  /** How targets become cold. */
  trouble: ColdTrouble
  /** Returns a random number in [0, 1). */
  getRandom: () => number
}

const failureDomains = ['north-a', 'mid-a', 'south-a', 'north-b', 'mid-b', 'south-b']
const noEffect = { instances: [], targets: [], peers: [], link: LinkState.Open, isDark: false, factor: 1, pauseSeconds: undefined }
const coldMs = 3_000
/** Time that a row takes on the users' platform, with the pause between two reads of an instance, in milliseconds. */
const usualRowDelayMs = 1_500
const smallFleet = 10
const largeFleet = 60
const firstEventMs = 8_000
const roundMs = 9_000
const rounds = 3

/**
 * Creates a plan.
 *
 * @param options Size, trouble and random source
 * @returns The plan
 */
export function createColdPlan ({ instances, trouble, getRandom }: CreateColdPlanOptions): FleetPlan {
  const targets = Math.round(instances * 4.5)
  const allInstances = Array.from({ length: instances }, (_, index) => `entry-${index}`)
  const allTargets = Array.from({ length: targets }, (_, index) => `t${index}`)
  const events: FleetEvent[] = []
  const draw = (fromMs: number, toMs: number): number => fromMs + getRandom() * (toMs - fromMs)
  const add = (atMs: number, kind: FleetEventKind, effect: Partial<FleetEvent> = {}): void => { events.push({ ...noEffect, atMs, kind, ...effect }) }
  const takeShare = (share: number): string[] => allTargets.filter(() => getRandom() < share)

  function scheduleRestart (ids: string[], { atMs, downMs, isDark = false }: { atMs: number, downMs: number, isDark?: boolean }): void {
    add(atMs, FleetEventKind.StopTargets, { targets: ids, isDark })
    add(atMs + downMs, FleetEventKind.StartTargets, { targets: ids })
  }

  function addRound (atMs: number): void {
    const domain = failureDomains[Math.floor(getRandom() * failureDomains.length)]!
    const inDomain = allTargets.filter((_, index) => failureDomains[index % failureDomains.length] === domain)
    const downMs = draw(300, 3_000)
    switch (trouble) {
      case ColdTrouble.Restarts:
        for (const id of takeShare(0.3)) scheduleRestart([id], { atMs: draw(atMs, atMs + 3_000), downMs: draw(200, 3_000) })
        break
      case ColdTrouble.Domain:
        scheduleRestart(inDomain, { atMs, downMs, isDark: getRandom() < 0.5 })
        break
      case ColdTrouble.StoreAway:
        add(atMs, FleetEventKind.DelayRows, { factor: 7_000 })
        for (const id of takeShare(0.3)) scheduleRestart([id], { atMs: draw(atMs, atMs + 3_000), downMs: draw(200, 3_000), isDark: getRandom() < 0.3 })
        add(atMs + 7_000, FleetEventKind.DelayRows, { factor: usualRowDelayMs })
        break
      case ColdTrouble.Alone:
        add(atMs - 2_000, FleetEventKind.Link, { instances: allInstances, peers: allInstances, link: LinkState.Hanging })
        scheduleRestart(takeShare(0.3), { atMs: atMs + 4_000, downMs: 200 })
        add(atMs + 6_900, FleetEventKind.Link, { instances: allInstances, peers: allInstances })
        break
      case ColdTrouble.Chilled:
        add(atMs, FleetEventKind.ChillTargets, { targets: takeShare(0.3) })
        break
      case ColdTrouble.Evacuated:
        add(atMs, FleetEventKind.Evacuate, { peers: [domain] })
        add(atMs + 4_000, FleetEventKind.Restore, { peers: [domain], isDark: true })
        break
      case ColdTrouble.Lapsed: {
        const lapsing = takeShare(0.3)
        scheduleRestart(lapsing, { atMs, downMs: 200 })
        add(atMs + 2_300, FleetEventKind.LapseTargets, { targets: lapsing })
        add(atMs + 2_400, FleetEventKind.RegisterTargets, { targets: lapsing })
      }
    }
    if (getRandom() < 0.5) {
      add(atMs, FleetEventKind.Load, { factor: 2 })
      add(atMs + 5_000, FleetEventKind.Load)
    }
  }

  add(0, FleetEventKind.DelayRows, { factor: trouble === ColdTrouble.Lapsed ? 0 : usualRowDelayMs })
  for (let round = 0; round < rounds; round++) addRound(firstEventMs + round * roundMs)
  return {
    instances,
    targets,
    failureDomains,
    callers: instances * 20,
    objects: targets * 2,
    requestsPerSecond: instances * 8,
    meanProcessingMs: 900,
    warmUpMs: 3_000,
    durationMs: firstEventMs + rounds * roundMs,
    homeRegions: [],
    cold: { forMs: coldMs, slowness: 2, perSecond: 2.4, slack: findSlack(instances) },
    events,
    fullCuts: []
  }
}

/** Returns the slack of the users' installations of a size. */
function findSlack (instances: number): number {
  if (instances < smallFleet) return 5
  return instances < largeFleet ? 8 : 10
}
