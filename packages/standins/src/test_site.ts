/**
 * A complete site in one process, for end-to-end tests: a fake platform store, fake targets, entry instances and
 * callers.
 *
 * @module
 */
import type { EntrySettings } from '@bilberryworks/steering'
import type { RunningEntry } from 'bilberryd'
import type { StoreEndpoint } from './site_store.ts'
import type { PathRelay } from './path_relay.ts'
import type { OpenSiteTargetOptions, SiteTarget } from './site_target.ts'
import type { Agent } from 'node:http'
import { request } from 'node:http'
import { setTimeout as wait } from 'node:timers/promises'
import { createCleanupStack } from '@bilberryworks/steering'
import { createEntryLog, runEntry } from 'bilberryd'
import { createSiteStore } from './site_store.ts'
import { openSiteTarget } from './site_target.ts'
import { PassThrough } from 'node:stream'

/** An entry instance of a test site. */
export interface TestEntry {
  /** The running instance. */
  running: RunningEntry
  /** The settings that it was started with. */
  settings: EntrySettings
  /** The store address that only this instance uses, so that faults can be injected for it alone. */
  storeEndpoint: StoreEndpoint
  /** Returns the log lines that the instance has written so far, parsed from JSON. */
  readLog: () => Array<Record<string, unknown>>
}

/** The response that a caller received. */
export interface CallerResponse {
  /** Status code; `undefined` if the connection broke before the response head. */
  status: number | undefined
  /** Response header fields. */
  headers: Record<string, string | string[] | undefined>
  /** Response body, as far as it was received. */
  body: string
  /** Whether the response was received to its end. */
  isComplete: boolean
  /** Time from the start of the call to the end of the response or to the error, in milliseconds. */
  elapsedMs: number
}

/** Options of a call that a caller sends. */
export interface CallOptions {
  /** Path; `/safe/x` by default. */
  path?: string
  /** HTTP method; GET by default. */
  method?: string
  /** Value of the session affinity cookie `X-Affinity-Key`; no cookie by default. */
  affinityKey?: string
  /** Time left that the caller states in `X-Timeout-Ms`, in milliseconds; 2,000 by default. */
  timeLeftMs?: number
  /** Request body; none by default. */
  body?: string | Buffer
  /** Value of `X-Request-Id`; a new identifier by default. */
  id?: string
  /** Agent whose connections the call uses; a new connection by default. */
  agent?: Agent
  /** Header fields to add or replace. */
  headers?: Record<string, string>
  /** Signal that aborts the call. */
  signal?: AbortSignal
}

/** Name of the service that all routes of a test site lead to. */
export const testSiteService = 'svc'
/** Host of all routes of a test site. */
export const testSiteHost = 'site.example'

const failureDomains = ['a-1', 'a-2', 'b-1', 'b-2']
const pollMs = 20
const maxPolls = 250
/** Ports of each instance, which can be the same because each instance of each site has a separate loopback address. */
const ports = { callers: 20_001, lookUps: 20_002, readiness: 20_003, peers: 20_004, heartbeats: 20_005 }
let siteCount = 0

/** A running test site. */
export type TestSite = Awaited<ReturnType<typeof createTestSite>>

/**
 * Creates a test site with an empty store.
 *
 * The configurations that `writeConfig` writes route `/safe/`, `/unsafe/` and `/upload/` to one service.
 *
 * @returns The site; dispose it to stop its store, instances and targets
 */
export async function createTestSite () {
  const cleanup = createCleanupStack()
  const store = cleanup.add(createSiteStore())
  const siteIndex = siteCount++
  let version = 0
  let callCount = 0

  function createRoute (kind: string, overrides: Record<string, unknown>): Record<string, unknown> {
    return { host: testSiteHost, prefix: `/${kind}/`, kind, timeout: '1500ms', latency_slo: '500ms', priority: 1, service: testSiteService, max_attempts: 3, session_affinity: true, home_regions: [], ...overrides }
  }

  /** Writes the next version of the configuration and returns the number of the version. */
  function writeConfig (routeOverrides: Record<string, unknown> = {}, additionalRoutes: Record<string, unknown> = {}, limitOverrides: Record<string, unknown> = {}): number {
    version += 3
    store.writeRow('op', 'config', {
      version: `r${version}`,
      routes: { safe: createRoute('safe', routeOverrides), unsafe: createRoute('unsafe', routeOverrides), upload: createRoute('upload', routeOverrides), ...additionalRoutes },
      services: { [testSiteService]: { health_path: '/health', max_conns: 330, cold_start: '3s', cold_per_s: 2.4 } },
      limits: { max_header_bytes: 16_384, max_body_bytes: 1_048_576, header_timeout: '3000ms', idle_timeout: '15000ms', ...limitOverrides }
    })
    return version
  }

  async function startEntry (index: number, seeds: Array<{ host: string, port: number }> = [], path?: PathRelay): Promise<TestEntry> {
    const storeEndpoint = await store.openEndpoint(path?.mapAddress)
    const host = `127.${100 + process.pid % 100}.${siteIndex}.${index + 1}`
    const settings: EntrySettings = {
      instance: `entry-${index}`,
      failureDomain: failureDomains[index % failureDomains.length]!,
      region: failureDomains[index % failureDomains.length]!.slice(0, 1),
      listen: { callers: { host, port: ports.callers }, lookUps: { host, port: ports.lookUps }, readiness: { host, port: ports.readiness }, peers: { host, port: ports.peers } },
      heartbeatPort: ports.heartbeats,
      seeds,
      regions: new Map(failureDomains.map(name => [name, name.slice(0, 1)])),
      store: storeEndpoint.socketAddress,
      bounds: { stableMs: 4_000, drainMs: 2_500, graceMs: 6_000, configMs: 2_500, retryRatio: 0.2, retrySlack: 56, budgetWindowMs: 10_000, coldOver: 1.5, coldSlack: 5, maxLookUpTtlMs: 5_000 }
    }
    const output = new PassThrough()
    const chunks: string[] = []
    output.on('data', (chunk: Buffer) => chunks.push(chunk.toString('utf8')))
    const running = cleanup.add(await runEntry(settings, createEntryLog(settings.instance, output)))
    const readLog = (): Array<Record<string, unknown>> => chunks.join('').split('\n').filter(line => line !== '').map(line => JSON.parse(line) as Record<string, unknown>)
    return { running, settings, storeEndpoint, readLog }
  }

  return {
    store,
    writeConfig,
    startEntry,
    createRoute,
    openTarget: async (id: string, overrides: Partial<OpenSiteTargetOptions> = {}): Promise<SiteTarget> => cleanup.add(await openSiteTarget(store, { id, service: testSiteService, failureDomain: 'a-1', ...overrides })),
    call: (entry: TestEntry, options: CallOptions = {}): Promise<CallerResponse> => sendCall(entry.settings.listen.callers, { ...options, id: options.id ?? `call-${callCount++}` }),
    [Symbol.asyncDispose]: () => cleanup[Symbol.asyncDispose]()
  }
}

function sendCall (address: { host: string, port: number }, options: CallOptions & { id: string }): Promise<CallerResponse> {
  const { path = '/safe/x', method = 'GET', timeLeftMs = 2_000, body } = options
  const startedMs = performance.now()
  return new Promise(resolve => {
    const result: CallerResponse = { status: undefined, headers: {}, body: '', isComplete: false, elapsedMs: 0 }
    const finish = (): void => resolve({ ...result, elapsedMs: performance.now() - startedMs })
    const call = request({
      ...address,
      path,
      method,
      agent: options.agent ?? false,
      ...options.signal === undefined ? {} : { signal: options.signal },
      headers: { Host: testSiteHost, 'X-Request-Id': options.id, 'X-Timeout-Ms': String(timeLeftMs), ...options.affinityKey === undefined ? {} : { Cookie: `X-Affinity-Key=${options.affinityKey}` }, ...body === undefined ? {} : { 'Content-Length': Buffer.byteLength(body) }, ...options.headers }
    }, response => {
      result.status = response.statusCode
      result.headers = response.headers
      response.on('data', (part: Buffer) => { result.body += part.toString('utf8') })
      response.on('end', () => { result.isComplete = true })
      response.on('error', finish)
      response.on('close', finish)
    })
    call.on('error', finish)
    call.end(body)
  })
}

/**
 * Polls a condition until it is true, and gives up after 250 polls, that is, after 5 s or more.
 *
 * @param check Returns whether the condition is true
 * @returns Whether the condition became true within the limit
 */
export async function waitUntil (check: () => boolean | Promise<boolean>): Promise<boolean> {
  for (let polls = 0; polls < maxPolls; polls++) {
    if (await check()) return true
    await wait(pollMs)
  }
  return false
}
