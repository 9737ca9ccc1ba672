/**
 * Fake target that speaks the `Bilberry-*` header fields, with slots, cold starts, load shedding, draining,
 * cancellation, deadlines and load reports.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { TargetRecord } from '@bilberryworks/steering'
import { createHash } from 'node:crypto'
import { createServer } from 'node:http'
import { LifecycleState } from '@bilberryworks/steering'
import { closeListener, formatServerAddress, listen } from './listeners.ts'

const cancelPath = '/bilberry/requests/'

/** Record of a request that a target ran. */
export interface RunRecord {
  /** `Bilberry-Request-Id` of the request. */
  requestId: string
  /** Name of the target that ran the request. */
  target: string
  /** Value of `X-Order`, a tag by which tests match requests of callers with records of targets. */
  order: string
  /** HTTP method. */
  method: string
  /** Wall-clock time at which the request arrived, in milliseconds since the epoch. */
  startedAtMs: number
  /** Number of slots in use, including that of this request, when it started. */
  busySlots: number
  /** Whether the request ran to its end: its body arrived completely, and it was not cancelled. */
  finished: boolean
}

/** Behaviour of a fake target. */
export interface TargetBehaviour {
  /** Time that a request holds its slot, in milliseconds. */
  serviceMs: number
  /** Time that a cold start adds to a request, in milliseconds. */
  coldStartMs: number
  /** Number of requests, from the next one on, that have a cold start. */
  coldRequests: number
  /** Whether the target reports that it is leaving and refuses new requests. */
  leaving: boolean
  /** Number of busy slots to report in place of the true number; `undefined` to report the true number. */
  reportedBusySlots: number | undefined
  /** Number of responses, from the next one on, whose body is truncated in the middle. */
  cutAnswers: number
  /** Whether requests are refused as not run while all slots are busy. */
  shed: boolean
}

/** Options of {@linkcode startFakeTarget}. */
export interface StartFakeTargetOptions extends Omit<TargetRecord, 'address' | 'state' | 'maxConnections'> {
  /** IP address to listen on; 127.0.0.1 by default. */
  host?: string
  /** Time that a request holds its slot, in milliseconds; 20 by default. */
  serviceMs?: number
}

/** A running fake target. */
export interface FakeTarget extends AsyncDisposable {
  /** Record of the target, as the platform lists it. */
  record: TargetRecord
  /** Behaviour; may be changed at any time. */
  behaviour: TargetBehaviour
  /** Requests that ran, in the order of their start. */
  runs: RunRecord[]
}

/**
 * Starts a fake target on a free port that the operating system chooses.
 *
 * @param options Identity, address and capacity of the target
 * @returns The target; dispose it to close its listener and connections
 */
export async function startFakeTarget (options: StartFakeTargetOptions): Promise<FakeTarget> {
  const { host = '127.0.0.1', serviceMs = 20, ...targetFields } = options
  const runs: RunRecord[] = []
  const running = new Map<string, AbortController>()
  const behaviour: TargetBehaviour = { serviceMs, coldStartMs: 0, coldRequests: 0, leaving: false, reportedBusySlots: undefined, cutAnswers: 0, shed: true }
  let busySlots = 0

  function refuse (response: ServerResponse): void {
    response.writeHead(503, { 'bilberry-outcome': 'not-run', ...createStateHeaders() }).end()
  }

  function createStateHeaders (): Record<string, string> {
    return behaviour.leaving ? { 'bilberry-target-state': 'leaving' } : {}
  }

  async function runRequest (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (behaviour.leaving || (behaviour.shed && busySlots >= targetFields.slots)) return refuse(response)
    const requestId = String(request.headers['bilberry-request-id'] ?? '')
    const record: RunRecord = { requestId, target: targetFields.target, order: String(request.headers['x-order'] ?? ''), method: request.method ?? '', startedAtMs: Date.now(), busySlots: ++busySlots, finished: false }
    runs.push(record)
    const cancellation = new AbortController()
    running.set(requestId, cancellation)
    try {
      const digest = createHash('sha256')
      let bytes = 0
      for await (const chunk of request) {
        digest.update(chunk as Buffer)
        bytes += (chunk as Buffer).length
      }
      const coldMs = behaviour.coldRequests > 0 ? behaviour.coldStartMs : 0
      if (behaviour.coldRequests > 0) behaviour.coldRequests--
      const deadlineMs = Number(request.headers['bilberry-deadline-ms'] ?? Infinity)
      await waitMs(Math.min(behaviour.serviceMs + coldMs, deadlineMs), cancellation.signal)
      record.finished = true
      writeBody(response, { target: targetFields.target, order: record.order, bytes, sha256: digest.digest('hex') })
    } catch {
      response.destroy()
    } finally {
      running.delete(requestId)
      busySlots--
    }
  }

  function writeBody (response: ServerResponse, content: object): void {
    const text = JSON.stringify(content)
    response.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), ...createStateHeaders() })
    if (behaviour.cutAnswers > 0) {
      behaviour.cutAnswers--
      response.write(text.slice(0, text.length >> 1), () => response.destroy())
      return
    }
    response.end(text)
  }

  function handleRequest (request: IncomingMessage, response: ServerResponse): void {
    if (request.url === '/bilberry/load') {
      response.end(JSON.stringify({ busySlots: behaviour.reportedBusySlots ?? busySlots, slots: targetFields.slots, leaving: behaviour.leaving }))
    } else if (request.method === 'DELETE' && request.url?.startsWith(cancelPath) === true) {
      running.get(decodeURIComponent(request.url.slice(cancelPath.length)))?.abort()
      response.end(JSON.stringify({ done: true }))
    } else {
      runRequest(request, response).catch(() => response.destroy())
    }
  }

  const server = createServer({ requestTimeout: 0, keepAliveTimeout: 30_000 }, handleRequest)
  await listen(server, host)
  return {
    record: { ...targetFields, address: formatServerAddress(server), maxConnections: 330, state: LifecycleState.Live },
    behaviour,
    runs,
    async [Symbol.asyncDispose] () {
      await closeListener(server)
    }
  }
}

async function waitMs (ms: number, signal: AbortSignal): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    const timer = setTimeout(resolve, ms)
    signal.addEventListener('abort', () => {
      clearTimeout(timer)
      reject(new Error('Request was cancelled'))
    })
  })
}
