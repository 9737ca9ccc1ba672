/**
 * A caller that asks the look-up, sends to the entry instance named and checks what it gets.
 *
 * @module
 */
import type { Agent } from 'undici'
import { createHash } from 'node:crypto'

const maxAttempts = 4
const fallbackRetryMs = 300

/** The answer to a look-up. */
export interface LookUpAnswer {
  ttlSeconds: number
  pin: string
  entries: Array<{ instance: string, address: string }>
}

/** A request that a caller makes. */
export interface CallerRequest {
  /** Name of the service. */
  service: string
  /** HTTP method. */
  method: 'GET' | 'POST' | 'PUT'
  /** Path behind the service's name. */
  path: string
  /** Tag that the target gives back. */
  order: string
  /** The body. */
  body: Buffer | undefined
  /** Idempotency key. */
  key: string | undefined
}

/** How a request ended for its caller. */
export interface CallerResult {
  /** The last outcome. */
  outcome: 'answered' | 'not-run' | 'unknown'
  /** Whether the answer was cut off, or not the caller's own. */
  broken: boolean
  /** Milliseconds from the first attempt to the end. */
  elapsedMs: number
}

/** Options of {@linkcode sendAsCaller}. */
export interface SendAsCallerOptions {
  /** Connections of the caller. */
  agent: Agent
  /** `host:port` of instances that answer look-ups. */
  instances: string[]
  /** IP number of the caller. */
  client: string
}

/**
 * Sends a request as a caller does: by way of the look-up, again under the same key where that is safe.
 *
 * @param request The request
 * @param options The caller
 * @returns How it ended
 */
export async function sendAsCaller (request: CallerRequest, options: SendAsCallerOptions): Promise<CallerResult> {
  const startedMs = performance.now()
  let result: CallerResult = { outcome: 'not-run', broken: false, elapsedMs: 0 }
  let lookUp: LookUpAnswer | undefined
  for (let attempt = 0; attempt < maxAttempts; attempt++) {
    const fresh = await askLookUp(request.service, options, attempt)
    lookUp = request.key === undefined || lookUp === undefined ? fresh : { ...fresh ?? lookUp, pin: lookUp.pin }
    const entry = lookUp?.entries[attempt % lookUp.entries.length]
    if (lookUp === undefined || entry === undefined) continue
    const reply = await sendOnce(request, { ...options, address: entry.address, pin: lookUp.pin })
    result = { ...reply, elapsedMs: performance.now() - startedMs }
    if (reply.outcome === 'answered' || (reply.outcome === 'unknown' && request.method !== 'GET')) return result
    await new Promise(resolve => setTimeout(resolve, fallbackRetryMs))
  }
  return result
}

async function askLookUp (service: string, options: SendAsCallerOptions, attempt: number): Promise<LookUpAnswer | undefined> {
  const address = options.instances[attempt % options.instances.length]
  try {
    const answer = await options.agent.request({ origin: `http://${address}`, method: 'GET', path: `/v1/services/${service}/entries?client=${options.client}` })
    const body = await answer.body.json()
    return answer.statusCode === 200 ? body as LookUpAnswer : undefined
  } catch {
    return undefined
  }
}

async function sendOnce (request: CallerRequest, call: { agent: Agent, address: string, pin: string }): Promise<Omit<CallerResult, 'elapsedMs'>> {
  const headers: Record<string, string> = { 'x-order': request.order }
  if (request.key !== undefined) Object.assign(headers, { 'idempotency-key': request.key, 'bilberry-pin': call.pin })
  let answered = false
  try {
    const answer = await call.agent.request({
      origin: `http://${call.address}`, method: request.method, path: `/services/${request.service}${request.path}`, headers, body: request.body ?? null
    })
    const outcome = String(answer.headers['bilberry-outcome']) as CallerResult['outcome']
    answered = outcome === 'answered'
    const text = await answer.body.text()
    return { outcome, broken: answered && !isOwnAnswer(request, text) }
  } catch (error) {
    const refused = (error as { code?: string }).code === 'ECONNREFUSED'
    return { outcome: refused ? 'not-run' : 'unknown', broken: answered }
  }
}

function isOwnAnswer (request: CallerRequest, text: string): boolean {
  const answer = JSON.parse(text) as { order: string, bytes: number, sha256: string }
  const digest = createHash('sha256').update(request.body ?? '').digest('hex')
  return answer.order === request.order && answer.bytes === (request.body?.length ?? 0) && answer.sha256 === digest
}
