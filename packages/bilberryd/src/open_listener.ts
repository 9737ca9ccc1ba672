/**
 * Opens and closes the listeners of an instance.
 *
 * @module
 */
import type { RequestListener, Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { ListenSettings } from './settings.ts'
import { createServer } from 'node:http'

const maxHeaderBytes = 16 * 1024
const headersTimeoutMs = 10_000
const idleCheckMs = 50

/** An open listener. */
export interface OpenListener extends AsyncDisposable {
  /** `host:port` that it listens on. */
  address: string
  /** Counts the requests that have not ended. */
  countOpen (): number
  /** Takes no new connections, closes idle ones and waits until the others have ended. */
  drain (): Promise<void>
}

/**
 * Opens a listener.
 *
 * @param handler Handles its requests
 * @param listen Where to listen
 * @returns The listener; dispose it to close its connections at once
 * @throws {Error} If the address can't be listened on
 */
export async function openListener (handler: RequestListener, listen: ListenSettings): Promise<OpenListener> {
  const server = createServer({ maxHeaderSize: maxHeaderBytes, headersTimeout: headersTimeoutMs, requestTimeout: 0 }, handler)
  let open = 0
  server.on('request', (_, response) => {
    open++
    response.once('close', () => open--)
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(listen.port, listen.host, resolve)
  })
  return {
    address: formatAddress(server),
    countOpen: () => open,
    async drain () {
      // A connection that was busy when the listener closed becomes idle later.
      const timer = setInterval(() => server.closeIdleConnections(), idleCheckMs)
      await closeServer(server)
      clearInterval(timer)
    },
    async [Symbol.asyncDispose] () {
      server.closeAllConnections()
      await closeServer(server)
    }
  }
}

async function closeServer (server: Server): Promise<void> {
  await new Promise<void>(resolve => server.close(() => resolve()))
}

function formatAddress (server: Server): string {
  const { address, port } = server.address() as AddressInfo
  return address.includes(':') ? `[${address}]:${port}` : `${address}:${port}`
}
