/**
 * Communication with the other instances: heartbeats over UDP, and HTTP calls that fetch newer table rows from a peer.
 *
 * @module
 */
import type { Socket } from 'node:dgram'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { SocketAddress } from '@bilberryworks/steering'
import type { EntryLog } from './entry_log.ts'
import type { EntryState } from './entry_state.ts'
import type { PeerHeartbeat, PeerView } from './peer_view.ts'
import type { VersionedRow } from './table_replica.ts'
import { createSocket } from 'node:dgram'
import { createServer } from 'node:http'
import { exchangeHttp } from '@bilberryworks/users-platform'
import { ReplicatedTable } from './entry_state.ts'
import { parseHeartbeat } from './peer_view.ts'

/** State of an instance, sent in response to a call of a peer. */
interface PeerState {
  /** Heartbeats of the instance itself and of its live peers. */
  instances: PeerHeartbeat[]
  /** Tables of which the instance has a later version than the peer. */
  tables: Partial<Record<ReplicatedTable, { version: number, rows: VersionedRow[] }>>
}

/** Options of {@linkcode startPeerLink}. */
export interface StartPeerLinkOptions {
  /** Returns the current heartbeat of this instance. */
  getHeartbeat: () => PeerHeartbeat
  /** View of the peers. */
  view: PeerView
  /** Replicated tables. */
  state: EntryState
  /** Addresses of peers to call at startup; some may be stale, and those with this instance's host are skipped. */
  seeds: SocketAddress[]
  /** Time between two heartbeats, in milliseconds. */
  intervalMs: number
  /** Structured log. */
  log: EntryLog
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Link to the other instances. */
export interface PeerLink extends AsyncDisposable {
  /** Sends a heartbeat to all known peers immediately. */
  announce (): void
  /** Fetches the known instances and newer table rows from the seeds; logs a seed that does not respond. */
  fetchFromSeeds (): Promise<void>
}

const statePath = '/v1/state'
/** Time-out of a call to a peer, in milliseconds: longer than a round trip between regions and the transfer of a page of rows. */
const callTimeoutMs = 1_000
/** Delay before newer rows are fetched from a peer, in milliseconds: the store usually delivers a change to all instances within this time. */
const pullDelayMs = 400
/** Maximum size of a peer's response, in bytes: all rows of both tables at their largest size. */
const maxResponseBytes = 8_388_608

/**
 * Starts sending heartbeats, and listening for heartbeats and calls from peers.
 *
 * @param options State, peers and times
 * @returns The link; dispose it to stop
 * @throws {Error} If an address can't be listened on
 */
export async function startPeerLink (options: StartPeerLinkOptions): Promise<PeerLink> {
  const { view, state, log, getNowMs } = options
  const ownHeartbeat = options.getHeartbeat()
  const socket = createSocket('udp4')
  const pendingPulls = new Set<string>()
  const pullTimers = new Set<NodeJS.Timeout>()

  function announce (): void {
    const bytes = Buffer.from(JSON.stringify(options.getHeartbeat()))
    for (const { heartbeat } of view.listKnown()) socket.send(bytes, heartbeat.heartbeats.port, heartbeat.heartbeats.host, reportSendError)
  }

  /** Only logs the error: an unsent datagram has the same effect as a lost one, and the failure detection of the peers covers both. */
  function reportSendError (error: Error | null): void {
    if (error !== null) log.warn('heartbeat_unsent', { detail: error.message })
  }

  function isBehind (heartbeat: PeerHeartbeat): boolean {
    return Object.values(ReplicatedTable).some(table => (heartbeat.versions[table] ?? 0) > state.getTable(table).getVersion())
  }

  function handleHeartbeat (heartbeat: PeerHeartbeat): void {
    if (view.recordHeartbeat(heartbeat, getNowMs())) {
      log.info('peer_live', { peer: heartbeat.instance, startedAtMs: heartbeat.startedAtMs })
      // Sent immediately, so that the peer does not have to wait for the next heartbeat to see that this instance is live.
      socket.send(JSON.stringify(options.getHeartbeat()), heartbeat.heartbeats.port, heartbeat.heartbeats.host, reportSendError)
    }
    if (!isBehind(heartbeat) || pendingPulls.has(heartbeat.instance)) return
    pendingPulls.add(heartbeat.instance)
    const timer = setTimeout(() => {
      pullTimers.delete(timer)
      pendingPulls.delete(heartbeat.instance)
      if (isBehind(heartbeat)) readState(heartbeat.peers).catch(error => log.warn('peer_call_failed', { peer: heartbeat.instance, detail: (error as Error).message }))
    }, pullDelayMs)
    pullTimers.add(timer)
  }

  async function readState (address: SocketAddress): Promise<void> {
    const query = Object.values(ReplicatedTable).map(table => `${table}=${state.getTable(table).getVersion()}`).join('&')
    const { body } = await exchangeHttp({ address, method: 'GET', path: `${statePath}?${query}`, timeoutMs: callTimeoutMs, maxResponseBytes })
    const peerState = JSON.parse(body.toString('utf8')) as PeerState
    for (const heartbeat of peerState.instances) view.addReported(heartbeat, getNowMs())
    for (const [table, contents] of Object.entries(peerState.tables)) {
      log.info('table_from_peer', { table, from: `${address.host}:${address.port}`, version: contents.version })
      state.applySnapshot(table as ReplicatedTable, contents.rows, contents.version)
    }
  }

  function handleStateRequest (message: IncomingMessage, response: ServerResponse): void {
    const [path, query = ''] = message.url!.split('?', 2)
    if (path !== statePath) {
      response.writeHead(404).end()
      return
    }
    const knownVersions = new URLSearchParams(query)
    const ownState: PeerState = { instances: [options.getHeartbeat(), ...view.listLive(getNowMs()).map(peer => peer.heartbeat)], tables: {} }
    for (const table of Object.values(ReplicatedTable)) {
      const rows = state.getTable(table)
      if (rows.getVersion() > Number(knownVersions.get(table) ?? 0)) ownState.tables[table] = { version: rows.getVersion(), rows: rows.list() }
    }
    const body = JSON.stringify(ownState)
    response.writeHead(200, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body) }).end(body)
  }

  socket.on('message', bytes => {
    const heartbeat = parseHeartbeat(bytes.toString('utf8'))
    if (heartbeat === undefined) log.warn('heartbeat_undecodable', { bytes: bytes.length })
    else handleHeartbeat(heartbeat)
  })
  socket.on('error', error => log.warn('heartbeat_socket', { detail: error.message }))
  await openSocket(socket, ownHeartbeat.heartbeats)
  const server = createServer(handleStateRequest)
  await listenOn(server, ownHeartbeat.peers)
  const timer = setInterval(announce, options.intervalMs)

  return {
    announce,
    async fetchFromSeeds () {
      await Promise.all(options.seeds.filter(seed => seed.host !== ownHeartbeat.peers.host).map(seed => readState(seed).catch(error => log.info('seed_silent', { seed: `${seed.host}:${seed.port}`, detail: (error as Error).message }))))
    },
    async [Symbol.asyncDispose] () {
      clearInterval(timer)
      for (const pending of pullTimers) clearTimeout(pending)
      socket.close()
      server.closeAllConnections()
      server.close()
    }
  }
}

function openSocket (socket: Socket, address: SocketAddress): Promise<void> {
  return new Promise((resolve, reject) => {
    socket.once('error', reject)
    socket.bind(address.port, address.host, () => {
      socket.off('error', reject)
      resolve()
    })
  })
}

/**
 * Starts to listen on an address.
 *
 * @param server Server that listens
 * @param address Address to listen on
 * @throws {Error} If the address can't be listened on
 */
export function listenOn (server: Server, address: SocketAddress): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(address.port, address.host, () => {
      server.off('error', reject)
      resolve()
    })
  })
}
