/**
 * The HTTP listeners for look-ups, which return addresses of entry instances to callers, and for readiness checks.
 *
 * @module
 */
import type { EntrySettings } from '@bilberryworks/steering'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { ReadTurns } from '@bilberryworks/callers'
import type { LookUp } from '@bilberryworks/users-platform'
import type { CallbackGuard } from './callback_guard.ts'
import type { PeerHeartbeat, PeerView } from './peer_view.ts'
import { createServer } from 'node:http'
import { applyBodilessRequests } from '@bilberryworks/callers'
import { allGroupsUnreached } from '@bilberryworks/steering'
import { GuardedCallback } from './callback_guard.ts'
import { formatLookUpResponse, maxLookUpAddresses, parseLookUp, readinessPath } from '@bilberryworks/users-platform'

/** Options of {@linkcode createLookUpListener}. */
export interface CreateLookUpListenerOptions {
  /** Runs callbacks. */
  guard: CallbackGuard
  /** Turns in which connections are read. */
  turns: ReadTurns
  /** Settings of the instance. */
  settings: EntrySettings
  /** View of the other instances. */
  view: PeerView
  /** Returns the current heartbeat of this instance. */
  getHeartbeat: () => PeerHeartbeat
  /** Returns whether any route restricts its requests to home regions. */
  hasHomeRegions: () => boolean
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Time for which callers may cache a look-up response, in milliseconds: short compared with the time for which a stopping instance still accepts requests. */
const lookUpTtlMs = 1_000
/** Minimum number of addresses in a look-up response, if that many instances exist, so that callers can fail over; not applied if requests must stay in their region. */
const minAddresses = 2

/**
 * Creates the listener for look-ups.
 *
 * @param options Settings, heartbeat and view of the other instances
 * @returns The server, which is not listening yet
 */
export function createLookUpListener (options: CreateLookUpListenerOptions): Server {
  const ttlMs = Math.min(lookUpTtlMs, options.settings.bounds.maxLookUpTtlMs)
  function handleLookUp (message: IncomingMessage, response: ServerResponse): void {
    const lookUp = parseLookUp(message.url!)
    if (lookUp === undefined) {
      response.writeHead(404).end()
      return
    }
    const instances = [options.getHeartbeat(), ...options.view.listLive(options.getNowMs()).map(peer => peer.heartbeat)]
    const body = formatLookUpResponse(chooseAddresses(instances, lookUp, { minAddresses: options.hasHomeRegions() ? 1 : minAddresses }), ttlMs)
    response.writeHead(200, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body) }).end(body)
  }

  const server = createServer((message, response) => options.guard.run(GuardedCallback.Call, () => handleLookUp(message, response), () => response.destroy()))
  applyBodilessRequests(server, options.turns)
  return server
}

/**
 * Selects the addresses for a look-up response: ready instances in the caller's region that reach targets, those in its failure domain first.
 *
 * @param instances Live instances, this one first
 * @param lookUp Location of the caller
 * @param options Minimum number of addresses; with fewer in the caller's region, ready instances in other regions follow
 * @returns At most {@linkcode maxLookUpAddresses} addresses in the form `host:port`; only that of this instance if no instance is ready
 */
export function chooseAddresses (instances: PeerHeartbeat[], lookUp: LookUp, options: { minAddresses: number }): string[] {
  const ready = selectReaching(instances.filter(instance => instance.isReady))
  const computeDistance = (instance: PeerHeartbeat): number => instance.failureDomain === lookUp.failureDomain ? 0 : instance.region === lookUp.region ? 1 : 2
  const ranked = ready.toSorted((a, b) => computeDistance(a) - computeDistance(b))
  const sameRegion = ranked.filter(instance => computeDistance(instance) < 2)
  const chosen = sameRegion.length >= options.minAddresses ? sameRegion : ranked
  const listed = chosen.length > 0 ? chosen : instances.slice(0, 1)
  return listed.slice(0, maxLookUpAddresses).map(instance => instance.callers)
}

/** Leaves out the instances that reach no target, as long as others do; while callers still use them, they relay requests. */
function selectReaching (instances: PeerHeartbeat[]): PeerHeartbeat[] {
  const reaching = instances.filter(({ unreached }) => unreached?.includes(allGroupsUnreached) !== true)
  return reaching.length > 0 ? reaching : instances
}

/**
 * Creates the listener for readiness checks.
 *
 * @param isReady Returns whether the instance accepts requests
 * @param turns Turns in which connections are read
 * @returns The server, which is not listening yet
 */
export function createReadinessListener (isReady: () => boolean, turns: ReadTurns): Server {
  const server = createServer((message, response) => {
    const isReadinessPath = message.url!.split('?', 1)[0] === readinessPath
    response.writeHead(isReadinessPath ? isReady() ? 200 : 503 : 404, { 'Content-Length': 0 }).end()
  })
  applyBodilessRequests(server, turns)
  return server
}
