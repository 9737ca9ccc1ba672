/**
 * Clients leave while their uploads wait for a server. Checks that no more than a few of these uploads reach a server over half
 * a second later.
 */
import { createServer } from 'node:net'
import { setTimeout as wait } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { hasTrouble, recordRequests, runCase } from '../lib/case.mjs'
import { openConnection } from '../lib/client.mjs'
import { formatAnswer } from '../lib/server.mjs'
import { clientHost } from '../lib/site.mjs'

const zones = ['sofia-a', 'plovdiv-a', 'varna-a']
const serverCount = 3
const slots = 3
const workMs = 1_040
const uploadBytes = 700_000
const uploadsPerSecond = 30
const uploadTimeoutMs = 5_000
/** Share of the clients that leave, and after how long: half of the objective of 800 ms. */
const leavingShare = 0.3
const leaveAfterMs = 400
/** Uploads begin this long before clients begin to leave. */
const leadMs = 3_000
const leaveForMs = 5_000
const lateMs = 500
const maxLate = 3

/** Starts a server that runs an upload for some time after it has been read; one that breaks off is not run. */
async function startUploadServer ({ site, index, onArrival, onRun }) {
  const id = `u-${index}`
  const host = `${site.network}.${100 + index}`
  const sockets = new Set()
  let running = 0
  const listener = createServer({ noDelay: true }, socket => {
    let head = Buffer.alloc(0)
    let upload
    sockets.add(socket)
    socket.on('close', () => sockets.delete(socket))
    socket.on('error', () => {})
    const readBody = bytes => {
      upload.leftBytes -= bytes
      if (upload.leftBytes > 0) return
      const request = upload
      upload = undefined
      running++
      onRun(request.id, id)
      setTimeout(() => {
        const load = `${Math.min(running, slots)},${Math.max(0, running - slots)},${slots}`
        running--
        if (!socket.destroyed) socket.write(formatAnswer(request, { body: 'stored', load }))
      }, workMs)
    }
    socket.on('data', part => {
      if (upload !== undefined) return readBody(part.length)
      head = Buffer.concat([head, part])
      const end = head.indexOf('\r\n\r\n')
      if (end < 0) return
      const read = name => new RegExp(`^${name}: (\\S+)`, 'im').exec(head.subarray(0, end).toString('latin1'))?.[1]
      upload = { id: read('x-request-id'), leftBytes: Number(read('content-length') ?? 0) }
      onArrival(upload.id)
      const rest = head.length - end - 4
      head = Buffer.alloc(0)
      readBody(rest)
    })
  })
  await new Promise((resolve, reject) => {
    listener.once('error', reject)
    listener.listen(0, host, resolve)
  })
  site.store.writeRow('servers', id, { service: 'manifests', address: `${host}:${listener.address().port}`, zone: zones[index % zones.length], version: '1', slots, state: 'ready', cold_left: '0ms', seq: 1, born: Date.now() })
  return {
    async stop () {
      for (const socket of sockets) socket.destroy()
      await new Promise(resolve => listener.close(resolve))
    }
  }
}

await runCase(fileURLToPath(new URL('.', import.meta.url)), async (site, record) => {
  const closed = new Map()
  const runs = new Map()
  const results = []
  const late = []
  const statuses = new Map()
  site.writeConfig({ uploads: { kind: 'upload', service: 'manifests', timeout: '5000ms' } }, ['manifests'])
  for (let index = 0; index < serverCount; index++) {
    site.addServer(await startUploadServer({
      site,
      index,
      onRun: (id, server) => runs.set(id, server),
      onArrival (id) {
        const sinceMs = performance.now() - (closed.get(id) ?? Infinity)
        if (sinceMs > lateMs) late.push({ id, sinceMs: Math.round(sinceMs) })
      }
    }))
  }
  const instances = []
  for (const zone of zones) instances.push(await site.startInstance(zone))
  await wait(5_000)
  const body = Buffer.alloc(uploadBytes, 'manifest ')
  const calls = []

  async function sendUpload (number, isLeaving) {
    const connection = await openConnection(instances[number % instances.length].front)
    const id = `upload-${number}`
    const timer = isLeaving ? setTimeout(() => { closed.set(id, performance.now()); connection.close() }, leaveAfterMs) : undefined
    const result = await connection.sendRequest({ id, method: 'POST', host: clientHost, path: '/uploads/1', timeoutMs: uploadTimeoutMs, body })
    clearTimeout(timer)
    results.push({ ...result, id })
    const outcome = closed.has(id) ? 'left' : result.isComplete ? String(result.status) : 'no answer'
    statuses.set(outcome, (statuses.get(outcome) ?? 0) + 1)
    connection.close()
  }

  const startedAtMs = performance.now()
  for (let number = 0; performance.now() - startedAtMs < leadMs + leaveForMs; number++) {
    const isLeaving = hasTrouble && performance.now() - startedAtMs > leadMs && Math.random() < leavingShare
    calls.push(sendUpload(number, isLeaving))
    await wait(1_000 / uploadsPerSecond)
  }
  await Promise.all(calls)
  recordRequests(record, results, runs)
  for (const { id, sinceMs } of late) record(`${id} reaches a server ${sinceMs} ms after its client has closed the connection`)
  record(`uploads: ${[...statuses].map(([outcome, count]) => `${outcome} ${count}`).join(', ')}`)
  return { isBroken: late.length > maxLate, summary: `${late.length} requests reached a server over ${lateMs} ms after their clients had left; GONE allows a few` }
})
