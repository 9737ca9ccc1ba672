/**
 * A caller that asks the look-up, sends to the entry instance named and checks what it gets.
 *
 * @module
 */
import type { Agent } from 'undici'
import { createHash } from 'node:crypto'

const maxAttempts = 4
const fallbackRetryMs = 300
const defaultAttemptMs = 10_000
const lookUpTimeoutMs = 1_000

type Reply = Omit<CallerResult, 'elapsedMs'> & {
  /** Whether the request can't have run in this attempt. */
  safe: boolean
  /** Milliseconds to wait before the next attempt. */
  retryMs: number
}

/** The answer to a look-up. */
export interface CallerLookUpResponse {
  ttlSeconds: number
  pin: string
  entries: Array<{ instance: string, address: string, pin: string }>
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
  /** Whether an answer was cut off, or not the caller's own. */
  broken: boolean
  /** Whether an answer that ended cleanly was not the caller's own whole answer. */
  wrong: boolean
  /** The reason of the last refusal. */
  reason: string | undefined
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
  /** Most attempts; 4 by default. */
  attempts?: number
  /** Milliseconds after which an attempt is given up on; 10 s by default. */
  attemptMs?: number
}

/**
 * Sends a request as a caller does: by way of the look-up, again under the same key where that is safe.
 *
 * The pin of the first attempt is kept once an attempt may have run; until then each look-up gives a new one.
 *
 * @param request The request
 * @param options The caller
 * @returns How it ended
 */
export async function sendAsCaller (request: CallerRequest, options: SendAsCallerOptions): Promise<CallerResult> {
  const startedMs = performance.now()
  let result: CallerResult = { outcome: 'not-run', broken: false, wrong: false, reason: undefined, elapsedMs: 0 }
  let lookUp: CallerLookUpResponse | undefined
  let pin: string | undefined
  const attempts = options.attempts ?? maxAttempts
  for (let attempt = 0; attempt < attempts; attempt++) {
    lookUp = await askLookUp(request.service, options, attempt + startedMs) ?? lookUp
    const entry = lookUp?.entries[attempt % lookUp.entries.length]
    if (lookUp === undefined || entry === undefined) continue
    const usedPin = pin ?? entry.pin
    const { safe, retryMs, ...reply } = await sendOnce(request, { ...options, address: entry.address, pin: usedPin })
    if (!safe) pin = usedPin
    result = { ...reply, broken: reply.broken || result.broken, wrong: reply.wrong || result.wrong, elapsedMs: performance.now() - startedMs }
    if (pin !== undefined && result.outcome === 'not-run') result.outcome = 'unknown'
    if (reply.outcome === 'answered' && !reply.broken) return result
    if (reply.outcome === 'unknown' && reply.reason !== undefined && request.method !== 'GET') return result
    if (attempt + 1 < attempts) await new Promise(resolve => setTimeout(resolve, retryMs))
  }
  return result
}

async function askLookUp (service: string, options: SendAsCallerOptions, attempt: number): Promise<CallerLookUpResponse | undefined> {
  const address = options.instances[Math.floor(attempt) % options.instances.length]
  try {
    const answer = await options.agent.request({ origin: `http://${address}`, method: 'GET', path: `/v1/services/${service}/entries?client=${options.client}`, signal: AbortSignal.timeout(lookUpTimeoutMs) })
    const body = await answer.body.json()
    return answer.statusCode === 200 ? body as CallerLookUpResponse : undefined
  } catch {
    return undefined
  }
}

async function sendOnce (request: CallerRequest, call: SendAsCallerOptions & { address: string, pin: string }): Promise<Reply> {
  const attemptMs = call.attemptMs ?? defaultAttemptMs
  const headers: Record<string, string> = { 'x-order': request.order, 'bilberry-deadline-ms': String(attemptMs) }
  if (request.key !== undefined) Object.assign(headers, { 'idempotency-key': request.key, 'bilberry-pin': call.pin })
  let answered = false
  try {
    const answer = await call.agent.request({
      origin: `http://${call.address}`, method: request.method, path: `/services/${request.service}${request.path}`, headers, body: request.body ?? null, signal: AbortSignal.timeout(attemptMs)
    })
    const outcome = String(answer.headers['bilberry-outcome']) as CallerResult['outcome']
    answered = outcome === 'answered'
    const text = await answer.body.text()
    const wrong = answered && !isOwnAnswer(request, text)
    const reason = answer.headers['bilberry-reason']
    return { outcome, broken: wrong, wrong, reason: reason === undefined ? undefined : String(reason), safe: outcome === 'not-run', retryMs: Number(answer.headers['bilberry-retry-after-ms'] ?? fallbackRetryMs) }
  } catch (error) {
    const refused = (error as { code?: string }).code === 'ECONNREFUSED'
    return { outcome: refused ? 'not-run' : 'unknown', broken: answered, wrong: false, reason: undefined, safe: refused, retryMs: fallbackRetryMs }
  }
}

function isOwnAnswer (request: CallerRequest, text: string): boolean {
  try {
    const answer = JSON.parse(text) as { order: string, bytes: number, sha256: string }
    const digest = createHash('sha256').update(request.body ?? '').digest('hex')
    return answer.order === request.order && answer.bytes === (request.body?.length ?? 0) && answer.sha256 === digest
  } catch {
    return false
  }
}
