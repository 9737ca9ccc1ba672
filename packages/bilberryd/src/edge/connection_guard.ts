/**
 * Keeps the connections of a listener within their share of the descriptors: idle ones give way, and where none is idle,
 * requests on connections beyond the share are refused as not run.
 *
 * A listener of Node.js can't leave connections unaccepted. Without a descriptor it accepts and closes them, and callers lose
 * what they have written, so that connections beyond the share are accepted and refused.
 *
 * @module
 */
import type { CallerConnectionLimits } from '@bilberryworks/steering'
import type { Server } from 'node:http'
import type { Socket } from 'node:net'
import { closeLingering, closeLongestIdle, runAfterReads } from '@bilberryworks/callers'

/** Connections of a listener. */
export interface ConnectionGuard {
  /** Returns the number of open connections without those that have been refused. */
  count (): number
  /** Returns whether a request on a connection is to be served; to be called when {@linkcode runAfterReads} has passed since it was received. */
  admitRequest (socket: Socket): boolean
  /** Returns whether more connections are open than idle ones may add to, so that none should become idle. */
  isFull (): boolean
  /** Returns the largest number of connections since the last call. */
  takeMaxCount (): number
  /**
   * Returns whether the response on a connection is to close it: since the connection is to be refused, more are open than may
   * be kept, or it gives way to one that was accepted beyond the share a short time ago. For each of those, one gives way.
   */
  takeClose (socket: Socket): boolean
  /** Closes idle connections beyond the limit of idle ones when what has arrived has been read. */
  closeIdle (): void
}

/** Options of {@linkcode createConnectionGuard}. */
export interface CreateConnectionGuardOptions {
  /** Returns the current limits. */
  getLimits: () => CallerConnectionLimits
  /** Formats the refusal of a connection whose request there is no room to read. */
  formatRefusal: () => string
}

/** Time after which a connection that has received nothing counts as idle, in milliseconds: a caller writes its first request as soon as it is connected. */
const minUnusedMs = 500
/** Time for which a connection that has carried a request must have been idle to be closed, in milliseconds: a caller that goes on sending keeps its connection. */
const minIdleMs = 100
/** Time after a connection beyond the share in which another one gives way, in milliseconds. */
const pressedMs = 1_000
/** Share of the connections to be refused whose requests are not read. */
const unreadShare = 0.5

/**
 * Guards the connections of a listener.
 *
 * @param server The server, with graceful close
 * @param options Limits and refusal
 * @returns The guard
 */
export function createConnectionGuard (server: Server, { getLimits, formatRefusal }: CreateConnectionGuardOptions): ConnectionGuard {
  let openCount = 0
  let isScheduled = false
  let maxCount = 0
  let pressedAtMs = -Infinity
  /** Number of connections that are to give way after a response. */
  let yieldingCount = 0
  /** Connections that were beyond the share when they were accepted, and on which no request has been served. */
  const excess = new Set<Socket>()
  /** Connections to which a refusal was sent unread, the oldest first. */
  const refused = new Set<Socket>()

  /** Counts the connections without those that have been refused. */
  const countServed = (): number => openCount - refused.size
  const getMaxUnread = (): number => Math.ceil(getLimits().maxRefused * unreadShare)

  function closeIdle (): void {
    if (isScheduled || countServed() <= getLimits().maxWithIdle) return
    isScheduled = true
    runAfterReads(() => {
      isScheduled = false
      closeLongestIdle(server, { count: countServed() - getLimits().maxWithIdle, minIdleMs, minUnusedMs, closeUnused: refuseUnread })
    })
  }

  /** Refuses the request that a caller sends, or has sent, on a connection that has carried none. */
  function refuseUnread (socket: Socket): void {
    // A caller that has written its request still reads the refusal when its connection is closed.
    const oldest = [...refused].find(({ bytesRead }) => bytesRead > 0) ?? [...refused][0]
    if (refused.size >= getMaxUnread()) oldest?.destroy()
    refused.add(socket)
    socket.once('close', () => refused.delete(socket))
    socket.write(formatRefusal())
    closeLingering(socket)
  }

  server.on('connection', (socket: Socket) => {
    openCount++
    maxCount = Math.max(maxCount, countServed())
    socket.once('close', () => {
      openCount--
      excess.delete(socket)
    })
    closeIdle()
    const { maxServed, maxRefused, maxYielding } = getLimits()
    if (countServed() > maxServed) {
      excess.add(socket)
      yieldingCount = performance.now() - pressedAtMs < pressedMs ? Math.min(yieldingCount + 1, maxYielding) : Math.min(1, maxYielding)
      pressedAtMs = performance.now()
    }
    if (countServed() > maxServed + maxRefused - getMaxUnread()) refuseUnread(socket)
  })

  const isRefused = (socket: Socket): boolean => excess.has(socket) && countServed() > getLimits().maxServed

  return {
    count: countServed,
    admitRequest (socket) {
      if (isRefused(socket)) return false
      excess.delete(socket)
      return true
    },
    takeMaxCount () {
      const most = maxCount
      maxCount = countServed()
      return most
    },
    takeClose (socket) {
      if (isRefused(socket) || countServed() - excess.size > getLimits().maxOpen) return true
      if (yieldingCount === 0 || performance.now() - pressedAtMs >= pressedMs || countServed() <= getLimits().maxWithIdle) return false
      yieldingCount--
      return true
    },
    isFull: () => countServed() > getLimits().maxWithIdle,
    closeIdle
  }
}
