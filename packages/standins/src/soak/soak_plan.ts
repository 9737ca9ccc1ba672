/**
 * Plans the faults of a soak: what happens to real processes, and when, as a seed determines.
 *
 * @module
 */
import { createSeededRandom } from '../emulator/seeded_random.ts'
import { FaultyBytes } from '../faulty_senders.ts'

/** Kind of a fault. */
export enum SoakFault {
  /** Connections of instances to targets are reset, and new ones refused. */
  PathReset = 'path_reset',
  /** Connections of instances to targets hang. */
  PathHanging = 'path_hanging',
  /** New connections of instances to targets are refused, open ones live on. */
  PathRefusing = 'path_refusing',
  /** Instances are paused by SIGSTOP. */
  Pause = 'pause',
  /** Instances are killed, and started again. */
  Kill = 'kill',
  /** Instances are stopped by SIGTERM, and started again. */
  Stop = 'stop',
  /** Instances are stopped by SIGTERM, get further signals and pauses during the stop, and are started again. */
  StopInSeries = 'stop_in_series',
  /** Instances are killed, started again, stopped by SIGTERM while they start, and started again. */
  StopAtStart = 'stop_at_start',
  /** Instances get SIGHUP. */
  Reload = 'reload',
  /** The store refuses calls of instances. */
  StoreBusy = 'store_busy',
  /** The store does not respond to instances. */
  StoreSilent = 'store_silent',
  /** The store resets connections of instances. */
  StoreReset = 'store_reset',
  /** The configuration changes. */
  Configure = 'configure',
  /** A target ends, and another one takes its place. */
  ReplaceTarget = 'replace_target',
  /** A target is registered as leaving, and ends some seconds later. */
  DrainTarget = 'drain_target',
  /** Targets lose responses, refuse requests, or send wrong ones. */
  TargetFaults = 'target_faults',
  /** Targets send bytes that are no response, or second responses. */
  WrongBytes = 'wrong_bytes',
  /** The configuration changes several times in quick succession. */
  ConfigureOften = 'configure_often',
  /** The configuration grows by many routes, or loses them again. */
  ChangeRoutes = 'change_routes',
  /** The reader of standard output leaves. */
  OutputClosed = 'output_closed',
  /** Instances are killed, and the address of one of their listeners is taken while they start again. */
  AddressTaken = 'address_taken',
  /** Instances are killed, and their settings file is written slowly while they start again. */
  SettingsSlow = 'settings_slow',
  /** Instances have few descriptors left. */
  DescriptorsLow = 'descriptors_low',
  /** Instances are paused for a part of each tenth of a second. */
  ProcessorCapped = 'processor_capped',
  /** Targets of a service respond with messages without end, or in tiny chunks. */
  FaultyTargets = 'faulty_targets',
  /** Callers send instances requests without end, or in tiny chunks. */
  FaultyCallers = 'faulty_callers'
}

/** A set of kinds that a plan may have in addition to the usual ones. */
export enum SoakFaultSet {
  /** Configurations in quick succession, many routes, and wrong bytes of targets. */
  Storms = 'storms',
  /** What the host of an instance refuses or takes away. */
  Host = 'host',
  /** Targets and callers whose bytes are costly to receive. */
  Bytes = 'bytes'
}

/** A signal of a series. */
export interface TimedSignal {
  /** Time since the first signal, in milliseconds. */
  afterMs: number
  /** The signal; SIGSTOP is followed by SIGCONT after `pauseMs`. */
  signal: 'SIGTERM' | 'SIGINT' | 'SIGHUP' | 'SIGSTOP'
  /** Duration of a pause, in milliseconds; 0 for other signals. */
  pauseMs: number
}

/** A fault of a plan. */
export interface SoakEvent {
  /** Time from the begin of the load, in milliseconds. */
  atMs: number
  /** Duration, in milliseconds; 0 for a fault that has none. */
  durationMs: number
  /** Kind of the fault. */
  fault: SoakFault
  /** Numbers of the instances that it concerns. */
  instances: number[]
  /** Number of the target that it concerns, counted from the oldest live one. */
  target: number
  /** Signals that follow the first one of a stop; none by default. */
  signals?: TimedSignal[]
  /** What faulty targets and callers send. */
  bytes?: FaultyBytes
}

/** The faults of a soak. */
export interface SoakPlan {
  /** Seed. */
  seed: number
  /** Number of instances. */
  instances: number
  /** Duration of the load, in milliseconds. */
  durationMs: number
  /** Time before the end from which no fault is in force, in milliseconds. */
  calmMs: number
  /** The faults, in the order of their begin. */
  events: SoakEvent[]
}

/** Options of {@linkcode createSoakPlan}. */
export interface CreateSoakPlanOptions {
  /** Seed. */
  seed: number
  /** Number of instances. */
  instances: number
  /** Duration of the load, in milliseconds. */
  durationMs: number
  /** Kinds in addition to the usual ones; none by default. */
  sets?: SoakFaultSet[]
}

/** Kinds of each set. */
export const addedFaults: Record<SoakFaultSet, SoakFault[]> = {
  [SoakFaultSet.Storms]: [SoakFault.WrongBytes, SoakFault.ConfigureOften, SoakFault.ChangeRoutes],
  [SoakFaultSet.Host]: [SoakFault.OutputClosed, SoakFault.AddressTaken, SoakFault.SettingsSlow, SoakFault.DescriptorsLow, SoakFault.ProcessorCapped],
  // Both twice, so that they overlap with each other in a plan of all kinds.
  [SoakFaultSet.Bytes]: [SoakFault.FaultyTargets, SoakFault.FaultyCallers, SoakFault.FaultyTargets, SoakFault.FaultyCallers]
}
/** Kinds with {@linkcode SoakEvent.bytes}. */
export const bytesFaults = new Set(addedFaults[SoakFaultSet.Bytes])
const faultyBytes = Object.values(FaultyBytes)
const usualFaults = Object.values(SoakFault).filter(fault => !Object.values(addedFaults).flat().includes(fault))
const firstFaultMs = 2_000
const calmMs = 8_000
const meanPauseMs = 900
const instanceFaults = new Set([SoakFault.PathReset, SoakFault.PathHanging, SoakFault.PathRefusing, SoakFault.Pause, SoakFault.Kill, SoakFault.Stop, SoakFault.StopInSeries, SoakFault.StopAtStart, SoakFault.Reload, SoakFault.StoreBusy, SoakFault.StoreSilent, SoakFault.StoreReset, SoakFault.FaultyCallers, ...addedFaults[SoakFaultSet.Host]])
/** Kinds that last until an instance has started again, and the longest time that they take, in milliseconds. */
const stopFaults = new Set([SoakFault.Stop, SoakFault.StopInSeries, SoakFault.StopAtStart, SoakFault.AddressTaken, SoakFault.SettingsSlow])
const maxStopMs = 9_000
const durationsMs: Partial<Record<SoakFault, [from: number, to: number]>> = {
  [SoakFault.PathReset]: [5_000, 9_000],
  [SoakFault.PathHanging]: [5_000, 9_000],
  [SoakFault.PathRefusing]: [5_000, 9_000],
  [SoakFault.Pause]: [300, 2_500],
  [SoakFault.StoreBusy]: [1_000, 6_000],
  [SoakFault.StoreSilent]: [1_000, 6_000],
  [SoakFault.StoreReset]: [1_000, 6_000],
  [SoakFault.TargetFaults]: [1_000, 3_000],
  [SoakFault.WrongBytes]: [2_000, 5_500],
  [SoakFault.ConfigureOften]: [4_000, 4_000],
  [SoakFault.AddressTaken]: [1_000, 5_000],
  [SoakFault.SettingsSlow]: [1_000, 4_000],
  [SoakFault.DescriptorsLow]: [4_000, 8_000],
  [SoakFault.ProcessorCapped]: [2_000, 6_000],
  [SoakFault.FaultyTargets]: [2_000, 6_000],
  [SoakFault.FaultyCallers]: [2_000, 6_000]
}
/** Bound of the numbers of targets in events. */
export const maxTargetNumber = 1_000
const graceMs = 6_000
const maxSignals = 6
const maxPauseInStopMs = 1_500
const repeatedSignals = ['SIGTERM', 'SIGINT', 'SIGHUP', 'SIGSTOP'] as const

/**
 * Creates the plan of a seed. Faults come in series and overlap; the last seconds are calm.
 *
 * @param options Seed, size and duration
 * @returns The plan
 */
export function createSoakPlan ({ seed, instances, durationMs, sets = [] }: CreateSoakPlanOptions): SoakPlan {
  const getRandom = createSeededRandom(`soak ${seed}`)
  const draw = (fromMs: number, toMs: number): number => fromMs + getRandom() * (toMs - fromMs)
  const faults = [...usualFaults, ...sets.flatMap(set => addedFaults[set])]
  const events: SoakEvent[] = []
  for (let atMs = firstFaultMs; atMs < durationMs - calmMs; atMs += -Math.log(1 - getRandom()) * meanPauseMs) {
    const fault = faults[Math.floor(getRandom() * faults.length)]!
    if (stopFaults.has(fault) && atMs > durationMs - calmMs - maxStopMs) continue
    const [fromMs, toMs] = durationsMs[fault] ?? [0, 0]
    const end = Math.min(atMs + draw(fromMs, toMs), durationMs - calmMs)
    const share = getRandom() < 0.15 ? 0.6 : 0.2
    events.push({ atMs: Math.round(atMs), durationMs: Math.round(end - atMs), fault, instances: instanceFaults.has(fault) ? selectInstances(instances, { share, getRandom }) : [], target: Math.floor(getRandom() * maxTargetNumber), ...fault === SoakFault.StopInSeries ? { signals: createSignals(getRandom) } : {}, ...bytesFaults.has(fault) ? { bytes: faultyBytes[Math.floor(getRandom() * faultyBytes.length)]! } : {} })
  }
  return { seed, instances, durationMs, calmMs, events }
}

/** Creates the signals that follow the first one of a stop, within its grace. */
function createSignals (getRandom: () => number): TimedSignal[] {
  return Array.from({ length: 1 + Math.floor(getRandom() * maxSignals) }, () => {
    const signal = repeatedSignals[Math.floor(getRandom() * repeatedSignals.length)]!
    return { afterMs: Math.round(getRandom() * graceMs), signal, pauseMs: signal === 'SIGSTOP' ? Math.round(getRandom() * maxPauseInStopMs) : 0 }
  })
}

/** Selects a share of the instances, one at least. */
function selectInstances (instances: number, { share, getRandom }: { share: number, getRandom: () => number }): number[] {
  const selected = Array.from({ length: instances }, (_, index) => index).filter(() => getRandom() < share)
  return selected.length > 0 ? selected : [Math.floor(getRandom() * instances)]
}

/**
 * Formats a plan for whoever runs it.
 *
 * @param plan The plan
 * @returns A line for each fault
 */
export function formatSoakPlan ({ events }: SoakPlan): string {
  return events.map(({ atMs, durationMs, fault, instances, signals = [], bytes }) => `${String(atMs).padStart(6)} ms ${fault}${bytes === undefined ? '' : ` (${bytes})`}${durationMs > 0 ? ` for ${durationMs} ms` : ''}${instances.length > 0 ? ` on ${instances.join(', ')}` : ''}${signals.map(({ afterMs, signal, pauseMs }) => `, ${signal} after ${afterMs} ms${pauseMs > 0 ? ` for ${pauseMs} ms` : ''}`).join('')}`).join('\n')
}
