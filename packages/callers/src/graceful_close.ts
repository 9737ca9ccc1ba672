/**
 * Closes the connections of a server so that callers get the responses that were written to them.
 *
 * @module
 */
import type { IncomingMessage, Server } from 'node:http'
import type { Socket } from 'node:net'
import { Server as TlsServer } from 'node:https'
import { runAfterReads } from './run_after_reads.ts'
import { isReadingStopped, ReadStop } from './stop_reading.ts'
import { observeRequests } from './watch_response.ts'

/** Time for which a connection is read on after its last response, in milliseconds. */
const lingerMs = 5_000

/** What a connection is used for. */
interface ConnectionUse {
  /** Number of requests whose responses have not been sent completely. */
  openCount: number
  /** The request that was received last; `undefined` before the first one. */
  lastMessage: IncomingMessage | undefined
  /** Number of bytes that had been received when the last response was sent. */
  bytesWhenIdle: number
  /** Monotonic time at which the connection was opened, in milliseconds. */
  openedAtMs: number
  /** Monotonic time at which the last response was sent, in milliseconds. */
  idleSinceMs: number
}

/** Options of {@linkcode closeLongestIdle}. */
export interface CloseLongestIdleOptions {
  /** Number of connections to close at most. */
  count: number
  /** Time for which a connection that has carried a request must have been idle, in milliseconds; 0 by default. */
  minIdleMs?: number
  /** Time for which a connection that has received nothing must have been open, in milliseconds. */
  minUnusedMs: number
  /** Closes such a connection; by default it is closed like one that has carried a request. */
  closeUnused?: (socket: Socket) => void
}

/** Connections of each server, those that have been idle the longest first. */
const connectionsByServer = new WeakMap<Server, Map<Socket, ConnectionUse>>()

/**
 * Makes a server close connections without the loss of a response.
 *
 * After the last response on a connection `node:http` closes it at once, and the kernel then resets it if the caller is still
 * sending, so that the caller may lose the response. Where more may follow, the connection is closed for writing only, and
 * read on until the request is complete, the caller closes its side, or five seconds have passed.
 *
 * `closeIdleConnections` of `node:http`, which its `close` calls as well, destroys connections whose response has ended but
 * is not sent yet; it is replaced by one that waits for them. Connections whose idle time limit has passed are closed unless a
 * request has arrived on them.
 *
 * Must be called after the server's handlers are added.
 *
 * @param server The server
 * @returns A function that counts the connections which are read on after their last response
 */
export function applyGracefulClose (server: Server): () => number {
  const connections = new Map<Socket, ConnectionUse>()
  connectionsByServer.set(server, connections)
  let lingeringCount = 0

  function addConnection (socket: Socket): ConnectionUse {
    const known = connections.get(socket)
    if (known !== undefined) return known
    const use: ConnectionUse = { openCount: 0, lastMessage: undefined, bytesWhenIdle: 0, openedAtMs: performance.now(), idleSinceMs: performance.now() }
    connections.set(socket, use)
    socket.once('close', () => connections.delete(socket))
    const { destroySoon } = socket
    socket.destroySoon = () => {
      const { lastMessage, openCount } = use
      const isReceiving = lastMessage?.complete === false
      // The response that closes the connection is still counted.
      if (!isReceiving && openCount <= 1) return destroySoon.call(socket)
      lingeringCount++
      socket.once('close', () => lingeringCount--)
      closeLingering(socket, isReceiving ? lastMessage : undefined)
    }
    return use
  }

  server.on(server instanceof TlsServer ? 'secureConnection' : 'connection', addConnection)
  observeRequests(server, (message, response) => {
    const { socket } = message
    const use = addConnection(socket)
    const recordIdle = (): void => {
      if (use.openCount > 0) return
      use.bytesWhenIdle = socket.bytesRead
      use.idleSinceMs = performance.now()
      if (connections.delete(socket)) connections.set(socket, use)
    }
    use.openCount++
    use.lastMessage = message
    message.once('close', recordIdle)
    // Disables the listener leak warning. Where the connection closes first, its use no longer matters.
    response.setMaxListeners(0)
    response.once('close', () => {
      use.openCount--
      recordIdle()
    })
  })
  // After a pause of the process, timers fire before what has arrived meanwhile is read.
  server.on('timeout', (socket: Socket) => runAfterReads(() => {
    const use = connections.get(socket)
    if (use === undefined || isIdle(socket, use)) socket.destroy()
  }))
  server.closeIdleConnections = () => {
    for (const [socket, use] of connections) if (isIdle(socket, use)) socket.destroy()
  }
  return () => lingeringCount
}

/**
 * Closes the connections that have been idle the longest.
 *
 * A request that has arrived but is not read yet is lost with its connection; to be called when what has arrived has been
 * read ({@linkcode runAfterReads}).
 *
 * @param server A server with graceful close ({@linkcode applyGracefulClose})
 * @param options Number, and which connections count as idle
 * @returns The number of closed connections
 */
export function closeLongestIdle (server: Server, { count, minIdleMs = 0, minUnusedMs, closeUnused }: CloseLongestIdleOptions): number {
  let closed = 0
  const nowMs = performance.now()
  for (const [socket, use] of connectionsByServer.get(server) ?? []) {
    if (closed >= count) break
    const isUnused = use.lastMessage === undefined
    if (socket.destroyed || socket.writableEnded || !isIdle(socket, use)) continue
    if (isUnused ? nowMs - use.openedAtMs < minUnusedMs : nowMs - use.idleSinceMs < minIdleMs) continue
    if (isUnused && closeUnused !== undefined) closeUnused(socket)
    else socket.destroy()
    closed++
  }
  return closed
}

function isIdle (socket: Socket, { openCount, lastMessage, bytesWhenIdle }: ConnectionUse): boolean {
  // A request may have arrived on a connection that is not being read.
  return openCount === 0 && lastMessage?.complete !== false && socket.bytesRead === bytesWhenIdle && !isReadingStopped(socket, ReadStop.Turn)
}

/**
 * Closes a connection for writing once everything is sent, and reads and discards what still arrives for a limited time.
 *
 * @param socket The connection
 * @param message The request that is still being received, which ends the connection when it is complete; none by default
 */
export function closeLingering (socket: Socket, message?: IncomingMessage): void {
  if (socket.destroyed || socket.writableEnded) return
  const timer = setTimeout(() => socket.destroy(), lingerMs)
  timer.unref()
  socket.once('close', () => clearTimeout(timer))
  const destroyWhenSent = (): void => {
    if (socket.writableFinished) socket.destroy()
    else socket.once('finish', () => socket.destroy())
  }
  socket.once('end', destroyWhenSent)
  if (message === undefined) {
    // Bytes that are discarded must not be parsed as further requests.
    socket.removeAllListeners('data')
    socket.on('data', () => {})
  } else message.once('end', destroyWhenSent)
  socket.end()
  socket.resume()
}
