/**
 * State that an instance tracks for a target that it owns, and the slots that it may use there.
 *
 * @module
 */
import type { Circuit } from './circuit.ts'
import type { TargetRecord } from './inventory.ts'
import type { ReportedLoad } from './reported_load.ts'
import type { WarmUps } from './slow_start.ts'
import type { TargetOccupancy } from './slots.ts'
import { advanceCircuit, CircuitState, closedCircuit, getCircuitState, TargetSignal } from './circuit.ts'
import { computeOthersBusy, noReport, recordTargetResponse, recordTargetRefusal } from './reported_load.ts'
import { computeWarmSlots } from './slow_start.ts'

/** A target with its slot counts, circuit breaker and load report. */
export interface TargetState extends TargetOccupancy {
  /** Circuit breaker of the target. */
  circuit: Circuit
  /** Last load report of the target. */
  report: ReportedLoad
}

/** Warm-ups and time, from which the health of a target is computed. */
export interface TargetStateOptions {
  /** Warm-ups of the targets. */
  warmUps: WarmUps
  /** Monotonic time, in milliseconds. */
  nowMs: number
}

/** States of the targets that an instance owns or has owned. */
export interface TargetStates {
  /** Returns the state of a target and updates its record; creates the state for an unknown target. */
  getState (record: TargetRecord): TargetState
  /** Finds the state of a target by name. */
  findState (target: string): TargetState | undefined
}

/**
 * Creates an empty collection of target states.
 *
 * @returns The states
 */
export function createTargetStates (): TargetStates {
  const states = new Map<string, TargetState>()
  return {
    getState (record) {
      const known = states.get(record.target)
      if (known !== undefined) {
        known.target = record
        return known
      }
      const created = { target: record, busy: 0, limit: 0, circuit: closedCircuit, report: noReport }
      states.set(record.target, created)
      return created
    },
    findState: target => states.get(target)
  }
}

/**
 * Computes the slots of a target that may be used now, limited by its circuit breaker, its warm-up and its load report.
 *
 * @param state The target
 * @param options Warm-ups and the monotonic time
 * @returns Whole slots; at least 1 unless the circuit is open or the target has none
 */
export function computeUsableSlots (state: TargetState, options: TargetStateOptions): number {
  const { slots, target } = state.target
  if (state.circuit.failures > 0) {
    const circuit = getCircuitState(state.circuit, options.nowMs)
    if (circuit === CircuitState.Open) return 0
    if (circuit === CircuitState.HalfOpen) return Math.min(1, slots)
  }
  const warmSlots = computeWarmSlots(slots, options.warmUps.getStartedAtMs(target), options.nowMs)
  if (state.report === noReport) return warmSlots
  return Math.max(Math.min(1, warmSlots), Math.min(warmSlots, slots - computeOthersBusy(state.report, options.nowMs)))
}

/**
 * Records how an exchange with a target ended.
 *
 * @param state The target, which is modified
 * @param signal How the exchange ended
 * @param options Warm-ups, the monotonic time and a random source returning [0, 1)
 */
export function recordTargetSignal (state: TargetState, signal: TargetSignal, options: TargetStateOptions & { getRandom: () => number }): void {
  const { nowMs, warmUps } = options
  const wasOpen = getCircuitState(state.circuit, nowMs) !== CircuitState.Closed
  state.circuit = advanceCircuit(state.circuit, signal, options)
  if (wasOpen && state.circuit === closedCircuit) warmUps.start(state.target.target, nowMs)
  if (signal === TargetSignal.Refused) state.report = recordTargetRefusal(state.report, nowMs)
  else if (signal === TargetSignal.Answered && state.report !== noReport) state.report = recordTargetResponse(state.report)
}
