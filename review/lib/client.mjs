/**
 * A stand-in for a client: it keeps a connection open, sends one request at a time on it, and reads the answer strictly.
 *
 * @module
 */
import { connect } from 'node:net'

const headEnd = '\r\n\r\n'

/** Reads an answer from received bytes; `isComplete` tells whether all of its body is there. */
function parseAnswer (bytes) {
  const end = bytes.indexOf(headEnd)
  if (end < 0) return { isComplete: false, bytes: bytes.length }
  const [line, ...fieldLines] = bytes.subarray(0, end).toString('latin1').split('\r\n')
  const fields = Object.fromEntries(fieldLines.map(text => [text.slice(0, text.indexOf(':')).toLowerCase(), text.slice(text.indexOf(':') + 1).trim()]))
  const length = Number(fields['content-length'] ?? NaN)
  const bodyBytes = bytes.length - end - headEnd.length
  const body = bytes.subarray(end + headEnd.length, end + headEnd.length + (length || 0)).toString('utf8')
  return { status: Number(line.split(' ')[1]), body, id: fields['x-request-id'], isSigned: fields['x-server-signature'] !== undefined, retryAfter: fields['retry-after'], closes: fields['connection'] === 'close', declaredBytes: length, bodyBytes, isComplete: bodyBytes >= length }
}

/** Opens a connection to an instance. */
export async function openConnection (address) {
  const [host, port] = address.split(':')
  const socket = connect({ host, port: Number(port), noDelay: true })
  let received = Buffer.alloc(0)
  let isClosed = false
  let wake = () => {}
  socket.on('data', part => {
    received = Buffer.concat([received, part])
    wake()
  })
  socket.on('error', () => {})
  socket.on('close', () => {
    isClosed = true
    wake()
  })
  await new Promise((resolve, reject) => {
    socket.once('connect', resolve)
    socket.once('error', reject)
  })

  /** Sends one request and waits for its answer, for the end of the connection, or for its time budget. */
  async function sendRequest ({ id, method = 'GET', host: name, path, timeoutMs, body }) {
    const startedAtMs = performance.now()
    const length = body === undefined ? '' : `Content-Length: ${body.length}\r\n`
    received = Buffer.alloc(0)
    socket.write(`${method} ${path} HTTP/1.1\r\nHost: ${name}\r\nX-Request-Id: ${id}\r\nX-Timeout-Ms: ${timeoutMs}\r\n${length}\r\n`)
    if (body !== undefined) socket.write(body)
    for (;;) {
      const answer = parseAnswer(received)
      const elapsedMs = Math.round(performance.now() - startedAtMs)
      if (answer.isComplete || isClosed || elapsedMs >= timeoutMs) return { ...answer, isClosed: isClosed && !answer.isComplete, elapsedMs }
      await new Promise(resolve => {
        const timer = setTimeout(resolve, timeoutMs - elapsedMs)
        wake = () => {
          clearTimeout(timer)
          resolve()
        }
      })
    }
  }

  return { socket, sendRequest, isOpen: () => !isClosed, close: () => socket.destroy() }
}
