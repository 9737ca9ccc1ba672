/**
 * Schedules the requests that a caller pipelines on one connection.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { isReadingStopped, ReadStop, startReading, stopReading } from './stop_reading.ts'
import { watchResponse } from './watch_response.ts'

/** A request to schedule. */
export interface PipelinedRequest {
  /** The request. */
  message: IncomingMessage
  /** The response to it. `shouldKeepAlive` must be final: a response that closes the connection ends the pipeline. */
  response: ServerResponse
  /** Whether the request may be processed at the same time as others of its connection (RFC 9112, section 9.3.2). */
  isSafe: boolean
  /** Starts the request. Never called if an earlier response closes the connection first. */
  start: () => void
}

/** Schedules pipelined requests. */
export interface PipelineScheduler {
  /** Starts a request at once, or as soon as its turn on the connection comes. */
  schedule (request: PipelinedRequest): void
  /** Returns whether no request was received behind the one of an open response. */
  isLast (message: IncomingMessage, response: ServerResponse): boolean
  /** Returns whether a response closes a connection, or has done so, so that requests received behind it are ignored. */
  isClosing (socket: Socket): boolean
}

/** Options of {@linkcode createPipelineScheduler}. */
export interface CreatePipelineSchedulerOptions {
  /** Maximum number of requests of a connection that are in progress at the same time; 8 by default. */
  maxStarted?: number
  /** Number of waiting requests of a connection from which no more bytes are read from it; 16 by default. */
  maxWaiting?: number
  /** Maximum number of open requests of a connection. The response to the last one closes the connection, so that the caller sends the rest on another one; 128 by default. */
  maxOpen?: number
  /** Called for each request that was received behind one whose response has not ended, also if it is not to be scheduled. */
  onPipelined?: (socket: Socket) => void
}

interface OpenRequest extends PipelinedRequest {
  isStarted: boolean
}

interface PipelinedConnection {
  /** Requests without a complete response, in the order in which they were received. */
  open: OpenRequest[]
  /** Whether a response that closes the connection has ended. */
  isClosed: boolean
}

/** Limits of a connection. A caller that sends more at once than one connection should carry gets the rest of its parallelism from further connections. */
const defaultMaxStarted = 8
/** Twice what is in progress, so that a request is at hand whenever one ends. */
const defaultMaxWaiting = 16
/** Bounds the memory of a connection: `node:http` emits all requests of a chunk that has been read, also while reading is paused. */
const defaultMaxOpen = 128

/**
 * Creates a scheduler.
 *
 * Safe requests run at the same time; any other request runs alone, since it must not start before its caller's earlier
 * requests have ended. While a connection is not read because it is the turn of others, it has one request in progress. `node:http` sends the responses in the order of the requests. Requests behind a response that closes
 * the connection are not started: the caller counts them as not read, and sends them again.
 *
 * @param options Limits of each connection
 * @returns The scheduler
 */
export function createPipelineScheduler (options: CreatePipelineSchedulerOptions = {}): PipelineScheduler {
  const { maxStarted = defaultMaxStarted, maxWaiting = defaultMaxWaiting, maxOpen = defaultMaxOpen, onPipelined = () => {} } = options
  const connections = new WeakMap<Socket, PipelinedConnection>()

  function startNext (socket: Socket, connection: PipelinedConnection): void {
    let startedCount = 0
    // A connection that sends more than its share has no more in progress than one that waits for each response.
    const maxParallel = isReadingStopped(socket, ReadStop.Turn) ? 1 : maxStarted
    // A copy, since a request that ends as soon as it starts is removed from the list.
    for (const [index, request] of [...connection.open].entries()) {
      const isAllowed = index === 0 || (request.isSafe && startedCount < maxParallel)
      if (!isAllowed) return
      startedCount++
      if (!request.isStarted) {
        request.isStarted = true
        request.start()
      }
      if (!request.isSafe || !request.response.shouldKeepAlive) return
    }
  }

  const hasClosingResponse = ({ open }: PipelinedConnection): boolean => open.some(request => !request.response.shouldKeepAlive)

  function updateReading (socket: Socket, connection: PipelinedConnection): void {
    const waitingCount = connection.open.filter(request => !request.isStarted).length
    const isFull = hasClosingResponse(connection) ? connection.open.length > 1 : waitingCount >= maxWaiting
    if (isFull) stopReading(socket, ReadStop.Pipeline)
    else startReading(socket, ReadStop.Pipeline)
  }

  function getConnection (socket: Socket): PipelinedConnection {
    const connection = connections.get(socket) ?? { open: [], isClosed: false }
    connections.set(socket, connection)
    return connection
  }

  return {
    schedule (pipelined) {
      const { message, response } = pipelined
      const { socket } = message
      const connection = getConnection(socket)
      const request: OpenRequest = { ...pipelined, isStarted: false }
      if (connection.open.length > 0) onPipelined(socket)
      connection.open.push(request)
      if (connection.open.length >= maxOpen) response.shouldKeepAlive = false
      watchResponse(message, response, () => {
        connection.open.splice(connection.open.indexOf(request), 1)
        connection.isClosed ||= socket.destroyed || !response.shouldKeepAlive
        // What still arrives on a connection that is being closed is read and discarded.
        if (connection.isClosed) return startReading(socket, ReadStop.Pipeline)
        startNext(socket, connection)
        updateReading(socket, connection)
      })
      startNext(socket, connection)
      updateReading(socket, connection)
    },
    isLast: (message, response) => connections.get(message.socket)?.open.at(-1)?.response === response,
    isClosing (socket) {
      const connection = connections.get(socket)
      if (connection === undefined) return false
      if (connection.isClosed) return true
      if (!hasClosingResponse(connection)) return false
      onPipelined(socket)
      updateReading(socket, connection)
      return true
    }
  }
}
