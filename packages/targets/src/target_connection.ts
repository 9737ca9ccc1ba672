/**
 * A connection to a target, which carries one request at a time and discards responses to any other request.
 *
 * @module
 */
import type { ReadPacer } from '@bilberryworks/steering'
import type { Socket } from 'node:net'
import type { MalformedKind } from './malformed_response.ts'
import type { ResponseHead } from './response_parser.ts'
import { connect } from 'node:net'
import { getFailureSide, isLocalFailure } from '@bilberryworks/steering'
import { createOverheadLimit } from './_overhead_limit.ts'
import { createPacedReading } from './_paced_reading.ts'
import { getMalformedKind } from './malformed_response.ts'
import { computeReadUnits } from './response_pacer.ts'
import { createResponseParser } from './response_parser.ts'

/** Why an exchange on a connection failed. */
export enum ExchangeFailure {
  /** The connection was not established, so no byte of the request was sent. */
  ConnectFailed = 'connect_failed',
  /** This host refused the connection, so no byte of the request was sent. */
  RefusedLocally = 'refused_locally',
  /** The request was withdrawn before its first byte was sent. */
  Withdrawn = 'withdrawn',
  /** The connection broke after the target may have read a part of the request. */
  Lost = 'lost',
  /** The connection broke for want of resources of this host, after the target may have read a part of the request. */
  LostLocally = 'lost_locally',
  /** The target sent bytes that are not a valid response to the request. */
  Malformed = 'malformed'
}

/** A request with the callbacks for its response. */
export interface Exchange {
  /** Request line and header section, with the empty line at the end. */
  head: string
  /**
   * Writes the body in chunks; absent if the request has no body.
   *
   * `write` returns whether more may be written immediately, and must be called with `isLast` set for the last chunk.
   * `onDrain` registers a function that is called when more may be written.
   */
  writeBody?: (write: (part: Buffer, isLast: boolean) => boolean, onDrain: (resume: () => void) => void) => void
  /** Whether the response has no body regardless of its header fields, as for HEAD. */
  isBodiless: boolean
  /** Returns whether a response with this head belongs to the request. */
  isOwnResponse: (head: ResponseHead) => boolean
  /** Returns, immediately before the first byte is sent, whether the request may still be sent; otherwise the exchange fails. */
  maySend: () => boolean
  /** Called immediately before the first byte of the request is sent. */
  onSendStart: () => void
  /** Called with the response head. */
  onHead: (head: ResponseHead) => void
  /** Called with each chunk of the response body. */
  onBody: (part: Buffer) => void
  /** Called at the end of the response. */
  onEnd: () => void
  /** Called at most once, if the exchange fails; never called after `onEnd`. */
  onFail: (failure: ExchangeFailure, detail: string) => void
}

/** A connection to a target. */
export interface TargetConnection {
  /** Sends a request; `isFree` must be true. */
  send (exchange: Exchange): void
  /** Returns whether a request may be sent on the connection. */
  isFree (): boolean
  /** Monotonic time at which the last exchange ended, or the connection was opened, in milliseconds. */
  idleSinceMs: number
  /** Idle time-out that the target stated in its `Keep-Alive` header, in milliseconds; `undefined` if it stated none. */
  keepAliveMs: number | undefined
  /** Pauses or resumes reading. */
  setPaused (paused: boolean): void
  /** Closes the connection; no callback of the exchange in progress is called afterwards. Resets it if there is one, so that the target does not receive bytes that have not arrived yet. */
  close (): void
}

/** Options of {@linkcode openTargetConnection}. */
export interface OpenTargetConnectionOptions {
  /** Time limit for establishing the connection, in milliseconds. */
  connectTimeoutMs: number
  /** Decides for how long a connection is not read whose target sends very short lines; its units are lines beyond one for each 64 bytes. */
  pacer: ReadPacer
  /** Called once, when the connection closes. */
  onClose: () => void
  /** Called when the connection is established, with the time that it took in milliseconds. */
  onConnect?: (elapsedMs: number) => void
  /** Called if the connection is not established, with the code of the error of the operating system; `undefined` if the time limit passed. */
  onConnectFail?: (code: string | undefined) => void
  /** Called for each response that belongs to a request other than the one in flight; a response while no request is in flight closes the connection instead. */
  onMismatchedResponse: () => void
  /** Called when an exchange is about to fail because of what the target sent. */
  onMalformedResponse: (kind: MalformedKind) => void
}

/** Maximum number of responses to other requests that are discarded per connection; one more closes the connection. */
const maxMismatchedResponses = 3
const keepAlivePattern = /timeout=(\d+)/
const msPerSecond = 1_000
/** Time to wait for a TCP reset after the end of a response without a stated length, in milliseconds: a target that aborts a response sends FIN first and resets the connection afterwards. */
const resetGraceMs = 100
/** Interval at which the connection is probed for that reset, in milliseconds. */
const resetPollIntervalMs = 10
const emptyBuffer = Buffer.alloc(0)

/**
 * Opens a connection to a target.
 *
 * @param address Address of the target
 * @param options Time limit and callbacks
 * @returns The connection, which is established asynchronously; a request sent before that is delayed until then
 */
export function openTargetConnection (address: { host: string, port: number }, options: OpenTargetConnectionOptions): TargetConnection {
  const socket = connect({ host: address.host, port: address.port, noDelay: true, allowHalfOpen: true })
  let current: Exchange | undefined
  /** Exchange whose response is complete; it ends after the bytes received together with the end of the response have been parsed. */
  let completed: Exchange | undefined
  let [isEstablished, isClosed, isReusable, isBodySent] = [false, false, true, true]
  let mismatchedResponses = 0
  /** Whether the response being parsed is discarded: it belongs to another request or is a 1xx response. */
  let isSkipping = false
  const startedAtMs = performance.now()
  const overhead = createOverheadLimit()
  const reading = createPacedReading(socket, options.pacer)
  const connectTimer = watchConnecting(socket, { timeoutMs: options.connectTimeoutMs, onFail: failConnecting })
  const parser = createResponseParser({
    onHead: handleHead,
    onBody (part) {
      if (isSkipping) return
      overhead.countBody(part.length)
      current?.onBody(part)
    },
    onEnd: handleEnd
  })

  /** Closes the connection and returns the exchange that was in progress. */
  function closeConnection (): Exchange | undefined {
    if (isClosed) return undefined
    isClosed = true
    clearTimeout(connectTimer)
    const exchange = current
    current = undefined
    closeSocket(socket, { discardsUnsent: exchange !== undefined && isEstablished })
    options.onClose()
    return exchange
  }

  function failConnection (failure: ExchangeFailure, detail: string): void {
    closeConnection()?.onFail(failure, detail)
  }

  function failConnecting (detail: string, code?: string): void {
    if (isClosed || isEstablished) return
    const exchange = closeConnection()
    options.onConnectFail?.(code)
    exchange?.onFail(getExchangeFailure(ExchangeFailure.ConnectFailed, code), detail)
  }

  function startExchange (exchange: Exchange): void {
    if (!exchange.maySend()) return failConnection(ExchangeFailure.Withdrawn, 'Target was excluded from selection while the connection was established')
    exchange.onSendStart()
    isBodySent = exchange.writeBody === undefined
    writeRequest(socket, exchange, { isCurrent: () => !isClosed && current === exchange, onBodySent: () => { isBodySent = true } })
  }

  function handleHead (head: ResponseHead): boolean {
    const exchange = current
    if (head.status < 200) {
      isSkipping = true
      return true
    }
    if (exchange === undefined) throw new Error('Response received while no request was in flight')
    isSkipping = !exchange.isOwnResponse(head)
    if (isSkipping || !head.isReusable) isReusable = false
    if (isSkipping) {
      options.onMismatchedResponse()
      if (++mismatchedResponses > maxMismatchedResponses || !head.isReusable) throw new Error('Responses to other requests exceeded the limit or ended the connection')
      return false
    }
    connection.keepAliveMs = readKeepAliveMs(head) ?? connection.keepAliveMs
    exchange.onHead(head)
    return exchange.isBodiless
  }

  function handleEnd (): void {
    const wasSkipping = isSkipping
    isSkipping = false
    if (wasSkipping) return
    completed = current
    current = undefined
    connection.idleSinceMs = performance.now()
    // Without the rest of the body, the target would parse the next request as part of this one.
    if (!isBodySent || !isReusable) closeConnection()
  }

  /** Ends the exchange whose response is complete; closes the connection if the target sent bytes after that response. */
  function settleCompleted (): void {
    const exchange = completed
    completed = undefined
    if (exchange !== undefined && !isClosed) reading.release()
    if (current === undefined && !parser.isBetweenResponses()) closeConnection()
    exchange?.onEnd()
  }

  /**
   * Handles the end of the input, which completes a response without a stated length unless a reset follows.
   *
   * Nothing is read after the end of the input, so a reset is reported only on a write; an empty write suffices.
   */
  function finishInput (endedAtMs: number): void {
    if (isClosed) return
    if (current !== undefined && parser.isCloseDelimited() && performance.now() - endedAtMs < resetGraceMs) {
      socket.write(emptyBuffer)
      setTimeout(finishInput, resetPollIntervalMs, endedAtMs)
      return
    }
    const error = current === undefined ? undefined : parser.finish()
    settleCompleted()
    failConnection(ExchangeFailure.Lost, error?.message ?? 'Target closed the connection before the response was complete')
  }

  socket.on('connect', () => {
    isEstablished = true
    clearTimeout(connectTimer)
    options.onConnect?.(performance.now() - startedAtMs)
    if (current !== undefined) startExchange(current)
  })
  socket.on('data', bytes => {
    const error = parser.read(bytes) ?? overhead.countReceived(bytes.length)
    if (error !== undefined && current !== undefined) options.onMalformedResponse(getMalformedKind(error))
    if (error !== undefined) failConnection(ExchangeFailure.Malformed, error.message)
    if (!isClosed) reading.charge(computeReadUnits(parser.takeLineCount(), bytes.length))
    settleCompleted()
  })
  socket.on('end', () => finishInput(performance.now()))
  socket.on('error', (error: NodeJS.ErrnoException) => { if (isEstablished) failConnection(getExchangeFailure(ExchangeFailure.Lost, error.code), error.message) })
  socket.on('close', () => { if (isEstablished) failConnection(ExchangeFailure.Lost, 'Connection closed before the response was complete') })

  const connection: TargetConnection = {
    idleSinceMs: startedAtMs,
    keepAliveMs: undefined,
    isFree: () => !isClosed && current === undefined && isReusable && socket.readableLength === 0 && !reading.isPaced(),
    send (exchange) {
      current = exchange
      overhead.reset()
      if (isEstablished) startExchange(exchange)
    },
    setPaused: reading.setPaused,
    close () { closeConnection() }
  }
  return connection
}

/** Returns the failure of an exchange whose connection failed with a code. */
function getExchangeFailure (failure: ExchangeFailure.ConnectFailed | ExchangeFailure.Lost, code: string | undefined): ExchangeFailure {
  if (!isLocalFailure(getFailureSide(code))) return failure
  return failure === ExchangeFailure.Lost ? ExchangeFailure.LostLocally : ExchangeFailure.RefusedLocally
}

/** Options of {@linkcode watchConnecting}. */
interface WatchConnectingOptions {
  /** Time limit, in milliseconds. */
  timeoutMs: number
  /** Called if the connection is not established, with the code of the error if the operating system refused it. */
  onFail: (detail: string, code?: string) => void
}

/** Watches a socket until it is connected; returns the timer of the time limit. */
function watchConnecting (socket: Socket, { timeoutMs, onFail }: WatchConnectingOptions): NodeJS.Timeout {
  // The system may refuse a connection at once; whoever then tries the next one must not keep the event loop from turning.
  socket.on('error', (error: NodeJS.ErrnoException) => setImmediate(onFail, error.message, error.code))
  return setTimeout(onFail, timeoutMs, `Connection was not established within ${timeoutMs} ms`)
}

/** Closes a socket. With a reset, a network that is interrupted does not deliver what it still holds, long after the exchange was given up. */
function closeSocket (socket: Socket, { discardsUnsent }: { discardsUnsent: boolean }): void {
  // By itself `resetAndDestroy` first waits for all writes and shuts the sending side down; `destroy` makes it reset at once.
  if (discardsUnsent) socket.resetAndDestroy()
  socket.destroy()
}

/** Options of {@linkcode writeRequest}. */
interface WriteRequestOptions {
  /** Returns whether the exchange is still in progress. */
  isCurrent: () => boolean
  /** Called before the last chunk of the body is sent. */
  onBodySent: () => void
}

function writeRequest (socket: Socket, exchange: Exchange, { isCurrent, onBodySent }: WriteRequestOptions): void {
  socket.write(exchange.head, 'latin1')
  exchange.writeBody?.((part, isLast) => {
    if (!isCurrent()) return true
    if (isLast) onBodySent()
    return part.length === 0 || socket.write(part)
  }, resume => socket.once('drain', resume))
}

/** Returns the idle time-out that a target states, in milliseconds; `undefined` if it states none. */
function readKeepAliveMs (head: ResponseHead): number | undefined {
  const seconds = keepAlivePattern.exec(head.fields['keep-alive'] ?? '')?.[1]
  return seconds === undefined ? undefined : Number(seconds) * msPerSecond
}
