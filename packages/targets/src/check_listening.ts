/**
 * Checks whether a target still listens, to tell the end of its process from the loss of one connection.
 *
 * @module
 */
import { connect } from 'node:net'
import { getFailureSide, isLocalFailure } from '@bilberryworks/steering'

/** What an attempt to connect shows of a target. */
export enum ListeningState {
  /** A connection was established. */
  Listening = 'listening',
  /** The connection was refused: no process listens at the address. */
  Refused = 'refused',
  /** This host refused the attempt, which shows nothing. */
  Unchecked = 'unchecked',
  /** The attempt shows neither: it timed out, or failed in another way. */
  Unknown = 'unknown'
}

/** Options of {@linkcode checkListening}. */
export interface CheckListeningOptions {
  /** Time limit for the attempt, in milliseconds. */
  timeoutMs: number
}

/**
 * Connects to an address and closes the connection at once.
 *
 * @param address The address
 * @param options Time limit
 * @returns What the attempt showed; never rejects
 */
export function checkListening (address: { host: string, port: number }, options: CheckListeningOptions): Promise<ListeningState> {
  return new Promise(resolve => {
    const socket = connect({ host: address.host, port: address.port })
    const timer = setTimeout(() => finish(ListeningState.Unknown), options.timeoutMs)
    function finish (state: ListeningState): void {
      clearTimeout(timer)
      socket.destroy()
      resolve(state)
    }
    socket.on('connect', () => finish(ListeningState.Listening))
    socket.on('error', (error: NodeJS.ErrnoException) => setImmediate(finish, getListeningState(error.code)))
  })
}

function getListeningState (code: string | undefined): ListeningState {
  if (isLocalFailure(getFailureSide(code))) return ListeningState.Unchecked
  return code === 'ECONNREFUSED' ? ListeningState.Refused : ListeningState.Unknown
}
