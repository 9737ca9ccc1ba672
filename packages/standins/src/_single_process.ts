/**
 * One entry instance as a process of its own, with a store and targets in this process, for tests.
 *
 * @module
 */
import type { ChildProcess } from 'node:child_process'
import type { CleanupStack } from '@bilberryworks/steering'
import type { EntryFiles, StartEntryProcessOptions } from './entry_process.ts'
import type { RawCaller } from './raw_caller.ts'
import type { OpenSiteTargetOptions, SiteTarget } from './site_target.ts'
import type { TestSite } from './test_site.ts'
import { mkdtemp } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createCleanupStack } from '@bilberryworks/steering'
import { isEntryReady, startEntryProcess, writeEntryFiles } from './entry_process.ts'
import { formatRequestHead, openRawCaller } from './raw_caller.ts'
import { createTestSite, testSiteHost, waitUntil } from './test_site.ts'

/** How a process ended. */
export interface ProcessEnd {
  /** Exit status; `null` if a signal ended it. */
  code: number | null
  /** Signal that ended it. */
  signal: NodeJS.Signals | null
  /** Monotonic time, in milliseconds. */
  atMs: number
}

/** Options of {@linkcode startSingleProcess}. */
export interface StartSingleProcessOptions {
  /** Targets; one by default. */
  targets?: Array<Partial<OpenSiteTargetOptions>>
  /** Flags. */
  processOptions?: StartEntryProcessOptions
  /** Text of a module that the process loads first; none by default. */
  firstModule?: string
  /** Time limit of all routes; 20 s by default. */
  routeTimeout?: string
}

/** A running instance. */
export interface SingleProcess extends AsyncDisposable {
  cleanup: CleanupStack
  site: TestSite
  targets: SiteTarget[]
  files: EntryFiles
  child: ChildProcess
  /** Resolves when the process has ended. */
  ended: Promise<ProcessEnd>
  /** Sends a request on a connection of its own. */
  send (path: string, bodyBytes?: number): RawCaller & { id: string }
  /** Lists the identifiers of the requests that targets have run, one for each run. */
  listRunIds (): string[]
  /** Returns the value of a metric, named with its labels; `NaN` if there is none. */
  readMetric (name: string): Promise<number>
}

const metricsPort = 20_009
const timeLeftMs = 20_000
/** Number of this site among those of the process whose instances have addresses by number. */
const siteNumber = 2
let instanceCount = 0
let requestCount = 0

/**
 * Starts a store, targets and an instance, and waits until it is ready.
 *
 * @param options Targets and flags
 * @returns The instance; dispose it to kill it
 */
export async function startSingleProcess ({ targets: targetOptions = [{}], processOptions = {}, firstModule, routeTimeout = '20s' }: StartSingleProcessOptions = {}): Promise<SingleProcess> {
  const cleanup = createCleanupStack()
  const site = cleanup.add(await createTestSite())
  site.writeConfig({ timeout: routeTimeout }, {}, { max_body_bytes: 16_000_000 })
  const targets: SiteTarget[] = []
  for (const [index, overrides] of targetOptions.entries()) targets.push(await site.openTarget(`t${index}`, overrides))
  const storeEndpoint = await site.store.openEndpoint()
  const files = await writeEntryFiles({ index: instanceCount++, site: siteNumber, failureDomains: ['a-1'], store: storeEndpoint.socketAddress, folder: await mkdtemp(join(tmpdir(), 'single-process-')) })
  const nodeFlags = firstModule === undefined ? [] : ['--import', `data:text/javascript,${encodeURIComponent(firstModule)}`]
  const child = startEntryProcess(files, { nodeFlags, flags: [`--metrics-port=${metricsPort}`], ...processOptions })
  const ended = new Promise<ProcessEnd>(resolve => child.once('exit', (code, signal) => resolve({ code, signal, atMs: performance.now() })))
  await waitUntil(() => isEntryReady(files))
  return {
    cleanup,
    site,
    targets,
    files,
    child,
    ended,
    send (path, bodyBytes) {
      const id = `single-${requestCount++}`
      const caller = openRawCaller(files.callers)
      caller.socket.write(formatRequestHead(path, { host: testSiteHost, id, timeLeftMs, ...bodyBytes === undefined ? {} : { bodyBytes } }))
      return { ...caller, id }
    },
    listRunIds: () => targets.flatMap(target => target.runs.map(run => run.attemptId)),
    async readMetric (name) {
      const text = await (await fetch(`http://${files.host}:${metricsPort}/`)).text()
      return Number(text.split('\n').find(line => line.startsWith(`${name} `))?.slice(name.length) ?? NaN)
    },
    async [Symbol.asyncDispose] () {
      child.kill('SIGKILL')
      await ended
      await cleanup[Symbol.asyncDispose]()
    }
  }
}
