/**
 * The connections of an instance on the simulated network of a fleet.
 *
 * @module
 */
import type { Exchange, RunningExchange, TargetPool } from '@bilberryworks/targets'
import type { FleetConnection, FleetNetwork } from './fleet_connection.ts'
import { ConnectionEvent, ExchangeFailure } from '@bilberryworks/targets'
import { createFleetConnection, EndpointState, LinkState } from './fleet_connection.ts'

/** A pool on the simulated network. */
export interface FleetPool extends TargetPool {
  /** Applies a change of the paths to the open connections. */
  applyLinks (): void
  /** Closes all connections, as when the process ends. */
  closeAll (): void
  /** Breaks the connections to a program that has ended. */
  failConnections (id: string): void
}

/** Options of {@linkcode createFleetPool}. */
export interface CreateFleetPoolOptions extends FleetNetwork {
  /** Time limit for establishing a connection, in milliseconds. */
  connectTimeoutMs: number
  /** Called for each event of a connection. */
  onConnectionEvent?: (event: ConnectionEvent, id: string) => void
}

const idleLimitMs = 3_500

/**
 * Creates a pool without connections.
 *
 * @param options Network, time limit and callback
 * @returns The pool
 */
export function createFleetPool (options: CreateFleetPoolOptions): FleetPool {
  const { clock, getLink, getLatencyMs, findEndpoint } = options
  const open = new Set<FleetConnection>()
  const reportEvent = options.onConnectionEvent ?? (() => {})

  /** Calls back once with the run of the program that accepted a connection; `undefined` if none did. */
  function openTo (id: string, { timeoutMs, onEnd }: { timeoutMs: number, onEnd: (run: number | undefined) => void }): void {
    let isPending = true
    const finish = (run: number | undefined): void => {
      if (!isPending) return
      isPending = false
      reportEvent(run === undefined ? ConnectionEvent.ConnectFailed : ConnectionEvent.Established, id)
      onEnd(run)
    }
    clock.schedule(timeoutMs, () => finish(undefined))
    clock.schedule(2 * getLatencyMs(id), () => {
      const link = getLink(id)
      const endpoint = findEndpoint(id)
      if (link === LinkState.Hanging || link === LinkState.LosingResponses || endpoint?.getState() === EndpointState.Dark) return
      finish(link === LinkState.Open && endpoint?.getState() === EndpointState.Listening ? endpoint.getRun() : undefined)
    })
  }

  function addConnection (id: string, run: number): FleetConnection {
    const connection = createFleetConnection({ id, run, network: options, onClose: () => open.delete(connection) })
    open.add(connection)
    return connection
  }

  function findIdle (id: string): FleetConnection | undefined {
    for (const connection of open) if (connection.id === id && connection.isFree() && clock.getNowMs() - connection.idleSinceMs < idleLimitMs) return connection
    return undefined
  }

  function sendOnNew (id: string, exchange: Exchange): RunningExchange {
    let connection: FleetConnection | undefined
    let isCancelled = false
    openTo(id, {
      timeoutMs: options.connectTimeoutMs,
      onEnd (run) {
        if (isCancelled) return
        if (run === undefined) return exchange.onFail(ExchangeFailure.ConnectFailed, 'Connection was not established')
        connection = addConnection(id, run)
        connection.send(exchange)
      }
    })
    return {
      cancel () {
        isCancelled = true
        connection?.cancel(exchange)
      },
      setPaused: () => {}
    }
  }

  return {
    send ({ id }, exchange) {
      const idle = findIdle(id)
      if (idle === undefined) return sendOnNew(id, exchange)
      reportEvent(ConnectionEvent.Reused, id)
      idle.send(exchange)
      return { cancel: () => idle.cancel(exchange), setPaused: () => {} }
    },
    openIdle: ({ id }, { timeoutMs }) => new Promise(resolve => {
      openTo(id, {
        timeoutMs,
        onEnd (run) {
          if (run !== undefined) addConnection(id, run)
          resolve(run !== undefined)
        }
      })
    }),
    hasIdle: id => findIdle(id) !== undefined,
    closeIdle (id) {
      for (const connection of [...open]) if (connection.id === id && connection.isFree()) connection.close()
    },
    closeExpired (nowMs) {
      for (const connection of [...open]) if (connection.isFree() && nowMs - connection.idleSinceMs >= idleLimitMs) connection.close()
    },
    count: () => open.size,
    applyLinks () {
      for (const connection of [...open]) connection.applyLink()
    },
    closeAll () {
      for (const connection of [...open]) connection.abandon()
    },
    failConnections (id) {
      for (const connection of [...open]) if (connection.id === id) connection.fail('read ECONNRESET')
    },
    async [Symbol.asyncDispose] () {}
  }
}
