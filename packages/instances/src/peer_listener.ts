/**
 * Request handler of the listener for peers: authenticates them, and serves JSON-RPC calls and forwarded requests.
 *
 * @module
 */
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http'
import type { BodyReader } from '@bilberryworks/steering'
import { createHash, timingSafeEqual } from 'node:crypto'
import { BodyTooLargeError, createBodyReader, Outcome, RefusalReason } from '@bilberryworks/steering'
import { createJSONRPCErrorResponse, JSONRPCServer } from 'json-rpc-2.0'

const maxRpcBytes = 4 * 1024 * 1024
/** Size of a body from which its connection is closed without a reply, in bytes: several times what any method accepts. */
const maxDiscardedBytes = 4 * maxRpcBytes

/** A JSON-RPC method. An error that it throws is returned to the peer as an error response. */
export type PeerMethod = (params: unknown) => Promise<unknown> | unknown

/** Options of {@linkcode createPeerHandler}. */
export interface CreatePeerHandlerOptions {
  /** Lists the valid peer keys; there are two while a key is being rotated. */
  listKeys: () => string[]
  /** JSON-RPC methods by name. */
  methods: Record<string, PeerMethod>
  /** Handles a request that a peer has forwarded. */
  handleForward: (request: IncomingMessage, response: ServerResponse) => void
  /** Called for each call without a valid key. */
  countUnauthenticated: () => void
}

/**
 * Creates the request handler of the listener for peers.
 *
 * @param options The peer keys, the methods and the handler of forwarded requests
 * @returns A handler for `node:http`
 */
export function createPeerHandler (options: CreatePeerHandlerOptions): RequestListener {
  const bodyReader = createBodyReader({ getNowMs: () => performance.now(), schedule: setTimeout })
  const server = new JSONRPCServer()
  for (const [name, method] of Object.entries(options.methods)) server.addMethod(name, method)

  return (request, response) => {
    const isForwarded = request.url?.startsWith('/services/') === true
    const credentials = isForwarded ? request.headers['bilberry-peer-key'] : request.headers.authorization
    if (!isAuthentic(String(credentials ?? ''), options.listKeys())) {
      options.countUnauthenticated()
      response.writeHead(401, { connection: 'close', 'content-type': 'application/problem+json', 'bilberry-outcome': Outcome.NotRun, 'bilberry-reason': RefusalReason.Unauthenticated })
      response.end(JSON.stringify({ type: `urn:bilberryworks:${RefusalReason.Unauthenticated}`, title: RefusalReason.Unauthenticated, status: 401 }))
      return
    }
    if (isForwarded) {
      delete request.headers['bilberry-peer-key']
      options.handleForward(request, response)
      return
    }
    handleRpc(request, response, { server, bodyReader })
  }
}

function isAuthentic (credentials: string, keys: string[]): boolean {
  const digest = createHash('sha256').update(credentials).digest()
  let isValid = false
  for (const key of keys) {
    const expected = createHash('sha256').update(`Bearer ${key}`).digest()
    if (timingSafeEqual(digest, expected)) isValid = true
  }
  return isValid
}

function handleRpc (request: IncomingMessage, response: ServerResponse, { server, bodyReader }: { server: JSONRPCServer, bodyReader: BodyReader }): void {
  readText(request, bodyReader).then(async text => {
    const reply = text === undefined
      ? createJSONRPCErrorResponse(null, -32600, `Request body exceeds ${maxRpcBytes} bytes`)
      : await server.receiveJSON(text)
    response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(reply))
  }).catch(() => response.destroy())
}

/** Reads a body; `undefined` if it is too large. Such a body is read to its end: the connection would otherwise be reset, and the peer would lose the reply. */
async function readText (request: IncomingMessage, bodyReader: BodyReader): Promise<string | undefined> {
  try {
    const content = await bodyReader.read(request, { maxBytes: maxRpcBytes, maxDiscardedBytes })
    return content.toString('utf8')
  } catch (error) {
    if (error instanceof BodyTooLargeError && request.readableEnded) return undefined
    throw error
  }
}
