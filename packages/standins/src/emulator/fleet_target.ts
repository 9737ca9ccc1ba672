/**
 * A simulated target of the users' platform, which records what reaches it.
 *
 * @module
 */
import type { Endpoint, ReceivedRequest } from './fleet_connection.ts'
import type { VirtualTimers } from './virtual_timers.ts'
import { EndpointState } from './fleet_connection.ts'

/** A request that reached a target. */
export interface Arrival {
  /** Identifier of the attempt. */
  attemptId: string
  /** Identifier of the target, and its run. */
  target: string
  run: number
  /** Name of the instance that sent it. */
  sender: string
  /** Virtual time, in milliseconds. */
  atMs: number
  /** Virtual time at which it was sent, in milliseconds. */
  sentAtMs: number
  /** Time left that the request states, in milliseconds. */
  timeLeftMs: number
  /** Whether the target ran it. */
  hasRun: boolean
  /** Whether the target was cold. */
  isCold: boolean
}

/** A response by which a target asked an instance to send nothing for some time. */
export interface NamedPause {
  /** Identifier of the target, and its run. */
  target: string
  run: number
  /** Name of the instance. */
  sender: string
  /** Virtual time of the response, and of the end of the pause, in milliseconds. */
  atMs: number
  endMs: number
}

/** A simulated target. */
export interface FleetTarget extends Endpoint {
  /** Identifier. */
  id: string
  /** Failure domain. */
  failureDomain: string
  /** Returns the virtual time since which it listens, in milliseconds. */
  getListeningSinceMs (): number
  /** Changes whether it accepts connections; anything but listening ends its requests, and listening again is another run. */
  setState (state: EndpointState): void
  /** Sets the factor by which requests take longer than usual. */
  setSlowness (factor: number): void
  /** Sets the pause that it asks for when it refuses requests, in seconds; refuses half of them while one is set. */
  setPause (seconds: number | undefined): void
  /** Sets the share of the requests that it runs and whose connections it breaks in place of a response. */
  setLossShare (share: number): void
  /** Makes it cold from now on. */
  chill (): void
  /** Returns the virtual time until which it is cold, in milliseconds. */
  getColdUntilMs (): number
  /** Makes it state in all responses that it leaves. */
  leave (): void
}

/** Options of {@linkcode createFleetTarget}. */
export interface CreateFleetTargetOptions {
  /** Identifier. */
  id: string
  /** Failure domain. */
  failureDomain: string
  /** Requests that it runs at a time. */
  slots: number
  /** Mean time of a request, in milliseconds. */
  meanProcessingMs: number
  /** Time for which it is cold after it has started, in milliseconds, and by which factor requests take longer then. */
  cold: { forMs: number, slowness: number }
  /** The clock. */
  clock: VirtualTimers
  /** Records what reaches the target. */
  arrivals: Arrival[]
  /** Records the pauses that it asks for. */
  pauses: NamedPause[]
  /** Returns a random number in [0, 1). */
  getRandom: () => number
}

interface Work {
  request: ReceivedRequest
  arrival: Arrival
  fields: Record<string, string>
  isAborted: boolean
}

const waitingPerSlot = 2
const responsesPerClose = 40
const bodyBytes = 600
const msPerSecond = 1_000

/**
 * Creates a target that listens.
 *
 * @param options Identity, capacity, clock and records
 * @returns The target
 */
export function createFleetTarget ({ id, failureDomain, slots, cold, clock, arrivals, pauses, getRandom, meanProcessingMs }: CreateFleetTargetOptions): FleetTarget {
  const running = new Set<Work>()
  let waiting: Work[] = []
  let state = EndpointState.Listening
  let run = 1
  let slowness = 1
  let pauseSeconds: number | undefined
  let listeningSinceMs = 0
  let lossShare = 0
  let isLeaving = false
  let coldUntilMs = -Infinity
  let responses = 0

  function sendResponse (work: Work, status: number, fields: Record<string, string> = {}): void {
    const all: Record<string, string> = {
      'X-Request-Id': work.arrival.attemptId,
      'X-Server-Load': `${running.size},${waiting.length},${slots}`,
      ...isLeaving ? { 'Server-Leaving': '1' } : {},
      ...++responses % responsesPerClose === 0 ? { Connection: 'close' } : {},
      ...fields
    }
    work.request.respond({ status, rawHeaders: Object.entries(all).flat(), bodyBytes: status === 200 ? bodyBytes : 0 })
  }

  function refuseWork (work: Work): void {
    const { sender } = work.request
    const pause: Record<string, string> = pauseSeconds === undefined ? {} : { 'Retry-After': String(pauseSeconds) }
    if (pauseSeconds !== undefined) pauses.push({ target: id, run, sender, atMs: clock.getNowMs(), endMs: clock.getNowMs() + pauseSeconds * msPerSecond })
    sendResponse(work, 503, { 'X-Not-Executed': '1', ...pause })
  }

  function startWork (work: Work): void {
    running.add(work)
    work.arrival.hasRun = true
    const workRun = run
    const coldFactor = clock.getNowMs() < coldUntilMs ? cold.slowness : 1
    clock.schedule(meanProcessingMs * slowness * coldFactor * (0.4 + 1.2 * getRandom()), () => {
      if (workRun !== run || !running.delete(work)) return
      if (getRandom() < lossShare) work.request.reset()
      else sendResponse(work, 200, { 'X-Server-Signature': `${id} ${run}` })
      startNext()
    })
  }

  function startNext (): void {
    while (running.size < slots) {
      const next = waiting.shift()
      if (next === undefined) return
      startWork(next)
    }
  }

  return {
    id,
    failureDomain,
    getState: () => state,
    getRun: () => run,
    getListeningSinceMs: () => listeningSinceMs,
    receive (request) {
      const fields = parseFields(request.head)
      const arrival: Arrival = { attemptId: fields['x-request-id']!, target: id, run, sender: request.sender, atMs: clock.getNowMs(), sentAtMs: request.sentAtMs, timeLeftMs: Number(fields['x-timeout-ms']), hasRun: false, isCold: clock.getNowMs() < coldUntilMs }
      const work: Work = { request, arrival, fields, isAborted: false }
      arrivals.push(arrival)
      request.onAbort = () => {
        waiting = waiting.filter(other => other !== work)
        if (running.delete(work)) startNext()
      }
      if (fields['x-target-instance'] !== id) return sendResponse(work, 421)
      if (waiting.length >= slots * waitingPerSlot || (pauseSeconds !== undefined && getRandom() < 0.5)) return refuseWork(work)
      if (running.size < slots) startWork(work)
      else waiting.push(work)
    },
    setState (next) {
      if (next === state) return
      state = next
      if (next === EndpointState.Listening) {
        run++
        listeningSinceMs = clock.getNowMs()
        coldUntilMs = clock.getNowMs() + cold.forMs
        isLeaving = false
      }
      const ended = [...running, ...waiting]
      running.clear()
      waiting = []
      if (next === EndpointState.Refusing) for (const { request } of ended) request.reset()
    },
    setSlowness (factor) { slowness = factor },
    setPause (seconds) { pauseSeconds = seconds },
    setLossShare (share) { lossShare = share },
    chill () { coldUntilMs = clock.getNowMs() + cold.forMs },
    getColdUntilMs: () => coldUntilMs,
    leave () { isLeaving = true }
  }
}

/** Parses the header fields of a request, by lower-case name. */
export function parseFields (head: string): Record<string, string> {
  const fields: Record<string, string> = {}
  for (const line of head.split('\r\n').slice(1)) {
    const colon = line.indexOf(':')
    if (colon > 0) fields[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim()
  }
  return fields
}
