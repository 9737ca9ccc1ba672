/**
 * The HTTP call by which an instance fetches from a peer what it lacks of the replicated tables.
 *
 * @module
 */
import type { RequestListener } from 'node:http'
import type { SocketAddress } from '@bilberryworks/steering'
import type { EntryState } from './entry_state.ts'
import type { PeerHeartbeat } from './peer_view.ts'
import type { TableUpdate } from './table_replica.ts'
import { parseBoundedJson } from '@bilberryworks/steering'
import { exchangeHttp } from '@bilberryworks/users-platform'
import { ReplicatedTable } from './replicated_table.ts'

/** State of an instance, sent in response to a call of a peer. */
export interface PeerState {
  /** Heartbeats of the instance itself and of its live peers; empty unless the call asks for them. */
  instances: PeerHeartbeat[]
  /** What the caller lacks, for each table of which the instance has a later state. */
  tables: Partial<Record<ReplicatedTable, TableUpdate>>
}

/** Options of {@linkcode fetchPeerState}. */
export interface FetchPeerStateOptions {
  /** Replicated tables of the caller. */
  state: EntryState
  /** Whether to fetch the heartbeats of the live instances too. */
  withInstances: boolean
  /** Whether to fetch all rows instead of later changes only: a peer may know later states of rows than a store that was restored from a copy. */
  withAllRows: boolean
}

/** Options of {@linkcode createStateHandler}. */
export interface CreateStateHandlerOptions {
  /** Replicated tables. */
  state: EntryState
  /** Lists the heartbeats of the live instances, this one included. */
  listInstances: () => PeerHeartbeat[]
  /** Counts the bytes of a response. */
  countBytes: (bytes: number) => void
}

const statePath = '/v1/state'
const instancesParameter = 'instances'
/** Time-out of a call, in milliseconds: a round trip between regions and the transfer of all rows of a large deployment over a busy link. */
const callTimeoutMs = 2_500
/** Maximum size of a response, in bytes: all rows of both tables at their largest size. */
const maxResponseBytes = 8_388_608
/** Maximum number of values in a response: those of the rows of both tables, and of the lists of all instances. */
const maxResponseValues = 524_288
/** Size from which a response counts as large, in bytes: far above a few changed rows. */
const largeResponseBytes = 16_384
/** Maximum number of large responses that are sent at the same time; more callers than that find the tables sooner at another peer. */
const maxLargeResponses = 2

/**
 * Fetches from a peer what this instance lacks.
 *
 * @param address Address of the peer
 * @param options Replicated tables, and whether to fetch the live instances
 * @returns The state of the peer
 * @throws {Error} If the call fails, the peer refuses it, or the response is invalid
 */
export async function fetchPeerState (address: SocketAddress, { state, withInstances, withAllRows }: FetchPeerStateOptions): Promise<PeerState> {
  const query = new URLSearchParams()
  for (const table of Object.values(ReplicatedTable)) query.set(table, String(withAllRows ? 0 : state.getTable(table).getAsOf()))
  if (withInstances) query.set(instancesParameter, '1')
  const { status, body } = await exchangeHttp({ address, method: 'GET', path: `${statePath}?${query}`, timeoutMs: callTimeoutMs, maxResponseBytes })
  if (status !== 200) throw new Error(`GET ${statePath} returned status ${status}`)
  return parseBoundedJson(body, maxResponseValues) as PeerState
}

/**
 * Creates the handler of peers' calls.
 *
 * @param options Tables and live instances
 * @returns A handler for `node:http`
 */
export function createStateHandler (options: CreateStateHandlerOptions): RequestListener {
  let largeResponses = 0

  function collectState (query: URLSearchParams): PeerState {
    const peerState: PeerState = { instances: query.has(instancesParameter) ? options.listInstances() : [], tables: {} }
    for (const table of Object.values(ReplicatedTable)) {
      const replica = options.state.getTable(table)
      const asOf = Number(query.get(table) ?? 0)
      if (replica.getAsOf() > asOf) peerState.tables[table] = replica.listSince(asOf)
    }
    return peerState
  }

  return (message, response) => {
    const [path, query = ''] = message.url!.split('?', 2)
    if (path !== statePath) {
      response.writeHead(404).end()
      return
    }
    const body = JSON.stringify(collectState(new URLSearchParams(query)))
    const bytes = Buffer.byteLength(body)
    if (bytes >= largeResponseBytes) {
      if (largeResponses >= maxLargeResponses) {
        response.writeHead(503, { 'Content-Length': 0 }).end()
        return
      }
      largeResponses++
      response.once('close', () => { largeResponses-- })
    }
    options.countBytes(bytes)
    response.writeHead(200, { 'Content-Type': 'application/json', 'Content-Length': bytes }).end(body)
  }
}
