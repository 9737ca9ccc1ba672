/**
 * Communication with the other instances: heartbeats over UDP, and HTTP calls that fetch newer table rows from a peer.
 *
 * @module
 */
import type { Socket } from 'node:dgram'
import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http'
import type { CrashReport, RecentTargetReports, SocketAddress } from '@bilberryworks/steering'
import type { ReadTurns } from '@bilberryworks/callers'
import type { ListenerContext } from '../listen_on.ts'
import type { CallbackGuard } from './callback_guard.ts'
import type { EntryLog } from './entry_log.ts'
import type { EntryState } from './entry_state.ts'
import type { RelayOrigin } from './relay_message.ts'
import type { FetchPeerStateOptions } from './peer_state.ts'
import type { KnownPeer, PeerHeartbeat, HeartbeatUpdate, PeerView } from './peer_view.ts'
import { createSocket } from 'node:dgram'
import { createServer } from 'node:http'
import { applyGracefulClose, countOpenResponses, dropBody } from '@bilberryworks/callers'
import { createCatchUp } from '@bilberryworks/steering'
import { listenOn, openSocket } from '../listen_on.ts'
import { GuardedCallback } from './callback_guard.ts'
import { maxHeaderFields, requestServerOptions } from './caller_listener.ts'
import { EntryListener } from './entry_listener.ts'
import { createKeptRowsFetch } from './kept_rows.ts'
import { ReplicatedTable } from './replicated_table.ts'
import { PeerTraffic } from './entry_metrics.ts'
import { createStateHandler, fetchPeerState } from './peer_state.ts'
import { parseRelayOrigin, relayField, relayVersionField } from './relay_message.ts'
import { formatUpdate, parseHeartbeat, parseReported, parseUpdate, UpdateResult } from './peer_view.ts'

/** Options of {@linkcode startPeerLink}. */
export interface StartPeerLinkOptions {
  /** Runs callbacks. */
  guard: CallbackGuard
  /** Returns the current heartbeat of this instance. */
  getHeartbeat: () => PeerHeartbeat
  /** Turns in which connections with calls for rows are read. */
  turns: ReadTurns
  /** View of the peers. */
  view: PeerView
  /** Replicated tables. */
  state: EntryState
  /** Addresses of peers to call at startup; some may be stale, and those with this instance's host are skipped. */
  seeds: SocketAddress[]
  /** Time between two heartbeats to a peer in the same region, in milliseconds. */
  intervalMs: number
  /** Time between two heartbeats to a peer in another region, as a multiple of `intervalMs`. */
  remoteIntervals: number
  /** Time for which this instance must have been behind a peer before it fetches from it while the store responds, in milliseconds. */
  storeDelayMs: number
  /** Returns the current heartbeat for peers that may have started a short time ago. */
  getIntroduction: () => PeerHeartbeat
  /** Handles the reports of a peer on requests under which targets ended. */
  handleCrashReports: (peer: string, reports: CrashReport[]) => void
  /** Handles the reports of targets in each heartbeat of a peer; `undefined` if it has none. */
  handleTargetReports: (peer: string, reports: RecentTargetReports | undefined) => void
  /** Counts bytes sent to peers. */
  countBytes: (traffic: PeerTraffic, bytes: number) => void
  /** Handles a request that another instance relays. */
  handleRelayed: (message: IncomingMessage, response: ServerResponse, origin: RelayOrigin) => void
  /** What all listeners share. */
  listeners: ListenerContext
  /** Structured log. */
  log: EntryLog
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
  /** Returns a random number in [0, 1). */
  getRandom: () => number
}

/** Link to the other instances. */
export interface PeerLink extends AsyncDisposable {
  /** Opens the listener for calls of peers, and the port for heartbeats, without which the link goes on until it can be opened. Throws a `ListenError` if the listener can't be opened. */
  open (): Promise<void>
  /** Sends a heartbeat with this instance's addresses to all known peers immediately. */
  announce (): void
  /** Sends what has changed to all known peers, also in other regions, without waiting for the next heartbeat. */
  sendNow (): void
  /** Fetches the known instances and newer table rows from the seeds; logs a seed that does not respond. */
  fetchFromSeeds (): Promise<void>
  /** Returns the number of requests of other instances whose responses have not ended. */
  countOpen (): number
  /** Fetches newer table rows from a peer if this instance is behind; to be called at short intervals. */
  catchUp (): void
}

/** A heartbeat as sent, which may ask the receiver for its own. */
interface HeartbeatMessage extends PeerHeartbeat {
  /** Whether the sender does not know the addresses of the receiver. */
  asksForHeartbeat?: boolean
}

/**
 * Starts the link to the other instances; it sends heartbeats from when the port for them is open.
 *
 * @param options State, peers and times
 * @returns The link, which is not listening yet; dispose it to stop
 */
export function startPeerLink (options: StartPeerLinkOptions): PeerLink {
  const { guard, view, state, log, getNowMs } = options
  const ownHeartbeat = options.getHeartbeat()
  const socket = createSocket('udp4')
  const catchUp = createCatchUp({ storeDelayMs: options.storeDelayMs, getRandom: options.getRandom })
  let round = 0
  let isOpen = false

  function sendText (text: string, to: SocketAddress): void {
    // Node.js would bind the socket to a random port; and a change that is found while the instance stops may be reported after the link is closed.
    if (!isOpen) return
    options.countBytes(PeerTraffic.Heartbeat, text.length)
    socket.send(text, to.port, to.host, reportSendError)
  }

  /** Only logs the error: an unsent datagram has the same effect as a lost one, and the failure detection of the peers covers both. */
  function reportSendError (error: Error | null): void {
    if (error !== null) log.warn('heartbeat_unsent', { detail: error.message })
  }

  function sendToAll (text: string): void {
    for (const { heartbeat } of view.listKnown()) sendText(text, heartbeat.heartbeats)
  }

  function handleReports ({ instance, targetReports, crashReports }: HeartbeatUpdate): void {
    options.handleTargetReports(instance, targetReports)
    if (crashReports !== undefined) options.handleCrashReports(instance, crashReports)
  }

  function sendUpdates (): void {
    const text = formatUpdate(options.getHeartbeat())
    const isRemoteRound = round++ % options.remoteIntervals === 0
    for (const { heartbeat } of view.listKnown()) if (isRemoteRound || heartbeat.region === ownHeartbeat.region) sendText(text, heartbeat.heartbeats)
  }

  function recordLive (instance: string, startedAtMs: number): void {
    log.info('peer_live', { peer: instance, startedAtMs })
  }

  function handleHeartbeat (heartbeat: HeartbeatMessage): void {
    const hasBecomeLive = view.recordHeartbeat(heartbeat, getNowMs())
    if (hasBecomeLive) recordLive(heartbeat.instance, heartbeat.startedAtMs)
    if (view.isKnown(heartbeat.instance)) handleReports(heartbeat)
    // Sent immediately, so that the peer does not have to wait for the next heartbeat to see that this instance is live.
    if (hasBecomeLive || heartbeat.asksForHeartbeat === true) sendText(JSON.stringify(options.getIntroduction()), heartbeat.heartbeats)
  }

  function handleUpdate (update: HeartbeatUpdate, from: SocketAddress): void {
    const result = view.recordUpdate(update, getNowMs())
    if (result === UpdateResult.BecameLive) recordLive(update.instance, update.startedAtMs)
    if (view.isKnown(update.instance)) handleReports(update)
    if (result !== UpdateResult.Unknown) return
    const message: HeartbeatMessage = { ...options.getIntroduction(), asksForHeartbeat: true }
    sendText(JSON.stringify(message), from)
  }

  /** Fetches the newer rows of a peer, or all of them, and merges them. */
  async function readState (address: SocketAddress, { withInstances = false, withAllRows = false }: Partial<FetchPeerStateOptions>): Promise<void> {
    const peerState = await fetchPeerState(address, { state, withInstances, withAllRows })
    for (const heartbeat of parseReported(peerState.instances)) view.addReported(heartbeat, getNowMs())
    if (withInstances) view.markComplete()
    for (const [table, update] of Object.entries(peerState.tables)) {
      log.info('table_from_peer', { table, from: `${address.host}:${address.port}`, asOf: update.asOf, isSnapshot: update.isSnapshot, changes: update.changes.length })
      state.applyUpdate(table as ReplicatedTable, update)
    }
  }

  function isAhead ({ heartbeat }: KnownPeer): boolean {
    return Object.values(ReplicatedTable).some(table => (heartbeat.versions[table] ?? 0) > state.getTable(table).getAsOf())
  }

  const computeDistanceTo = (peer: PeerHeartbeat): number => computeDistance(ownHeartbeat, peer)
  const reportCallFailure = (peer: string) => (error: Error): void => log.warn('peer_call_failed', { peer, detail: error.message })

  const fetchKeptRows = createKeptRowsFetch({
    state,
    listPeers: () => view.listLive(getNowMs()).map(peer => peer.heartbeat).sort((a, b) => computeDistanceTo(a) - computeDistanceTo(b)),
    fetchRows: ({ instance, peers }) => readState(peers, { withAllRows: true }).catch(reportCallFailure(instance))
  })

  function fetchFromPeer (): void {
    const nowMs = getNowMs()
    const ahead = view.listLive(nowMs).filter(isAhead).map(peer => peer.heartbeat)
    const peersAhead = ahead.map(heartbeat => ({ instance: heartbeat.instance, distance: computeDistanceTo(heartbeat) }))
    const ownVersion = Object.values(ReplicatedTable).reduce((sum, table) => sum + state.getTable(table).getVersion(), 0)
    const chosen = catchUp.choosePeer({ peersAhead, ownVersion, isStoreReachable: state.isStoreReachable(), nowMs })
    if (chosen === undefined) return
    const { peers } = ahead.find(heartbeat => heartbeat.instance === chosen)!
    readState(peers, {}).then(() => catchUp.recordEnd(true, getNowMs()), (error: Error) => {
      reportCallFailure(chosen)(error)
      catchUp.recordEnd(false, getNowMs())
    })
  }

  function handleDatagram (bytes: Buffer, { address, port }: { address: string, port: number }): void {
    const text = bytes.toString('utf8')
    const update = parseUpdate(text)
    const heartbeat = update === undefined ? parseHeartbeat(text) : undefined
    if (update !== undefined) handleUpdate(update, { host: address, port })
    else if (heartbeat !== undefined) handleHeartbeat(heartbeat)
    else log.warn('heartbeat_undecodable', { bytes: bytes.length })
  }

  socket.on('message', (bytes, from) => guard.run(GuardedCallback.Datagram, () => handleDatagram(bytes, from)))
  socket.on('listening', () => {
    isOpen = true
    sendToAll(JSON.stringify(options.getIntroduction()))
  })
  const handleStateCall = createStateHandler({
    state,
    listInstances: () => [options.getHeartbeat(), ...view.listLive(getNowMs()).map(peer => peer.heartbeat)],
    countBytes: bytes => options.countBytes(PeerTraffic.State, bytes)
  })
  const server = createServer(requestServerOptions, createPeerHandler({ guard, turns: options.turns, handleRelayed: options.handleRelayed, handleStateCall, log }))
  server.maxHeadersCount = maxHeaderFields
  const countOpenPeers = countOpenResponses(server)
  const countLingering = applyGracefulClose(server)
  const timer = setInterval(() => guard.run(GuardedCallback.Task, sendUpdates), options.intervalMs)

  return {
    open: () => openListeners({ socket, server, heartbeat: ownHeartbeat, listeners: options.listeners }),
    announce: () => sendToAll(JSON.stringify(options.getIntroduction())),
    sendNow: () => sendToAll(formatUpdate(options.getHeartbeat())),
    catchUp () {
      fetchFromPeer()
      fetchKeptRows()
    },
    countOpen: () => countOpenPeers() + countLingering(),
    async fetchFromSeeds () {
      await Promise.all(options.seeds.filter(seed => seed.host !== ownHeartbeat.peers.host).map(seed => readState(seed, { withInstances: true, withAllRows: true }).catch(error => log.info('seed_silent', { seed: `${seed.host}:${seed.port}`, detail: (error as Error).message }))))
    },
    async [Symbol.asyncDispose] () {
      isOpen = false
      clearInterval(timer)
      socket.close()
      server.closeAllConnections()
      server.close()
    }
  }
}

/** Opens the port for heartbeats and the listener for calls of peers. */
async function openListeners ({ socket, server, heartbeat, listeners }: { socket: Socket, server: Server, heartbeat: PeerHeartbeat, listeners: ListenerContext }): Promise<void> {
  await Promise.all([
    openSocket(socket, { ...listeners, name: EntryListener.Heartbeats, address: heartbeat.heartbeats, isNeeded: false }),
    listenOn(server, { ...listeners, name: EntryListener.Peers, address: heartbeat.peers })
  ])
}

function computeDistance (own: PeerHeartbeat, { failureDomain, region }: PeerHeartbeat): number {
  if (failureDomain === own.failureDomain) return 0
  return region === own.region ? 1 : 2
}

/** Creates the handler of the requests of peers: relayed ones, and calls for rows. */
function createPeerHandler ({ guard, turns, handleRelayed, handleStateCall, log }: Pick<StartPeerLinkOptions, 'guard' | 'turns' | 'handleRelayed' | 'log'> & { handleStateCall: RequestListener }): RequestListener {
  function handleCall (message: IncomingMessage, response: ServerResponse): void {
    const relay = message.headers[relayField]
    const origin = parseRelayOrigin(typeof relay === 'string' ? relay : undefined, String(message.headers[relayVersionField] ?? ''))
    if (origin !== undefined) return handleRelayed(message, response, origin)
    dropBody(message, response, turns)
    if (relay === undefined) handleStateCall(message, response)
    else {
      log.warn('relayed_request_invalid', { from: message.socket.remoteAddress, field: String(relay) })
      response.writeHead(400, { 'Content-Length': 0 }).end()
    }
  }

  return (message, response) => guard.run(GuardedCallback.Call, () => handleCall(message, response), () => response.destroy())
}
