/**
 * Opens and closes the listeners of an instance.
 *
 * @module
 */
import type { RequestListener, Server, ServerOptions } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { RefusalReason } from '@bilberryworks/steering'
import type { ListenSettings, TlsSettings } from './settings.ts'
import { createServer } from 'node:http'
import { createServer as createTlsServer, Server as TlsServer } from 'node:https'
import { createSecureContext } from 'node:tls'
import { countOpenResponses, handleClientErrors } from '@bilberryworks/callers'
import { readPem } from './read_pem.ts'

const maxHeaderBytes = 16 * 1024
const defaultHeadersTimeoutMs = 10_000
const timeoutChecksPerPeriod = 4
const keepAliveInitialDelayMs = 30_000
const idleCheckIntervalMs = 50

/** Options of {@linkcode openListener}. */
export interface OpenListenerOptions {
  /** Longest time that a client may take to send its header fields, in milliseconds; 10,000 by default. */
  headersTimeoutMs?: number
  /** Called for each connection that was refused before a request could be read. */
  countRefusal?: (reason: RefusalReason) => void
}

/** An open listener. */
export interface OpenListener extends AsyncDisposable {
  /** `host:port` that it listens on. */
  address: string
  /** Counts the requests that have not ended. */
  countOpen (): number
  /** Takes no new connections, closes idle ones and waits until the others have ended. */
  drain (): Promise<void>
  /** Reads a certificate; returns the function that uses it for new connections, which does nothing without TLS. */
  loadTls (tls: TlsSettings | undefined): () => void
}

/**
 * Opens a listener.
 *
 * @param handler Handles its requests
 * @param listen Where to listen
 * @param options Time-outs and counters
 * @returns The listener; dispose it to close its connections at once
 * @throws {Error} If the address can't be listened on, or the certificate can't be read
 */
export async function openListener (handler: RequestListener, listen: ListenSettings, options: OpenListenerOptions = {}): Promise<OpenListener> {
  const server = createHttpServer(listen, options.headersTimeoutMs ?? defaultHeadersTimeoutMs)
  // Header fields above a count would be dropped in silence; their size is bounded instead.
  server.maxHeadersCount = 0
  server.on('request', handler)
  // Without these listeners Node.js would answer by itself, without outcome and reason.
  server.on('checkExpectation', handler)
  handleClientErrors(server, options.countRefusal ?? (() => {}))
  const countOpen = countOpenResponses(server)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(listen.port, listen.host, resolve)
  })
  return {
    address: formatAddress(server),
    countOpen,
    async drain () {
      // A connection that was busy when the listener closed becomes idle later.
      const timer = setInterval(() => server.closeIdleConnections(), idleCheckIntervalMs)
      await closeServer(server)
      clearInterval(timer)
    },
    loadTls (tls) {
      if (tls === undefined || !(server instanceof TlsServer)) return () => {}
      const context = readCertificate(tls)
      createSecureContext(context)
      return () => server.setSecureContext(context)
    },
    async [Symbol.asyncDispose] () {
      server.closeAllConnections()
      await closeServer(server)
    }
  }
}

function createHttpServer (listen: ListenSettings, headersTimeoutMs: number): Server {
  const http: ServerOptions = {
    maxHeaderSize: maxHeaderBytes,
    headersTimeout: headersTimeoutMs,
    connectionsCheckingInterval: headersTimeoutMs / timeoutChecksPerPeriod,
    requestTimeout: 0,
    requireHostHeader: false,
    keepAlive: true,
    keepAliveInitialDelay: keepAliveInitialDelayMs
  }
  return listen.tls === undefined ? createServer(http) : createTlsServer({ ...http, ...readCertificate(listen.tls) })
}

function readCertificate (tls: TlsSettings): { cert: string, key: string } {
  return { cert: readPem(tls.certificate), key: readPem(tls.key) }
}

async function closeServer (server: Server): Promise<void> {
  await new Promise<void>(resolve => server.close(() => resolve()))
}

function formatAddress (server: Server): string {
  const { address, port } = server.address() as AddressInfo
  return address.includes(':') ? `[${address}]:${port}` : `${address}:${port}`
}
