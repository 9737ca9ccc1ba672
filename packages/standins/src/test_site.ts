/**
 * The users' platform in one process, for tests: store, targets, entry instances and callers.
 *
 * @module
 */
import type { EntrySettings } from '@bilberryworks/steering'
import type { RunningEntry } from 'bilberryd'
import type { StoreEndpoint } from './site_store.ts'
import type { OpenSiteTargetOptions, SiteTarget } from './site_target.ts'
import type { Agent } from 'node:http'
import { request } from 'node:http'
import { setTimeout as wait } from 'node:timers/promises'
import { createCleanupStack } from '@bilberryworks/steering'
import { createEntryLog, runEntry } from 'bilberryd'
import { createSiteStore } from './site_store.ts'
import { openSiteTarget } from './site_target.ts'
import { PassThrough } from 'node:stream'

/** An entry instance of the world. */
export interface TestEntry {
  /** The instance. */
  running: RunningEntry
  /** Its settings. */
  settings: EntrySettings
  /** Its address of the store. */
  storeEndpoint: StoreEndpoint
  /** The lines of its log, parsed. */
  readLog: () => Array<Record<string, unknown>>
}

/** What a caller got. */
export interface CallerResponse {
  /** Status; `undefined` where the connection broke without an answer. */
  status: number | undefined
  /** Header fields. */
  headers: Record<string, string | string[] | undefined>
  /** The body. */
  body: string
  /** Whether the answer was whole. */
  isWhole: boolean
  /** Time until its end, in milliseconds. */
  elapsedMs: number
}

/** Options of a caller's call. */
export interface CallOptions {
  /** Path; on the safe route by default. */
  path?: string
  /** Method; GET by default. */
  method?: string
  /** Object that it concerns. */
  objectKey?: string
  /** Time that the caller waits, in milliseconds; 2,000 by default. */
  timeLeftMs?: number
  /** Body. */
  body?: string | Buffer
  /** Identifier; a new one by default. */
  id?: string
  /** Connections to use; a new one by default. */
  agent?: Agent
  /** Further header fields. */
  headers?: Record<string, string>
  /** Aborts the call. */
  signal?: AbortSignal
}

/** Name of the service of a world's routes. */
export const testSiteService = 'svc'
/** Host of a world's routes. */
export const testSiteHost = 'site.example'

const failureDomains = ['a-1', 'a-2', 'b-1', 'b-2']
const settleMs = 20
const settleTries = 250
/** Ports of each instance; the loopback address tells instances and worlds apart. */
const ports = { callers: 20_001, lookUps: 20_002, readiness: 20_003, peers: 20_004, heartbeats: 20_005 }
let worlds = 0

/** The world. */
export type TestSite = Awaited<ReturnType<typeof createTestSite>>

/**
 * Creates a world with a configuration: `/safe/`, `/unsafe/` and `/upload/` lead to one service.
 *
 * @returns The world; dispose it to end all that it started
 */
export async function createTestSite () {
  const owned = createCleanupStack()
  const store = owned.add(createSiteStore())
  const world = worlds++
  let version = 0
  let calls = 0

  function createRoute (kind: string, change: Record<string, unknown>): Record<string, unknown> {
    return { host: testSiteHost, prefix: `/${kind}/`, kind, timeout: '1500ms', latency_slo: '500ms', priority: 1, service: testSiteService, max_attempts: 3, session_affinity: true, home_regions: [], ...change }
  }

  /** Writes the next version of the configuration. */
  function writeConfig (change: Record<string, unknown> = {}, routes: Record<string, unknown> = {}): number {
    version += 3
    store.writeRow('op', 'config', {
      version: `r${version}`,
      routes: { safe: createRoute('safe', change), unsafe: createRoute('unsafe', change), upload: createRoute('upload', change), ...routes },
      services: { [testSiteService]: { health_path: '/health', max_conns: 330, cold_start: '3s', cold_per_s: 2.4 } },
      limits: { max_header_bytes: 16_384, max_body_bytes: 1_048_576, header_timeout: '3000ms', idle_timeout: '15000ms' }
    })
    return version
  }

  async function startEntry (index: number, seeds: Array<{ host: string, port: number }> = []): Promise<TestEntry> {
    const door = await store.openEndpoint()
    const host = `127.${100 + process.pid % 100}.${world}.${index + 1}`
    const settings: EntrySettings = {
      instance: `entry-${index}`,
      failureDomain: failureDomains[index % failureDomains.length]!,
      region: failureDomains[index % failureDomains.length]!.slice(0, 1),
      listen: { callers: { host, port: ports.callers }, lookUps: { host, port: ports.lookUps }, readiness: { host, port: ports.readiness }, peers: { host, port: ports.peers } },
      heartbeatPort: ports.heartbeats,
      seeds,
      regions: new Map(failureDomains.map(name => [name, name.slice(0, 1)])),
      store: door.place,
      bounds: { stableMs: 4_000, drainMs: 2_500, graceMs: 6_000, configMs: 2_500, retryRatio: 0.2, retrySlack: 56, budgetWindowMs: 10_000, coldOver: 1.5, coldSlack: 5, maxLookUpTtlMs: 5_000 }
    }
    const output = new PassThrough()
    const lines: string[] = []
    output.on('data', (chunk: Buffer) => lines.push(chunk.toString('utf8')))
    const running = owned.add(await runEntry(settings, createEntryLog(settings.instance, output)))
    const readLog = (): Array<Record<string, unknown>> => lines.join('').split('\n').filter(line => line !== '').map(line => JSON.parse(line) as Record<string, unknown>)
    return { running, settings, storeEndpoint: door, readLog }
  }

  return {
    store,
    writeConfig,
    startEntry,
    createRoute,
    openTarget: async (id: string, change: Partial<OpenSiteTargetOptions> = {}): Promise<SiteTarget> => owned.add(await openSiteTarget(store, { id, service: testSiteService, failureDomain: 'a-1', ...change })),
    call: (entry: TestEntry, options: CallOptions = {}): Promise<CallerResponse> => sendCall(entry.settings.listen.callers, { ...options, id: options.id ?? `call-${calls++}` }),
    [Symbol.asyncDispose]: () => owned[Symbol.asyncDispose]()
  }
}

function sendCall (place: { host: string, port: number }, options: CallOptions & { id: string }): Promise<CallerResponse> {
  const { path = '/safe/x', method = 'GET', timeLeftMs = 2_000, body } = options
  const startedMs = performance.now()
  return new Promise(resolve => {
    const answer: CallerResponse = { status: undefined, headers: {}, body: '', isWhole: false, elapsedMs: 0 }
    const finish = (): void => resolve({ ...answer, elapsedMs: performance.now() - startedMs })
    const call = request({
      ...place,
      path,
      method,
      agent: options.agent ?? false,
      ...options.signal === undefined ? {} : { signal: options.signal },
      headers: { Host: testSiteHost, 'X-Request-Id': options.id, 'X-Timeout-Ms': String(timeLeftMs), ...options.objectKey === undefined ? {} : { Cookie: `X-Affinity-Key=${options.objectKey}` }, ...body === undefined ? {} : { 'Content-Length': Buffer.byteLength(body) }, ...options.headers }
    }, response => {
      answer.status = response.statusCode
      answer.headers = response.headers
      response.on('data', (part: Buffer) => { answer.body += part.toString('utf8') })
      response.on('end', () => { answer.isWhole = true })
      response.on('error', finish)
      response.on('close', finish)
    })
    call.on('error', finish)
    call.end(body)
  })
}

/**
 * Waits until a check holds.
 *
 * @param check The check
 * @returns Whether it came to hold
 */
export async function waitUntil (check: () => boolean | Promise<boolean>): Promise<boolean> {
  for (let tries = 0; tries < settleTries; tries++) {
    if (await check()) return true
    await wait(settleMs)
  }
  return false
}
