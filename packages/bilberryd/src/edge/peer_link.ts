/**
 * The link to the other instances: heartbeats by datagram, and calls for what they know and this one does not.
 *
 * @module
 */
import type { Socket } from 'node:dgram'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { SocketAddress } from '@bilberryworks/steering'
import type { EntryLog } from './entry_log.ts'
import type { EntryState } from './entry_state.ts'
import type { PeerHeartbeat, PeerView } from './peer_view.ts'
import type { KnownRow } from './row_tables.ts'
import { createSocket } from 'node:dgram'
import { createServer } from 'node:http'
import { exchangeHttp } from '@bilberryworks/users-platform'
import { FollowedTable } from './entry_state.ts'
import { parseHeartbeat } from './peer_view.ts'

/** What an instance passes on to a peer that asks. */
interface PeerState {
  /** The instance itself and those that it hears. */
  instances: PeerHeartbeat[]
  /** Tables of which it knows later changes than the peer. */
  tables: Partial<Record<FollowedTable, { version: number, rows: KnownRow[] }>>
}

/** Options of {@linkcode startPeerLink}. */
export interface StartPeerLinkOptions {
  /** What the instance says of itself now. */
  getHeartbeat: () => PeerHeartbeat
  /** The peers. */
  view: PeerView
  /** What the instance believes. */
  state: EntryState
  /** Addresses of peers that may answer at the start. */
  seeds: SocketAddress[]
  /** Time between two heartbeats, in milliseconds. */
  intervalMs: number
  /** Log of what is believed. */
  log: EntryLog
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** The link. */
export interface PeerLink extends AsyncDisposable {
  /** Sends a heartbeat to all known peers at once. */
  announce (): void
  /** Asks the seeds for what they know. */
  askSeeds (): Promise<void>
}

const statePath = '/v1/state'
/** Time after which a peer's answer is given up, in milliseconds: more than the way between regions and a page of rows. */
const callTimeoutMs = 1_000
/** Time for which the store may still bring by itself what a peer is ahead by, in milliseconds: the spread of its answers to the instances. */
const pullDelayMs = 400
/** Longest answer that is read, in bytes: all rows of both tables at the largest size. */
const maxResponseBytes = 8_388_608

/**
 * Starts the link.
 *
 * @param options What is said and heard
 * @returns The link; dispose it to stop
 */
export async function startPeerLink (options: StartPeerLinkOptions): Promise<PeerLink> {
  const { view, state, log, getNowMs } = options
  const own = options.getHeartbeat()
  const socket = createSocket('udp4')
  const pendingPulls = new Set<string>()
  const timers = new Set<NodeJS.Timeout>()

  function announce (): void {
    const bytes = Buffer.from(JSON.stringify(options.getHeartbeat()))
    for (const { heartbeat } of view.listKnown()) socket.send(bytes, heartbeat.heartbeats.port, heartbeat.heartbeats.host, reportSendError)
  }

  /** A datagram that can't be sent is like one that is lost: the peer's silence tells. */
  function reportSendError (error: Error | null): void {
    if (error !== null) log.warn('heartbeat_unsent', { detail: error.message })
  }

  function isBehind (heartbeat: PeerHeartbeat): boolean {
    return Object.values(FollowedTable).some(table => (heartbeat.versions[table] ?? 0) > state.getTable(table).getVersion())
  }

  function handleHeartbeat (heartbeat: PeerHeartbeat): void {
    if (view.recordHeartbeat(heartbeat, getNowMs())) {
      log.info('peer_live', { peer: heartbeat.instance, startedAtMs: heartbeat.startedAtMs })
      // It learns at once that this instance lives.
      socket.send(JSON.stringify(options.getHeartbeat()), heartbeat.heartbeats.port, heartbeat.heartbeats.host, reportSendError)
    }
    if (!isBehind(heartbeat) || pendingPulls.has(heartbeat.instance)) return
    pendingPulls.add(heartbeat.instance)
    const timer = setTimeout(() => {
      timers.delete(timer)
      pendingPulls.delete(heartbeat.instance)
      if (isBehind(heartbeat)) readState(heartbeat.peers).catch(error => log.warn('peer_call_failed', { peer: heartbeat.instance, detail: (error as Error).message }))
    }, pullDelayMs)
    timers.add(timer)
  }

  async function readState (address: SocketAddress): Promise<void> {
    const query = Object.values(FollowedTable).map(table => `${table}=${state.getTable(table).getVersion()}`).join('&')
    const { body } = await exchangeHttp({ place: address, method: 'GET', path: `${statePath}?${query}`, timeoutMs: callTimeoutMs, maxAnswerBytes: maxResponseBytes })
    const peerState = JSON.parse(body.toString('utf8')) as PeerState
    for (const heartbeat of peerState.instances) view.addReported(heartbeat, getNowMs())
    for (const [table, contents] of Object.entries(peerState.tables)) {
      log.info('table_from_peer', { table, from: `${address.host}:${address.port}`, version: contents.version })
      state.applyRows(table as FollowedTable, contents.rows, contents.version)
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
    for (const table of Object.values(FollowedTable)) {
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
  await openSocket(socket, own.heartbeats)
  const server = createServer(handleStateRequest)
  await listenOn(server, own.peers)
  const timer = setInterval(announce, options.intervalMs)

  return {
    announce,
    async askSeeds () {
      await Promise.all(options.seeds.filter(seed => seed.host !== own.peers.host).map(seed => readState(seed).catch(error => log.info('seed_silent', { seed: `${seed.host}:${seed.port}`, detail: (error as Error).message }))))
    },
    async [Symbol.asyncDispose] () {
      clearInterval(timer)
      for (const pending of timers) clearTimeout(pending)
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
 * Opens a server's listener.
 *
 * @param server The server
 * @param address Where to listen
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
