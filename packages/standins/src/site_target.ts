/**
 * Fake target that speaks the platform's HTTP headers, injects faults and records each request that it ran.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { SiteStore } from './site_store.ts'
import { createServer } from 'node:http'
import { buffer } from 'node:stream/consumers'
import { setTimeout as wait } from 'node:timers/promises'
import { createTargetRow } from './target_rows.ts'
import { closeListener, listenOnLoopback } from './listeners.ts'

/** Record of a request that a target ran. */
export interface TargetRun {
  /** Value of `X-Request-Id`, the identifier of the attempt. */
  attemptId: string
  /** HTTP method and path, separated by a space. */
  call: string
  /** Length of the request body, in bytes. */
  bodyBytes: number
  /** Value of `X-Timeout-Ms`, the time left for the request, in milliseconds. */
  timeLeftMs: number
  /** Whether the connection was closed before the response was fully sent. */
  isAborted: boolean
  /** Monotonic time at which the request started to run, in milliseconds. */
  startedAtMs: number
}

/** Fault that a target injects into one request. */
export enum TargetFault {
  /** The request runs, and the connection is closed without a response. */
  ResponseLost = 'answer_lost',
  /** The request is refused with status 503 and `X-Not-Executed`. */
  Shed = 'shed',
  /** The request is refused as by `Shed`, though the response states that no request is there. */
  ShedWithRoom = 'shed_with_room',
  /** The request is refused as by `Shed`, after the processing time of a request. */
  LateShed = 'late_shed',
  /** The request runs and ends with status 500. */
  Failed = 'failed',
  /** The request runs, and the connection is closed after the first 4 bytes of the response body. */
  ResponseTruncated = 'cut',
  /** The request runs, and the response has no `X-Server-Signature`. */
  ResponseUnsigned = 'unsigned',
  /** The request runs and ends with status 503 without `X-Not-Executed`, which does not prove that it did not run. */
  UnmarkedRefusal = 'false_promise'
}

/** Time after a response until a late second one, in milliseconds. */
const lateResponseMs = 60
const brokenCloseMs = 5

/** Bytes that a target sends in place of a response, or after it, although the request ran. */
export enum WrongBytes {
  /** Bytes that are no response, in place of one. */
  NoResponse = 'no_response',
  /** A byte of the head is changed. */
  ChangedHead = 'changed_head',
  /** A second response to the same request follows at once. */
  SecondResponse = 'second_response',
  /** A second response to the same request follows later, where the next one is expected. */
  LateSecondResponse = 'late_second_response'
}

/** Options of {@linkcode openSiteTarget}. */
export interface OpenSiteTargetOptions {
  /** Identifier of the target. */
  id: string
  /** Service that the target belongs to. */
  service: string
  /** Failure domain that the target is in. */
  failureDomain: string
  /** Number of concurrent requests that the target states as its capacity, without enforcing it; 3 by default. */
  slots?: number
  /** Processing time of a request, in milliseconds; 5 by default. */
  processingMs?: number
  /** Returns the processing time of a request, in milliseconds, in place of a constant one. */
  getProcessingMs?: () => number
  /** Number of responses after which one closes its connection; none does by default. */
  responsesPerClose?: number
  /** Path of a request that ends the process of the target while it runs; none by default. */
  crashPath?: string
}

/** Responds on a connection, given the status line and the header fields of a response without its length, and its body; returns whether it does. */
export type RespondFaultily = (socket: Socket, options: { head: string, body: string }) => boolean

/** A running fake target. */
export interface SiteTarget extends AsyncDisposable {
  /** `host:port` that the target listens on. */
  address: string
  /** Requests that ran, in the order of their start. */
  runs: TargetRun[]
  /** Identifiers of the attempts whose header sections arrived, whether their bodies followed or not. */
  receivedIds: string[]
  /** Monotonic times at which requests for this target arrived, whether they ran or not, in milliseconds. */
  arrivalsMs: number[]
  /** Monotonic times at which requests for another target arrived, in milliseconds. */
  misdirectedMs: number[]
  /** Returns the largest number of requests that ran concurrently so far. */
  getMaxConcurrency (): number
  /** Queues faults; each of the next requests takes the first one in the queue. */
  addFaults (faults: TargetFault[]): void
  /** Queues wrong bytes; each of the next requests that run takes the first one in the queue. */
  addWrongBytes (kinds: WrongBytes[]): void
  /** Drops the queued faults and wrong bytes. */
  dropFaults (): void
  /** Sets what may respond to requests that ran in place of the target; `undefined` for nothing. */
  setResponder (respond: RespondFaultily | undefined): void
  /** Writes the target's row to the store, with the given fields replaced. */
  register (overrides?: Record<string, unknown>): void
  /** Refuses new connections; open ones stay. */
  stopListening (): void
  /** Sets header fields that all later responses carry in addition, in place of those set before. */
  setResponseFields (fields: Record<string, string>): void
  /** Sets the processing time of later requests, in milliseconds. */
  setProcessingMs (processingMs: number): void
}

/**
 * Starts a target on a free loopback port and registers it in the store.
 *
 * @param store Store to register the target in
 * @param options Identity and capacity of the target
 * @returns The target; dispose it to close its listener and connections
 */
export async function openSiteTarget (store: SiteStore, options: OpenSiteTargetOptions): Promise<SiteTarget> {
  const { id, slots = 3 } = options
  const runs: TargetRun[] = []
  const receivedIds: string[] = []
  const arrivalsMs: number[] = []
  const misdirectedMs: number[] = []
  const faults: TargetFault[] = []
  const wrongBytes: WrongBytes[] = []
  let processingMs = options.processingMs ?? 5
  let concurrency = 0
  let maxConcurrency = 0
  let responseFields: Record<string, string> = {}
  let sequence = 0
  let responses = 0
  let respond: RespondFaultily | undefined

  async function runRequest (message: IncomingMessage, response: ServerResponse): Promise<void> {
    const attemptId = String(message.headers['x-request-id'])
    receivedIds.push(attemptId)
    const body = await buffer(message)
    response.setHeader('X-Request-Id', attemptId)
    for (const [name, value] of Object.entries(responseFields)) response.setHeader(name, value)
    if (message.headers['x-target-instance'] !== id) {
      misdirectedMs.push(performance.now())
      response.writeHead(421, { 'X-Instance-Id': id }).end()
      return
    }
    arrivalsMs.push(performance.now())
    const fault = faults.shift()
    if (fault === TargetFault.LateShed) await wait(processingMs, undefined, { ref: false })
    if (fault === TargetFault.Shed || fault === TargetFault.LateShed || fault === TargetFault.ShedWithRoom) {
      response.writeHead(503, { 'X-Not-Executed': '1', 'X-Server-Load': fault === TargetFault.ShedWithRoom ? `0,0,${slots}` : `${slots},9,${slots}` }).end()
      return
    }
    const run = { attemptId, call: `${message.method!} ${message.url!}`, bodyBytes: body.length, timeLeftMs: Number(message.headers['x-timeout-ms']), isAborted: false, startedAtMs: performance.now() }
    runs.push(run)
    response.on('close', () => { run.isAborted = !response.writableFinished })
    concurrency++
    maxConcurrency = Math.max(maxConcurrency, concurrency)
    // A request that outlasts its test must not keep the process alive.
    await wait(options.getProcessingMs?.() ?? processingMs, undefined, { ref: false })
    if (message.url === options.crashPath) {
      server.close()
      server.closeAllConnections()
      return
    }
    concurrency--
    writeResponse(message, response, fault)
  }

  function writeResponse (message: IncomingMessage, response: ServerResponse, fault: TargetFault | undefined): void {
    const body = `answer of ${id}`
    responses++
    const closes = responses % (options.responsesPerClose ?? Infinity) === 0
    const fields = { 'X-Server-Signature': `signed-${id}`, 'X-Server-Load': `${concurrency + 1},0,${slots}`, 'Content-Length': body.length, ...closes ? { Connection: 'close' } : {} }
    const wrong = fault === undefined ? wrongBytes.shift() : undefined
    const head = formatHead({ 'X-Request-Id': String(response.getHeader('X-Request-Id')), 'X-Server-Signature': `signed-${id}` }).slice(0, -'\r\n'.length)
    if (respond?.(message.socket, { head, body }) === true) return
    if (wrong !== undefined) sendWrongBytes(response, { wrong, fields, body })
    else if (fault === TargetFault.ResponseLost) message.socket.destroy()
    else if (fault === TargetFault.Failed) response.writeHead(500, fields).end(body)
    else if (fault === TargetFault.UnmarkedRefusal) response.writeHead(503, fields).end(body)
    else if (fault === TargetFault.ResponseUnsigned) response.writeHead(200).end(body)
    else if (fault === TargetFault.ResponseTruncated) {
      response.writeHead(200, fields).write(body.slice(0, 4))
      setTimeout(() => message.socket.destroy(), 5)
    } else response.writeHead(200, fields).end(body)
  }

  const server = createServer((message, response) => {
    runRequest(message, response).catch(() => response.destroy())
  })
  const socketAddress = await listenOnLoopback(server)
  const target: SiteTarget = {
    address: `${socketAddress.host}:${socketAddress.port}`,
    runs,
    receivedIds,
    arrivalsMs,
    misdirectedMs,
    getMaxConcurrency: () => maxConcurrency,
    addFaults: added => faults.push(...added),
    addWrongBytes: added => wrongBytes.push(...added),
    dropFaults () {
      faults.length = 0
      wrongBytes.length = 0
    },
    stopListening () { server.close() },
    setResponder (next) { respond = next },
    setResponseFields (next) { responseFields = next },
    setProcessingMs (next) { processingMs = next },
    register (overrides = {}) {
      sequence++
      store.writeRow('servers', id, createTargetRow({ service: options.service, address: `${socketAddress.host}:${socketAddress.port}`, failureDomain: options.failureDomain, slots }, { seq: sequence, ...overrides }))
    },
    async [Symbol.asyncDispose] () {
      await closeListener(server)
    }
  }
  target.register()
  return target
}

function formatHead (fields: Record<string, string | number>): string {
  return `HTTP/1.1 200 OK\r\n${Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`
}

function sendWrongBytes (response: ServerResponse, { wrong, fields, body }: { wrong: WrongBytes, fields: Record<string, string | number>, body: string }): void {
  const socket = response.socket!
  const message = formatHead({ 'X-Request-Id': String(response.getHeader('X-Request-Id')), ...fields }) + body
  if (wrong === WrongBytes.NoResponse || wrong === WrongBytes.ChangedHead) {
    socket.write(wrong === WrongBytes.NoResponse ? '\u0000\u0001\u0002 no response\r\n\r\n' : message.replace('OK', 'O\u0001'), 'latin1')
    setTimeout(() => socket.destroy(), brokenCloseMs)
    return
  }
  response.writeHead(200, fields).end(body)
  setTimeout(() => { if (!socket.destroyed) socket.write(message) }, wrong === WrongBytes.SecondResponse ? 0 : lateResponseMs).unref()
}
