/**
 * The listeners for look-ups and for readiness checks.
 *
 * @module
 */
import type { EntrySettings } from '@bilberryworks/steering'
import type { Server } from 'node:http'
import type { LookUp } from '@bilberryworks/users-platform'
import type { PeerHeartbeat, PeerView } from './peer_view.ts'
import { createServer } from 'node:http'
import { formatLookUpResponse, maxLookUpAddresses, parseLookUp, readinessPath } from '@bilberryworks/users-platform'

/** Options of {@linkcode createLookUpListener}. */
export interface CreateLookUpListenerOptions {
  /** Settings of the instance. */
  settings: EntrySettings
  /** The other instances. */
  view: PeerView
  /** What the instance says of itself now. */
  getHeartbeat: () => PeerHeartbeat
  /** Tells whether a route binds its requests to regions. */
  hasHomeRegions: () => boolean
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Time for which callers may keep a look-up, in milliseconds: short against the time in which a stop is announced. */
const lookUpTtlMs = 1_000
/** Instances that a look-up names at least, where there are so many, so that callers have others to turn to; no more than the own region's where requests must stay in theirs. */
const minAddresses = 2

/**
 * Creates the listener for look-ups, not yet listening.
 *
 * @param options What it answers from
 * @returns The server
 */
export function createLookUpListener (options: CreateLookUpListenerOptions): Server {
  const ttlMs = Math.min(lookUpTtlMs, options.settings.bounds.maxLookUpTtlMs)
  return createServer((message, response) => {
    const lookUp = parseLookUp(message.url!)
    if (lookUp === undefined) {
      response.writeHead(404).end()
      return
    }
    const instances = [options.getHeartbeat(), ...options.view.listLive(options.getNowMs()).map(peer => peer.heartbeat)]
    const body = formatLookUpResponse(chooseAddresses(instances, lookUp, { minAddresses: options.hasHomeRegions() ? 1 : minAddresses }), ttlMs)
    response.writeHead(200, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body) }).end(body)
  })
}

/**
 * Chooses the addresses for a look-up: the instances of the caller's region, with the nearest first.
 *
 * @param instances The instances that live, this one first
 * @param lookUp Where the caller is
 * @param options Fewest addresses for which instances of other regions are named
 * @returns `host:port` of the instances; this one's where no other is ready
 */
export function chooseAddresses (instances: PeerHeartbeat[], lookUp: LookUp, options: { minAddresses: number }): string[] {
  const ready = instances.filter(instance => instance.isReady)
  const getDistance = (instance: PeerHeartbeat): number => instance.failureDomain === lookUp.failureDomain ? 0 : instance.region === lookUp.region ? 1 : 2
  const ranked = ready.toSorted((a, b) => getDistance(a) - getDistance(b))
  const sameRegion = ranked.filter(instance => getDistance(instance) < 2)
  const chosen = sameRegion.length >= options.minAddresses ? sameRegion : ranked
  const listed = chosen.length > 0 ? chosen : instances.slice(0, 1)
  return listed.slice(0, maxLookUpAddresses).map(instance => instance.callers)
}

/**
 * Creates the listener for readiness checks, not yet listening.
 *
 * @param isReady Tells whether the instance takes requests
 * @returns The server
 */
export function createReadinessListener (isReady: () => boolean): Server {
  return createServer((message, response) => {
    const isReadinessPath = message.url!.split('?', 1)[0] === readinessPath
    response.writeHead(isReadinessPath ? isReady() ? 200 : 503 : 404, { 'Content-Length': 0 }).end()
  })
}
