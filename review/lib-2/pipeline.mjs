/**
 * A client that sends several requests on one connection before the first one is answered.
 *
 * @module
 */
import { connect } from 'node:net'
import { createAttemptId, siteHost } from './site.mjs'

/** Sends requests on a connection of its own, and returns their identifiers and a function that closes the connection. */
export function sendPipelined (site, machine, { count, path, timeLeftMs, localAddress = '127.0.0.1' }) {
  const ids = Array.from({ length: count }, () => createAttemptId('p'))
  const socket = connect({ ...machine.address, localAddress })
  let receivedBytes = 0
  socket.on('data', bytes => { receivedBytes += bytes.length })
  socket.on('error', error => site.record(`connection of ${ids[0]}: ${error.message}`))
  socket.write(ids.map(id => `GET ${path} HTTP/1.1\r\nHost: ${siteHost}\r\nX-Request-Id: ${id}\r\nX-Timeout-Ms: ${timeLeftMs}\r\n\r\n`).join(''))
  return {
    ids,
    sentMs: site.getNowMs(),
    closedMs: Infinity,
    close () {
      this.closedMs = site.getNowMs()
      site.record(`client closes the connection with ${ids.length} requests from ${ids[0]} on, ${receivedBytes} bytes received`)
      socket.end()
      socket.destroy()
    }
  }
}
