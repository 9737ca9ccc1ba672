/**
 * The platform over HTTP.
 *
 * @module
 */
import type { Dispatcher } from 'undici'
import type { Result } from 'neverthrow'
import type { MachineList, Platform, PlatformCallOptions, PlatformFailure, TableRow, TableWrite } from './platform.ts'
import { isUnsentError } from '@bilberryworks/steering'
import { err, ok } from 'neverthrow'
import { Agent } from 'undici'
import { PlatformFailureKind } from './platform.ts'

const defaultTimeoutMs = 2_000
const connectTimeoutMs = 1_000
const maxConnections = 8
const notModified = 304

/** Options of {@linkcode createHttpPlatform}. */
export interface CreateHttpPlatformOptions {
  /** Local address of outgoing connections; the system's choice where absent. */
  localAddress?: string
}

/** A platform client that owns connections. */
export interface HttpPlatform extends Platform, AsyncDisposable {}

interface Reply {
  status: number
  body: Buffer
  etag: string | undefined
}

/**
 * Creates a client of the platform.
 *
 * Times out after 2 seconds where a call names no other time.
 *
 * @param baseUrl `http://host:port` of the platform
 * @param options Where connections start
 * @returns The client; dispose it to close its connections
 */
export function createHttpPlatform (baseUrl: string, options: CreateHttpPlatformOptions = {}): HttpPlatform {
  const agent = new Agent({
    connections: maxConnections,
    connect: { timeout: connectTimeoutMs },
    ...options
  })

  /** The list read last, which a conditional read may confirm. */
  let listed: { etag: string | undefined, machines: MachineList } | undefined

  async function send (method: Dispatcher.HttpMethod, path: string, call: PlatformCallOptions & { body?: Uint8Array | string, etag?: string | undefined }): Promise<Result<Reply, PlatformFailure>> {
    try {
      const request = { origin: baseUrl, method, path, signal: AbortSignal.timeout(call.timeoutMs ?? defaultTimeoutMs), body: call.body ?? null, headers: call.etag === undefined ? {} : { 'if-none-match': call.etag } }
      const answer = await agent.request(request)
      const body = Buffer.from(await answer.body.arrayBuffer())
      if (answer.statusCode === 503) return fail(PlatformFailureKind.Unavailable, `${method} ${path} was refused with 503`)
      if (answer.statusCode >= 500) return fail(PlatformFailureKind.Unknown, `${method} ${path} ended with ${answer.statusCode}`)
      const { etag } = answer.headers
      return ok({ status: answer.statusCode, body, etag: typeof etag === 'string' ? etag : undefined })
    } catch (error) {
      return err(describeError(error, `${method} ${path}`))
    }
  }

  return {
    async readRow (table, key, call = {}) {
      const reply = await send('GET', `/tables/${encodeURIComponent(table)}/${encodeURIComponent(key)}`, call)
      return reply.map(({ status, body }) => status === 404 ? undefined : parseJson<TableRow>(body))
    },
    async listRows (table, prefix, call = {}) {
      const reply = await send('GET', `/tables/${encodeURIComponent(table)}?prefix=${encodeURIComponent(prefix)}`, call)
      return reply.map(({ body }) => parseJson<{ rows: TableRow[] }>(body).rows)
    },
    async writeRows (writes: TableWrite[], call = {}) {
      const reply = await send('POST', '/transactions', { ...call, body: JSON.stringify({ writes }) })
      return reply.andThen(({ status, body }) => status === 409 ? err(parseConflict(body)) : ok(undefined))
    },
    async readObject (name, call = {}) {
      const reply = await send('GET', `/objects/${encodeURIComponent(name)}`, call)
      return reply.map(({ status, body }) => status === 404 ? undefined : new Uint8Array(body))
    },
    async writeObject (name, content, call = {}) {
      const reply = await send('PUT', `/objects/${encodeURIComponent(name)}`, { ...call, body: content })
      return reply.map(() => undefined)
    },
    async listMachines (call = {}) {
      const reply = await send('GET', '/machines', { ...call, etag: listed?.etag })
      return reply.map(({ status, body, etag }) => {
        if (status === notModified && listed !== undefined) return listed.machines
        const machines = parseJson<MachineList>(body)
        listed = { etag, machines }
        return machines
      })
    },
    async [Symbol.asyncDispose] () {
      await agent.destroy()
    }
  }
}

function fail<T> (kind: PlatformFailureKind, detail: string): Result<T, PlatformFailure> {
  return err({ kind, detail })
}

function parseJson<T> (body: Buffer): T {
  return JSON.parse(body.toString('utf8')) as T
}

function parseConflict (body: Buffer): PlatformFailure {
  const { conflicts } = parseJson<{ conflicts: Array<{ table: string, key: string }> }>(body)
  return { kind: PlatformFailureKind.Conflict, detail: 'A condition of the transaction did not hold', conflicts }
}

function describeError (error: unknown, call: string): PlatformFailure {
  const kind = isUnsentError(error) ? PlatformFailureKind.Unavailable : PlatformFailureKind.Unknown
  return { kind, detail: `${call} failed: ${(error as Error).message}` }
}
