/**
 * Refusals of the JSON interfaces as `application/problem+json`.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from 'node:http'

const problemType = 'application/problem+json'
const firstErrorStatus = 400

/** What is wrong. */
export interface Problem {
  /** HTTP status. */
  status: number
  /** Stable name of the reason. */
  title: string
  /** One sentence. */
  detail?: string
}

/**
 * Replies with a problem.
 *
 * @param response Where to write
 * @param problem What is wrong
 */
export function replyProblem (response: ServerResponse, problem: Problem): void {
  const text = JSON.stringify({ type: `urn:bilberryworks:${problem.title}`, ...problem })
  response.writeHead(problem.status, { 'content-type': problemType, 'content-length': Buffer.byteLength(text) }).end(text)
}

/**
 * Completes the body of an action that refused, for moleculer-web's `onAfterCall`.
 *
 * @param context The call, whose meta data carries the status
 * @param _route The route
 * @param _request The message
 * @param _response Its response
 * @param data What the action returned
 * @returns The body
 */
export function describeProblem (context: { meta: Record<string, unknown> }, _route: unknown, _request: unknown, _response: unknown, data: unknown): unknown {
  const status = Number(context.meta['$statusCode'] ?? 0)
  if (status < firstErrorStatus) return data
  context.meta['$responseType'] = problemType
  const problem = data as Problem
  return { type: `urn:bilberryworks:${problem.title}`, ...problem, status }
}

/**
 * Replies with an error that moleculer-web raised, for its `onError`.
 *
 * @param _request The message
 * @param response Where to write
 * @param error The error
 */
export function replyError (_request: IncomingMessage, response: ServerResponse, error: { code?: number, type?: string, message: string }): void {
  if (response.headersSent) {
    response.destroy()
    return
  }
  const status = error.code !== undefined && error.code >= firstErrorStatus && error.code < 600 ? error.code : 500
  replyProblem(response, { status, title: describeTitle(status), detail: status === 500 ? 'Call failed' : error.message })
}

function describeTitle (status: number): string {
  switch (status) {
    case 404: return 'not_found'
    case 413: return 'body_too_large'
    case 500: return 'internal_error'
    default: return 'bad_request'
  }
}
