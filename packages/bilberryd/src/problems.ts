/**
 * Writes errors of the JSON interfaces as problem details (`application/problem+json`).
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from 'node:http'

const problemType = 'application/problem+json'
const firstErrorStatus = 400

/** An error to report to a client. */
export interface Problem {
  /** HTTP status code. */
  status: number
  /** Name of the error, which clients may match. */
  title: string
  /** Description of this occurrence. */
  detail?: string
}

/**
 * Sends a problem as the response.
 *
 * @param response The response to write
 * @param problem The error
 */
export function replyProblem (response: ServerResponse, problem: Problem): void {
  const text = JSON.stringify({ type: `urn:bilberryworks:${problem.title}`, ...problem })
  response.writeHead(problem.status, { 'content-type': problemType, 'content-length': Buffer.byteLength(text) }).end(text)
}

/**
 * Turns the result of an action into problem details if its status is an error; hook for moleculer-web's `onAfterCall`.
 *
 * @param context The call, with the HTTP status in its `meta`
 * @param _route Not used
 * @param _request Not used
 * @param _response Not used
 * @param data Result of the action
 * @returns The response body
 */
export function describeProblem (context: { meta: Record<string, unknown> }, _route: unknown, _request: unknown, _response: unknown, data: unknown): unknown {
  const status = Number(context.meta['$statusCode'] ?? 0)
  if (status < firstErrorStatus) return data
  context.meta['$responseType'] = problemType
  const problem = data as Problem
  return { type: `urn:bilberryworks:${problem.title}`, ...problem, status }
}

/**
 * Sends an error that moleculer-web raised; hook for its `onError`.
 *
 * Destroys the response if its header has been sent.
 *
 * @param _request Not used
 * @param response The response to write
 * @param error The error
 */
export function replyError (_request: IncomingMessage, response: ServerResponse, error: { code?: number, type?: string, message: string }): void {
  if (response.headersSent) {
    response.destroy()
    return
  }
  const status = error.code !== undefined && error.code >= firstErrorStatus && error.code < 600 ? error.code : 500
  replyProblem(response, { status, title: describeTitle(status), detail: status === 500 ? 'Internal error while handling the request' : error.message })
}

function describeTitle (status: number): string {
  switch (status) {
    case 404: return 'not_found'
    case 413: return 'body_too_large'
    case 500: return 'internal_error'
    default: return 'bad_request'
  }
}
