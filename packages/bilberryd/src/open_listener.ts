/**
 * Opens, drains and closes the HTTP listeners of an instance.
 *
 * @module
 */
import type { RequestListener, Server, ServerOptions } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { RefusalReason } from '@bilberryworks/steering'
import type Logger from 'bunyan'
import type { ListenerLog, ListenOnOptions } from './listen_on.ts'
import type { ListenSettings, TlsSettings } from './settings.ts'
import { once } from 'node:events'
import { createServer } from 'node:http'
import { createServer as createTlsServer, Server as TlsServer } from 'node:https'
import { createSecureContext } from 'node:tls'
import { applyGracefulClose, closeListener, countOpenResponses, handleClientErrors } from '@bilberryworks/callers'
import { ListenError, ListenerEvent, listenOn } from './listen_on.ts'
import { readPem } from './read_pem.ts'

const maxHeaderBytes = 16 * 1024
const defaultHeadersTimeoutMs = 10_000
const checksPerHeadersTimeout = 4
const keepAliveInitialDelayMs = 30_000
const idleCheckIntervalMs = 50

const eventTexts: Record<ListenerEvent, string> = {
  [ListenerEvent.Waiting]: 'Listener can not be opened yet: its address is tried again',
  [ListenerEvent.Opened]: 'Listener opened',
  [ListenerEvent.Failed]: 'Listener failed to accept a connection'
}

/** Options of {@linkcode openListener}. */
export interface OpenListenerOptions extends Omit<ListenOnOptions, 'address' | 'isNeeded'> {
  /** Maximum time that a client may take to send its header fields, in milliseconds; 10,000 by default. */
  headersTimeoutMs?: number
  /** Called for each connection that is refused because no valid request could be read from it. */
  countRefusal?: (reason: RefusalReason) => void
}

/** An open listener. */
export interface OpenListener extends AsyncDisposable {
  /** `host:port` that the listener is bound to. */
  address: string
  /** Counts the requests in progress. */
  countOpen (): number
  /** Stops accepting connections, closes idle ones and waits until the others are closed. */
  drain (): Promise<void>
  /** Loads a certificate; returns a function that applies it to new connections, and does nothing on a listener without TLS. Throws if the certificate or its key is invalid. */
  loadTls (tls: TlsSettings | undefined): () => void
}

/**
 * Creates a log of listeners.
 *
 * @param log Logger of the instance
 * @returns The log
 */
export function createListenerLog (log: Logger): ListenerLog {
  return {
    info: (event, fields) => log.info(fields, eventTexts[event]),
    warn: (event, fields) => log.warn(fields, eventTexts[event])
  }
}

/**
 * Opens an HTTP or HTTPS listener, as soon as its address is free.
 *
 * @param handler The handler of all requests
 * @param listen The address, and the certificate for HTTPS
 * @param options Name and log of the listener, the header timeout and the counter of refusals
 * @returns The listener; dispose it to close its connections immediately
 * @throws {ListenError} If the address can't be listened on within 30 s, or the signal is aborted before
 * @throws {Error} If the certificate can't be read
 */
export async function openListener (handler: RequestListener, listen: ListenSettings, options: OpenListenerOptions): Promise<OpenListener> {
  const server = createHttpServer(listen, options.headersTimeoutMs ?? defaultHeadersTimeoutMs)
  // Node.js silently drops header fields above a maximum count, so the count is unlimited and `maxHeaderSize` limits their size.
  server.maxHeadersCount = 0
  server.on('request', handler)
  // Without these listeners Node.js would respond by itself, without the outcome and reason header fields.
  server.on('checkExpectation', handler)
  handleClientErrors(server, options.countRefusal ?? (() => {}))
  const countOpen = countOpenResponses(server)
  applyGracefulClose(server)
  await listenOn(server, { ...options, address: listen })
  if (!server.listening) throw new ListenError(`Listener "${options.name}" is not opened, since a stop was requested`)
  return {
    address: formatAddress(server),
    countOpen,
    async drain () {
      // Connections that are busy when the listener closes become idle later and are closed then.
      const timer = setInterval(() => server.closeIdleConnections(), idleCheckIntervalMs)
      const closed = once(server, 'close')
      await closeListener(server)
      await closed
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
    connectionsCheckingInterval: headersTimeoutMs / checksPerHeadersTimeout,
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
