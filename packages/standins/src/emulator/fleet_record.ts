/**
 * What is recorded of a simulated fleet.
 *
 * @module
 */
import type { Arrival, NamedPause } from './fleet_target.ts'

/** A caller's first attempt. */
export interface FleetAttempt {
  /** Identifier. */
  id: string
  /** Name of the instance that the caller connected to. */
  instance: string
  /** Whether it must run at most once. */
  isUnsafe: boolean
  /** Virtual time at which it was sent, and at which it ended, in milliseconds; the latter is `Infinity` until then. */
  sentAtMs: number
  endedAtMs: number
  /** Status of the response; `undefined` if the connection broke. */
  status: number | undefined
  /** `Bilberry-Outcome` of the response, if it was a refusal. */
  outcome: string | undefined
  /** Time that the caller waits, in milliseconds. */
  timeLeftMs: number
}

/** A response of a leaving target that an instance passed on. */
export interface PassedLeaving {
  /** Name of the instance. */
  instance: string
  /** Identifier of the target, and its run. */
  target: string
  run: number
  /** Virtual time, in milliseconds. */
  atMs: number
}

/** A change of whether an instance has a path to the targets of a failure domain, by its own judgement. */
export interface ReachVerdict {
  /** Name of the instance. */
  instance: string
  /** Failure domain of the targets. */
  failureDomain: string
  /** Whether they are out of reach. */
  isLost: boolean
  /** Time for which it has been possible to establish connections to any of them, in milliseconds; 0 if it is not. */
  reachableForMs: number
  /** Virtual time, in milliseconds. */
  atMs: number
}

/** What was recorded in a simulation. */
export interface FleetRecord {
  /** All attempts of callers. */
  attempts: FleetAttempt[]
  /** All requests that reached targets. */
  arrivals: Arrival[]
  /** Pauses that targets asked for. */
  pauses: NamedPause[]
  /** Responses of leaving targets that were passed on. */
  passedLeavings: PassedLeaving[]
  /** Judgements of the instances on their paths. */
  verdicts: ReachVerdict[]
  /** Times at which instances were killed, by name, in milliseconds. */
  kills: Map<string, number[]>
  /** Number of requests that went through another instance. */
  relayed: number
  /** Time for which a path between instances held up an attempt, by identifier, in milliseconds. */
  heldMs: Map<string, number>
  /** Log lines of attempts that are traced. */
  trace: string[]
}

/**
 * Creates an empty record.
 *
 * @returns The record
 */
export function createFleetRecord (): FleetRecord {
  return { attempts: [], arrivals: [], pauses: [], passedLeavings: [], verdicts: [], kills: new Map(), relayed: 0, heldMs: new Map(), trace: [] }
}
