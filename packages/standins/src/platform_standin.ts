/**
 * A stand-in of the platform: tables with transactions, objects and a lagging list of machines.
 *
 * @module
 */
import type { IncomingMessage, Server as HttpServer, ServerResponse } from 'node:http'
import type { InstanceRecord, TargetRecord } from '@bilberryworks/steering'
import type { TableWrite } from '@bilberryworks/platform'
import type { AddressInfo, Server, Socket } from 'node:net'
import { createServer } from 'node:http'
import { createPlatformTables } from './platform_tables.ts'

/** Faults that are injected now. */
export interface PlatformFaults {
  /** Refuse each call with 503, nothing carried out. */
  outage: boolean
  /** Close each connection without an answer, nothing carried out. */
  cut: boolean
  /** Milliseconds added to each call. */
  delayMs: number
  /** Number of next writes whose answer is lost after the write took effect. */
  loseAnswers: number
  /** Number of next transactions that are held back and land later, without an answer. */
  delayWrites: number
  /** Milliseconds after which a transaction that was held back lands. */
  landAfterMs: number
  /** Milliseconds by which reads of rows are stale. */
  staleMs: number
  /** Milliseconds by which the list of machines lags. */
  listLagMs: number
}

/** Counts of the calls carried out. */
export interface PlatformCounts {
  /** Rows and objects read. */
  reads: number
  /** Transactions and objects written. */
  writes: number
  /** Readings of the list of machines. */
  listReads: number
  /** Bytes that came in and went out, header fields included, over all connections. */
  bytes: number
}

/** A running stand-in. */
export interface PlatformStandin extends AsyncDisposable {
  /** `http://host:port`. */
  url: string
  /** Faults, which may be changed at any time. */
  faults: PlatformFaults
  /** Counts since the start. */
  counts: PlatformCounts
  /** Sets the true list of machines, which callers see after the lag. */
  setMachines (machines: { instances: InstanceRecord[], targets: TargetRecord[] }): void
  /** Returns the value of a row, for checks. */
  getValue (table: string, key: string): unknown
}

interface Reply {
  status: number
  body?: unknown
  bytes?: Uint8Array
  etag?: string
}

/**
 * Starts a stand-in of the platform on a port that the system chooses.
 *
 * @param host IP number to listen on
 * @returns The stand-in
 */
export async function startPlatformStandin (host = '127.0.0.1'): Promise<PlatformStandin> {
  const tables = createPlatformTables()
  const objects = new Map<string, Uint8Array>()
  const lists: Array<{ atMs: number, machines: unknown }> = [{ atMs: -Infinity, machines: { instances: [], targets: [] } }]
  const faults: PlatformFaults = { outage: false, cut: false, delayMs: 0, loseAnswers: 0, delayWrites: 0, landAfterMs: 1_000, staleMs: 0, listLagMs: 0 }
  const counts: PlatformCounts = { reads: 0, writes: 0, listReads: 0, bytes: 0 }
  const connections = new Set<Socket>()

  function replyToWrites (writes: TableWrite[]): Reply {
    const conflicts = tables.applyWrites(writes)
    return conflicts.length > 0 ? { status: 409, body: { conflicts } } : { status: 200, body: {} }
  }

  function handleCall (method: string, url: URL, body: Buffer): Reply {
    const [kind = '', first = '', second] = url.pathname.slice(1).split('/').map(decodeURIComponent)
    if (kind === 'machines') {
      counts.listReads++
      const visible = lists.filter(list => list.atMs <= performance.now() - faults.listLagMs).at(-1)
      return { status: 200, body: visible?.machines, etag: `"${visible === undefined ? '' : lists.indexOf(visible)}"` }
    }
    if (method === 'GET') counts.reads++
    else counts.writes++
    if (kind === 'transactions') {
      const { writes } = JSON.parse(body.toString('utf8')) as { writes: TableWrite[] }
      return replyToWrites(writes)
    }
    if (kind === 'objects' && method === 'PUT') {
      objects.set(first, new Uint8Array(body))
      return { status: 200, body: {} }
    }
    if (kind === 'objects') {
      const bytes = objects.get(first)
      return bytes === undefined ? { status: 404 } : { status: 200, bytes }
    }
    if (kind === 'tables' && second === undefined) {
      const rows = tables.listRows(first, url.searchParams.get('prefix') ?? '', faults)
      return { status: 200, body: { rows } }
    }
    const row = kind === 'tables' ? tables.getRow(first, second ?? '', faults) : undefined
    return row === undefined ? { status: 404 } : { status: 200, body: row }
  }

  function countBytes (): number {
    let open = 0
    for (const socket of connections) open += socket.bytesRead + socket.bytesWritten
    return counts.bytes + open
  }

  async function handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request)
    const url = new URL(request.url ?? '/', 'http://platform')
    if (url.pathname === '/faults') {
      Object.assign(faults, JSON.parse(body.toString('utf8')))
      response.end('{}')
      return
    }
    if (url.pathname === '/counts') {
      response.end(JSON.stringify({ ...counts, bytes: countBytes() }))
      return
    }
    if (url.pathname === '/machines' && request.method === 'PUT') {
      lists.push({ atMs: performance.now(), machines: JSON.parse(body.toString('utf8')) })
      response.end('{}')
      return
    }
    if (faults.delayMs > 0) await new Promise(resolve => setTimeout(resolve, faults.delayMs))
    if (faults.cut || faults.outage) {
      if (faults.cut) request.socket.destroy()
      else response.writeHead(503).end()
      return
    }
    if (url.pathname === '/transactions' && faults.delayWrites > 0) {
      faults.delayWrites--
      setTimeout(() => handleCall('POST', url, body), faults.landAfterMs).unref()
      request.socket.destroy()
      return
    }
    const reply = handleCall(request.method ?? 'GET', url, body)
    if (request.method !== 'GET' && faults.loseAnswers > 0) {
      faults.loseAnswers--
      request.socket.destroy()
      return
    }
    if (reply.etag !== undefined) response.setHeader('etag', reply.etag)
    if (reply.etag !== undefined && reply.etag === request.headers['if-none-match']) {
      response.writeHead(304).end()
      return
    }
    response.writeHead(reply.status, { 'content-type': reply.bytes === undefined ? 'application/json' : 'application/octet-stream' })
    response.end(reply.bytes ?? JSON.stringify(reply.body ?? {}))
  }

  const server = createServer((request, response) => {
    handle(request, response).catch(() => response.destroy())
  })
  server.on('connection', socket => {
    connections.add(socket)
    socket.once('close', () => {
      connections.delete(socket)
      counts.bytes += socket.bytesRead + socket.bytesWritten
    })
  })
  await listen(server, host)
  return {
    url: `http://${formatServerAddress(server)}`,
    faults,
    counts,
    setMachines (machines) {
      lists.push({ atMs: performance.now(), machines })
    },
    getValue: (table, key) => tables.getRow(table, key)?.value,
    async [Symbol.asyncDispose] () {
      await closeListener(server)
    }
  }
}

/**
 * Reads a body whole.
 *
 * @param request The message
 * @returns The bytes
 */
export async function readBody (request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks)
}

/**
 * Listens on a port that the system chooses.
 *
 * @param server The server
 * @param host IP number to listen on
 */
export async function listen (server: Server, host: string): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(0, host, resolve)
  })
}

/**
 * Formats the address that a server listens on.
 *
 * @param server A listening server
 * @returns `host:port`
 */
export function formatServerAddress (server: Server): string {
  const { address, port } = server.address() as AddressInfo
  return `${address}:${port}`
}

/**
 * Closes a server and its connections.
 *
 * @param server The server
 */
export async function closeListener (server: HttpServer): Promise<void> {
  server.closeAllConnections()
  await new Promise<void>(resolve => server.close(() => resolve()))
}
