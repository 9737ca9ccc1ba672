/**
 * The circuit of a target: after failures in a row it takes nothing, then one request that probes it.
 *
 * @module
 */
import { RequestClass } from './outcomes.ts'

/** How an exchange with a target ended, as far as its health is concerned. */
export enum TargetSignal {
  /** The target answered. */
  Answered = 'answered',
  /** No connection. */
  ConnectFailed = 'connect_failed',
  /** The target said that it did not run the request. */
  Refused = 'refused',
  /** The connection broke. */
  Lost = 'lost',
  /** The exchange was given up; this says nothing of the target. */
  Ended = 'ended'
}

/** State of a circuit. */
export enum CircuitState {
  /** Requests pass. */
  Closed = 'closed',
  /** No request passes. */
  Open = 'open',
  /** One request at a time passes. */
  HalfOpen = 'half_open'
}

/** A circuit. */
export interface Circuit {
  /** Failures in a row. */
  failures: number
  /** Monotonic time from which a probe may pass, in milliseconds; 0 while closed. */
  probeAtMs: number
}

/** The circuit of a target that has not failed. */
export const closedCircuit: Circuit = { failures: 0, probeAtMs: 0 }

const failuresToOpen = 3
const firstOpenMs = 500
const maxOpenMs = 15_000
/** Time for which only look-ups may probe, since an order that is lost can't be sent again, in milliseconds. */
const lookUpProbeMs = 1_000

/**
 * Computes the circuit after an exchange.
 *
 * @param circuit The circuit before it
 * @param signal How the exchange ended
 * @param options The monotonic time, in milliseconds, a random source, returning [0, 1), and whether one failure is enough to open it
 * @returns The circuit after it
 */
export function advanceCircuit (circuit: Circuit, signal: TargetSignal, options: { nowMs: number, getRandom: () => number, opensAtOnce?: boolean }): Circuit {
  if (signal === TargetSignal.Ended) return circuit
  if (signal === TargetSignal.Answered || signal === TargetSignal.Refused) return closedCircuit
  const failures = Math.max(circuit.failures + 1, options.opensAtOnce === true ? failuresToOpen : 0)
  if (failures < failuresToOpen) return { failures, probeAtMs: 0 }
  const openMs = Math.min(maxOpenMs, firstOpenMs * 2 ** (failures - failuresToOpen))
  return { failures, probeAtMs: options.nowMs + openMs * (0.5 + options.getRandom() / 2) }
}

/**
 * Returns the state of a circuit.
 *
 * @param circuit The circuit
 * @param nowMs Monotonic time, in milliseconds
 * @returns The state
 */
export function getCircuitState (circuit: Circuit, nowMs: number): CircuitState {
  if (circuit.failures < failuresToOpen) return CircuitState.Closed
  return nowMs < circuit.probeAtMs ? CircuitState.Open : CircuitState.HalfOpen
}

/**
 * Tells whether a request of a class may pass a circuit that lets a probe pass.
 *
 * @param circuit The circuit
 * @param requestClass Class of the request
 * @param nowMs Monotonic time, in milliseconds
 * @returns Whether it may
 */
export function isProbeAllowed (circuit: Circuit, requestClass: RequestClass, nowMs: number): boolean {
  if (getCircuitState(circuit, nowMs) !== CircuitState.HalfOpen) return true
  return requestClass === RequestClass.LookUp || nowMs >= circuit.probeAtMs + lookUpProbeMs
}
