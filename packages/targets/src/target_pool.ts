/**
 * A pool of connections to targets, which reuses an idle connection until shortly before the target would close it.
 *
 * @module
 */
import type { ReadPacer } from '@bilberryworks/steering'
import type { MalformedKind } from './malformed_response.ts'
import type { Exchange, TargetConnection } from './target_connection.ts'
import { DescriptorDecision, getFailureSide, isLocalFailure } from '@bilberryworks/steering'
import { createResponsePacer } from './response_pacer.ts'
import { ExchangeFailure, openTargetConnection } from './target_connection.ts'

/** A target to which the pool connects. */
export interface PooledTarget {
  /** Identifier of the target. */
  id: string
  /** Address of the target. */
  address: { host: string, port: number }
}

/** Controls an exchange in progress. */
export interface RunningExchange {
  /** Cancels the exchange by resetting its connection; no callback of the exchange is called afterwards. */
  cancel (): void
  /** Pauses or resumes reading the response. */
  setPaused (paused: boolean): void
}

/** What happened to a connection to a target. */
export enum ConnectionEvent {
  /** It was established. */
  Established = 'established',
  /** It could not be established. */
  ConnectFailed = 'connect_failed',
  /** This host refused it, which says nothing of the target. */
  RefusedLocally = 'refused_locally',
  /** It was idle and carries another request. */
  Reused = 'reused',
  /** It was idle and was closed by the pool because its idle time limit had passed. */
  Expired = 'expired',
  /** It was idle and was closed by the pool because a connection to the same target could not be established. */
  Dropped = 'dropped',
  /** It was idle and was closed by the pool so that another connection could be opened. */
  Displaced = 'displaced',
  /** It was idle and was closed by the target or the network. */
  ClosedByTarget = 'closed_by_target'
}

/** A pool of connections to targets. */
export interface TargetPool extends AsyncDisposable {
  /** Sends a request to a target, on an idle connection if there is one, otherwise on a new one. */
  send (target: PooledTarget, exchange: Exchange): RunningExchange
  /** Opens a connection to a target and keeps it idle, without a request; returns whether it was established. */
  openIdle (target: PooledTarget, options: { timeoutMs: number }): Promise<boolean>
  /** Returns whether there is an idle connection to a target. */
  hasIdle (targetId: string): boolean
  /** Closes the idle connections of a target. */
  closeIdle (targetId: string): void
  /** Closes the connections whose idle time limit has passed; `nowMs` is monotonic time. */
  closeExpired (nowMs: number): void
  /** Counts the open connections. */
  count (): number
}

/** Options of {@linkcode createTargetPool}. */
export interface CreateTargetPoolOptions {
  /** Time limit for establishing a connection, in milliseconds. */
  connectTimeoutMs: number
  /** Shares the event loop among connections; one of the pool by default, see {@linkcode createResponsePacer}. */
  pacer?: ReadPacer
  /** Decides whether another connection may be opened beside the open ones; each may by default. */
  chooseDescriptor?: (pool: { count: number, hasIdle: boolean }) => DescriptorDecision
  /** Called for each event of a connection to a target; with the code of the error if the operating system did not establish it. */
  onConnectionEvent?: (event: ConnectionEvent, targetId: string, code?: string) => void
  /** Called for each response that belongs to a request other than the one in flight on its connection. */
  onMismatchedResponse?: (targetId: string) => void
  /** Called for each exchange that is about to fail because of what the target sent. */
  onMalformedResponse?: (kind: MalformedKind, targetId: string) => void
}

/** Idle time limit of a connection to a target that sends no `Keep-Alive: timeout`, in milliseconds: half of the shortest default among common servers. */
const defaultIdleMs = 2_500
/** Time before the target's own idle time-out at which the pool closes a connection, in milliseconds: up to one second of rounding in the `Keep-Alive` header, plus network latency. */
const idleMarginMs = 1_500

/**
 * Creates an empty pool.
 *
 * @param options Time limit and callbacks
 * @returns The pool; dispose it to close its connections, after which it opens none and reports no events
 */
export function createTargetPool (options: CreateTargetPoolOptions): TargetPool {
  const idle = new Map<string, TargetConnection[]>()
  const open = new Set<TargetConnection>()
  const pacer = options.pacer ?? createResponsePacer()
  let isClosed = false

  function reportEvent (event: ConnectionEvent, targetId: string, code?: string): void {
    if (!isClosed) options.onConnectionEvent?.(event, targetId, code)
  }

  function closeIdleConnection (targetId: string, connection: TargetConnection, event: ConnectionEvent): void {
    removeIdle(idle, { targetId, connection })
    connection.close()
    reportEvent(event, targetId)
  }

  function takeIdle (target: PooledTarget): TargetConnection | undefined {
    for (const connection of [...idle.get(target.id) ?? []].reverse()) {
      if (connection.isFree() && performance.now() - connection.idleSinceMs < computeIdleLimitMs(connection)) {
        removeIdle(idle, { targetId: target.id, connection })
        reportEvent(ConnectionEvent.Reused, target.id)
        return connection
      }
      closeIdleConnection(target.id, connection, ConnectionEvent.Expired)
    }
    return undefined
  }

  /** Makes room for a connection by closing idle ones; returns whether one may be opened. */
  function reserveDescriptor (targetId: string): boolean {
    for (;;) {
      const decision = options.chooseDescriptor?.({ count: open.size, hasIdle: idle.size > 0 }) ?? DescriptorDecision.Open
      if (decision === DescriptorDecision.Open) return true
      const longest = decision === DescriptorDecision.CloseIdleTarget ? findLongestIdle(idle) : undefined
      if (longest === undefined) {
        reportEvent(ConnectionEvent.RefusedLocally, targetId)
        return false
      }
      closeIdleConnection(...longest, ConnectionEvent.Displaced)
    }
  }

  function openConnection (target: PooledTarget, { connectTimeoutMs, onConnect, onClose }: { connectTimeoutMs: number, onConnect?: () => void, onClose?: () => void }): TargetConnection {
    const connection = openTargetConnection(target.address, {
      connectTimeoutMs,
      pacer,
      onConnect () {
        reportEvent(ConnectionEvent.Established, target.id)
        onConnect?.()
      },
      onConnectFail: code => reportEvent(isLocalFailure(getFailureSide(code)) ? ConnectionEvent.RefusedLocally : ConnectionEvent.ConnectFailed, target.id, code),
      onMismatchedResponse: () => options.onMismatchedResponse?.(target.id),
      onMalformedResponse: kind => options.onMalformedResponse?.(kind, target.id),
      onClose () {
        open.delete(connection)
        if (removeIdle(idle, { targetId: target.id, connection })) reportEvent(ConnectionEvent.ClosedByTarget, target.id)
        onClose?.()
      }
    })
    open.add(connection)
    return connection
  }

  function retainIdle (target: PooledTarget, connection: TargetConnection): void {
    if (!connection.isFree()) {
      connection.close()
      return
    }
    const list = idle.get(target.id) ?? []
    idle.set(target.id, list)
    list.push(connection)
  }

  return {
    send (target, exchange) {
      if (isClosed) return failLater(exchange, ExchangeFailure.ConnectFailed, 'Pool is closed')
      const reused = takeIdle(target)
      if (reused === undefined && !reserveDescriptor(target.id)) return failLater(exchange, ExchangeFailure.RefusedLocally, 'Host has no descriptor left for another connection')
      const connection = reused ?? openConnection(target, options)
      connection.send({
        ...exchange,
        onEnd () {
          // The exchange may have paused the connection, which would block the response to the next request.
          connection.setPaused(false)
          if (open.has(connection)) retainIdle(target, connection)
          exchange.onEnd()
        }
      })
      return { cancel: () => connection.close(), setPaused: paused => connection.setPaused(paused) }
    },
    openIdle (target, { timeoutMs }) {
      if (isClosed || !reserveDescriptor(target.id)) return new Promise(resolve => setImmediate(resolve, false))
      return new Promise(resolve => {
        const connection = openConnection(target, {
          connectTimeoutMs: timeoutMs,
          onConnect () {
            retainIdle(target, connection)
            resolve(true)
          },
          onClose: () => resolve(false)
        })
      })
    },
    hasIdle: targetId => idle.has(targetId),
    closeIdle (targetId) {
      for (const connection of [...idle.get(targetId) ?? []]) closeIdleConnection(targetId, connection, ConnectionEvent.Dropped)
    },
    closeExpired (nowMs) {
      for (const [targetId, list] of [...idle]) {
        for (const connection of [...list]) if (nowMs - connection.idleSinceMs >= computeIdleLimitMs(connection)) closeIdleConnection(targetId, connection, ConnectionEvent.Expired)
      }
    },
    count: () => open.size,
    async [Symbol.asyncDispose] () {
      isClosed = true
      for (const connection of [...open]) connection.close()
    }
  }
}

/** Removes a connection from the idle ones; returns whether it was among them. */
function removeIdle (idle: Map<string, TargetConnection[]>, { targetId, connection }: { targetId: string, connection: TargetConnection }): boolean {
  const list = idle.get(targetId) ?? []
  const index = list.indexOf(connection)
  if (index < 0) return false
  list.splice(index, 1)
  if (list.length === 0) idle.delete(targetId)
  return true
}

function findLongestIdle (idle: Map<string, TargetConnection[]>): [targetId: string, connection: TargetConnection] | undefined {
  let longest: [string, TargetConnection] | undefined
  for (const [targetId, list] of idle) {
    for (const connection of list) if (longest === undefined || connection.idleSinceMs < longest[1].idleSinceMs) longest = [targetId, connection]
  }
  return longest
}

/** Fails an exchange in a later turn, so that the event loop turns before it is sent again. */
function failLater (exchange: Exchange, failure: ExchangeFailure, detail: string): RunningExchange {
  let isCancelled = false
  setImmediate(() => { if (!isCancelled) exchange.onFail(failure, detail) })
  return { cancel () { isCancelled = true }, setPaused: () => {} }
}

function computeIdleLimitMs (connection: TargetConnection): number {
  return connection.keepAliveMs === undefined ? defaultIdleMs : Math.max(0, connection.keepAliveMs - idleMarginMs)
}
