/**
 * An entry instance of a soak: the real program in a process of its own, with its path to the targets and its address of the store.
 *
 * @module
 */
import type { ChildProcess } from 'node:child_process'
import type { EntryFiles } from '../entry_process.ts'
import type { PathRelay } from '../path_relay.ts'
import type { SiteStore, StoreEndpoint } from '../site_store.ts'
import type { TimedSignal } from './soak_plan.ts'
import type { SoakProcess } from './soak_process.ts'
import { setTimeout as wait } from 'node:timers/promises'
import { isEntryReady, readEntryLog, writeEntryFiles } from '../entry_process.ts'
import { startPathRelay } from '../path_relay.ts'
import { waitUntil } from '../test_site.ts'
import { createSoakProcess } from './soak_process.ts'

/** A time, from its begin to its end, in milliseconds. */
export interface TimeSpan {
  /** Begin, monotonic. */
  fromMs: number
  /** End, monotonic; `Infinity` while it goes on. */
  toMs: number
}

/** An instance of a soak. */
export interface SoakInstance extends AsyncDisposable {
  /** Name. */
  name: string
  /** Address of its listener for callers. */
  address: { host: string, port: number }
  /** Its path to targets. */
  path: PathRelay
  /** Its address of the store. */
  storeEndpoint: StoreEndpoint
  /** Times in which it was paused, killed, stopping or starting. */
  disturbances: TimeSpan[]
  /** Times of planned stops, from SIGTERM to the end of the process. */
  stops: TimeSpan[]
  /** Times without a path to any target. */
  cuts: TimeSpan[]
  /** Times with few descriptors or a capped processor, in which it may be slow. */
  strains: TimeSpan[]
  /** Ends of the process that nothing of the soak caused, each as one text with the last lines of its output. */
  unexpectedEnds: string[]
  /** Its process. */
  process: SoakProcess
  /** Sends a signal to the process, if it runs and Node.js has started. */
  sendSignal (signal: NodeJS.Signals): void
  /** Kills the process, starts it again, and waits until it is ready unless told otherwise. */
  restart (options?: StartAgainOptions): Promise<void>
  /** Stops the process by SIGTERM and the signals that follow, kills it after the grace period, and starts it again. */
  stopAndStart (signals?: TimedSignal[]): Promise<void>
  /** Kills the process, starts it again, and stops it by SIGTERM while it starts. */
  restartAndStop (): Promise<void>
  /** Pauses the process. */
  pause (durationMs: number): Promise<void>
  /** Returns whether its process counts as ready. */
  isReady (): Promise<boolean>
  /** Reads the log lines of all its runs. */
  readLog (): Promise<Array<Record<string, unknown>>>
}

/** Options of {@linkcode SoakInstance.restart}. */
export interface StartAgainOptions {
  /** Whether to wait until the process is ready; true by default. */
  isAwaited?: boolean
  /** Called before the process is started again. */
  prepare?: (files: EntryFiles) => Promise<void>
}

/** Options of {@linkcode startSoakInstance}. */
export interface StartSoakInstanceOptions {
  /** Number of the instance. */
  index: number
  /** Number of the site, so that several may run in one process. */
  site: number
  /** Failure domains. */
  failureDomains: string[]
  /** Connections to a target that may wait to be accepted; 1 by default. */
  backlog?: number
  /** The store. */
  store: SiteStore
  /** Folder for settings and logs. */
  folder: string
  /** Flags of the program; none by default. */
  flags?: string[]
  /** Flags of Node.js; none by default. */
  nodeFlags?: string[]
  /** Path of the program; that of this build by default. */
  program?: string | undefined
  /** Whether standard output goes through a pipe that may be closed; false by default. */
  hasPipe?: boolean
  /** Memory that the host allows the instance, in megabytes; no limit by default. */
  memoryMb?: number | undefined
}

const graceMs = 6_000
const restartDelayMs = 300
/** Signals that an instance gets before the end of a process counts as unexpected. */
const stopSignals = new Set<NodeJS.Signals | null>(['SIGKILL', 'SIGTERM', 'SIGINT', 'SIGHUP'])

/**
 * Starts an instance.
 *
 * @param options Number, store and folder
 * @returns The instance; dispose it to end its processes
 */
export async function startSoakInstance ({ index, site, failureDomains, backlog, store, folder, flags = [], nodeFlags = [], program, hasPipe = false, memoryMb }: StartSoakInstanceOptions): Promise<SoakInstance> {
  const path = await startPathRelay(backlog)
  const storeEndpoint = await store.openEndpoint(path.mapAddress)
  const files = await writeEntryFiles({ index, site, failureDomains, store: storeEndpoint.socketAddress, folder, ...memoryMb === undefined ? {} : { limits: { memory_mb: memoryMb } } })
  const { name } = files
  const unexpectedEnds: string[] = []
  const process = createSoakProcess(files, { flags, nodeFlags, program, hasPipe, unexpectedEnds })
  const instance: SoakInstance = {
    name,
    address: files.callers,
    path,
    storeEndpoint,
    process,
    disturbances: [],
    stops: [],
    cuts: [],
    strains: [],
    unexpectedEnds,
    sendSignal (signal) {
      if (process.isHandlingSignals()) process.getChild()?.kill(signal)
    },
    async restart (options) {
      await startAgain(async () => {
        process.getChild()?.kill('SIGKILL')
        await process.waitForExit()
      }, options)
    },
    async restartAndStop () {
      await instance.restart({ isAwaited: false })
      await waitUntil(process.isHandlingSignals)
      await instance.stopAndStart()
    },
    async stopAndStart (signals = []) {
      await startAgain(async () => {
        const span: TimeSpan = { fromMs: performance.now(), toMs: Infinity }
        instance.stops.push(span)
        const stopping = process.getChild()
        stopping?.kill('SIGTERM')
        const repeats = signals.map(signal => sendRepeated(stopping, signal))
        const timer = setTimeout(() => stopping?.kill('SIGKILL'), graceMs)
        await process.waitForExit()
        clearTimeout(timer)
        await Promise.all(repeats)
        span.toMs = performance.now()
        const { exitCode, signalCode } = stopping!
        if (exitCode === null ? !stopSignals.has(signalCode) : exitCode !== 0) process.recordUnexpectedEnd(`${name} ended with ${signalCode ?? exitCode} while it stopped`)
      })
    },
    async pause (durationMs) {
      const span: TimeSpan = { fromMs: performance.now(), toMs: Infinity }
      instance.disturbances.push(span)
      const paused = process.getChild()
      paused?.kill('SIGSTOP')
      await wait(durationMs)
      paused?.kill('SIGCONT')
      span.toMs = performance.now()
    },
    isReady: () => isEntryReady(files),
    readLog: () => readEntryLog(files),
    async [Symbol.asyncDispose] () {
      await process[Symbol.asyncDispose]()
      await path[Symbol.asyncDispose]()
      await storeEndpoint[Symbol.asyncDispose]()
    }
  }

  /** Sends a further signal during a stop; a pause counts as a disturbance of its own. */
  async function sendRepeated (stopping: ChildProcess | undefined, { afterMs, signal, pauseMs }: TimedSignal): Promise<void> {
    await Promise.race([wait(afterMs), process.waitForExit()])
    if (stopping?.exitCode !== null || stopping.signalCode !== null) return
    stopping.kill(signal)
    if (signal !== 'SIGSTOP') return
    const span: TimeSpan = { fromMs: performance.now(), toMs: Infinity }
    instance.disturbances.push(span)
    await wait(pauseMs)
    stopping.kill('SIGCONT')
    span.toMs = performance.now()
  }

  /** Ends the process, and starts it again after a delay; a process that is being restarted already is left alone. */
  async function startAgain (endProcess: () => Promise<void>, { isAwaited = true, prepare }: StartAgainOptions = {}): Promise<void> {
    if (instance.disturbances.some(({ toMs }) => toMs === Infinity)) return
    const span: TimeSpan = { fromMs: performance.now(), toMs: Infinity }
    instance.disturbances.push(span)
    process.setEnding(true)
    await endProcess()
    await wait(restartDelayMs)
    await prepare?.(files)
    process.setEnding(false)
    process.start()
    if (isAwaited) await waitUntil(() => process.isDisposed() || instance.isReady())
    span.toMs = performance.now()
  }

  process.start()
  return instance
}
