/**
 * Stops the reading of connections for several reasons at a time.
 *
 * @module
 */
import type { Socket } from 'node:net'

/** Why a connection is not read. */
export enum ReadStop {
  /** Enough of its pipelined requests wait. */
  Pipeline = 'pipeline',
  /** What was read from it was costly, and it is the turn of others. */
  Turn = 'turn'
}

interface ReadState {
  reasons: Set<ReadStop>
  /** Whether the connection is to be read once there is no reason left. */
  isWanted: boolean
  resume: () => void
}

const states = new WeakMap<Socket, ReadState>()

/**
 * Stops the reading of a connection, after the read in progress if there is one.
 *
 * @param socket The connection
 * @param reason The reason, until which {@linkcode startReading} is called with it nothing is read
 */
export function stopReading (socket: Socket, reason: ReadStop): void {
  const state = states.get(socket) ?? createState(socket)
  if (state.reasons.size === 0) {
    const isWanted = !socket.isPaused()
    socket.pause()
    state.isWanted = isWanted
  }
  state.reasons.add(reason)
}

/**
 * Removes a reason not to read a connection. It is read again if it was the last one, unless it was paused otherwise.
 *
 * @param socket The connection
 * @param reason The reason
 */
export function startReading (socket: Socket, reason: ReadStop): void {
  const state = states.get(socket)
  if (state === undefined || !state.reasons.delete(reason)) return
  if (state.reasons.size === 0 && state.isWanted) state.resume()
}

/**
 * Returns whether there is a reason not to read a connection.
 *
 * @param socket The connection
 * @param reason The reason
 * @returns Whether it is one
 */
export function isReadingStopped (socket: Socket, reason: ReadStop): boolean {
  return states.get(socket)?.reasons.has(reason) === true
}

/** Keeps others, such as `node:http`, from resuming a connection while there is a reason not to read it. */
function createState (socket: Socket): ReadState {
  const { pause, resume } = socket
  const state: ReadState = { reasons: new Set(), isWanted: true, resume: () => { resume.call(socket) } }
  states.set(socket, state)
  socket.pause = () => {
    state.isWanted = false
    return pause.call(socket)
  }
  socket.resume = () => {
    state.isWanted = true
    return state.reasons.size > 0 ? socket : resume.call(socket)
  }
  // A resumption that was under way when the reading was stopped starts it in a later tick; a socket that is paused already does not report that it is paused again.
  socket.on('resume', () => {
    if (state.reasons.size > 0) socket.emit('pause')
  })
  return state
}
