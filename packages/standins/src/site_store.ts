/**
 * In-memory fake of the platform's store, with fault injection for each address that it serves.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { StoreRows, StoreRowsCopy, StoreTransaction } from './store_rows.ts'
import { createServer } from 'node:http'
import { buffer, text } from 'node:stream/consumers'
import { setTimeout as wait } from 'node:timers/promises'
import { closeListener, listenOnLoopback } from './listeners.ts'
import { createStoreRows } from './store_rows.ts'

/** Fault of a store endpoint. */
export enum StoreFault {
  /** The endpoint works. */
  None = 'none',
  /** Each call is refused with status 503 and has no effect. */
  Busy = 'busy',
  /** Calls stay without a response and have no effect. */
  NoResponse = 'silent',
  /** As `NoResponse`, but without closing a connection: connections that are open during the fault stay silent after it. */
  Unreachable = 'unreachable',
  /** Connections are reset, and calls have no effect. */
  Reset = 'reset',
  /** Each call takes effect, but the connection is closed in place of a response. */
  ResponseLost = 'answer_lost'
}

/** Delays of a store endpoint, which can be combined with a {@linkcode StoreFault}. */
export interface EndpointFaults {
  /** Time added to each call, in milliseconds. */
  delayMs: number
  /** Number of transactions, from the next one on, that get no response and are applied only after `landAfterMs`. */
  heldWrites: number
  /** Time after which a held transaction is applied, in milliseconds. */
  landAfterMs: number
}

/** Traffic of a store endpoint since it was opened. */
export interface EndpointCounts {
  /** Calls received; unlike the other counts of calls, includes those that a fault ended before they took effect. */
  calls: number
  /** Calls that read rows, changes or objects. */
  reads: number
  /** Calls that write rows or objects. */
  writes: number
  /** Calls that read rows or changes of the table of targets. */
  targetReads: number
  /** Bytes received and sent over all connections, including header fields. */
  bytes: number
}

/** An address of the store, with faults and counts separate from those of the other addresses. */
export interface StoreEndpoint extends AsyncDisposable {
  /** Host and port that the endpoint listens on. */
  socketAddress: { host: string, port: number }
  /** Base URL of the endpoint: `http://host:port`. */
  url: string
  /** Delays, which may be changed at any time. */
  faults: EndpointFaults
  /** Sets the fault of calls; any fault but `None` and `Unreachable` also closes the open connections and thus ends waiting calls. */
  setFault (fault: StoreFault): void
  /** Returns the traffic so far. */
  countCalls (): EndpointCounts
}

/** A fake store, shared by all its endpoints. */
export interface SiteStore extends AsyncDisposable {
  /** Opens a further address on a free loopback port; `mapTargetAddress` replaces the `host:port` in each row of a target that is read there. */
  openEndpoint (mapTargetAddress?: (address: string) => Promise<string>): Promise<StoreEndpoint>
  /** Writes a row with a JSON value, as the operator or a target would. */
  writeRow (table: string, key: string, value: unknown): void
  /** Writes a row whose value need not be JSON. */
  writeBytes (table: string, key: string, bytes: Buffer): void
  /** Removes a row, if it exists. */
  removeRow (table: string, key: string): void
  /** Returns the parsed value of a row; `undefined` if the row does not exist. */
  getValue (table: string, key: string): unknown
  /** Copies the rows. */
  copyRows (): StoreRowsCopy
  /** Goes back to a copy of the rows, as a store that has lost its latest writes; its era rises by one. */
  restoreRows (copy: StoreRowsCopy): void
  /** Drops the change history, so that a read of the changes after an earlier version gets status 410. */
  dropHistory (): void
}

interface Reply {
  status: number
  body: object | Uint8Array
}

const historyGoneStatus = 410
const conflictStatus = 412
const targetTable = 'servers'

/**
 * Creates an empty store.
 *
 * @returns The store; dispose it to close its endpoints
 */
export function createSiteStore (): SiteStore {
  const rows = createStoreRows()
  const objects = new Map<string, Uint8Array>()
  const endpoints: StoreEndpoint[] = []
  let era = 0

  return {
    async openEndpoint (mapTargetAddress) {
      const handleMappedCall = async (message: IncomingMessage, url: URL): Promise<Reply & { era: number }> => {
        const reply = await handleCall({ rows, objects }, message, url)
        if (mapTargetAddress !== undefined && url.searchParams.get('table') === targetTable) await mapRows(reply.body as { rows?: TableRow[] }, mapTargetAddress)
        return { ...reply, era }
      }
      const endpoint = await openStoreEndpoint(handleMappedCall, transaction => { rows.apply(transaction) })
      endpoints.push(endpoint)
      return endpoint
    },
    writeRow (table, key, value) {
      this.writeBytes(table, key, Buffer.from(JSON.stringify(value)))
    },
    writeBytes (table, key, bytes) {
      rows.apply({ upserts: [{ table, part: '', key, value: bytes.toString('base64') }] })
    },
    removeRow (table, key) {
      rows.apply({ remove: [{ table, part: '', key }] })
    },
    getValue (table, key) {
      const row = rows.getRow({ table, part: '', key })
      return row === undefined ? undefined : JSON.parse(Buffer.from(row.value, 'base64').toString('utf8'))
    },
    dropHistory: rows.dropHistory,
    copyRows: rows.copyState,
    restoreRows (copy) {
      era++
      rows.restoreState(copy)
    },
    async [Symbol.asyncDispose] () {
      for (const endpoint of endpoints) await endpoint[Symbol.asyncDispose]()
    }
  }
}

type TableRow = { value: string, deleted?: true }

/** Replaces the addresses in rows of targets by those that lead there from one instance. */
async function mapRows (body: { rows?: TableRow[] }, mapTargetAddress: (address: string) => Promise<string>): Promise<void> {
  if (body.rows === undefined) return
  body.rows = await Promise.all(body.rows.map(async row => {
    if (row.deleted === true) return row
    const value = JSON.parse(Buffer.from(row.value, 'base64').toString('utf8')) as { address: string }
    const mapped = { ...value, address: await mapTargetAddress(value.address) }
    return { ...row, value: Buffer.from(JSON.stringify(mapped)).toString('base64') }
  }))
}

async function handleCall (stored: { rows: StoreRows, objects: Map<string, Uint8Array> }, message: IncomingMessage, url: URL): Promise<Reply> {
  const { rows, objects } = stored
  if (url.pathname === '/rows-get') return { status: 200, body: rows.read(url.searchParams) }
  if (url.pathname === '/rows-feed') {
    const feed = await rows.readFeed(url.searchParams)
    return feed === undefined ? { status: historyGoneStatus, body: {} } : { status: 200, body: feed }
  }
  if (url.pathname === '/rows-tx') {
    const { hasConflict, response } = rows.apply(JSON.parse(await text(message)) as StoreTransaction)
    return { status: hasConflict ? conflictStatus : 200, body: response }
  }
  const [, call, name = ''] = url.pathname.split('/').map(decodeURIComponent)
  if (call === 'blob-put') {
    objects.set(name, new Uint8Array(await buffer(message)))
    return { status: 200, body: {} }
  }
  const object = call === 'blob-get' ? objects.get(name) : undefined
  return object === undefined ? { status: 404, body: {} } : { status: 200, body: object }
}

async function openStoreEndpoint (handleRequest: (message: IncomingMessage, url: URL) => Promise<Reply & { era: number }>, applyTransaction: (transaction: StoreTransaction) => void): Promise<StoreEndpoint> {
  const faults: EndpointFaults = { delayMs: 0, heldWrites: 0, landAfterMs: 1_000 }
  const counts: EndpointCounts = { calls: 0, reads: 0, writes: 0, targetReads: 0, bytes: 0 }
  const connections = new Set<Socket>()
  const silentConnections = new WeakSet<Socket>()
  let fault = StoreFault.None

  function countCall (message: IncomingMessage, url: URL): void {
    counts.calls++
    if (message.method === 'GET') counts.reads++
    else counts.writes++
    if (url.searchParams.get('table') === targetTable) counts.targetReads++
  }

  /** Applies the current fault to a call and returns whether the call must not be executed or answered any further. */
  function applyFault (message: IncomingMessage, response: ServerResponse): boolean {
    if (silentConnections.has(message.socket)) return true
    if (fault === StoreFault.Busy) response.writeHead(503).end()
    else if (fault === StoreFault.Reset) message.socket.resetAndDestroy()
    return fault !== StoreFault.None && fault !== StoreFault.ResponseLost
  }

  async function reply (message: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(message.url!, 'http://store')
    if (faults.delayMs > 0) await wait(faults.delayMs)
    if (applyFault(message, response)) {
      counts.calls++
      return
    }
    countCall(message, url)
    if (url.pathname === '/rows-tx' && faults.heldWrites > 0) {
      faults.heldWrites--
      const transaction = JSON.parse(await text(message)) as StoreTransaction
      setTimeout(() => applyTransaction(transaction), faults.landAfterMs).unref()
      message.socket.destroy()
      return
    }
    const { status, body, era } = await handleRequest(message, url)
    if (fault === StoreFault.ResponseLost) message.socket.destroy()
    else if (!applyFault(message, response)) {
      const isObject = body instanceof Uint8Array
      response.writeHead(status, { 'Store-Era': era, 'Content-Type': isObject ? 'application/octet-stream' : 'application/json' }).end(isObject ? body : JSON.stringify(body))
    }
  }

  const server = createServer((message, response) => {
    reply(message, response).catch((error: Error) => response.destroy(error))
  })
  server.on('connection', socket => {
    connections.add(socket)
    if (fault === StoreFault.Unreachable) silentConnections.add(socket)
    socket.once('close', () => {
      connections.delete(socket)
      counts.bytes += socket.bytesRead + socket.bytesWritten
    })
  })
  const socketAddress = await listenOnLoopback(server)
  return {
    socketAddress,
    url: `http://${socketAddress.host}:${socketAddress.port}`,
    faults,
    setFault (next) {
      fault = next
      if (next === StoreFault.Unreachable) for (const socket of connections) silentConnections.add(socket)
      else if (next !== StoreFault.None) server.closeAllConnections()
    },
    countCalls: () => ({ ...counts, bytes: [...connections].reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, counts.bytes) }),
    async [Symbol.asyncDispose] () {
      await closeListener(server)
    }
  }
}
