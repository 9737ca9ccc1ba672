/**
 * HTTP client of the JSON interfaces of an instance.
 *
 * @module
 */
import type { Result } from 'neverthrow'
import { readFileSync } from 'node:fs'
import { createBodyReader, isUnsentError } from '@bilberryworks/steering'
import { err, ok } from 'neverthrow'
import { Agent } from 'undici'

const connectTimeoutMs = 3_000
const defaultTimeoutMs = 10_000
/** Largest accepted response, in bytes: the status of all instances of a large fleet. */
const maxResponseBytes = 67_108_864

/** A request. */
export interface ApiCall {
  /** Request method. */
  method: 'GET' | 'PUT'
  /** Path with its leading slash. */
  path: string
  /** Header fields in addition to the bearer token. */
  headers?: Record<string, string>
  /** Body, sent as JSON. */
  body?: unknown
}

/** A response. */
export interface ApiResponse {
  /** Status code. */
  status: number
  /** The parsed body; `undefined` if it is not JSON. */
  body: unknown
}

/** A request to which no response was received. */
export interface ApiFailure {
  /** Whether no byte of the request was sent. */
  isUnsent: boolean
  /** The cause, in one sentence. */
  detail: string
}

/** Options of {@linkcode createApiClient}. */
export interface CreateApiClientOptions {
  /** Origin of the instance: `http://host:port` or `https://host:port`. */
  endpoint: string
  /** File that holds the bearer token; no token is sent by default. */
  tokenFile?: string | undefined
  /** PEM file of the certificate authority, for `https`; the authorities that Node.js trusts by default. */
  caFile?: string | undefined
  /** Timeout of a request, in milliseconds; 10,000 by default. */
  timeoutMs?: number
}

/** The client of one endpoint. */
export interface ApiClient extends AsyncDisposable {
  /** Sends a request. Fails if no complete response arrives in time. */
  send (call: ApiCall): Promise<Result<ApiResponse, ApiFailure>>
}

/**
 * Creates a client of one endpoint.
 *
 * @param options The endpoint, the files of its token and certificate authority, and the timeout
 * @returns The client; dispose it to close its connections
 * @throws {Error} If the token file or the CA file can't be read
 */
export function createApiClient (options: CreateApiClientOptions): ApiClient {
  const token = options.tokenFile === undefined ? undefined : readFileSync(options.tokenFile, 'utf8').trim()
  const ca = options.caFile === undefined ? {} : { ca: readFileSync(options.caFile, 'utf8') }
  const agent = new Agent({ connect: { timeout: connectTimeoutMs, ...ca } })
  const authorization = token === undefined ? {} : { authorization: `Bearer ${token}` }
  const bodyReader = createBodyReader({ getNowMs: () => performance.now(), schedule: setTimeout })
  return {
    async send (call) {
      try {
        const response = await agent.request({
          origin: options.endpoint,
          method: call.method,
          path: call.path,
          headers: { accept: 'application/json', 'content-type': 'application/json', ...authorization, ...call.headers },
          body: call.body === undefined ? null : JSON.stringify(call.body),
          signal: AbortSignal.timeout(options.timeoutMs ?? defaultTimeoutMs)
        })
        const content = await bodyReader.read(response.body, { maxBytes: maxResponseBytes })
        return ok({ status: response.statusCode, body: parseJson(content.toString('utf8')) })
      } catch (error) {
        const isUnsent = isUnsentError(error)
        return err({ isUnsent, detail: `${call.method} ${options.endpoint}${call.path}: ${(error as Error).message}` })
      }
    },
    async [Symbol.asyncDispose] () {
      await agent.destroy()
    }
  }
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
