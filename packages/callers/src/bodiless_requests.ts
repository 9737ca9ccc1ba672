/**
 * Bounds what the requests of a listener cost whose handlers read no bodies and respond at once.
 *
 * @module
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { ReadTurns } from './read_turns.ts'
import { hasBody } from './body_guard.ts'
import { closeLingering } from './graceful_close.ts'
import { observeRequests } from './watch_response.ts'

/**
 * Makes a server whose handlers read no bodies close the connection after the response to a request with a body, and read
 * connections with many requests in turns.
 *
 * Must be called after the server's handlers are added.
 *
 * @param server The server
 * @param turns Turns in which connections are read
 */
export function applyBodilessRequests (server: Server, turns: Pick<ReadTurns, 'countPipelined'>): void {
  observeRequests(server, (message, response) => dropBody(message, response, turns))
}

/**
 * Closes the connection after the response to a request with a body, and charges the connection for the request.
 *
 * `node:http` would otherwise parse and discard the body to its end, however long it is, so that the next request can be read.
 *
 * @param message The request, whose body is not read
 * @param response The response, which has not ended
 * @param turns Turns in which connections are read
 */
export function dropBody (message: IncomingMessage, response: ServerResponse, turns: Pick<ReadTurns, 'countPipelined'>): void {
  turns.countPipelined(message.socket)
  if (!hasBody(message)) return
  response.shouldKeepAlive = false
  // Before `node:http` begins to read the rest of the body.
  response.prependOnceListener('finish', () => closeLingering(message.socket))
}
