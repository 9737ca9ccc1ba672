/**
 * A stand-in for the platform's store: versioned rows with snapshots, long polls and transactions, kept in memory.
 *
 * It covers the calls that PROTOCOL.md describes for rows; objects and parts are not needed here.
 *
 * @module
 */
import { createServer } from 'node:http'

const maxPageRows = 500

/** Starts a store on a loopback address. */
export async function startStore (host) {
  const rows = new Map()
  /** All changes, oldest first. */
  const changes = []
  const waiting = new Set()
  let version = 0
  /** Number of times that the store has come back from an older copy; stated in all answers once it has. */
  let era = 0
  let isAway = false

  const describeKey = (table, key) => `${table}\u0000${key}`
  const describeState = () => ({ row_version: version, now: `${Math.round(performance.now())}ms` })

  function applyChange (table, key, text) {
    const value = text === undefined ? undefined : Buffer.from(text).toString('base64')
    const row = value === undefined ? { table, part: '', key, deleted: true, row_version: version } : { table, part: '', key, value, row_version: version }
    if (value === undefined) rows.delete(describeKey(table, key))
    else rows.set(describeKey(table, key), row)
    changes.push(row)
  }

  function notifyWaiting () {
    for (const check of [...waiting]) check()
  }

  /** Writes one row as the operator or a server does; `undefined` removes it. The return of this call is the acknowledgement. */
  function writeRow (table, key, value) {
    version++
    applyChange(table, key, value === undefined ? undefined : JSON.stringify(value))
    notifyWaiting()
  }

  function sendJson ({ response, mapRow, isSilent }, status, body) {
    if (isSilent() || response.destroyed) return
    const text = JSON.stringify(mapRow === undefined || body.rows === undefined ? body : { ...body, rows: body.rows.map(row => row.value === undefined ? row : { ...row, value: mapValue(row, mapRow) }) })
    response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text), ...era > 0 ? { 'Store-Era': String(era) } : {} }).end(text)
  }

  function mapValue (row, mapRow) {
    const text = Buffer.from(row.value, 'base64').toString('utf8')
    return Buffer.from(JSON.stringify(mapRow(row.table, JSON.parse(text)))).toString('base64')
  }

  function readRows (query, endpoint) {
    const [table, from, to] = [query.get('table'), query.get('from') ?? '', query.get('to')]
    const limit = Math.min(maxPageRows, Number(query.get('limit') ?? maxPageRows))
    const found = [...rows.values()].filter(row => row.table === table && row.key >= from && (to === null || row.key < to))
    found.sort((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)))
    sendJson(endpoint, 200, { ...describeState(), rows: found.slice(0, limit), has_more: found.length > limit })
  }

  function readChanges (query, endpoint) {
    const [table, after, waitMs] = [query.get('table'), Number(query.get('after')), Number(query.get('wait_ms') ?? 0)]
    if (after > version) return sendJson(endpoint, 410, describeState())
    const listChanges = () => {
      const latest = new Map()
      for (const row of changes) if (row.table === table && row.row_version > after) latest.set(row.key, row)
      return [...latest.values()].sort((a, b) => a.row_version - b.row_version)
    }
    const finish = () => {
      clearTimeout(timer)
      waiting.delete(check)
      sendJson(endpoint, 200, { ...describeState(), rows: listChanges() })
    }
    const check = () => { if (listChanges().length > 0) finish() }
    const timer = setTimeout(finish, waitMs)
    waiting.add(check)
    endpoint.response.once('close', () => {
      clearTimeout(timer)
      waiting.delete(check)
    })
    check()
  }

  function writeTransaction (body, endpoint) {
    const { precondition = [], upserts = [], remove = [] } = JSON.parse(body)
    if ([...upserts, ...remove].some(({ table }) => table === 'op' || table === 'servers')) return sendJson(endpoint, 403, describeState())
    const failed = precondition.filter(({ table, key, row_version: expected }) => (rows.get(describeKey(table, key))?.row_version ?? 0) !== expected)
    if (failed.length > 0) return sendJson(endpoint, 412, { ...describeState(), rows: failed.flatMap(({ table, key }) => rows.get(describeKey(table, key)) ?? []) })
    version++
    for (const { table, key, value } of upserts) applyChange(table, key, Buffer.from(value, 'base64').toString('utf8'))
    for (const { table, key } of remove) applyChange(table, key, undefined)
    sendJson(endpoint, 200, describeState())
    notifyWaiting()
  }

  const servers = []

  /**
   * Opens an address of the store. `mapRow` may replace the value of a row for the machine that uses this address, for paths of
   * its own; `isSilent` tells whether the machine is cut off from the store, so that it gets no answer.
   */
  async function openEndpoint ({ mapRow, isSilent = () => false } = {}) {
    const server = createServer((message, response) => {
      const [path, query = ''] = message.url.split('?', 2)
      const parts = []
      const endpoint = { response, mapRow, isSilent }
      message.on('data', part => parts.push(part))
      message.on('end', () => {
        const parameters = new URLSearchParams(query)
        if (isAway) return sendJson(endpoint, 503, {})
        if (path === '/rows-get') readRows(parameters, endpoint)
        else if (path === '/rows-feed') readChanges(parameters, endpoint)
        else if (path === '/rows-tx') writeTransaction(Buffer.concat(parts).toString('utf8'), endpoint)
        else sendJson(endpoint, 404, describeState())
      })
    })
    await new Promise((resolve, reject) => {
      server.once('error', reject)
      server.listen(0, host, resolve)
    })
    servers.push(server)
    return `${host}:${server.address().port}`
  }

  return {
    openEndpoint,
    writeRow,
    /** Returns a copy of all rows as they are now. */
    takeCopy: () => ({ rows: [...rows], changes: [...changes], version }),
    /** Turns all calls away, until the store is restored. */
    leave () {
      isAway = true
      for (const server of servers) server.closeAllConnections()
    },
    /** Comes back with the rows of a copy. */
    restore (copy) {
      rows.clear()
      for (const [key, row] of copy.rows) rows.set(key, row)
      changes.splice(0, Infinity, ...copy.changes)
      version = copy.version
      era++
      isAway = false
    },
    async stop () {
      for (const server of servers) server.closeAllConnections()
      await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))))
    }
  }
}
