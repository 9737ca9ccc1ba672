/**
 * Opens the listeners of an instance, and handles their errors for as long as they exist.
 *
 * @module
 */
import type { Socket } from 'node:dgram'
import type { EventEmitter } from 'node:events'
import type { Server } from 'node:net'
import type { SocketAddress } from '@bilberryworks/steering'
import { createReportLimiter } from '@bilberryworks/steering'

/** What all listeners of an instance share. */
export interface ListenerContext {
  /** Structured log. */
  log: ListenerLog
  /** Counts an error of an open listener. */
  countError: (listener: string) => void
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Log of the listeners. */
export interface ListenerLog {
  /** Writes a line at level info. */
  info (event: string, fields: Record<string, unknown>): void
  /** Writes a line at level warn. */
  warn (event: string, fields: Record<string, unknown>): void
}

/** Options of {@linkcode listenOn} and {@linkcode openSocket}. */
export interface ListenOnOptions extends ListenerContext {
  /** Name of the listener in log lines and metrics. */
  name: string
  /** Address to listen on. */
  address: SocketAddress
}

/** Shortest time between two log lines about the same error of a listener, in milliseconds. */
const reportIntervalMs = 10_000

/**
 * Starts to listen on a TCP address.
 *
 * @param server Server that listens
 * @param options Name and address, log and counter
 * @throws {Error} If the address can't be listened on
 */
export function listenOn (server: Server, options: ListenOnOptions): Promise<void> {
  const { host, port } = options.address
  return openEmitter(server, () => server.listen(port, host), options)
}

/**
 * Starts to receive datagrams on a UDP address.
 *
 * @param socket Socket that receives
 * @param options Name and address, log and counter
 * @throws {Error} If the address can't be listened on
 */
export function openSocket (socket: Socket, options: ListenOnOptions): Promise<void> {
  const { host, port } = options.address
  return openEmitter(socket, () => socket.bind(port, host), options)
}

/** Opens a server or socket, which emits `listening` or `error` then, and `error` at any time later. */
function openEmitter (emitter: EventEmitter, open: () => void, options: ListenOnOptions): Promise<void> {
  const handleError = createErrorHandler(options)
  let isOpen = false
  return new Promise((resolve, reject) => {
    emitter.on('error', (error: NodeJS.ErrnoException) => isOpen ? handleError(error) : reject(error))
    emitter.once('listening', () => {
      isOpen = true
      resolve()
    })
    open()
  })
}

/** Creates the handler of the errors of an open listener, such as those of accepting a connection. */
function createErrorHandler ({ name, log, countError, getNowMs }: ListenOnOptions): (error: NodeJS.ErrnoException) => void {
  const limiter = createReportLimiter({ intervalMs: reportIntervalMs })
  return ({ code = '', message }) => {
    countError(name)
    const errors = limiter.takeReport(code, getNowMs())
    if (errors !== undefined) log.warn('listener_error', { listener: name, code, detail: message, errors })
  }
}
