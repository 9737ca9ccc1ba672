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

  function sendJson (response, status, body) {
    const text = JSON.stringify(body)
    response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) }).end(text)
  }

  function readRows (query, response) {
    const [table, from, to] = [query.get('table'), query.get('from') ?? '', query.get('to')]
    const limit = Math.min(maxPageRows, Number(query.get('limit') ?? maxPageRows))
    const found = [...rows.values()].filter(row => row.table === table && row.key >= from && (to === null || row.key < to))
    found.sort((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)))
    sendJson(response, 200, { ...describeState(), rows: found.slice(0, limit), has_more: found.length > limit })
  }

  function readChanges (query, response) {
    const [table, after, waitMs] = [query.get('table'), Number(query.get('after')), Number(query.get('wait_ms') ?? 0)]
    const listChanges = () => {
      const latest = new Map()
      for (const row of changes) if (row.table === table && row.row_version > after) latest.set(row.key, row)
      return [...latest.values()].sort((a, b) => a.row_version - b.row_version)
    }
    const finish = () => {
      clearTimeout(timer)
      waiting.delete(check)
      if (!response.destroyed) sendJson(response, 200, { ...describeState(), rows: listChanges() })
    }
    const check = () => { if (listChanges().length > 0) finish() }
    const timer = setTimeout(finish, waitMs)
    waiting.add(check)
    response.once('close', () => {
      clearTimeout(timer)
      waiting.delete(check)
    })
    check()
  }

  function writeTransaction (body, response) {
    const { precondition = [], upserts = [], remove = [] } = JSON.parse(body)
    if ([...upserts, ...remove].some(({ table }) => table === 'op' || table === 'servers')) return sendJson(response, 403, describeState())
    const failed = precondition.filter(({ table, key, row_version: expected }) => (rows.get(describeKey(table, key))?.row_version ?? 0) !== expected)
    if (failed.length > 0) return sendJson(response, 412, { ...describeState(), rows: failed.flatMap(({ table, key }) => rows.get(describeKey(table, key)) ?? []) })
    version++
    for (const { table, key, value } of upserts) applyChange(table, key, Buffer.from(value, 'base64').toString('utf8'))
    for (const { table, key } of remove) applyChange(table, key, undefined)
    sendJson(response, 200, describeState())
    notifyWaiting()
  }

  const server = createServer((message, response) => {
    const [path, query = ''] = message.url.split('?', 2)
    const parts = []
    message.on('data', part => parts.push(part))
    message.on('end', () => {
      const parameters = new URLSearchParams(query)
      if (path === '/rows-get') readRows(parameters, response)
      else if (path === '/rows-feed') readChanges(parameters, response)
      else if (path === '/rows-tx') writeTransaction(Buffer.concat(parts).toString('utf8'), response)
      else sendJson(response, 404, describeState())
    })
  })
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(0, host, resolve)
  })
  return {
    address: `${host}:${server.address().port}`,
    writeRow,
    async stop () {
      server.closeAllConnections()
      await new Promise(resolve => server.close(resolve))
    }
  }
}
