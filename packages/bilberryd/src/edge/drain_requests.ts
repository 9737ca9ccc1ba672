/**
 * Drains an entry instance that stops: it goes on accepting requests for a while, refuses later ones and those that it can't
 * complete, waits for those in flight, and answers what is left.
 *
 * @module
 */
import type { LifeCycle } from '@bilberryworks/steering'
import type { Server } from 'node:http'
import type { EndedRequests } from './open_attempts.ts'
import { setTimeout as wait } from 'node:timers/promises'
import { closeListener, runAfterReads } from '@bilberryworks/callers'
import { LifePhase } from '@bilberryworks/steering'

/** Options of {@linkcode drainRequests}. */
export interface DrainRequestsOptions {
  /** Phases of this instance, which has been told to stop. */
  life: LifeCycle
  /** Listener for callers. */
  callers: Server
  /** Returns the number of requests of callers and other instances whose responses have not ended, and of connections that are being closed. */
  countOpen: () => number
  /** Answers the requests that can't be completed; see the request handler. */
  endRequests: () => EndedRequests
  /** Called when no further requests are accepted. */
  onPhase: (phase: LifePhase) => void
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
}

const acceptPollIntervalMs = 50
const drainPollIntervalMs = 20
/** Maximum time for sending the last responses, in milliseconds. */
const flushMs = 100

/** Waits until the event loop has accepted and read what has arrived. */
const waitForReads = (): Promise<void> => new Promise(runAfterReads)

/**
 * Drains an instance; to be called when it has been told to stop.
 *
 * @param options Life cycle, listener and callbacks
 * @returns Numbers of requests that were answered without a target's response, because the instance stops
 */
export async function drainRequests ({ life, callers, countOpen, endRequests, onPhase, getNowMs }: DrainRequestsOptions): Promise<EndedRequests> {
  const ended: EndedRequests = { refused: 0, unknown: 0 }
  const addEnded = ({ refused, unknown }: EndedRequests): void => {
    ended.refused += refused
    ended.unknown += unknown
  }

  while (life.getPhase(getNowMs()) === LifePhase.Leaving) {
    addEnded(endRequests())
    await wait(acceptPollIntervalMs)
  }
  onPhase(life.getPhase(getNowMs()))
  await closeListener(callers)
  while (life.getPhase(getNowMs()) === LifePhase.Closing && countOpen() > 0) {
    addEnded(endRequests())
    await waitForReads()
    callers.closeIdleConnections()
    await wait(drainPollIntervalMs)
  }
  await waitForReads()
  addEnded(endRequests())
  const flushedByMs = getNowMs() + flushMs
  while (countOpen() > 0 && getNowMs() < flushedByMs) await wait(drainPollIntervalMs)
  return ended
}
