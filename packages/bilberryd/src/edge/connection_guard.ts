/**
 * Keeps the connections of a listener within their share of the descriptors: idle ones give way, and where none is idle,
 * requests on connections beyond the share are refused as not run.
 *
 * A listener of Node.js can't leave connections unaccepted. Without a descriptor it accepts and closes them, and callers lose
 * what they have written, so that connections beyond the share are accepted and refused.
 *
 * @module
 */
import type { Server } from 'node:http'
import type { Socket } from 'node:net'
import { closeLingering, closeLongestIdle, runAfterReads } from '@bilberryworks/callers'

/** Connections of a listener. */
export interface ConnectionGuard {
  /** Returns the number of open connections without those that have been refused. */
  count (): number
  /** Returns whether a request on a connection is to be refused; to be called when {@linkcode runAfterReads} has passed since it was received. */
  isRefused (socket: Socket): boolean
  /** Returns whether more connections are open than idle ones may add to, so that none should become idle. */
  isFull (): boolean
  /** Returns whether a connection was accepted beyond the share a short time ago, so that others should give way. */
  isPressed (): boolean
  /** Closes idle connections beyond the limit of idle ones when what has arrived has been read. */
  closeIdle (): void
}

/** Numbers of connections of a listener. */
export interface ConnectionLimits {
  /** Number of connections beyond which idle ones are closed. */
  maxWithIdle: number
  /** Number of connections beyond which requests are refused. */
  maxServed: number
  /** Number of connections in addition to `maxServed` that are kept until they have been refused. */
  maxRefused: number
}

/** Options of {@linkcode createConnectionGuard}. */
export interface CreateConnectionGuardOptions {
  /** Returns the current limits. */
  getLimits: () => ConnectionLimits
  /** Formats the refusal of a connection whose request there is no room to read. */
  formatRefusal: () => string
}

/** Time after which a connection that has received nothing counts as idle, in milliseconds: a caller writes its first request as soon as it is connected. */
const minUnusedMs = 500
/** Time after a connection beyond the share for which responses close theirs, in milliseconds. */
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
  let pressedAtMs = -Infinity
  /** Connections that were beyond the share when they were accepted. */
  const excess = new WeakSet<Socket>()
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
      closeLongestIdle(server, { count: countServed() - getLimits().maxWithIdle, minUnusedMs, closeUnused: refuseUnread })
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
    socket.once('close', () => { openCount-- })
    closeIdle()
    const { maxServed, maxRefused } = getLimits()
    if (countServed() > maxServed) {
      excess.add(socket)
      pressedAtMs = performance.now()
    }
    if (countServed() > maxServed + maxRefused - getMaxUnread()) refuseUnread(socket)
  })

  return {
    count: countServed,
    isPressed: () => performance.now() - pressedAtMs < pressedMs && countServed() > getLimits().maxWithIdle,
    isFull: () => countServed() > getLimits().maxWithIdle,
    isRefused: socket => excess.has(socket) && countServed() > getLimits().maxServed,
    closeIdle
  }
}
