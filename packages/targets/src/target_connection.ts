/**
 * A connection to a target, which carries one request at a time and takes only that request's own answer.
 *
 * @module
 */
import type { ResponseHead } from './response_parser.ts'
import { connect } from 'node:net'
import { createResponseParser } from './response_parser.ts'

/** How an exchange on a connection failed. */
export enum ExchangeFailure {
  /** No connection: no byte of the request was sent. */
  ConnectFailed = 'connect_failed',
  /** The connection broke after a byte may have been read. */
  Lost = 'lost',
  /** The target sent bytes that are no answer to this request. */
  Malformed = 'malformed'
}

/** One request, ready to be sent. */
export interface Exchange {
  /** Start line and header section, with the empty line behind them. */
  head: string
  /** Sends the body by the given function, in parts; the last call says so. Absent where there is none. */
  writeBody?: (write: (part: Buffer, isLast: boolean) => boolean, onDrain: (resume: () => void) => void) => void
  /** Whether the answer has no body whatever its head says. */
  isBodiless: boolean
  /** Tells whether an answer is this request's own. */
  isOwnResponse: (head: ResponseHead) => boolean
  /** Called when the first byte of the request is about to be sent. */
  onSendStart: () => void
  /** Called with the head of the answer. */
  onHead: (head: ResponseHead) => void
  /** Called with each part of the answer's body. */
  onBody: (part: Buffer) => void
  /** Called at the end of the answer. */
  onEnd: () => void
  /** Called where the exchange fails, once, and never after its end. */
  onFail: (failure: ExchangeFailure, detail: string) => void
}

/** A connection to a target. */
export interface TargetConnection {
  /** Sends a request; the connection must be free. */
  send (exchange: Exchange): void
  /** Tells whether another request may be sent now. */
  isFree (): boolean
  /** Monotonic time since which no request is under way, in milliseconds. */
  idleSinceMs: number
  /** Time after which the target closes an idle connection, in milliseconds, where it said so. */
  keepAliveMs: number | undefined
  /** Stops or goes on reading. */
  setPaused (paused: boolean): void
  /** Closes the connection; the exchange under way ends without a further call. */
  close (): void
}

/** Options of {@linkcode openTargetConnection}. */
export interface OpenTargetConnectionOptions {
  /** Longest time that the connection may take, in milliseconds. */
  connectTimeoutMs: number
  /** Called once when the connection is closed. */
  onClose: () => void
  /** Called when the connection was established, with the time it took in milliseconds. */
  onConnect?: (elapsedMs: number) => void
  /** Called with each answer that belongs to no request under way. */
  onUnsolicitedResponse: () => void
}

/** Answers to earlier requests that are skipped while one is awaited. */
const maxUnsolicitedResponses = 3
const keepAlivePattern = /timeout=(\d+)/
const msPerSecond = 1_000
/** Time for which a reset may still follow the end of an answer without length, in milliseconds: a target that breaks off closes its side first. */
const resetGraceMs = 100
/** Time between two looks for that reset, in milliseconds. */
const resetPollIntervalMs = 10
const emptyBuffer = Buffer.alloc(0)

/**
 * Opens a connection to a target.
 *
 * @param address Address of the target
 * @param options Bounds and what to call
 * @returns The connection, which may not be established yet
 */
export function openTargetConnection (address: { host: string, port: number }, options: OpenTargetConnectionOptions): TargetConnection {
  const socket = connect({ host: address.host, port: address.port, noDelay: true, allowHalfOpen: true })
  let current: Exchange | undefined
  /** The exchange whose answer is complete, until all that came with its end has been read. */
  let completed: Exchange | undefined
  let isEstablished = false
  let isClosed = false
  let isReusable = true
  let isBodySent = true
  let unsolicitedResponses = 0
  /** Whether the answer that is being read belongs to another request or is provisional. */
  let isSkipping = false
  const startedMs = performance.now()
  const timer = setTimeout(() => failConnection(ExchangeFailure.ConnectFailed, `No connection for ${options.connectTimeoutMs} ms`), options.connectTimeoutMs)
  const parser = createResponseParser({
    onHead: handleHead,
    onBody: part => isSkipping ? undefined : current?.onBody(part),
    onEnd: handleEnd
  })

  function failConnection (failure: ExchangeFailure, detail: string): void {
    if (isClosed) return
    isClosed = true
    clearTimeout(timer)
    socket.destroy()
    const exchange = current
    current = undefined
    options.onClose()
    exchange?.onFail(isEstablished ? failure : ExchangeFailure.ConnectFailed, detail)
  }

  function closeConnection (): void {
    current = undefined
    failConnection(ExchangeFailure.Lost, '')
  }

  function startExchange (exchange: Exchange): void {
    exchange.onSendStart()
    isBodySent = exchange.writeBody === undefined
    socket.write(exchange.head, 'latin1')
    exchange.writeBody?.((part, isLast) => {
      if (isClosed || current !== exchange) return true
      if (isLast) isBodySent = true
      return part.length === 0 || socket.write(part)
    }, resume => socket.once('drain', resume))
  }

  function handleHead (head: ResponseHead): boolean {
    const exchange = current
    if (head.status < 200) {
      isSkipping = true
      return true
    }
    if (exchange === undefined) throw new Error('Answer to no request')
    isSkipping = !exchange.isOwnResponse(head)
    if (isSkipping) {
      isReusable = false
      unsolicitedResponses++
      options.onUnsolicitedResponse()
      if (unsolicitedResponses > maxUnsolicitedResponses || !head.isReusable) throw new Error('Answers of other requests')
      return false
    }
    if (!head.isReusable) isReusable = false
    const keepAliveSeconds = keepAlivePattern.exec(head.fields['keep-alive'] ?? '')?.[1]
    if (keepAliveSeconds !== undefined) connection.keepAliveMs = Number(keepAliveSeconds) * msPerSecond
    exchange.onHead(head)
    return exchange.isBodiless
  }

  function handleEnd (): void {
    if (isSkipping) {
      isSkipping = false
      return
    }
    completed = current
    current = undefined
    connection.idleSinceMs = performance.now()
    // What is left of the body would be read as the start of the next request.
    if (!isBodySent || !isReusable) closeConnection()
  }

  /** Ends the exchange whose answer is complete; its connection is kept only where nothing came behind the answer. */
  function settleCompleted (): void {
    const exchange = completed
    completed = undefined
    if (current === undefined && !parser.isBetweenResponses()) closeConnection()
    exchange?.onEnd()
  }

  /**
   * Ends the input: an answer without length is whole now, unless a reset follows.
   *
   * Nothing is read behind the end of the input, so that an empty write has to bring up a reset.
   */
  function finishInput (endedMs: number): void {
    if (isClosed) return
    if (current !== undefined && parser.isCloseDelimited() && performance.now() - endedMs < resetGraceMs) {
      socket.write(emptyBuffer)
      setTimeout(finishInput, resetPollIntervalMs, endedMs)
      return
    }
    const error = current === undefined ? undefined : parser.finish()
    settleCompleted()
    failConnection(ExchangeFailure.Lost, error?.message ?? 'Target closed the connection')
  }

  socket.on('connect', () => {
    isEstablished = true
    clearTimeout(timer)
    options.onConnect?.(performance.now() - startedMs)
    if (current !== undefined) startExchange(current)
  })
  socket.on('data', bytes => {
    const error = parser.read(bytes)
    if (error !== undefined) failConnection(ExchangeFailure.Malformed, error.message)
    settleCompleted()
  })
  socket.on('end', () => finishInput(performance.now()))
  socket.on('error', error => failConnection(ExchangeFailure.Lost, error.message))
  socket.on('close', () => failConnection(ExchangeFailure.Lost, 'Connection closed'))

  const connection: TargetConnection = {
    idleSinceMs: startedMs,
    keepAliveMs: undefined,
    isFree: () => !isClosed && current === undefined && isReusable && socket.readableLength === 0,
    send (exchange) {
      current = exchange
      if (isEstablished) startExchange(exchange)
    },
    setPaused (paused) {
      if (paused) socket.pause()
      else socket.resume()
    },
    close: closeConnection
  }
  return connection
}
