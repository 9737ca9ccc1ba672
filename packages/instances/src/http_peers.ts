/**
 * HTTP client of the other instances: JSON-RPC 2.0 calls for control traffic, and streamed forwarding of callers' requests.
 *
 * @module
 */
import type { HeaderFields, InstanceRecord, Refusal, ServiceResponse, ServiceRequest } from '@bilberryworks/steering'
import type { JSONRPCResponse } from 'json-rpc-2.0'
import type { Result } from 'neverthrow'
import type { ForwardFailure, PeerCallOptions, PeerClient, PeerFailure } from './peers.ts'
import { collectHeaders, createBodyReader, createNotRunRefusal, createUnknownRefusal, detachBody, isUnsentError, Outcome, RefusalReason } from '@bilberryworks/steering'
import { createJSONRPCRequest } from 'json-rpc-2.0'
import { err, ok } from 'neverthrow'
import { Agent } from 'undici'
import { PeerFailureKind } from './peers.ts'

const connectTimeoutMs = 1_000
const defaultCallTimeoutMs = 1_000
const keepAliveMs = 4_000
const peerRetryAfterMs = 1_000
/** Largest response to a call, in bytes. */
const maxReplyBytes = 8_388_608
/** Largest body of a refusal that is read so that its connection can be used again, in bytes. */
const maxDiscardedBytes = 131_072
/** Share of the remaining time that is withheld from the peer's deadline, so that a refusal by the peer arrives before this instance times out. */
const responseReserveShare = 0.1
/** Largest time that is withheld from the peer's deadline, in milliseconds. */
const maxResponseReserveMs = 250

/** Options of {@linkcode createHttpPeers}. */
export interface CreateHttpPeersOptions {
  /** Returns the peer key, which authenticates each call. */
  getKey: () => string
  /** Certificate authority of the peers' certificates, and the server name in them; plain TCP by default. */
  tls?: { ca: string, servername?: string }
  /** Local address of outgoing connections; chosen by the operating system by default. */
  localAddress?: string
  /** Region of this instance. Sent to peers, so that they charge the bytes of the response to the link to this region. */
  region?: string
  /** Called with the header fields of a peer's response to a forwarded request, including refusals. */
  recordResponse?: (service: string, instance: string, headers: HeaderFields) => void
  /** Largest number of connections to one peer; 64 by default. */
  connectionsPerPeer?: number
}

/**
 * Creates a client of the other instances.
 *
 * @param options The peer key and the options of the connections
 * @returns The client; dispose it to close its connections
 */
export function createHttpPeers (options: CreateHttpPeersOptions): PeerClient {
  const { getKey, tls, region, recordResponse, connectionsPerPeer = 64, ...agentOptions } = options
  const agent = new Agent({
    connections: connectionsPerPeer,
    pipelining: 1,
    keepAliveTimeout: keepAliveMs,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: { timeout: connectTimeoutMs, ...tls },
    ...agentOptions
  })
  const scheme = tls === undefined ? 'http' : 'https'
  const createAuthorization = (): string => `Bearer ${getKey()}`
  const bodyReader = createBodyReader({ getNowMs: () => performance.now(), schedule: setTimeout })
  let nextId = 1

  return {
    async call<T> (peerAddress: string, method: string, call: PeerCallOptions): Promise<Result<T, PeerFailure>> {
      try {
        const body = JSON.stringify(createJSONRPCRequest(nextId++, method, call.params))
        const response = await agent.request({
          origin: `${scheme}://${peerAddress}`,
          method: 'POST',
          path: '/rpc',
          headers: { authorization: createAuthorization(), 'content-type': 'application/json' },
          body,
          signal: AbortSignal.timeout(call.timeoutMs ?? defaultCallTimeoutMs)
        })
        const content = await bodyReader.read(response.body, { maxBytes: maxReplyBytes })
        call.recordBytes?.(Buffer.byteLength(body) + content.length)
        if (response.statusCode !== 200) return err({ kind: PeerFailureKind.Refused, detail: `${method} returned status ${response.statusCode}` })
        const reply = JSON.parse(content.toString('utf8')) as JSONRPCResponse
        if (reply.error !== undefined) return err({ kind: PeerFailureKind.Refused, detail: reply.error.message })
        return ok(reply.result as T)
      } catch (error) {
        const kind = isUnsentError(error) ? PeerFailureKind.ConnectFailed : PeerFailureKind.NoResponse
        return err({ kind, detail: `${method} at ${peerAddress}: ${(error as Error).message}` })
      }
    },
    async forward (peer: InstanceRecord, request: ServiceRequest, remainingMs: number): Promise<Result<ServiceResponse, ForwardFailure>> {
      const timeout = AbortSignal.timeout(Math.max(1, Math.ceil(remainingMs)))
      try {
        const response = await agent.request({
          origin: `${scheme}://${peer.peerAddress}`,
          method: request.method as 'GET',
          path: `/services/${request.service}${request.path}`,
          headers: { ...request.headers, ...createForwardHeaders(request, { remainingMs, region }), 'bilberry-peer-key': createAuthorization() },
          body: request.method === 'GET' || request.method === 'HEAD' ? null : detachBody(request.body),
          // A request with an idempotency key continues after its caller disconnects, so that a retry gets the retained response.
          signal: request.idempotencyKey === undefined ? AbortSignal.any([timeout, request.signal]) : timeout
        })
        const headers = collectHeaders(response.headers)
        recordResponse?.(request.service, peer.instance, headers)
        if (headers['bilberry-outcome'] === Outcome.Answered) {
          return ok({ status: response.statusCode, headers, body: response.body })
        }
        bodyReader.discard(response.body, maxDiscardedBytes)
        return err({ isUnsent: false, refusal: parseRefusal(headers, peer) })
      } catch (error) {
        return err(describeForwardError(error, { peer, hasTimedOut: timeout.aborted }))
      }
    },
    async [Symbol.asyncDispose] () {
      await agent.destroy()
    }
  }
}

function createForwardHeaders (request: ServiceRequest, hop: { remainingMs: number, region: string | undefined }): HeaderFields {
  const fields: HeaderFields = {
    'bilberry-request-id': request.requestId,
    'bilberry-caller': request.callerKey,
    'bilberry-hops': String(request.hops + 1),
    'bilberry-deadline-ms': String(Math.max(0, Math.floor(hop.remainingMs - Math.min(maxResponseReserveMs, hop.remainingMs * responseReserveShare))))
  }
  if (request.idempotencyKey !== undefined) fields['idempotency-key'] = request.idempotencyKey
  if (hop.region !== undefined) fields['bilberry-origin-region'] = hop.region
  if (request.pin !== undefined) fields['bilberry-pin'] = request.pin
  return fields
}

function parseRefusal (headers: HeaderFields, peer: InstanceRecord): Refusal {
  const reason = headers['bilberry-reason'] as RefusalReason
  const isKnownReason = Object.values(RefusalReason).includes(reason)
  if (!isKnownReason || headers['bilberry-outcome'] !== Outcome.NotRun) {
    return createUnknownRefusal(isKnownReason ? reason : RefusalReason.PeerLost, `Instance "${peer.instance}" did not report whether the request ran`)
  }
  const retryAfterMs = Number(headers['bilberry-retry-after-ms'])
  const detail = `Instance "${peer.instance}" refused the request`
  return createNotRunRefusal(reason, detail, retryAfterMs > 0 ? retryAfterMs : undefined)
}

function describeForwardError (error: unknown, call: { peer: InstanceRecord, hasTimedOut: boolean }): ForwardFailure {
  const name = call.peer.instance
  if (isUnsentError(error)) {
    return { isUnsent: true, refusal: createNotRunRefusal(RefusalReason.PeerUnreachable, `Instance "${name}" can't be reached`, peerRetryAfterMs) }
  }
  const reason = call.hasTimedOut ? RefusalReason.TargetTimeout : RefusalReason.PeerLost
  return { isUnsent: false, refusal: createUnknownRefusal(reason, `Request to instance "${name}" may have run, but no response arrived: ${(error as Error).message}`) }
}
