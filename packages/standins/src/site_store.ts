/**
 * Stand-in of the store of the users' platform, in memory.
 *
 * @module
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createServer } from 'node:http'
import { text } from 'node:stream/consumers'

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

/** One address of the store, with faults of its own. */
export interface StoreDoor extends AsyncDisposable {
  /** Where it listens. */
  place: { host: string, port: number }
  /** Makes it misbehave from now on, also to calls that wait. */
  setFault (fault: StoreFault): void
  /** Counts the calls it took. */
  countCalls (): number
}

/** The store. */
export interface SiteStore extends AsyncDisposable {
  /** Opens another address. */
  openDoor (): Promise<StoreDoor>
  /** Writes a row as the operator or a target does. */
  writeRow (table: string, key: string, value: unknown): void
  /** Removes a row. */
  removeRow (table: string, key: string): void
  /** Forgets what changed before now. */
  dropHistory (): void
}

interface Change {
  table: string
  part: string
  key: string
  value: string
  row_version: number
  deleted?: true
}

const historyGoneStatus = 410

/**
 * Creates an empty store.
 *
 * @returns The store; dispose it to close its doors
 */
export function createSiteStore (): SiteStore {
  const rows = new Map<string, Change>()
  const doors: StoreDoor[] = []
  let history: Change[] = []
  let oldest = 0
  let version = 0
  let waiting: Array<() => void> = []

  function recordChange (change: Change): void {
    const id = `${change.table}\u0000${change.part}\u0000${change.key}`
    if (change.deleted === true) rows.delete(id)
    else rows.set(id, change)
    history.push(change)
    const woken = waiting
    waiting = []
    for (const wake of woken) wake()
  }

  function readRows (query: URLSearchParams): object {
    const from = query.get('from') ?? ''
    const limit = Number(query.get('limit') ?? 500)
    const found = [...rows.values()].filter(row => row.table === query.get('table') && row.part === (query.get('part') ?? '') && row.key >= from)
    found.sort((a, b) => a.key < b.key ? -1 : 1)
    return { rows: found.slice(0, limit), has_more: found.length > limit, row_version: version, now: '0ms' }
  }

  async function readFeed (query: URLSearchParams): Promise<object | undefined> {
    const after = Number(query.get('after'))
    const untilMs = performance.now() + Number(query.get('wait_ms') ?? 0)
    for (;;) {
      if (after < oldest) return undefined
      const changes = history.filter(change => change.table === query.get('table') && change.row_version > after)
      const leftMs = untilMs - performance.now()
      if (changes.length > 0 || leftMs <= 0) return { rows: changes, row_version: version, now: '0ms' }
      await new Promise<void>(resolve => {
        const timer = setTimeout(resolve, leftMs)
        waiting.push(() => {
          clearTimeout(timer)
          resolve()
        })
      })
    }
  }

  function applyTransaction (body: { upserts: Array<{ table: string, part: string, key: string, value: string }>, remove: Array<{ table: string, part: string, key: string }> }): object {
    version++
    for (const row of body.upserts) recordChange({ ...row, row_version: version })
    for (const row of body.remove) recordChange({ ...row, value: '', row_version: version, deleted: true })
    return { row_version: version, now: '0ms' }
  }

  async function handleCall (message: IncomingMessage): Promise<{ status: number, body: object }> {
    const url = new URL(message.url!, 'http://store')
    if (url.pathname === '/rows-get') return { status: 200, body: readRows(url.searchParams) }
    if (url.pathname === '/rows-feed') {
      const feed = await readFeed(url.searchParams)
      return feed === undefined ? { status: historyGoneStatus, body: {} } : { status: 200, body: feed }
    }
    if (url.pathname === '/rows-tx') return { status: 200, body: applyTransaction(JSON.parse(await text(message)) as Parameters<typeof applyTransaction>[0]) }
    return { status: 404, body: {} }
  }

  async function openDoor (): Promise<StoreDoor> {
    let fault = StoreFault.None
    let calls = 0
    const reply = async (message: IncomingMessage, response: ServerResponse): Promise<void> => {
      calls++
      if (fault === StoreFault.Busy) response.writeHead(503).end()
      else if (fault === StoreFault.Reset) message.socket.resetAndDestroy()
      else if (fault !== StoreFault.Silent) {
        const { status, body } = await handleCall(message)
        const faultNow = fault as StoreFault
        if (faultNow === StoreFault.AnswerLost || faultNow === StoreFault.Reset) message.socket.destroy()
        else if (faultNow !== StoreFault.Silent) response.writeHead(status, { 'Content-Type': 'application/json' }).end(JSON.stringify(body))
      }
    }
    const server = createServer((message, response) => {
      reply(message, response).catch((error: Error) => response.writeHead(500).end(error.message))
    })
    const place = await listenOnLoopback(server)
    const door: StoreDoor = {
      place,
      setFault (next) {
        fault = next
        if (next !== StoreFault.None) server.closeAllConnections()
      },
      countCalls: () => calls,
      async [Symbol.asyncDispose] () {
        server.closeAllConnections()
        await new Promise(resolve => server.close(resolve))
      }
    }
    doors.push(door)
    return door
  }

  return {
    openDoor,
    writeRow (table, key, value) {
      version++
      recordChange({ table, part: '', key, value: Buffer.from(JSON.stringify(value)).toString('base64'), row_version: version })
    },
    removeRow (table, key) {
      version++
      recordChange({ table, part: '', key, value: '', row_version: version, deleted: true })
    },
    dropHistory () {
      history = []
      oldest = version
      for (const wake of waiting.splice(0)) wake()
    },
    async [Symbol.asyncDispose] () {
      for (const door of doors) await door[Symbol.asyncDispose]()
    }
  }
}

/**
 * Opens a server on a free port of the loopback address.
 *
 * @param server The server
 * @returns Where it listens
 */
export async function listenOnLoopback (server: Server): Promise<{ host: string, port: number }> {
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return { host: '127.0.0.1', port: (server.address() as AddressInfo).port }
}
