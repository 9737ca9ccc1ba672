/**
 * Serves `/services/{service}/{path}` on a `node:http` server.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { HandleRequest, Outcome, Refusal, RefusalReason } from '@bilberryworks/steering'
import { Outcome as Outcomes } from '@bilberryworks/steering'
import { parseRequest } from './parse_request.ts'
import { writeAnswer, writeRefusal } from './write_answer.ts'

/** How one request ended, for the counters. */
export interface RequestEnd {
  /** The service named; empty where the URL names none. */
  service: string
  /** The outcome. */
  outcome: Outcome
  /** The reason of a refusal. */
  reason: RefusalReason | undefined
  /** Whether the whole answer was written to the caller. */
  whole: boolean
  /** Milliseconds from the first byte to the end. */
  elapsedMs: number
}

/** Options of {@linkcode createServiceHandler}. */
export interface CreateServiceHandlerOptions {
  /** Whether messages come from authenticated peers. */
  fromPeer: boolean
  /** Handles a checked request. */
  handleRequest: HandleRequest
  /** Called once for each request when it has ended. */
  recordEnd: (end: RequestEnd) => void
  /** Whether connections are to be closed after their next answer. */
  isStopping: () => boolean
}

/**
 * Creates the handler of requests for services.
 *
 * @param options What to call
 * @returns A handler for `node:http`
 */
export function createServiceHandler (options: CreateServiceHandlerOptions): (message: IncomingMessage, response: ServerResponse) => void {
  return (message, response) => {
    const startedMs = performance.now()
    const gone = new AbortController()
    response.on('close', () => {
      if (!response.writableFinished) gone.abort()
    })
    if (options.isStopping()) response.setHeader('connection', 'close')
    const finish = (service: string, end: { outcome: Outcome, reason?: RefusalReason, whole: boolean }): void => {
      options.recordEnd({ service, reason: undefined, elapsedMs: performance.now() - startedMs, ...end })
    }
    const refuse = (service: string, refusal: Refusal): void => {
      if (!message.complete) response.setHeader('connection', 'close')
      writeRefusal(response, refusal)
      finish(service, { outcome: refusal.outcome, reason: refusal.reason, whole: true })
    }
    const parsed = parseRequest(message, { fromPeer: options.fromPeer, signal: gone.signal })
    if (parsed.isErr()) {
      refuse('', parsed.error)
      return
    }
    const request = parsed.value
    options.handleRequest(request).then(async result => {
      if (result.isErr()) {
        refuse(request.service, result.error)
        return
      }
      const whole = await writeAnswer(response, result.value)
      finish(request.service, { outcome: Outcomes.Answered, whole })
    }).catch(() => response.destroy())
  }
}
