/**
 * Stand-in of the store of the users' platform, in memory.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { StoreRows, StoreTransaction } from './store_rows.ts'
import { createServer } from 'node:http'
import { buffer, text } from 'node:stream/consumers'
import { setTimeout as wait } from 'node:timers/promises'
import { closeListener, listenOnLoopback } from './listeners.ts'
import { createStoreRows } from './store_rows.ts'

/** How a door of the store misbehaves. */
export enum StoreFault {
  /** It does not. */
  None = 'none',
  /** It refuses each call; nothing is done. */
  Busy = 'busy',
  /** It answers nothing. */
  Silent = 'silent',
  /** It breaks connections. */
  Reset = 'reset',
  /** It does what is asked and breaks the connection instead of answering. */
  AnswerLost = 'answer_lost'
}

/** What else goes wrong at a door. */
export interface EndpointFaults {
  /** Time added to each call, in milliseconds. */
  delayMs: number
  /** Number of next transactions that are held back and land later, without an answer. */
  heldWrites: number
  /** Time after which a transaction that was held back lands, in milliseconds. */
  landAfterMs: number
}

/** Counts of what a door carried. */
export interface EndpointCounts {
  /** Calls taken. */
  calls: number
  /** Rows, changes and objects read. */
  reads: number
  /** Transactions and objects written. */
  writes: number
  /** Readings of the targets' table. */
  targetReads: number
  /** Bytes in and out, header fields included, over all connections. */
  bytes: number
}

/** One address of the store, with faults of its own. */
export interface StoreEndpoint extends AsyncDisposable {
  /** Where it listens. */
  place: { host: string, port: number }
  /** `http://host:port` of the same. */
  url: string
  /** What else goes wrong; may be changed at any time. */
  faults: EndpointFaults
  /** Makes it misbehave from now on, also to calls that wait. */
  setFault (fault: StoreFault): void
  /** Counts what it carried. */
  countCalls (): EndpointCounts
}

/** The store. */
export interface SiteStore extends AsyncDisposable {
  /** Opens another address. */
  openEndpoint (): Promise<StoreEndpoint>
  /** Writes a row as the operator or a target does. */
  writeRow (table: string, key: string, value: unknown): void
  /** Removes a row. */
  removeRow (table: string, key: string): void
  /** Returns the value of a row; `undefined` where there is none. */
  getValue (table: string, key: string): unknown
  /** Forgets what changed before now. */
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
 * @returns The store; dispose it to close its doors
 */
export function createSiteStore (): SiteStore {
  const rows = createStoreRows()
  const objects = new Map<string, Uint8Array>()
  const doors: StoreEndpoint[] = []

  return {
    async openEndpoint () {
      const door = await openStoreDoor((message, url) => handleCall({ rows, objects }, message, url), transaction => { rows.apply(transaction) })
      doors.push(door)
      return door
    },
    writeRow (table, key, value) {
      rows.apply({ upserts: [{ table, part: '', key, value: Buffer.from(JSON.stringify(value)).toString('base64') }] })
    },
    removeRow (table, key) {
      rows.apply({ remove: [{ table, part: '', key }] })
    },
    getValue (table, key) {
      const row = rows.getRow({ table, part: '', key })
      return row === undefined ? undefined : JSON.parse(Buffer.from(row.value, 'base64').toString('utf8'))
    },
    dropHistory: rows.dropHistory,
    async [Symbol.asyncDispose] () {
      for (const door of doors) await door[Symbol.asyncDispose]()
    }
  }
}

async function handleCall (held: { rows: StoreRows, objects: Map<string, Uint8Array> }, message: IncomingMessage, url: URL): Promise<Reply> {
  const { rows, objects } = held
  if (url.pathname === '/rows-get') return { status: 200, body: rows.read(url.searchParams) }
  if (url.pathname === '/rows-feed') {
    const feed = await rows.readFeed(url.searchParams)
    return feed === undefined ? { status: historyGoneStatus, body: {} } : { status: 200, body: feed }
  }
  if (url.pathname === '/rows-tx') {
    const { conflict, answer } = rows.apply(JSON.parse(await text(message)) as StoreTransaction)
    return { status: conflict ? conflictStatus : 200, body: answer }
  }
  const [, call, name = ''] = url.pathname.split('/').map(decodeURIComponent)
  if (call === 'blob-put') {
    objects.set(name, new Uint8Array(await buffer(message)))
    return { status: 200, body: {} }
  }
  const object = call === 'blob-get' ? objects.get(name) : undefined
  return object === undefined ? { status: 404, body: {} } : { status: 200, body: object }
}

async function openStoreDoor (answerCall: (message: IncomingMessage, url: URL) => Promise<Reply>, land: (transaction: StoreTransaction) => void): Promise<StoreEndpoint> {
  const faults: EndpointFaults = { delayMs: 0, heldWrites: 0, landAfterMs: 1_000 }
  const counts: EndpointCounts = { calls: 0, reads: 0, writes: 0, targetReads: 0, bytes: 0 }
  const connections = new Set<Socket>()
  let fault = StoreFault.None

  function count (message: IncomingMessage, url: URL): void {
    counts.calls++
    if (message.method === 'GET') counts.reads++
    else counts.writes++
    if (url.searchParams.get('table') === targetTable) counts.targetReads++
  }

  /** Whether a call ends here because of the fault at this moment. */
  function isStopped (message: IncomingMessage, response: ServerResponse): boolean {
    if (fault === StoreFault.Busy) response.writeHead(503).end()
    else if (fault === StoreFault.Reset) message.socket.resetAndDestroy()
    return fault !== StoreFault.None && fault !== StoreFault.AnswerLost
  }

  async function reply (message: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(message.url!, 'http://store')
    if (faults.delayMs > 0) await wait(faults.delayMs)
    if (isStopped(message, response)) {
      counts.calls++
      return
    }
    count(message, url)
    if (url.pathname === '/rows-tx' && faults.heldWrites > 0) {
      faults.heldWrites--
      const transaction = JSON.parse(await text(message)) as StoreTransaction
      setTimeout(() => land(transaction), faults.landAfterMs).unref()
      message.socket.destroy()
      return
    }
    const { status, body } = await answerCall(message, url)
    if (fault === StoreFault.AnswerLost) message.socket.destroy()
    else if (!isStopped(message, response)) {
      const isObject = body instanceof Uint8Array
      response.writeHead(status, { 'Content-Type': isObject ? 'application/octet-stream' : 'application/json' }).end(isObject ? body : JSON.stringify(body))
    }
  }

  const server = createServer((message, response) => {
    reply(message, response).catch((error: Error) => response.destroy(error))
  })
  server.on('connection', socket => {
    connections.add(socket)
    socket.once('close', () => {
      connections.delete(socket)
      counts.bytes += socket.bytesRead + socket.bytesWritten
    })
  })
  const place = await listenOnLoopback(server)
  return {
    place,
    url: `http://${place.host}:${place.port}`,
    faults,
    setFault (next) {
      fault = next
      if (next !== StoreFault.None) server.closeAllConnections()
    },
    countCalls: () => ({ ...counts, bytes: [...connections].reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, counts.bytes) }),
    async [Symbol.asyncDispose] () {
      await closeListener(server)
    }
  }
}
