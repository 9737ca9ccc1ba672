/**
 * Opens the listeners of an instance, as soon as their addresses are free, and handles their errors for as long as they exist.
 *
 * @module
 */
import type { Socket } from 'node:dgram'
import type { EventEmitter } from 'node:events'
import type { Server } from 'node:net'
import type { SocketAddress } from '@bilberryworks/steering'
import { setTimeout as wait } from 'node:timers/promises'
import { createReportLimiter, createRetryWindow, isPassingListenFault } from '@bilberryworks/steering'

/** What all listeners of an instance share. */
export interface ListenerContext {
  /** Structured log. */
  log: ListenerLog
  /** Counts an error of an open listener. */
  countError: (listener: string) => void
  /** Ends all waits for an address when it is aborted. */
  signal: AbortSignal
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
  /** Returns a random number in [0, 1). */
  getRandom: () => number
}

/** What is logged of a listener. */
export enum ListenerEvent {
  /** Its address can't be listened on yet. */
  Waiting = 'listener_waiting',
  /** It was opened after its address could not be listened on. */
  Opened = 'listener_opened',
  /** It is open, and failed to do something, such as to accept a connection. */
  Failed = 'listener_error'
}

/** Log of the listeners. */
export interface ListenerLog {
  /** Writes a line at level info. */
  info (event: ListenerEvent, fields: Record<string, unknown>): void
  /** Writes a line at level warn. */
  warn (event: ListenerEvent, fields: Record<string, unknown>): void
}

/** Options of {@linkcode listenOn} and {@linkcode openSocket}. */
export interface ListenOnOptions extends ListenerContext {
  /** Name of the listener in log lines and metrics. */
  name: string
  /** Address to listen on. */
  address: SocketAddress
  /** Whether the instance can't start without the listener; `true` by default. One that is not needed is tried without an end. */
  isNeeded?: boolean
}

/** A listener that the instance needs could not be opened. */
export class ListenError extends Error {
  override name = 'ListenError'
}

/** Time for which a listener that is needed is tried, in milliseconds. */
const limitMs = 30_000
/** Shortest time between two log lines about the same error of a listener, in milliseconds. */
const reportIntervalMs = 10_000

/**
 * Starts to listen on a TCP address.
 *
 * Resolves when the server listens or the signal is aborted, and for a listener that is not needed after the first attempt.
 *
 * @param server Server that listens
 * @param options Name and address, log and counter
 * @throws {ListenError} If a listener that is needed can't be opened within 30 s, or never
 */
export function listenOn (server: Server, options: ListenOnOptions): Promise<void> {
  const { host, port } = options.address
  return openEmitter(server, () => server.listen(port, host), options)
}

/**
 * Starts to receive datagrams on a UDP address.
 *
 * Resolves when the socket is bound or the signal is aborted, and for one that is not needed after the first attempt.
 *
 * @param socket Socket that receives
 * @param options Name and address, log and counter
 * @throws {ListenError} If a socket that is needed can't be bound within 30 s, or never
 */
export function openSocket (socket: Socket, options: ListenOnOptions): Promise<void> {
  const { host, port } = options.address
  return openEmitter(socket, () => socket.bind(port, host), options)
}

/** Opens a server or socket, which emits `listening` or `error` after each attempt, and `error` at any time later. */
async function openEmitter (emitter: EventEmitter, open: () => void, options: ListenOnOptions): Promise<void> {
  const { isNeeded = true } = options
  const tryOnce = createAttempt(emitter, { open, handleError: createErrorHandler(options) })
  const error = await tryOnce()
  if (error === undefined) return
  const opened = retryOpening(tryOnce, error, { ...options, isNeeded })
  if (isNeeded) await opened
}

/** Creates a function that attempts to open a server or socket and resolves with the error, if any; errors at other times are passed to the handler. */
function createAttempt (emitter: EventEmitter, { open, handleError }: { open: () => void, handleError: (error: NodeJS.ErrnoException) => void }): () => Promise<NodeJS.ErrnoException | undefined> {
  let settle: ((error?: NodeJS.ErrnoException) => void) | undefined
  emitter.on('error', (error: NodeJS.ErrnoException) => settle === undefined ? handleError(error) : settle(error))
  emitter.on('listening', () => settle?.())
  return () => new Promise(resolve => {
    settle = error => {
      settle = undefined
      resolve(error)
    }
    open()
  })
}

/** Tries again until the listener is open, the signal is aborted, or it is too late. */
async function retryOpening (tryOnce: () => Promise<NodeJS.ErrnoException | undefined>, firstError: NodeJS.ErrnoException, { name, address, isNeeded, log, signal, getNowMs, getRandom }: ListenOnOptions & { isNeeded: boolean }): Promise<void> {
  const startedAtMs = getNowMs()
  const getWaitedMs = (): number => Math.round(getNowMs() - startedAtMs)
  const listener = { listener: name, address: `${address.host}:${address.port}` }
  const retries = createRetryWindow({ limitMs: isNeeded ? limitMs : Infinity, getRandom })
  const reported = new Set<string | undefined>()
  for (let error: NodeJS.ErrnoException | undefined = firstError; error !== undefined; error = await tryOnce()) {
    const { code, message } = error
    const delayMs = !isNeeded || isPassingListenFault(code) ? retries.planRetry(getNowMs() - startedAtMs) : undefined
    if (delayMs === undefined) throw new ListenError(`Listener "${name}" can't be opened after ${getWaitedMs()} ms: ${message}`)
    if (!reported.has(code)) log.warn(ListenerEvent.Waiting, { ...listener, code, detail: message, ...isNeeded ? { limitMs } : {} })
    reported.add(code)
    await wait(delayMs, undefined, { signal, ref: isNeeded }).catch(() => {})
    if (signal.aborted) return
  }
  log.info(ListenerEvent.Opened, { ...listener, waitedMs: getWaitedMs() })
}

/** Creates the handler of the errors of an open listener, such as those of accepting a connection. */
function createErrorHandler ({ name, log, countError, getNowMs }: ListenOnOptions): (error: NodeJS.ErrnoException) => void {
  const limiter = createReportLimiter({ intervalMs: reportIntervalMs })
  return ({ code = '', message }) => {
    countError(name)
    const errors = limiter.takeReport(code, getNowMs())
    if (errors !== undefined) log.warn(ListenerEvent.Failed, { listener: name, code, detail: message, errors })
  }
}
