/**
 * A network path between one machine and one server: forwards connections until it is cut.
 *
 * @module
 */
import { connect, createServer } from 'node:net'

/** Opens a path to an address, on a free port of a loopback address. */
export async function openPath (host, address) {
  const [targetHost, targetPort] = address.split(':')
  const sockets = new Set()
  const listener = createServer({ noDelay: true }, socket => {
    const other = connect({ host: targetHost, port: Number(targetPort), noDelay: true })
    for (const [from, to] of [[socket, other], [other, socket]]) {
      sockets.add(from)
      from.on('error', () => to.destroy())
      from.on('close', () => {
        sockets.delete(from)
        to.destroy()
      })
      from.pipe(to)
    }
  })
  await new Promise((resolve, reject) => {
    listener.once('error', reject)
    listener.listen(0, host, resolve)
  })
  return {
    address: `${host}:${listener.address().port}`,
    /** Cuts the path: open connections are reset, new ones are refused. */
    async cut () {
      if (!listener.listening) return
      const closed = new Promise(resolve => listener.close(resolve))
      for (const socket of sockets) socket.resetAndDestroy()
      await closed
    }
  }
}
