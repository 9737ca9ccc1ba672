/**
 * Circuit breaker of a target: opens after consecutive failures, then lets one request at a time probe the target.
 *
 * @module
 */
import { RequestClass } from './outcomes.ts'

/** Outcome of an HTTP exchange with a target, as evidence of its health. */
export enum TargetSignal {
  /** The target responded. */
  Answered = 'answered',
  /** No connection to the target could be opened. */
  ConnectFailed = 'connect_failed',
  /** The target responded that it did not run the request. */
  Refused = 'refused',
  /** Another target responded at the address, so the target has ended. */
  Misdirected = 'misdirected',
  /** The connection broke during the exchange. */
  Lost = 'lost',
  /** The instance ended the exchange, which is no evidence of the health of the target. */
  Ended = 'ended'
}

/** State of a circuit breaker. */
export enum CircuitState {
  /** All requests pass. */
  Closed = 'closed',
  /** No request passes. */
  Open = 'open',
  /** One request at a time passes. */
  HalfOpen = 'half_open'
}

/** Data of a circuit breaker; {@linkcode getCircuitState} computes its state. */
export interface Circuit {
  /** Number of consecutive failures. */
  failures: number
  /** Monotonic time from which a probe may pass, in milliseconds; 0 while the circuit is closed. */
  probeAtMs: number
}

/** Closed circuit of a target without failures. */
export const closedCircuit: Circuit = { failures: 0, probeAtMs: 0 }

const failureThreshold = 3
const initialOpenMs = 500
const maxOpenMs = 15_000
/** Time from the start of the half-open state during which only look-ups may probe, in milliseconds: a lost request of another class cannot be sent again. */
const lookUpOnlyProbeMs = 1_000

/**
 * Returns the circuit after an exchange with its target.
 *
 * Three consecutive failures open the circuit for 250 to 500 ms. Each further failure doubles the time, up to 15 s.
 *
 * @param circuit The circuit before the exchange
 * @param signal Outcome of the exchange
 * @param options The monotonic time, in milliseconds; a random source that returns [0, 1); whether a single failure opens the circuit, as a response of another target always does
 * @returns The circuit after the exchange
 */
export function advanceCircuit (circuit: Circuit, signal: TargetSignal, options: { nowMs: number, getRandom: () => number, opensOnFirstFailure?: boolean }): Circuit {
  if (signal === TargetSignal.Ended) return circuit
  if (signal === TargetSignal.Answered || signal === TargetSignal.Refused) return closedCircuit
  const failures = Math.max(circuit.failures + 1, options.opensOnFirstFailure === true || signal === TargetSignal.Misdirected ? failureThreshold : 0)
  if (failures < failureThreshold) return { failures, probeAtMs: 0 }
  const openMs = Math.min(maxOpenMs, initialOpenMs * 2 ** (failures - failureThreshold))
  return { failures, probeAtMs: options.nowMs + openMs * (0.5 + options.getRandom() / 2) }
}

/**
 * Returns the state of a circuit.
 *
 * @param circuit The circuit
 * @param nowMs Current monotonic time, in milliseconds
 * @returns The state at that time
 */
export function getCircuitState (circuit: Circuit, nowMs: number): CircuitState {
  if (circuit.failures < failureThreshold) return CircuitState.Closed
  return nowMs < circuit.probeAtMs ? CircuitState.Open : CircuitState.HalfOpen
}

/**
 * Returns whether a half-open circuit lets a request of a class probe the target.
 *
 * @param circuit The circuit
 * @param requestClass Class of the request
 * @param nowMs Current monotonic time, in milliseconds
 * @returns `true` if the circuit is not half-open, or if the class may probe at that time
 */
export function isProbeAllowed (circuit: Circuit, requestClass: RequestClass, nowMs: number): boolean {
  if (getCircuitState(circuit, nowMs) !== CircuitState.HalfOpen) return true
  return requestClass === RequestClass.LookUp || nowMs >= circuit.probeAtMs + lookUpOnlyProbeMs
}
