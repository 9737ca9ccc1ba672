/**
 * A stand-in for a server behind the system: it serves one request at a time on a connection, echoes the identifier, signs its
 * answers and registers in the store as PROTOCOL.md describes.
 *
 * @module
 */
import { createServer } from 'node:net'

const headEnd = '\r\n\r\n'

/** Formats a complete and correct answer; `fields` are added to the head. */
export function formatAnswer (request, { status = 200, body = '', fields = [], load = '1,0,3' } = {}) {
  const head = [`HTTP/1.1 ${status} Status`, `X-Request-Id: ${request.id}`, `X-Server-Signature: signed.${request.id}`, `X-Server-Load: ${load}`, `Content-Length: ${Buffer.byteLength(body)}`, ...fields]
  return Buffer.concat([Buffer.from(head.join('\r\n') + headEnd, 'latin1'), Buffer.from(body)])
}

/** Reads a request from the start of a buffer; `undefined` if it is not complete. Understands bodies with a length and in chunks. */
function parseRequest (bytes) {
  const end = bytes.indexOf(headEnd)
  if (end < 0) return undefined
  const [line, ...fieldLines] = bytes.subarray(0, end).toString('latin1').split('\r\n')
  const fields = Object.fromEntries(fieldLines.map(text => [text.slice(0, text.indexOf(':')).toLowerCase(), text.slice(text.indexOf(':') + 1).trim()]))
  const [method, path] = line.split(' ')
  const start = end + headEnd.length
  let body = Buffer.alloc(0)
  let used = start
  if (fields['transfer-encoding'] === 'chunked') {
    for (;;) {
      const lineEnd = bytes.indexOf('\r\n', used)
      if (lineEnd < 0) return undefined
      const size = parseInt(bytes.subarray(used, lineEnd).toString('latin1'), 16)
      if (bytes.length < lineEnd + 2 + size + 2) return undefined
      body = Buffer.concat([body, bytes.subarray(lineEnd + 2, lineEnd + 2 + size)])
      used = lineEnd + 2 + size + 2
      if (size === 0) break
    }
  } else {
    used = start + Number(fields['content-length'] ?? 0)
    if (bytes.length < used) return undefined
    body = bytes.subarray(start, used)
  }
  return { id: fields['x-request-id'], target: fields['x-target-instance'], method, path, fields, body, used }
}

/**
 * Starts a server on a free port of a loopback address and registers it.
 *
 * `answer` is called with each request that runs and with its connection, and writes the answer.
 */
export async function startServer ({ host, store, id, service, zone, slots = 3, answer, onRun = () => {} }) {
  const connections = new Set()
  const born = Date.now()
  let sequence = 0

  function handleRequest (request, socket) {
    if (request.path === '/health') return socket.write(`HTTP/1.1 200 OK\r\nX-Instance-Id: ${id}\r\nContent-Length: 0${headEnd}`)
    if (request.target !== undefined && request.target !== id) return socket.write(`HTTP/1.1 421 Misdirected\r\nX-Request-Id: ${request.id}\r\nX-Not-Executed: 1\r\nContent-Length: 0${headEnd}`)
    onRun({ server: id, id: request.id, method: request.method, path: request.path, bodyBytes: request.body.length })
    answer(request, socket)
  }

  const listener = createServer({ noDelay: true }, socket => {
    let received = Buffer.alloc(0)
    connections.add(socket)
    socket.on('close', () => connections.delete(socket))
    socket.on('error', () => {})
    socket.on('data', part => {
      received = Buffer.concat([received, part])
      for (;;) {
        const request = parseRequest(received)
        if (request === undefined) return
        received = received.subarray(request.used)
        handleRequest(request, socket)
      }
    })
  })
  await new Promise((resolve, reject) => {
    listener.once('error', reject)
    listener.listen(0, host, resolve)
  })
  const address = `${host}:${listener.address().port}`

  function register (overrides = {}) {
    sequence++
    store.writeRow('servers', id, { service, address, zone, version: '1', slots, state: 'ready', cold_left: '0ms', seq: sequence, born, ...overrides })
  }
  register()
  return {
    id,
    address,
    register,
    async stop () {
      for (const socket of connections) socket.destroy()
      await new Promise(resolve => listener.close(resolve))
    }
  }
}
