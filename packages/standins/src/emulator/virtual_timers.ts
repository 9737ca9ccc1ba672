/**
 * A virtual clock that replaces the global timers, so that code with timers runs in simulated time.
 *
 * @module
 */
import { createEvents } from './virtual_events.ts'

/** A virtual clock. */
export interface VirtualTimers extends Disposable {
  /** Returns the virtual time, in milliseconds. */
  getNowMs (): number
  /** Schedules an event. */
  schedule (delayMs: number, run: () => void): void
  /** Runs events in the order of their times until the given time. */
  runUntil (endMs: number): Promise<void>
}

interface VirtualTimer {
  isCancelled: boolean
  ref (): VirtualTimer
  unref (): VirtualTimer
  hasRef (): boolean
}

/** Number of turns of the microtask queue after each event: more than any chain of promises in the simulated code has. */
const microtaskTurns = 6

/**
 * Replaces `setTimeout`, `setInterval`, `setImmediate` and the functions that clear them; dispose the clock to restore them.
 *
 * @returns The clock, which begins at 0
 */
export function startVirtualTimers (): VirtualTimers {
  const events = createEvents()
  const originals = { setTimeout, clearTimeout, setInterval, clearInterval, setImmediate, clearImmediate }
  let nowMs = 0

  function createTimer (): VirtualTimer {
    const timer: VirtualTimer = { isCancelled: false, ref: () => timer, unref: () => timer, hasRef: () => true }
    return timer
  }

  function startTimer (delayMs: number, run: () => void): VirtualTimer {
    const timer = createTimer()
    events.add(nowMs + Math.max(0, delayMs), () => { if (!timer.isCancelled) run() })
    return timer
  }

  function startInterval (intervalMs: number, run: () => void): VirtualTimer {
    const timer = createTimer()
    const repeat = (): void => {
      if (timer.isCancelled) return
      run()
      events.add(nowMs + intervalMs, repeat)
    }
    events.add(nowMs + intervalMs, repeat)
    return timer
  }

  const cancelTimer = (timer: VirtualTimer | undefined): void => { if (timer !== undefined) timer.isCancelled = true }
  Object.assign(globalThis, {
    setTimeout: (run: (...args: unknown[]) => void, delayMs = 0, ...args: unknown[]) => startTimer(delayMs, () => run(...args)),
    setInterval: (run: (...args: unknown[]) => void, intervalMs = 1, ...args: unknown[]) => startInterval(intervalMs, () => run(...args)),
    setImmediate: (run: (...args: unknown[]) => void, ...args: unknown[]) => startTimer(0, () => run(...args)),
    clearTimeout: cancelTimer,
    clearInterval: cancelTimer,
    clearImmediate: cancelTimer
  })

  return {
    getNowMs: () => nowMs,
    schedule: (delayMs, run) => events.add(nowMs + delayMs, run),
    async runUntil (endMs) {
      for (let event = events.take(); event !== undefined; event = events.take()) {
        if (event.atMs > endMs) {
          events.add(event.atMs, event.run)
          break
        }
        nowMs = event.atMs
        event.run()
        for (let turn = 0; turn < microtaskTurns; turn++) await undefined
      }
      nowMs = endMs
    },
    [Symbol.dispose]: () => { Object.assign(globalThis, originals) }
  }
}
