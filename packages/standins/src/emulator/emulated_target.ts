/**
 * A simulated target on a virtual clock: it has slots, a bounded queue, and a set of objects that it has cached.
 *
 * @module
 */
import type { VirtualClock } from '../bench_clock.ts'

/** A request to a target, with the callbacks for its result. */
export interface TargetCall {
  /** Object that the request concerns. */
  objectKey: string
  /** Mean service time at a target that has cached the object, in milliseconds. */
  warmServiceTimeMs: number
  /** Virtual time at which the caller gives up, in milliseconds. */
  deadlineAtMs: number
  /** Called when the request is finished, with the load that the target reports. If the deadline passes first, neither callback is called. */
  onDone: (load: TargetLoad) => void
  /** Called when the target refuses the request because its queue is full, with the load that the target reports. */
  onRefused: (load: TargetLoad) => void
}

/** The load that a target reports with each response. A finished request still counts as running in the report of its own response. */
export interface TargetLoad {
  /** Number of requests that hold a slot. */
  running: number
  /** Number of requests in the queue. */
  waiting: number
}

/** A simulated target. */
export interface EmulatedTarget {
  /** Runs, queues or refuses a request. */
  call (call: TargetCall): void
  /** Returns how many requests have started whose object the target had not cached. */
  countColdRuns (): number
  /** Multiplies the service times of requests that start from now on. */
  setServiceTimeFactor (factor: number): void
}

/** Options of {@linkcode createEmulatedTarget}. */
export interface CreateEmulatedTargetOptions {
  /** Number of requests that may run at the same time. */
  slots: number
  /** Number of requests that may wait in the queue. */
  queueLimit: number
  /** Factor by which the service time grows if the target has not cached the object. */
  coldServiceTimeFactor: number
  /** Virtual clock of the simulation. */
  clock: VirtualClock
  /** Returns a random number in [0, 1). */
  getRandom: () => number
}

/** Half-width of the uniform distribution of service times, as a share of their mean. */
const serviceTimeSpread = 0.5

/**
 * Creates a simulated target with an empty cache.
 *
 * @param options Size of the target, clock and random source
 * @returns The target
 */
export function createEmulatedTarget (options: CreateEmulatedTargetOptions): EmulatedTarget {
  const { slots, clock, getRandom } = options
  const warmObjects = new Set<string>()
  const queue: TargetCall[] = []
  let running = 0
  let coldRuns = 0
  let serviceTimeFactor = 1

  function startCall (call: TargetCall): void {
    running++
    const isWarm = warmObjects.has(call.objectKey)
    if (!isWarm) coldRuns++
    const serviceTimeMs = call.warmServiceTimeMs * serviceTimeFactor * (isWarm ? 1 : options.coldServiceTimeFactor) * (1 - serviceTimeSpread + 2 * serviceTimeSpread * getRandom())
    // The target stops working at the caller's deadline, and caches the object only if the work was finished.
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
    countColdRuns: () => coldRuns,
    setServiceTimeFactor (factor) { serviceTimeFactor = factor }
  }
}
