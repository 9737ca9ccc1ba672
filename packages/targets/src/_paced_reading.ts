/**
 * Reads from a socket while neither its user nor the pacer wants it paused.
 *
 * @module
 */
import type { ReadPacer } from '@bilberryworks/steering'
import type { Socket } from 'node:net'

/** Controls reading from one socket. */
export interface PacedReading {
  /** Pauses or resumes reading on behalf of the user. */
  setPaused (paused: boolean): void
  /** Charges units for what was read, and pauses reading for as long as the pacer says. */
  charge (units: number): void
  /** Returns whether the pacer wants reading paused. */
  isPaced (): boolean
  /** Ends a pause of the pacer, so that the next response does not wait for the turn of the last one. What was charged stays charged. */
  release (): void
}

/**
 * Creates the control of a socket, which is read at first.
 *
 * @param socket The socket
 * @param pacer The pacer
 * @returns The control
 */
export function createPacedReading (socket: Socket, pacer: ReadPacer): PacedReading {
  const account = pacer.createAccount(performance.now())
  let isPaused = false
  let timer: NodeJS.Timeout | undefined
  socket.once('close', () => clearTimeout(timer))

  function updateReading (): void {
    if (isPaused || timer !== undefined) socket.pause()
    else socket.resume()
  }

  function release (): void {
    if (timer === undefined) return
    clearTimeout(timer)
    timer = undefined
    updateReading()
  }

  return {
    setPaused (paused) {
      isPaused = paused
      updateReading()
    },
    charge (units) {
      if (units === 0) return
      const waitMs = pacer.charge(account, units, performance.now())
      if (waitMs <= 0) return
      clearTimeout(timer)
      timer = setTimeout(release, waitMs)
      updateReading()
    },
    isPaced: () => timer !== undefined,
    release
  }
}
