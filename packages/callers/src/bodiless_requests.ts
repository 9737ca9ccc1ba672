/**
 * Ends the connections of requests whose bodies nobody reads.
 *
 * @module
 */
import type { Server } from 'node:http'
import { hasBody } from './body_guard.ts'
import { closeLingering } from './graceful_close.ts'
import { observeRequests } from './watch_response.ts'

/**
 * Makes a server whose handlers read no bodies close the connection after the response to a request with a body.
 *
 * `node:http` would otherwise parse and discard the body to its end, however long it is, so that the next request can be read.
 *
 * Must be called after the server's handlers are added.
 *
 * @param server The server
 */
export function applyBodilessRequests (server: Server): void {
  observeRequests(server, (message, response) => {
    if (!hasBody(message)) return
    response.shouldKeepAlive = false
    // Before `node:http` begins to read the rest of the body.
    response.prependOnceListener('finish', () => closeLingering(message.socket))
  })
}
