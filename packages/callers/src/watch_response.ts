/**
 * Reports when responses end, including pipelined ones whose connection closes before they are written.
 *
 * @module
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'

/**
 * Calls a function once when a response was written completely, or its connection closed before that.
 *
 * Also watches the socket: `node:http` assigns the socket to a pipelined response only after the responses before it, and
 * does not emit `close` on a response without a socket when the connection closes.
 *
 * @param message The request
 * @param response The response to the request
 * @param onEnd Called with whether the response was written completely
 */
export function watchResponse (message: IncomingMessage, response: ServerResponse, onEnd: (isComplete: boolean) => void): void {
  const { socket } = message
  let hasEnded = false
  const finish = (): void => {
    // `emit` iterates over a copy of the listeners: when the response closes while the socket emits `close`, this listener
    // is called a second time although it has been removed.
    if (hasEnded) return
    hasEnded = true
    response.off('close', finish)
    socket.off('close', finish)
    onEnd(response.writableFinished)
  }
  // Disables the listener leak warning: each pipelined request adds a listener, which is removed when its response ends.
  socket.setMaxListeners(0)
  socket.once('close', finish)
  response.once('close', finish)
}

/**
 * Calls a function once when the caller closes its side of the connection, or the connection closes, before a response was
 * written completely.
 *
 * `node:http` ends a connection whose caller has closed its side, but reports that some turns of the event loop later.
 *
 * @param message The request
 * @param response The response to the request
 * @param onLeave Called when the caller has left
 */
export function watchCaller (message: IncomingMessage, response: ServerResponse, onLeave: () => void): void {
  const { socket } = message
  let hasLeft = false
  const leave = (): void => {
    if (hasLeft) return
    hasLeft = true
    onLeave()
  }
  socket.once('end', leave)
  watchResponse(message, response, isComplete => {
    socket.off('end', leave)
    if (!isComplete) leave()
  })
}

/**
 * Counts the requests of a server whose responses have not ended, including requests whose bodies are still being received.
 *
 * @param server The server
 * @returns A function that returns the current count
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
 * Calls a function with each request before the server's handlers run, including requests with `Expect: 100-continue`.
 *
 * Must be called after the server's handlers are added: a `checkContinue` listener turns off the automatic `100 Continue` of
 * `node:http`, so one is added only where the server already has one.
 *
 * @param server The server
 * @param observe Function to call
 */
export function observeRequests (server: Server, observe: (message: IncomingMessage, response: ServerResponse) => void): void {
  server.prependListener('request', observe)
  if (server.listenerCount('checkContinue') > 0) server.prependListener('checkContinue', observe)
}
