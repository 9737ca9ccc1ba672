/**
 * Tells when an answer has ended, also one whose turn on its connection never came.
 *
 * @module
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'

/**
 * Calls a function once when an answer was written whole, or its connection is closed before.
 *
 * An answer that waits behind an earlier one on the same connection has no connection of its own yet, and so no end of its own where
 * the connection is closed.
 *
 * @param message The request
 * @param response Its answer
 * @param onEnd Called with whether the answer was written whole
 */
export function watchResponse (message: IncomingMessage, response: ServerResponse, onEnd: (isWhole: boolean) => void): void {
  const { socket } = message
  let hasEnded = false
  const finish = (): void => {
    // The close of a connection calls its listeners from a copy, also one that was removed when the answer's own close came first.
    if (hasEnded) return
    hasEnded = true
    response.off('close', finish)
    socket.off('close', finish)
    onEnd(response.writableFinished)
  }
  // As many as there are requests on the connection, each removed with its answer.
  socket.setMaxListeners(0)
  socket.once('close', finish)
  response.once('close', finish)
}

/**
 * Counts the requests of a server whose answers have not left the process, bodies that still arrive among them.
 *
 * @param server The server
 * @returns Returns the count now
 */
export function countOpenResponses (server: Server): () => number {
  let openCount = 0
  observeRequests(server, (message, response) => {
    openCount++
    watchResponse(message, response, () => { openCount-- })
  })
  return () => openCount
}

/**
 * Calls a function with each request before the server's own handlers, those that ask whether to send their body among them.
 *
 * @param server The server, whose handlers are set: where none asks to be told of such requests, `node:http` bids them go on by itself
 * @param observe What to call
 */
export function observeRequests (server: Server, observe: (message: IncomingMessage, response: ServerResponse) => void): void {
  server.prependListener('request', observe)
  if (server.listenerCount('checkContinue') > 0) server.prependListener('checkContinue', observe)
}
