/**
 * A TCP relay that adds the latencies and link capacities of a deployment to loopback connections.
 *
 * The source address of a connection identifies the location it comes from. The relay connects to the destination from
 * the same source address, so that the destination sees the same peer address as without the relay.
 *
 * @module
 */
import type { AddressInfo, Server, Socket } from 'node:net'
import type { NetworkLocation } from './loopback_addresses.ts'
import { connect, createServer } from 'node:net'
import { listen, formatServerAddress } from './listeners.ts'
import { createDelayedStream } from './delayed_stream.ts'
import { locateSource } from './loopback_addresses.ts'

const bitsPerByte = 8

/** Latencies and link capacity that a relay simulates. */
export interface LinkProfile {
  /** Regions in the order of their numbers in loopback addresses. */
  regions: string[]
  /** One-way latency between the failure domains of a region, in milliseconds. */
  domainLatencyMs: number
  /** One-way latency between regions, in milliseconds. */
  regionLatencyMs: number
  /** One-way latency to clients, in milliseconds. */
  clientLatencyMs: number
  /** Capacity of the link between two regions, in each direction, in bits per second. */
  linkBitsPerSecond: number
}

/** A listener of a relay, with the destination that it forwards connections to. */
export interface RelayRoute extends AsyncDisposable {
  /** `host:port` that the route listens on. */
  address: string
  /** Sets the destination `host:port`; connections before that are reset. Opens the listener again if it is closed. */
  setDestination (address: string): void
  /** Resets all connections and refuses new ones until a destination is set. */
  close (): void
}

/** A running relay. */
export interface LinkRelay extends AsyncDisposable {
  /** Opens a listener for a destination at a location. */
  openRoute (location: NetworkLocation): Promise<RelayRoute>
  /** Separates failure domains from all other locations except callers. Replaces the list of the previous call. */
  isolate (failureDomains: string[]): void
  /** Returns the number of bytes forwarded between regions so far, by `from>to`. */
  getLinkBytes (): Record<string, number>
}

/**
 * Creates a relay without listeners.
 *
 * @param profile Latencies and link capacity
 * @returns The relay; dispose it to close its listeners and connections
 */
export function createLinkRelay (profile: LinkProfile): LinkRelay {
  const linkBytes: Record<string, number> = {}
  const linkFreeAtMs: Record<string, number> = {}
  const routes = new Set<RelayRoute>()
  let isolatedDomains: string[] = []

  function isPartitioned (source: NetworkLocation | undefined, destination: NetworkLocation): boolean {
    if (source === undefined || source.failureDomain === destination.failureDomain) return false
    return isolatedDomains.includes(source.failureDomain) || isolatedDomains.includes(destination.failureDomain)
  }

  /** Charges bytes to a link and returns the time at which the last of them is transmitted. */
  function chargeLink (from: NetworkLocation | undefined, to: NetworkLocation | undefined, bytes: number): number {
    const nowMs = performance.now()
    if (from === undefined || to === undefined || from.region === to.region) return nowMs
    const link = `${from.region}>${to.region}`
    linkBytes[link] = (linkBytes[link] ?? 0) + bytes
    linkFreeAtMs[link] = Math.max(nowMs, linkFreeAtMs[link] ?? 0) + bytes * bitsPerByte * 1000 / profile.linkBitsPerSecond
    return linkFreeAtMs[link]
  }

  function forwardConnection (inbound: Socket, location: NetworkLocation, options: { destination: string, onRefused: () => void }): void {
    const source = locateSource(inbound.remoteAddress ?? '', profile.regions)
    const [forwardMs, returnMs] = computeLatencies(profile, source, location)
    const [host = '', port = ''] = options.destination.split(':')
    // During a partition the relay accepts the connection, but forwards nothing, so that the source gets no response.
    if (isPartitioned(source, location)) return
    // The TCP handshake with a remote destination would take one round trip before the first byte can be sent.
    const readyAtMs = performance.now() + forwardMs + returnMs
    const outbound = connect({ host, port: Number(port), localAddress: inbound.remoteAddress ?? '', allowHalfOpen: true, noDelay: true })
    outbound.once('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'ECONNREFUSED') options.onRefused()
    })
    inbound.setNoDelay(true)
    createDelayedStream(inbound, outbound, { delayMs: forwardMs, readyAtMs, charge: bytes => chargeLink(source, location, bytes), isPartitioned: () => isPartitioned(source, location) })
    createDelayedStream(outbound, inbound, { delayMs: returnMs, readyAtMs: 0, charge: bytes => chargeLink(location, source, bytes), isPartitioned: () => isPartitioned(source, location) })
  }

  return {
    async openRoute (location) {
      const sockets = new Set<Socket>()
      let destination = ''
      const server: Server = createServer({ allowHalfOpen: true }, inbound => {
        sockets.add(inbound)
        inbound.once('close', () => sockets.delete(inbound))
        inbound.on('error', () => {})
        if (destination === '') inbound.resetAndDestroy()
        // If the destination refuses a connection, the relay closes its listener, so that later connections are
        // refused as they would be without the relay.
        else forwardConnection(inbound, location, { destination, onRefused: () => server.close() })
      })
      await listen(server, location.host)
      const { port } = server.address() as AddressInfo
      const route: RelayRoute = {
        address: formatServerAddress(server),
        setDestination (address) {
          destination = address
          if (!server.listening) server.listen(port, location.host)
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
      isolatedDomains = failureDomains
    },
    getLinkBytes: () => ({ ...linkBytes }),
    async [Symbol.asyncDispose] () {
      await Promise.all([...routes].map(route => route[Symbol.asyncDispose]()))
    }
  }
}

/**
 * Computes the latency from the source to the destination and back, in milliseconds.
 *
 * Timers have a resolution of 1 ms. If the round trip is an odd number of milliseconds, the forward direction gets the
 * longer half, so that the round trip is exact.
 */
function computeLatencies (profile: LinkProfile, source: NetworkLocation | undefined, destination: NetworkLocation): [number, number] {
  const oneWayMs = computeOneWayMs(profile, source, destination)
  const roundTripMs = Math.round(2 * oneWayMs)
  const forwardMs = Math.ceil(roundTripMs / 2)
  return [forwardMs, roundTripMs - forwardMs]
}

function computeOneWayMs (profile: LinkProfile, source: NetworkLocation | undefined, destination: NetworkLocation): number {
  if (source === undefined) return profile.clientLatencyMs
  if (source.region !== destination.region) return profile.regionLatencyMs
  return source.failureDomain === destination.failureDomain ? 0 : profile.domainLatencyMs
}
