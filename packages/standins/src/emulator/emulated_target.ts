/**
 * A target on a virtual clock: slots, a queue, and objects that it is warm for.
 *
 * @module
 */
import type { VirtualClock } from '../bench_clock.ts'

/** What a target is asked. */
export interface TargetCall {
  /** Object that the request concerns. */
  objectKey: string
  /** Time that it holds a slot where the target is warm for the object, in milliseconds. */
  warmServiceTimeMs: number
  /** Virtual time after which the caller no longer waits, in milliseconds. */
  deadlineAtMs: number
  /** Called at the end of the work, with the load that the target tells. */
  onDone: (load: TargetLoad) => void
  /** Called where the target does not run it. */
  onRefused: (load: TargetLoad) => void
}

/** The load that a target tells: requests that run and that wait, the told one among them. */
export interface TargetLoad {
  /** Requests that run. */
  running: number
  /** Requests that wait. */
  waiting: number
}

/** A target. */
export interface EmulatedTarget {
  /** Takes a request. */
  call (call: TargetCall): void
  /** Counts the runs of a request whose object it was not warm for. */
  countColdRuns (): number
}

/** Options of {@linkcode createEmulatedTarget}. */
export interface CreateEmulatedTargetOptions {
  /** Slots. */
  slots: number
  /** Requests that may wait. */
  queueLimit: number
  /** How much longer a request takes whose object is new here. */
  coldServiceTimeFactor: number
  /** The clock. */
  clock: VirtualClock
  /** Returns a random number in [0, 1). */
  getRandom: () => number
}

/** Holding times are spread evenly over this much of their mean to either side. */
const serviceTimeSpread = 0.5

/**
 * Creates a target that is warm for nothing.
 *
 * @param options Its size
 * @returns The target
 */
export function createEmulatedTarget (options: CreateEmulatedTargetOptions): EmulatedTarget {
  const { slots, clock, getRandom } = options
  const warmObjects = new Set<string>()
  const queue: TargetCall[] = []
  let running = 0
  let coldRuns = 0

  function startCall (call: TargetCall): void {
    running++
    const isWarm = warmObjects.has(call.objectKey)
    if (!isWarm) coldRuns++
    const serviceTimeMs = call.warmServiceTimeMs * (isWarm ? 1 : options.coldServiceTimeFactor) * (1 - serviceTimeSpread + 2 * serviceTimeSpread * getRandom())
    // Work stops when the caller no longer waits; the object is warm only behind work that was finished.
    const canFinish = clock.getNowMs() + serviceTimeMs <= call.deadlineAtMs
    clock.schedule(Math.min(serviceTimeMs, call.deadlineAtMs - clock.getNowMs()), () => {
      if (canFinish) {
        warmObjects.add(call.objectKey)
        call.onDone({ running, waiting: queue.length })
      }
      running--
      startNext()
    })
  }

  function startNext (): void {
    while (running < slots) {
      const next = queue.shift()
      if (next === undefined) return
      if (next.deadlineAtMs > clock.getNowMs()) startCall(next)
    }
  }

  return {
    call (call) {
      if (running < slots) startCall(call)
      else if (queue.length < options.queueLimit) queue.push(call)
      else call.onRefused({ running, waiting: queue.length })
    },
    countColdRuns: () => coldRuns
  }
}
