/**
 * Stand-in of a target on the users' platform, with a record of what it ran.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { SiteStore } from './site_store.ts'
import { createServer } from 'node:http'
import { buffer } from 'node:stream/consumers'
import { setTimeout as wait } from 'node:timers/promises'
import { createTargetRow } from './list_targets.ts'
import { closeListener, listenOnLoopback } from './listeners.ts'

/** A run of a request. */
export interface TargetRun {
  /** Identifier of the attempt. */
  attemptId: string
  /** Method and path. */
  call: string
  /** Length of the body, in bytes. */
  bodyBytes: number
  /** Time that it was told is left, in milliseconds. */
  timeLeftMs: number
  /** Whether the caller's side of the connection was closed before the end. */
  isCut: boolean
}

/** What a target does with a request, in place of an answer. */
export enum TargetFault {
  /** Runs it and breaks the connection. */
  AnswerLost = 'answer_lost',
  /** Says that it does not run it. */
  Shed = 'shed',
  /** Runs it and fails. */
  Failed = 'failed',
  /** Runs it and sends half an answer. */
  Cut = 'cut',
  /** Answers without a signature. */
  Unsigned = 'unsigned',
  /** Runs it and answers with a status that would promise that it did not. */
  FalsePromise = 'false_promise'
}

/** Options of {@linkcode openSiteTarget}. */
export interface OpenSiteTargetOptions {
  /** Identifier of the target. */
  id: string
  /** Service that it runs. */
  service: string
  /** Failure domain that it is in. */
  failureDomain: string
  /** Requests that it works on at once; 3 by default. */
  slots?: number
  /** Time that a request takes, in milliseconds; 5 by default. */
  workMs?: number
}

/** A target. */
export interface SiteTarget extends AsyncDisposable {
  /** `host:port` that it listens on. */
  address: string
  /** What it ran. */
  runs: TargetRun[]
  /** Most requests that it has worked on at once. */
  getMostBusy (): number
  /** Makes the next requests fail, each by one fault. */
  addFaults (faults: TargetFault[]): void
  /** Forgets the faults that no request has met. */
  dropFaults (): void
  /** Writes its registration to the store. */
  register (change?: Record<string, unknown>): void
  /** Takes no new connections from now on; open ones stay. */
  stopListening (): void
  /** Sets the time that a request takes, in milliseconds. */
  setWorkMs (workMs: number): void
}

/**
 * Opens a target and registers it.
 *
 * @param store The store
 * @param options What it is
 * @returns The target; dispose it to close its connections
 */
export async function openSiteTarget (store: SiteStore, options: OpenSiteTargetOptions): Promise<SiteTarget> {
  const { id, slots = 3 } = options
  const runs: TargetRun[] = []
  const faults: TargetFault[] = []
  let workMs = options.workMs ?? 5
  let busy = 0
  let mostBusy = 0
  let sequence = 0

  async function runRequest (message: IncomingMessage, response: ServerResponse): Promise<void> {
    const attemptId = String(message.headers['x-request-id'])
    const body = await buffer(message)
    response.setHeader('X-Request-Id', attemptId)
    if (message.headers['x-target-instance'] !== id) {
      response.writeHead(421, { 'X-Instance-Id': id }).end()
      return
    }
    const fault = faults.shift()
    if (fault === TargetFault.Shed) {
      response.writeHead(503, { 'X-Not-Executed': '1', 'X-Server-Load': `${slots},9,${slots}` }).end()
      return
    }
    const run = { attemptId, call: `${message.method!} ${message.url!}`, bodyBytes: body.length, timeLeftMs: Number(message.headers['x-timeout-ms']), isCut: false }
    runs.push(run)
    response.on('close', () => { run.isCut = !response.writableFinished })
    busy++
    mostBusy = Math.max(mostBusy, busy)
    // A run that outlasts its test must not keep the process.
    await wait(workMs, undefined, { ref: false })
    busy--
    writeAnswer(message, response, fault)
  }

  function writeAnswer (message: IncomingMessage, response: ServerResponse, fault: TargetFault | undefined): void {
    const answer = `answer of ${id}`
    const fields = { 'X-Server-Signature': `signed-${id}`, 'X-Server-Load': `${busy + 1},0,${slots}`, 'Content-Length': answer.length }
    if (fault === TargetFault.AnswerLost) message.socket.destroy()
    else if (fault === TargetFault.Failed) response.writeHead(500, fields).end(answer)
    else if (fault === TargetFault.FalsePromise) response.writeHead(503, fields).end(answer)
    else if (fault === TargetFault.Unsigned) response.writeHead(200).end(answer)
    else if (fault === TargetFault.Cut) {
      response.writeHead(200, fields).write(answer.slice(0, 4))
      setTimeout(() => message.socket.destroy(), 5)
    } else response.writeHead(200, fields).end(answer)
  }

  const server = createServer((message, response) => {
    runRequest(message, response).catch(() => response.destroy())
  })
  const place = await listenOnLoopback(server)
  const target: SiteTarget = {
    address: `${place.host}:${place.port}`,
    runs,
    getMostBusy: () => mostBusy,
    addFaults: added => faults.push(...added),
    dropFaults () { faults.length = 0 },
    stopListening () { server.close() },
    setWorkMs (next) { workMs = next },
    register (change = {}) {
      sequence++
      store.writeRow('servers', id, createTargetRow({ service: options.service, address: `${place.host}:${place.port}`, failureDomain: options.failureDomain, slots }, { seq: sequence, ...change }))
    },
    async [Symbol.asyncDispose] () {
      await closeListener(server)
    }
  }
  target.register()
  return target
}
