/**
 * A TCP relay that gives loopback connections the latency and the link capacity of a deployment.
 *
 * The source address of a connection tells where it comes from, and is kept on the way onwards,
 * so that the destination sees the same peer as without the relay.
 *
 * @module
 */
import type { AddressInfo, Server, Socket } from 'node:net'
import type { Place } from './places.ts'
import { connect, createServer } from 'node:net'
import { listen, formatServerAddress } from './listeners.ts'
import { createDelayedStream } from './delayed_stream.ts'
import { locateSource } from './places.ts'

const bitsPerByte = 8

/** Latencies and capacity that a relay adds. */
export interface LinkProfile {
  /** Regions in the order of their number in loopback addresses. */
  regions: string[]
  /** One-way latency between failure domains of a region, in milliseconds. */
  domainLatencyMs: number
  /** One-way latency between regions, in milliseconds. */
  regionLatencyMs: number
  /** One-way latency to clients, in milliseconds. */
  clientLatencyMs: number
  /** Capacity between two regions, each way, in bits a second. */
  linkBitsPerSecond: number
}

/** One listener of a relay. */
export interface RelayRoute extends AsyncDisposable {
  /** `host:port` that it listens on. */
  address: string
  /** Sets where connections go; before that they are closed. Opens the listener again where it is closed. */
  setDestination (address: string): void
  /** Resets all connections and refuses new ones until a destination is set. */
  close (): void
}

/** A running relay. */
export interface LinkRelay extends AsyncDisposable {
  /** Opens a listener in front of something at a place. */
  openRoute (place: Place): Promise<RelayRoute>
  /** Cuts failure domains off from everything outside of them but callers; in place of those cut off before. */
  isolate (failureDomains: string[]): void
  /** Returns the bytes carried so far, by `from>to`. */
  getLinkBytes (): Record<string, number>
}

/**
 * Creates a relay without listeners.
 *
 * @param profile Latencies and capacity
 * @returns The relay; dispose it to close its listeners and connections
 */
export function createLinkRelay (profile: LinkProfile): LinkRelay {
  const linkBytes: Record<string, number> = {}
  const linkFreeAtMs: Record<string, number> = {}
  const routes = new Set<RelayRoute>()
  let isolated: string[] = []

  function isCut (source: Place | undefined, place: Place): boolean {
    if (source === undefined || source.failureDomain === place.failureDomain) return false
    return isolated.includes(source.failureDomain) || isolated.includes(place.failureDomain)
  }

  /** Charges bytes to a link and returns when the last of them has left it. */
  function chargeLink (from: Place | undefined, to: Place | undefined, bytes: number): number {
    const nowMs = performance.now()
    if (from === undefined || to === undefined || from.region === to.region) return nowMs
    const link = `${from.region}>${to.region}`
    linkBytes[link] = (linkBytes[link] ?? 0) + bytes
    linkFreeAtMs[link] = Math.max(nowMs, linkFreeAtMs[link] ?? 0) + bytes * bitsPerByte * 1000 / profile.linkBitsPerSecond
    return linkFreeAtMs[link]
  }

  function forwardConnection (near: Socket, place: Place, options: { destination: string, onRefused: () => void }): void {
    const source = locateSource(near.remoteAddress ?? '', profile.regions)
    const [forthMs, backMs] = computeLatencies(profile, source, place)
    const [host = '', port = ''] = options.destination.split(':')
    // A connection over a way that is cut is accepted by the relay alone, and nothing ever comes back.
    if (isCut(source, place)) return
    // TCP's handshake would take one round trip before the first byte can be sent.
    const readyAtMs = performance.now() + forthMs + backMs
    const far = connect({ host, port: Number(port), localAddress: near.remoteAddress ?? '', allowHalfOpen: true, noDelay: true })
    far.once('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'ECONNREFUSED') options.onRefused()
    })
    near.setNoDelay(true)
    createDelayedStream(near, far, { delayMs: forthMs, readyAtMs, charge: bytes => chargeLink(source, place, bytes), isCut: () => isCut(source, place) })
    createDelayedStream(far, near, { delayMs: backMs, readyAtMs: 0, charge: bytes => chargeLink(place, source, bytes), isCut: () => isCut(source, place) })
  }

  return {
    async openRoute (place) {
      const sockets = new Set<Socket>()
      let destination = ''
      const server: Server = createServer({ allowHalfOpen: true }, near => {
        sockets.add(near)
        near.once('close', () => sockets.delete(near))
        near.on('error', () => {})
        if (destination === '') near.resetAndDestroy()
        // A destination that is gone must refuse connections, as it would without the relay.
        else forwardConnection(near, place, { destination, onRefused: () => server.close() })
      })
      await listen(server, place.host)
      const { port } = server.address() as AddressInfo
      const route: RelayRoute = {
        address: formatServerAddress(server),
        setDestination (address) {
          destination = address
          if (!server.listening) server.listen(port, place.host)
          routes.add(route)
        },
        close () {
          if (server.listening) server.close()
          sockets.forEach(socket => socket.resetAndDestroy())
        },
        async [Symbol.asyncDispose] () {
          routes.delete(route)
          const closed = new Promise<void>(resolve => server.close(() => resolve()))
          route.close()
          await closed
        }
      }
      routes.add(route)
      return route
    },
    isolate (failureDomains) {
      isolated = failureDomains
    },
    getLinkBytes: () => ({ ...linkBytes }),
    async [Symbol.asyncDispose] () {
      await Promise.all([...routes].map(route => route[Symbol.asyncDispose]()))
    }
  }
}

/**
 * Computes the latency of each direction.
 *
 * Timers count whole milliseconds: a half is carried by the way forth, so that the round trip is exact.
 */
function computeLatencies (profile: LinkProfile, source: Place | undefined, place: Place): [number, number] {
  const oneWayMs = computeOneWayMs(profile, source, place)
  const roundTripMs = Math.round(2 * oneWayMs)
  const forthMs = Math.ceil(roundTripMs / 2)
  return [forthMs, roundTripMs - forthMs]
}

function computeOneWayMs (profile: LinkProfile, source: Place | undefined, place: Place): number {
  if (source === undefined) return profile.clientLatencyMs
  if (source.region !== place.region) return profile.regionLatencyMs
  return source.failureDomain === place.failureDomain ? 0 : profile.domainLatencyMs
}
