/**
 * The state of a simulated fleet that its parts share: clock, targets, instances, paths and records.
 *
 * @module
 */
import type { EntrySettings } from '@bilberryworks/steering'
import type { EntryComponents } from 'bilberryd'
import type { FleetPool } from './fleet_pool.ts'
import type { FleetRecord } from './fleet_record.ts'
import type { FleetTarget } from './fleet_target.ts'
import type { FleetPlan } from './partition_plan.ts'
import type { VirtualTimers } from './virtual_timers.ts'
import { LinkState } from './fleet_connection.ts'
import { createFleetRecord } from './fleet_record.ts'

/** A fault that is put into a fleet, so that a check must notice it. */
export enum FleetMutant {
  /** No request goes through another instance. */
  NoRelay = 'no_relay',
  /** A request whose relaying instance is lost is delivered to another one, too. */
  ResendLost = 'resend_lost',
  /** An instance that relays says that a request has not run although that is unknown. */
  FalseNotRun = 'false_not_run',
  /** Instances do not read the pauses that targets ask for. */
  IgnorePauses = 'ignore_pauses',
  /** Instances do not read that targets leave. */
  IgnoreLeaving = 'ignore_leaving',
  /** The retry budget has no limit. */
  NoRetryBudget = 'no_retry_budget',
  /** Requests through another instance have as much time as if they had just been sent. */
  RenewTime = 'renew_time'
}

/** A run of an entry instance. */
export interface FleetInstance {
  /** Name. */
  name: string
  /** Settings. */
  settings: EntrySettings
  /** The product's parts. */
  components: EntryComponents
  /** Connections to targets, and to other instances. */
  pool: FleetPool
  peerPool: FleetPool
  /** Number of the run, from 1. */
  run: number
  /** Whether its process runs. */
  isUp: boolean
}

/** A row of a target in the store. */
export interface FleetRow {
  /** Identifier of the target. */
  key: string
  /** Value, as text. */
  text: string
  /** Version of the store. */
  version: number
}

/** What the parts of a simulated fleet share. */
export interface FleetWorld {
  /** The clock. */
  clock: VirtualTimers
  /** What happens. */
  plan: FleetPlan
  /** Fault of the fleet. */
  mutant: FleetMutant | undefined
  /** Prefix of the identifiers of attempts whose log lines are kept. */
  traceId: string | undefined
  /** Whether look-ups leave out instances that reach no target. */
  isSteered: boolean
  /** Returns a random number in [0, 1). */
  getRandom: () => number
  /** What has been recorded. */
  record: FleetRecord
  /** Targets, by identifier. */
  targets: Map<string, FleetTarget>
  /** Latest run of each instance, by name. */
  instances: Map<string, FleetInstance>
  /** Rows of the targets. */
  rows: Map<string, FleetRow>
  /** Version of the store of the last removal of a row, or change of another table. */
  removedVersion: number
  /** Time by which rows of targets reach the instances later than usual, in milliseconds. */
  rowDelayMs: number
  /** Returns the state of the path from an instance to a target or another instance. */
  getLink (from: string, to: string): LinkState
  /** Returns the time at which that path was opened again, in milliseconds; 0 if it was never cut. */
  getOpenSinceMs (from: string, to: string): number
  /** Changes the paths from instances to targets and other instances. */
  changeLinks (from: readonly string[], to: readonly string[], state: LinkState): void
}

const latenciesMs = { sameDomain: 0.3, sameRegion: 1, otherRegion: 30 }

/** Service of all targets. */
export const fleetService = 'svc'
/** Host of all routes. */
export const fleetHost = 'site.example'
/** Bounds that the fleet has to keep. */
export const fleetBounds = { stableMs: 4_000, drainMs: 2_500, graceMs: 6_000, configMs: 2_500, retryRatio: 0.2, retrySlack: 56, budgetWindowMs: 10_000, coldOver: 1.5, coldSlack: 5, maxLookUpTtlMs: 5_000 }

/**
 * Creates a world without targets and instances.
 *
 * @param options Clock, plan, random source and fault
 * @returns The world
 */
export function createFleetWorld (options: Pick<FleetWorld, 'clock' | 'plan' | 'mutant' | 'traceId' | 'isSteered' | 'getRandom'>): FleetWorld {
  const links = new Map<string, LinkState>()
  const openSinceMs = new Map<string, number>()
  const instances = new Map<string, FleetInstance>()
  return {
    ...options,
    record: createFleetRecord(),
    targets: new Map(),
    instances,
    rows: new Map(),
    removedVersion: 0,
    rowDelayMs: 0,
    getLink: (from, to) => links.get(`${from}>${to}`) ?? LinkState.Open,
    getOpenSinceMs: (from, to) => openSinceMs.get(`${from}>${to}`) ?? 0,
    changeLinks (from, to, state) {
      for (const a of from) {
        for (const b of to) {
          links.set(`${a}>${b}`, state)
          openSinceMs.set(`${a}>${b}`, options.clock.getNowMs())
        }
      }
      for (const { pool, peerPool } of instances.values()) {
        pool.applyLinks()
        peerPool.applyLinks()
      }
    }
  }
}

/**
 * Returns the region of a failure domain.
 *
 * @param failureDomain Region and suffix, joined by a hyphen
 * @returns The region
 */
export function getRegion (failureDomain: string): string {
  return failureDomain.slice(0, failureDomain.lastIndexOf('-'))
}

/**
 * Returns the latency between two failure domains in one direction.
 *
 * @param from The one
 * @param to The other
 * @returns The latency, in milliseconds
 */
export function computeLatencyMs (from: string, to: string): number {
  if (from === to) return latenciesMs.sameDomain
  return getRegion(from) === getRegion(to) ? latenciesMs.sameRegion : latenciesMs.otherRegion
}
