/**
 * The HTTP listener for callers.
 *
 * @module
 */
import type { CallerLimits } from '@bilberryworks/steering'
import type { IncomingMessage, Server, ServerOptions, ServerResponse } from 'node:http'
import type { EntryMetrics } from './entry_metrics.ts'
import type { RequestHandler } from './request_handler.ts'
import { createServer } from 'node:http'
import { handleClientErrors } from '@bilberryworks/callers'
import { createNotRunRefusal, Outcome, RefusalReason } from '@bilberryworks/steering'

/** Options of {@linkcode createCallerListener}. */
export interface CreateCallerListenerOptions {
  /** Handles the requests. */
  requestHandler: RequestHandler
  /** Metrics. */
  metrics: EntryMetrics
}

/** Interval at which `node:http` checks connections for expired time limits, in milliseconds. */
const connectionCheckIntervalMs = 500
/** Hard limit of the header section, in bytes; the routing configuration sets a lower one, which is checked separately. */
const maxHeaderBytes = 65_536
/** Bytes beyond the limit of the routing configuration that are received, so that a long request target, which that limit does not cover, is not refused. */
const maxTargetBytes = 8_192

/** Number of header fields from which a request is refused: fields take memory however short they are, and `node:http` drops those beyond its limit without a word. */
export const maxHeaderFields = 512

/** Options of the servers that receive requests of callers, directly or through other instances. */
export const requestServerOptions: ServerOptions = { maxHeaderSize: maxHeaderBytes, requestTimeout: 0, connectionsCheckingInterval: connectionCheckIntervalMs, keepAlive: true, noDelay: true, requireHostHeader: false }

/**
 * Creates the listener for callers.
 *
 * @param options Handler and metrics
 * @returns The server, which is not listening yet
 */
export function createCallerListener ({ requestHandler: { handleRequest, refuseRequest }, metrics }: CreateCallerListenerOptions): Server {
  const server = createServer(requestServerOptions)
  server.maxHeadersCount = maxHeaderFields
  server.on('request', (message: IncomingMessage, response: ServerResponse) => handleRequest(message, response))
  server.on('checkContinue', (message: IncomingMessage, response: ServerResponse) => {
    response.writeContinue()
    handleRequest(message, response)
  })
  server.on('checkExpectation', (message: IncomingMessage, response: ServerResponse) => {
    refuseRequest(message, response, createNotRunRefusal(RefusalReason.BadRequest, 'Expect header has a value other than 100-continue'))
  })
  handleClientErrors(server, reason => metrics.countRefused('', Outcome.NotRun, reason))
  return server
}

/**
 * Applies the limits of a routing configuration to a listener: time limits to all its connections, the size of the header section to new ones.
 *
 * @param server The listener
 * @param limits The limits; nothing changes if `undefined`
 */
export function applyCallerLimits (server: Server, limits: CallerLimits | undefined): void {
  if (limits === undefined) return
  server.headersTimeout = limits.headerTimeoutMs
  server.keepAliveTimeout = limits.idleTimeoutMs
  // `node:http` reads it for each new connection; its types leave it out.
  Object.assign(server, { maxHeaderSize: Math.min(maxHeaderBytes, limits.maxHeaderBytes + maxTargetBytes) })
}
