/**
 * Helpers to open and close the listeners of fakes.
 *
 * @module
 */
import type { Server as HttpServer } from 'node:http'
import type { AddressInfo, Server } from 'node:net'

/**
 * Opens a server on a free port that the operating system chooses.
 *
 * @param server The server
 * @param host IP address to listen on
 * @param options Length of the queue of connections that are not accepted yet; the default of `node:net` if absent
 */
export async function listen (server: Server, host: string, options: { backlog?: number } = {}): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen({ port: 0, host, ...options }, () => {
      server.off('error', reject)
      resolve()
    })
  })
}

/**
 * Opens a server on a free port of 127.0.0.1.
 *
 * @param server The server
 * @returns Host and port that the server listens on
 */
export async function listenOnLoopback (server: Server): Promise<{ host: string, port: number }> {
  await listen(server, '127.0.0.1')
  return { host: '127.0.0.1', port: (server.address() as AddressInfo).port }
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
 * Closes a server and all its connections.
 *
 * @param server The server
 */
export async function closeListener (server: HttpServer): Promise<void> {
  server.closeAllConnections()
  await new Promise<void>(resolve => server.close(() => resolve()))
}
