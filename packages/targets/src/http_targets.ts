/**
 * A target client that uses a pool of HTTP connections.
 *
 * @module
 */
import type { HeaderFields, TargetRecord } from '@bilberryworks/steering'
import type { Result } from 'neverthrow'
import type { TargetResponse, TargetClient, TargetFailure, TargetLoad, TargetRequest } from './targets.ts'
import { collectHeaders, createBodyReader, detachBody, getFailureSide, isLocalFailure, isUnsentError } from '@bilberryworks/steering'
import { err, ok } from 'neverthrow'
import { Agent } from 'undici'
import { TargetFailureKind } from './targets.ts'

const connectTimeoutMs = 1_000
const controlTimeoutMs = 1_000
const keepAliveMs = 4_000
/** Largest response to a control call, in bytes: a few numbers. */
const maxControlBytes = 65_536
/** Largest body of a refusal that is read so that its connection can be used again, in bytes. */
const maxDiscardedBytes = 131_072

/** Response header in which a target states that it did not run the request. */
const outcomeHeader = 'bilberry-outcome'
/** Request header with the identifier of the request; a target may repeat it in the response. */
const requestIdHeader = 'bilberry-request-id'
/** Response header in which a target states that it is shutting down. */
const stateHeader = 'bilberry-target-state'

/** Options of {@linkcode createHttpTargets}. */
export interface CreateHttpTargetsOptions {
  /** Maximum number of connections to each target; 8 by default. */
  connectionsPerTarget?: number
  /** Local address of outgoing connections; chosen by the operating system by default. */
  localAddress?: string
}

/**
 * Creates a target client.
 *
 * @param options Connection limit and local address
 * @returns The client; dispose it to close its connections
 */
export function createHttpTargets (options: CreateHttpTargetsOptions = {}): TargetClient {
  const { connectionsPerTarget = 8, ...agentOptions } = options
  const agent = new Agent({
    connections: connectionsPerTarget,
    pipelining: 1,
    keepAliveTimeout: keepAliveMs,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: { timeout: connectTimeoutMs },
    ...agentOptions
  })
  const bodyReader = createBodyReader({ getNowMs: () => performance.now(), schedule: setTimeout })

  async function readJson<T> (target: TargetRecord, call: { method: 'GET' | 'DELETE', path: string }): Promise<T | undefined> {
    try {
      const response = await agent.request({ origin: `http://${target.address}`, ...call, signal: AbortSignal.timeout(controlTimeoutMs) })
      if (response.statusCode !== 200) {
        await bodyReader.discard(response.body, maxControlBytes)
        return undefined
      }
      const content = await bodyReader.read(response.body, { maxBytes: maxControlBytes })
      return JSON.parse(content.toString('utf8')) as T
    } catch {
      return undefined
    }
  }

  return {
    async send (target: TargetRecord, request: TargetRequest): Promise<Result<TargetResponse, TargetFailure>> {
      const timeout = AbortSignal.timeout(Math.max(1, Math.ceil(request.deadlineMs)))
      try {
        const response = await agent.request({
          origin: `http://${target.address}`,
          method: request.method,
          path: request.path,
          headers: { ...request.headers, [requestIdHeader]: request.requestId, 'bilberry-deadline-ms': String(Math.floor(request.deadlineMs)) },
          body: request.method === 'GET' || request.method === 'HEAD' ? null : detachBody(request.body),
          signal: AbortSignal.any([timeout, request.signal])
        })
        const headers = collectHeaders(response.headers)
        const leaving = headers[stateHeader] === 'leaving'
        const isOwn = isOwnResponse(request, headers)
        if (isOwn && response.statusCode === 503 && headers[outcomeHeader] === 'not-run') {
          bodyReader.discard(response.body, maxDiscardedBytes)
          return err({ kind: TargetFailureKind.Refused, detail: `Target "${target.target}" refused the request`, leaving })
        }
        const fault = findFault(request, response.statusCode, headers)
        if (fault !== undefined) {
          response.body.on('error', () => {}).destroy()
          return err({ kind: TargetFailureKind.Lost, detail: `Target "${target.target}": ${fault}`, leaving })
        }
        return ok({ status: response.statusCode, headers, body: response.body, leaving })
      } catch (error) {
        return err(describeError(error, target, timeout.aborted))
      }
    },
    async cancel (target: TargetRecord, requestId: string): Promise<boolean> {
      const path = `/bilberry/requests/${encodeURIComponent(requestId)}`
      const reply = await readJson<{ done: boolean }>(target, { method: 'DELETE', path })
      return reply?.done ?? false
    },
    async readLoad (target: TargetRecord): Promise<TargetLoad | undefined> {
      return readJson<TargetLoad>(target, { method: 'GET', path: '/bilberry/load' })
    },
    async [Symbol.asyncDispose] () {
      await agent.destroy()
    }
  }
}

/** Returns whether a response names its request, or none: a target may write an earlier response once more. */
function isOwnResponse ({ requestId }: TargetRequest, headers: HeaderFields): boolean {
  return headers[requestIdHeader] === undefined || headers[requestIdHeader] === requestId
}

/** Returns why a response can't be forwarded, or `undefined` if it belongs to the request and states where its body ends. */
function findFault (request: TargetRequest, status: number, headers: HeaderFields): string | undefined {
  if (!isOwnResponse(request, headers)) return `Response has the identifier "${String(headers[requestIdHeader])}" of another request`
  const isBodiless = request.method === 'HEAD' || status === 204 || status === 304
  const isFramed = headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
  return isBodiless || isFramed ? undefined : 'Response has neither Content-Length nor Transfer-Encoding, so a truncated body can\'t be detected'
}

function describeError (error: unknown, target: TargetRecord, isTimedOut: boolean): TargetFailure {
  const detail = `Target "${target.target}": ${(error as Error).message}`
  if (isUnsentError(error)) {
    const isLocal = isLocalFailure(getFailureSide((error as NodeJS.ErrnoException).code))
    return { kind: isLocal ? TargetFailureKind.RefusedLocally : TargetFailureKind.ConnectFailed, detail, leaving: false }
  }
  const kind = isTimedOut ? TargetFailureKind.TimedOut : TargetFailureKind.Lost
  return { kind, detail, leaving: false }
}
