/**
 * A stand-in of one target: slots, cold start, shedding, draining, cancellation, deadlines and load reports.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { TargetRecord } from '@bilberryworks/steering'
import { createHash } from 'node:crypto'
import { createServer } from 'node:http'
import { MachineState } from '@bilberryworks/steering'
import { closeListener, formatServerAddress, listen } from './listeners.ts'

const cancelPath = '/bilberry/requests/'

/** What a target recorded of one request. */
export interface RunRecord {
  /** `Bilberry-Request-Id` of the request. */
  requestId: string
  /** Name of the target. */
  target: string
  /** Value of `X-Order`, the tag that the caller of a test gives a request. */
  order: string
  /** HTTP method. */
  method: string
  /** Wall-clock time at which the request arrived, in milliseconds since the epoch. */
  startedAtMs: number
  /** Slots in use just after it started. */
  busySlots: number
  /** Whether the request ran to its end. */
  finished: boolean
}

/** How a target behaves now. */
export interface TargetBehaviour {
  /** Milliseconds that a request holds its slot. */
  serviceMs: number
  /** Milliseconds added to each of the first requests. */
  coldStartMs: number
  /** Number of requests that are cold. */
  coldRequests: number
  /** Whether the target says that it is leaving and refuses new work. */
  leaving: boolean
  /** Load to report in place of the true one; the truth where absent. */
  reportedBusySlots: number | undefined
  /** Number of next requests whose answer is cut off half-way. */
  cutAnswers: number
  /** Whether requests above the slots are refused as not run. */
  shed: boolean
}

/** Options of {@linkcode startTargetStandin}. */
export interface StartTargetStandinOptions extends Omit<TargetRecord, 'address' | 'state' | 'maxConnections'> {
  /** IP number to listen on; 127.0.0.1 by default. */
  host?: string
  /** Milliseconds that a request holds its slot; 20 by default. */
  serviceMs?: number
}

/** A running stand-in of a target. */
export interface TargetStandin extends AsyncDisposable {
  /** The target as the platform lists it. */
  record: TargetRecord
  /** Behaviour, which may be changed at any time. */
  behaviour: TargetBehaviour
  /** Requests that ran, in the order of their start. */
  runs: RunRecord[]
}

/**
 * Starts a stand-in of a target on a port that the system chooses.
 *
 * @param options The target
 * @returns The stand-in
 */
export async function startTargetStandin (options: StartTargetStandinOptions): Promise<TargetStandin> {
  const { host = '127.0.0.1', serviceMs = 20, ...place } = options
  const runs: RunRecord[] = []
  const running = new Map<string, AbortController>()
  const behaviour: TargetBehaviour = { serviceMs, coldStartMs: 0, coldRequests: 0, leaving: false, reportedBusySlots: undefined, cutAnswers: 0, shed: true }
  let busySlots = 0

  function refuse (response: ServerResponse): void {
    response.writeHead(503, { 'bilberry-outcome': 'not-run', ...describeState() }).end()
  }

  function describeState (): Record<string, string> {
    return behaviour.leaving ? { 'bilberry-target-state': 'leaving' } : {}
  }

  async function runRequest (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (behaviour.leaving || (behaviour.shed && busySlots >= place.slots)) return refuse(response)
    const requestId = String(request.headers['bilberry-request-id'] ?? '')
    const record: RunRecord = { requestId, target: place.target, order: String(request.headers['x-order'] ?? ''), method: request.method ?? '', startedAtMs: Date.now(), busySlots: ++busySlots, finished: false }
    runs.push(record)
    const cancelled = new AbortController()
    running.set(requestId, cancelled)
    try {
      const digest = createHash('sha256')
      let bytes = 0
      for await (const chunk of request) {
        digest.update(chunk as Buffer)
        bytes += (chunk as Buffer).length
      }
      const cold = behaviour.coldRequests > 0 ? behaviour.coldStartMs : 0
      if (behaviour.coldRequests > 0) behaviour.coldRequests--
      const deadlineMs = Number(request.headers['bilberry-deadline-ms'] ?? Infinity)
      await waitMs(Math.min(behaviour.serviceMs + cold, deadlineMs), cancelled.signal)
      record.finished = true
      writeBody(response, { target: place.target, order: record.order, bytes, sha256: digest.digest('hex') })
    } catch {
      response.destroy()
    } finally {
      running.delete(requestId)
      busySlots--
    }
  }

  function writeBody (response: ServerResponse, content: object): void {
    const text = JSON.stringify(content)
    response.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), ...describeState() })
    if (behaviour.cutAnswers > 0) {
      behaviour.cutAnswers--
      response.write(text.slice(0, text.length >> 1), () => response.destroy())
      return
    }
    response.end(text)
  }

  function handle (request: IncomingMessage, response: ServerResponse): void {
    if (request.url === '/bilberry/load') {
      response.end(JSON.stringify({ busySlots: behaviour.reportedBusySlots ?? busySlots, slots: place.slots, leaving: behaviour.leaving }))
    } else if (request.method === 'DELETE' && request.url?.startsWith(cancelPath) === true) {
      running.get(decodeURIComponent(request.url.slice(cancelPath.length)))?.abort()
      response.end(JSON.stringify({ done: true }))
    } else {
      runRequest(request, response).catch(() => response.destroy())
    }
  }

  const server = createServer({ requestTimeout: 0, keepAliveTimeout: 30_000 }, handle)
  await listen(server, host)
  return {
    record: { ...place, address: formatServerAddress(server), maxConnections: 330, state: MachineState.Live },
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
