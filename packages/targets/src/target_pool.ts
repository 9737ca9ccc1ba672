/**
 * Connections to targets, kept for reuse while the target keeps them too.
 *
 * @module
 */
import type { Exchange, TargetConnection } from './target_connection.ts'
import { openTargetConnection } from './target_connection.ts'

/** A target as the pool knows it. */
export interface PooledTarget {
  /** Identifier of the target. */
  id: string
  /** Address of the target. */
  address: { host: string, port: number }
}

/** An exchange that is under way. */
export interface RunningExchange {
  /** Breaks the exchange off by closing its connection; nothing is called afterwards. */
  cancel (): void
  /** Stops or goes on reading the answer. */
  setPaused (paused: boolean): void
}

/** Connections to targets. */
export interface TargetPool extends AsyncDisposable {
  /** Sends a request to a target. */
  send (target: PooledTarget, exchange: Exchange): RunningExchange
  /** Closes the idle connections of a target. */
  closeIdle (targetId: string): void
  /** Closes connections that have idled for too long. */
  closeExpired (nowMs: number): void
  /** Counts the open connections. */
  count (): number
}

/** Options of {@linkcode createTargetPool}. */
export interface CreateTargetPoolOptions {
  /** Longest time that a new connection may take, in milliseconds. */
  connectTimeoutMs: number
  /** Called for each new connection that was established, with the time it took in milliseconds. */
  onConnect?: (targetId: string, elapsedMs: number) => void
  /** Called for each answer that belongs to no request under way. */
  onUnsolicitedResponse?: (targetId: string) => void
}

/** Time for which a connection is kept idle where the target does not say how long it keeps it, in milliseconds: half of the shortest default of common servers. */
const defaultIdleMs = 2_500
/** Time before the target's own time-out at which an idle connection is given up, in milliseconds: the whole second that the header rounds away, and transit. */
const idleMarginMs = 1_500

/**
 * Creates an empty pool.
 *
 * @param options Bounds and what to call
 * @returns The pool; dispose it to close its connections
 */
export function createTargetPool (options: CreateTargetPoolOptions): TargetPool {
  const idle = new Map<string, TargetConnection[]>()
  const open = new Set<TargetConnection>()

  function takeIdle (target: PooledTarget): TargetConnection | undefined {
    const list = idle.get(target.id)
    for (let connection = list?.pop(); connection !== undefined; connection = list?.pop()) {
      if (connection.isFree() && performance.now() - connection.idleSinceMs < getIdleLimitMs(connection)) return connection
      connection.close()
    }
    return undefined
  }

  function openConnection (target: PooledTarget): TargetConnection {
    const connection = openTargetConnection(target.address, {
      connectTimeoutMs: options.connectTimeoutMs,
      onConnect: elapsedMs => options.onConnect?.(target.id, elapsedMs),
      onUnsolicitedResponse: () => options.onUnsolicitedResponse?.(target.id),
      onClose () {
        open.delete(connection)
        const list = idle.get(target.id)
        const index = list?.indexOf(connection) ?? -1
        if (index >= 0) list!.splice(index, 1)
        if (list?.length === 0) idle.delete(target.id)
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
      const connection = takeIdle(target) ?? openConnection(target)
      connection.send({
        ...exchange,
        onEnd () {
          // A reader that paused the connection must not leave it so for the next request.
          connection.setPaused(false)
          if (open.has(connection)) retainIdle(target, connection)
          exchange.onEnd()
        }
      })
      return { cancel: () => connection.close(), setPaused: paused => connection.setPaused(paused) }
    },
    closeIdle (targetId) {
      for (const connection of [...idle.get(targetId) ?? []]) connection.close()
    },
    closeExpired (nowMs) {
      for (const list of [...idle.values()]) {
        for (const connection of [...list]) if (nowMs - connection.idleSinceMs >= getIdleLimitMs(connection)) connection.close()
      }
    },
    count: () => open.size,
    async [Symbol.asyncDispose] () {
      for (const connection of [...open]) connection.close()
    }
  }
}

function getIdleLimitMs (connection: TargetConnection): number {
  return connection.keepAliveMs === undefined ? defaultIdleMs : Math.max(0, connection.keepAliveMs - idleMarginMs)
}
