/**
 * What the stand-ins' listeners have in common.
 *
 * @module
 */
import type { Server as HttpServer } from 'node:http'
import type { AddressInfo, Server } from 'node:net'

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
 * Opens a server on a free port of the loopback address.
 *
 * @param server The server
 * @returns Where it listens
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
 * Closes a server and its connections.
 *
 * @param server The server
 */
export async function closeListener (server: HttpServer): Promise<void> {
  server.closeAllConnections()
  await new Promise<void>(resolve => server.close(() => resolve()))
}
