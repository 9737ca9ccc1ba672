/**
 * What an instance knows of a target that it feeds, and the slots that it may use for it.
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

/** A target with all that the instance knows of its health. */
export interface TargetState extends TargetOccupancy {
  /** Its circuit. */
  circuit: Circuit
  /** Its last report of load. */
  report: ReportedLoad
}

/** What the health of a target is judged with. */
export interface TargetStateOptions {
  /** Which targets are cold. */
  warmUps: WarmUps
  /** Monotonic time, in milliseconds. */
  nowMs: number
}

/** The states of the targets that an instance feeds or has fed. */
export interface TargetStates {
  /** Returns the state of a target, a new one where nothing is known of it. */
  getState (record: TargetRecord): TargetState
  /** Finds the state of a target by its name. */
  findState (target: string): TargetState | undefined
}

/**
 * Creates the states of targets, none known.
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
 * Computes the slots of a target that may be used now: lowered by its circuit, its warm-up and its report of load.
 *
 * @param state The target
 * @param options Warm-ups and the time
 * @returns Whole slots; at least 1 unless the circuit is open or the target has none
 */
export function computeUsableSlots (state: TargetState, options: TargetStateOptions): number {
  const { slots, target } = state.target
  if (state.circuit.failures > 0) {
    const circuit = getCircuitState(state.circuit, options.nowMs)
    if (circuit === CircuitState.Open) return 0
    if (circuit === CircuitState.HalfOpen) return Math.min(1, slots)
  }
  const warm = computeWarmSlots(slots, options.warmUps.getStartedAtMs(target), options.nowMs)
  if (state.report === noReport) return warm
  return Math.max(Math.min(1, warm), Math.min(warm, slots - computeOthersBusy(state.report, options.nowMs)))
}

/**
 * Records how an exchange with a target ended.
 *
 * @param state The target, which is changed
 * @param signal How the exchange ended
 * @param options Warm-ups, the time and a random source, returning [0, 1)
 */
export function recordTargetSignal (state: TargetState, signal: TargetSignal, options: TargetStateOptions & { getRandom: () => number }): void {
  const { nowMs, warmUps } = options
  const wasOpen = getCircuitState(state.circuit, nowMs) !== CircuitState.Closed
  state.circuit = advanceCircuit(state.circuit, signal, options)
  if (wasOpen && state.circuit === closedCircuit) warmUps.start(state.target.target, nowMs)
  if (signal === TargetSignal.Refused) state.report = recordTargetRefusal(state.report, nowMs)
  else if (signal === TargetSignal.Answered && state.report !== noReport) state.report = recordTargetResponse(state.report)
}
