/**
 * A connection on the simulated network of a fleet, with latency, which cuts of the path hold up or break.
 *
 * @module
 */
import type { Exchange, ResponseHead } from '@bilberryworks/targets'
import type { VirtualTimers } from './virtual_timers.ts'
import { ExchangeFailure } from '@bilberryworks/targets'

/** State of the path from one program to another. */
export enum LinkState {
  /** Bytes pass both ways. */
  Open = 'open',
  /** Open connections are reset, new ones refused. */
  Reset = 'reset',
  /** Nothing passes: open connections are silent, and new ones are not established. */
  Hanging = 'hanging',
  /** Open connections live on, new ones are refused. */
  RefusingNew = 'refusing_new',
  /** Requests pass, responses do not, and new connections are not established. */
  LosingResponses = 'losing_responses'
}

/** Whether a program accepts connections. */
export enum EndpointState {
  /** It accepts connections. */
  Listening = 'listening',
  /** Its machine refuses connections. */
  Refusing = 'refusing',
  /** Its machine does not respond. */
  Dark = 'dark'
}

/** A response as sent. */
export interface SentResponse {
  /** Status. */
  status: number
  /** Alternating names and values of the header fields. */
  rawHeaders: string[]
  /** Number of bytes of the body. */
  bodyBytes: number
}

/** A request as received. */
export interface ReceivedRequest {
  /** Name of the instance that sent the request. */
  sender: string
  /** Virtual time at which it was sent, in milliseconds. */
  sentAtMs: number
  /** Request line and header section. */
  head: string
  /** Sends the response. */
  respond (response: SentResponse): void
  /** Breaks the connection. */
  reset (): void
  /** Called when the sender closes the connection before the response. */
  onAbort: () => void
}

/** A program that accepts connections. */
export interface Endpoint {
  /** Returns whether it accepts connections. */
  getState (): EndpointState
  /** Identifies the run of the program; connections to an earlier run are reset. */
  getRun (): number
  /** Handles a request. */
  receive (request: ReceivedRequest): void
}

/** The network as seen by one instance. */
export interface FleetNetwork {
  /** Name of the instance. */
  owner: string
  /** The clock. */
  clock: VirtualTimers
  /** Finds the program at the other end of a connection. */
  findEndpoint: (id: string) => Endpoint | undefined
  /** Returns the state of the path to a program. */
  getLink: (id: string) => LinkState
  /** Returns the latency to a program in one direction, in milliseconds. */
  getLatencyMs: (id: string) => number
}

/** A connection, which carries one request at a time. */
export interface FleetConnection {
  /** Identifier of the program at the other end. */
  id: string
  /** Virtual time at which the last exchange ended, in milliseconds. */
  idleSinceMs: number
  /** Returns whether it is open and carries no request. */
  isFree (): boolean
  /** Sends a request. */
  send (exchange: Exchange): void
  /** Closes the connection if it carries the request; no callback of the request is called afterwards. */
  cancel (exchange: Exchange): void
  /** Breaks the connection. */
  fail (detail: string): void
  /** Closes the connection, which carries no request. */
  close (): void
  /** Closes the connection without telling its exchange, as when the process ends. */
  abandon (): void
  /** Applies a change of the path. */
  applyLink (): void
}

/** Options of {@linkcode createFleetConnection}. */
export interface CreateFleetConnectionOptions {
  /** Identifier of the program at the other end. */
  id: string
  /** Run of that program. */
  run: number
  /** The network. */
  network: FleetNetwork
  /** Called once, when the connection closes. */
  onClose: () => void
}

const bodyChunkBytes = 16_384
const resetDetail = 'read ECONNRESET'

/**
 * Creates an established connection.
 *
 * @param options Ends and network
 * @returns The connection
 */
export function createFleetConnection ({ id, run, network, onClose }: CreateFleetConnectionOptions): FleetConnection {
  const { clock, getLink, getLatencyMs } = network
  let isOpen = true
  let current: Exchange | undefined
  let request: ReceivedRequest | undefined
  /** Deliveries that the path holds up. */
  let held: Array<{ isResponse: boolean, run: () => void }> = []

  function isHeld (isResponse: boolean): boolean {
    const link = getLink(id)
    return link === LinkState.Hanging || (isResponse && link === LinkState.LosingResponses)
  }

  /** Runs what arrives at the other end after the latency, and later if the path holds it up. */
  function scheduleDelivery (isResponse: boolean, runDelivery: () => void): void {
    clock.schedule(getLatencyMs(id), () => {
      if (!isOpen) return
      if (isHeld(isResponse)) held.push({ isResponse, run: runDelivery })
      else runDelivery()
    })
  }

  function closeConnection (): void {
    if (!isOpen) return
    isOpen = false
    onClose()
  }

  function failConnection (detail: string): void {
    if (!isOpen) return
    closeConnection()
    const exchange = current
    current = undefined
    request?.onAbort()
    exchange?.onFail(ExchangeFailure.Lost, detail)
  }

  function handleArrival (exchange: Exchange, sentAtMs: number): void {
    const endpoint = network.findEndpoint(id)
    const sendReset = (): void => scheduleDelivery(true, () => failConnection(resetDetail))
    if (endpoint?.getState() === EndpointState.Dark) return
    if (endpoint?.getState() !== EndpointState.Listening || endpoint.getRun() !== run) return sendReset()
    request = {
      sender: network.owner,
      sentAtMs,
      head: exchange.head,
      respond: response => scheduleDelivery(true, () => { if (current === exchange) readResponse(exchange, response) }),
      reset: sendReset,
      onAbort: () => {}
    }
    endpoint.receive(request)
  }

  function readResponse (exchange: Exchange, response: SentResponse): void {
    const head = createHead(response)
    if (!exchange.isOwnResponse(head)) return failConnection('Response belongs to another request')
    request = undefined
    exchange.onHead(head)
    for (let bytes = response.bodyBytes; bytes > 0; bytes -= bodyChunkBytes) exchange.onBody(Buffer.alloc(Math.min(bytes, bodyChunkBytes)))
    if (current !== exchange) return
    current = undefined
    connection.idleSinceMs = clock.getNowMs()
    if (!head.isReusable) closeConnection()
    exchange.onEnd()
  }

  const connection: FleetConnection = {
    id,
    idleSinceMs: clock.getNowMs(),
    isFree: () => isOpen && current === undefined,
    send (exchange) {
      if (!exchange.maySend()) {
        closeConnection()
        return exchange.onFail(ExchangeFailure.Withdrawn, 'Target was excluded from selection')
      }
      current = exchange
      exchange.onSendStart()
      const sentAtMs = clock.getNowMs()
      scheduleDelivery(false, () => { if (current === exchange) handleArrival(exchange, sentAtMs) })
    },
    cancel (exchange) {
      if (current !== exchange) return
      current = undefined
      closeConnection()
      if (!isHeld(false)) clock.schedule(getLatencyMs(id), () => request?.onAbort())
    },
    fail: failConnection,
    close: closeConnection,
    abandon () {
      current = undefined
      closeConnection()
      request?.onAbort()
    },
    applyLink () {
      if (getLink(id) === LinkState.Reset) return failConnection(resetDetail)
      const waiting = held
      held = waiting.filter(({ isResponse }) => isHeld(isResponse))
      for (const delivery of waiting) if (isOpen && !held.includes(delivery)) delivery.run()
    }
  }
  return connection
}

function createHead ({ status, rawHeaders, bodyBytes }: SentResponse): ResponseHead {
  const fields: Record<string, string> = {}
  for (let index = 0; index < rawHeaders.length; index += 2) fields[rawHeaders[index]!.toLowerCase()] = rawHeaders[index + 1]!
  return { status, rawHeaders, fields, isReusable: fields['connection'] !== 'close', contentLength: bodyBytes }
}
