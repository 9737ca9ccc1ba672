/**
 * Plans what happens to a simulated fleet: partial partitions, and trouble that overlaps with them.
 *
 * @module
 */
import { LinkState } from './fleet_connection.ts'

/** Kind of an event. */
export enum FleetEventKind {
  /** The paths from instances to targets and other instances change. */
  Link = 'link',
  /** Instances are killed; each starts again after a short time. */
  KillInstances = 'kill_instances',
  /** Targets end, or lose power. */
  StopTargets = 'stop_targets',
  /** Stopped targets start again. */
  StartTargets = 'start_targets',
  /** Requests at targets take longer. */
  SlowTargets = 'slow_targets',
  /** Targets refuse requests and ask for pauses. */
  PauseTargets = 'pause_targets',
  /** Targets run a share of the requests, given by `factor`, and break their connections. */
  LossyTargets = 'lossy_targets',
  /** Targets say in their responses that they leave, some seconds before their registration does. */
  LeaveTargets = 'leave_targets',
  /** Targets become cold while they run, and register it with their next heartbeat. */
  ChillTargets = 'chill_targets',
  /** The registrations of targets lapse although they run. */
  LapseTargets = 'lapse_targets',
  /** Targets register again, as they are. */
  RegisterTargets = 'register_targets',
  /** A failure domain, the only one in `peers`, is evacuated; its targets are cold from then on if `isDark`. */
  Evacuate = 'evacuate',
  /** The failure domain is taken back, and its targets become cold if `isDark`. */
  Restore = 'restore',
  /** The rows of targets reach the instances later by `factor` milliseconds from now on. */
  DelayRows = 'delay_rows',
  /** Callers send more or fewer requests. */
  Load = 'load'
}

/** An event; what does not concern its kind is empty. */
export interface FleetEvent {
  /** Virtual time, in milliseconds. */
  atMs: number
  /** Kind of the event. */
  kind: FleetEventKind
  /** Names of instances. */
  instances: string[]
  /** Identifiers of targets. */
  targets: string[]
  /** Names of the instances to which paths change. */
  peers: string[]
  /** State of the paths. */
  link: LinkState
  /** Whether targets lose power, so that they do not even refuse connections. */
  isDark: boolean
  /** Factor of the processing time or of the load. */
  factor: number
  /** Pause that targets ask for, in seconds; none if `undefined`. */
  pauseSeconds: number | undefined
}

/** A time for which an instance has no path to any target, though callers and other instances reach it. */
export interface FullCut {
  /** Name of the instance. */
  instance: string
  /** Begin and end in virtual time, in milliseconds. */
  fromMs: number
  toMs: number
}

/** How cold targets are limited. */
export interface ColdPlan {
  /** Time for which a target that has started is cold, in milliseconds. */
  forMs: number
  /** Factor by which requests at a cold target take longer. */
  slowness: number
  /** Rate that a cold target accepts, in requests per second. */
  perSecond: number
  /** Requests in a second that are allowed beyond 1.5 times that rate. */
  slack: number
}

/** What happens in a simulation. */
export interface FleetPlan {
  /** Number of instances, which are named `entry-0` and so on. */
  instances: number
  /** Number of targets, which are named `t0` and so on. */
  targets: number
  /** Failure domains; instance and target number n are in number n modulo their count. */
  failureDomains: string[]
  /** Number of callers. */
  callers: number
  /** Number of objects that requests concern. */
  objects: number
  /** Requests of all callers, per second. */
  requestsPerSecond: number
  /** Mean processing time of a request, in milliseconds. */
  meanProcessingMs: number
  /** Time before the first request, in milliseconds. */
  warmUpMs: number
  /** Duration, in milliseconds. */
  durationMs: number
  /** Regions in which requests may be served; empty if any region may. */
  homeRegions: string[]
  /** Limits of cold targets; targets that start are not cold if `undefined`. */
  cold?: ColdPlan
  /** Events, in any order. */
  events: FleetEvent[]
  /** Times without a path to any target. */
  fullCuts: FullCut[]
}

/** Trouble of a plan. */
export enum FleetTrouble {
  /** Instances lose their paths to targets in several ways, at the same time as other trouble. */
  Partitions = 'partitions',
  /** As `Partitions`, without other trouble. */
  PartitionsAlone = 'partitions_alone',
  /** Targets are slow, lose power by failure domain, or are replaced, and callers send too much; no path is lost. */
  Targets = 'targets'
}

/** Options of {@linkcode createFleetPlan}. */
export interface CreateFleetPlanOptions {
  /** Number of instances. */
  instances: number
  /** Trouble. */
  trouble: FleetTrouble
  /** Returns a random number in [0, 1). */
  getRandom: () => number
}

const failureDomains = ['north-a', 'mid-a', 'south-a', 'north-b', 'mid-b', 'south-b']
const noEffect = { instances: [], targets: [], peers: [], link: LinkState.Open, isDark: false, factor: 1, pauseSeconds: undefined }
const cutLinks = [LinkState.Reset, LinkState.Hanging, LinkState.RefusingNew, LinkState.LosingResponses]
const durationMs = 40_000
const firstEventMs = 8_000
const lastEventMs = 36_000

/**
 * Creates a plan.
 *
 * @param options Size, trouble and random source
 * @returns The plan
 */
export function createFleetPlan ({ instances, trouble, getRandom }: CreateFleetPlanOptions): FleetPlan {
  const targets = Math.round(instances * 4.5)
  const plan: FleetPlan = {
    instances,
    targets,
    failureDomains,
    callers: instances * 20,
    objects: targets * 2,
    requestsPerSecond: instances * 8,
    meanProcessingMs: 250,
    warmUpMs: 3_000,
    durationMs,
    homeRegions: trouble !== FleetTrouble.Targets && getRandom() < 0.25 ? ['north', 'mid'] : [],
    events: [],
    fullCuts: []
  }
  const pick = <T>(items: readonly T[]): T => items[Math.floor(getRandom() * items.length)]!
  const draw = (fromMs: number, toMs: number): number => fromMs + getRandom() * (toMs - fromMs)
  const list = (count: number, prefix: string): string[] => Array.from({ length: count }, (_, index) => `${prefix}${index}`)
  const allTargets = list(targets, 't')
  const allInstances = list(instances, 'entry-')
  const selectDomain = (names: string[], domain: number): string[] => names.filter((_, index) => index % failureDomains.length === domain)
  const add = (atMs: number, kind: FleetEventKind, effect: Partial<FleetEvent>): void => { plan.events.push({ ...noEffect, atMs, kind, ...effect }) }
  const takeShare = (names: string[], share: number): string[] => names.filter(() => getRandom() < share)

  function addCut (): void {
    const domain = Math.floor(getRandom() * failureDomains.length)
    const inDomain = selectDomain(allInstances, domain)
    const cut = pick([[pick(inDomain)], inDomain, takeShare(allInstances, 0.3)])
    const fromMs = draw(firstEventMs, 24_000)
    const toMs = fromMs + draw(6_000, 11_000)
    const isFull = getRandom() < 0.7
    const lost = isFull ? allTargets : pick([selectDomain(allTargets, Math.floor(getRandom() * failureDomains.length)), takeShare(allTargets, 0.5)])
    const link = pick(cutLinks)
    add(fromMs, FleetEventKind.Link, { instances: cut, targets: lost, link })
    add(toMs, FleetEventKind.Link, { instances: cut, targets: lost })
    if (isFull) for (const instance of cut) plan.fullCuts.push({ instance, fromMs, toMs })
  }

  function addTrouble (): void {
    const atMs = draw(firstEventMs, lastEventMs - 6_000)
    const affected = takeShare(allTargets, 0.2)
    const untilMs = atMs + draw(2_000, 6_000)
    pick([
      () => add(atMs, FleetEventKind.KillInstances, { instances: [pick(allInstances)] }),
      () => {
        const [from, to] = [pick(allInstances), takeShare(allInstances, 0.3)]
        add(atMs, FleetEventKind.Link, { instances: [from], peers: to, link: LinkState.Hanging })
        add(untilMs, FleetEventKind.Link, { instances: [from], peers: to })
      },
      () => {
        add(atMs, FleetEventKind.StopTargets, { targets: affected })
        add(untilMs, FleetEventKind.StartTargets, { targets: affected })
      },
      () => {
        const refusing = getRandom() < 0.4 ? allTargets : affected
        add(atMs, FleetEventKind.PauseTargets, { targets: refusing, pauseSeconds: Math.floor(getRandom() * 4) })
        add(untilMs, FleetEventKind.PauseTargets, { targets: refusing })
      },
      () => {
        add(atMs, FleetEventKind.LossyTargets, { targets: allTargets, factor: 0.15 })
        add(untilMs, FleetEventKind.LossyTargets, { targets: allTargets, factor: 0 })
      },
      () => add(atMs, FleetEventKind.LeaveTargets, { targets: affected.slice(0, Math.max(1, targets / 10)) }),
      () => {
        add(atMs, FleetEventKind.Load, { factor: 2 })
        add(untilMs, FleetEventKind.Load, {})
      }
    ])()
  }

  function addTargetTrouble (): void {
    const atMs = draw(firstEventMs, lastEventMs - 8_000)
    const untilMs = atMs + draw(3_000, 8_000)
    const domain = selectDomain(allTargets, Math.floor(getRandom() * failureDomains.length))
    pick([
      () => {
        add(atMs, FleetEventKind.SlowTargets, { targets: allTargets, factor: 4 })
        add(untilMs, FleetEventKind.SlowTargets, { targets: allTargets })
      },
      () => {
        add(atMs, FleetEventKind.StopTargets, { targets: domain, isDark: getRandom() < 0.5 })
        add(untilMs, FleetEventKind.StartTargets, { targets: domain })
      },
      () => allTargets.forEach((id, index) => {
        const stopMs = atMs + index * 150
        add(stopMs, FleetEventKind.StopTargets, { targets: [id] })
        add(stopMs + 1_000, FleetEventKind.StartTargets, { targets: [id] })
      }),
      () => {
        add(atMs, FleetEventKind.Load, { factor: 6 })
        add(untilMs, FleetEventKind.Load, {})
      }
    ])()
  }

  if (trouble === FleetTrouble.Targets) for (let count = 0; count < 3; count++) addTargetTrouble()
  else for (let count = 0; count < 1 + Math.floor(getRandom() * 3); count++) addCut()
  if (trouble === FleetTrouble.Partitions) for (let count = 0; count < 3; count++) addTrouble()
  return plan
}
