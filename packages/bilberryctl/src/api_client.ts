/**
 * Calls the JSON interfaces of an instance.
 *
 * @module
 */
import type { Result } from 'neverthrow'
import { readFileSync } from 'node:fs'
import { isUnsentError } from '@bilberryworks/steering'
import { err, ok } from 'neverthrow'
import { Agent } from 'undici'

const connectTimeoutMs = 3_000
const defaultTimeoutMs = 10_000

/** A call. */
export interface ApiCall {
  /** HTTP method. */
  method: 'GET' | 'PUT'
  /** Path with its leading slash. */
  path: string
  /** Header fields beside the token. */
  headers?: Record<string, string>
  /** Body, sent as JSON. */
  body?: unknown
}

/** An answer. */
export interface ApiResponse {
  /** HTTP status. */
  status: number
  /** The parsed body; `undefined` where it is not JSON. */
  body: unknown
}

/** A call without an answer. */
export interface ApiFailure {
  /** Whether no byte of the call was sent. */
  isUnsent: boolean
  /** One sentence with the cause. */
  detail: string
}

/** Options of {@linkcode createApiClient}. */
export interface CreateApiClientOptions {
  /** `http://host:port` or `https://host:port`. */
  endpoint: string
  /** File that holds the token; none is sent where absent. */
  tokenFile?: string | undefined
  /** PEM file of the certificate authority, for `https`. */
  caFile?: string | undefined
  /** Milliseconds until a call is given up on; 10,000 by default. */
  timeoutMs?: number
}

/** The client of one endpoint. */
export interface ApiClient extends AsyncDisposable {
  /** Makes a call. */
  send (call: ApiCall): Promise<Result<ApiResponse, ApiFailure>>
}

/**
 * Creates a client.
 *
 * @param options The endpoint and the token
 * @returns The client; dispose it to close its connections
 * @throws {Error} If a file can't be read
 */
export function createApiClient (options: CreateApiClientOptions): ApiClient {
  const token = options.tokenFile === undefined ? undefined : readFileSync(options.tokenFile, 'utf8').trim()
  const ca = options.caFile === undefined ? {} : { ca: readFileSync(options.caFile, 'utf8') }
  const agent = new Agent({ connect: { timeout: connectTimeoutMs, ...ca } })
  const authorization = token === undefined ? {} : { authorization: `Bearer ${token}` }
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
        return ok({ status: response.statusCode, body: parseJson(await response.body.text()) })
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
