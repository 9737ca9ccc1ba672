/**
 * Simulated caller that looks up entry instances, sends a request to one of them and verifies the response.
 *
 * @module
 */
import type { Agent } from 'undici'
import { createHash } from 'node:crypto'

const maxAttempts = 4
const defaultRetryMs = 300
const defaultAttemptMs = 10_000
const lookUpTimeoutMs = 1_000

type AttemptResult = Omit<CallerResult, 'elapsedMs'> & {
  /** Whether the request cannot have run in this attempt, so that a retry under a new pin is safe. */
  safe: boolean
  /** Time to wait before the next attempt, in milliseconds. */
  retryMs: number
}

/** Response body of a look-up of entry instances. */
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
  /** Path below `/services/NAME`, with its leading slash. */
  path: string
  /** Value of `X-Order`, a tag that the target records and returns in its response. */
  order: string
  /** Request body; `undefined` for none. */
  body: Buffer | undefined
  /** Idempotency key; `undefined` for none. */
  key: string | undefined
}

/** Result of a request over all its attempts. */
export interface CallerResult {
  /**
   * Outcome of the last attempt that sent the request; `unknown` in place of `not-run` if an earlier attempt may have
   * run. `not-run` if no attempt sent the request because all look-ups failed.
   */
  outcome: 'answered' | 'not-run' | 'unknown'
  /** Whether a response with outcome `answered` in any attempt was truncated or did not match the request. */
  hasInvalidResponse: boolean
  /** Whether a complete response with outcome `answered` in any attempt did not match the request. */
  hasMismatchedResponse: boolean
  /** Value of `Bilberry-Reason` in the response to the last attempt; `undefined` without that header or a response. */
  reason: string | undefined
  /** Time from the call to the end of the last attempt that sent the request, in milliseconds; 0 if none sent it. */
  elapsedMs: number
}

/** Options of {@linkcode sendAsCaller}. */
export interface SendAsCallerOptions {
  /** Agent that holds the connections of the caller. */
  agent: Agent
  /** `host:port` of the instances to send look-ups to. */
  instances: string[]
  /** IP address to state as that of the client in look-ups. */
  client: string
  /** Maximum number of attempts; 4 by default. */
  attempts?: number
  /** Time limit of an attempt, also sent as its deadline, in milliseconds; 10 s by default. */
  attemptMs?: number
}

/**
 * Sends a request as a caller would: each attempt looks up the entry instances and sends to one of them, and retries
 * reuse the idempotency key.
 *
 * Once an attempt may have run, all later attempts send its pin. Until then, each attempt sends the pin of its look-up.
 * There is no further attempt after a complete response with outcome `answered`, nor after an instance has reported an
 * unknown outcome with a reason for a request other than GET.
 *
 * @param request The request
 * @param options The caller's connections, addresses and limits
 * @returns The result over all attempts
 */
export async function sendAsCaller (request: CallerRequest, options: SendAsCallerOptions): Promise<CallerResult> {
  const startedMs = performance.now()
  let result: CallerResult = { outcome: 'not-run', hasInvalidResponse: false, hasMismatchedResponse: false, reason: undefined, elapsedMs: 0 }
  let lookUp: CallerLookUpResponse | undefined
  let pin: string | undefined
  const attempts = options.attempts ?? maxAttempts
  for (let attempt = 0; attempt < attempts; attempt++) {
    // Successive attempts send their look-ups to successive instances; the start time selects the first one.
    lookUp = await sendLookUp(request.service, options, attempt + startedMs) ?? lookUp
    const entry = lookUp?.entries[attempt % lookUp.entries.length]
    if (lookUp === undefined || entry === undefined) continue
    const usedPin = pin ?? entry.pin
    const { safe, retryMs, ...reply } = await sendOnce(request, { ...options, address: entry.address, pin: usedPin })
    if (!safe) pin = usedPin
    result = { ...reply, hasInvalidResponse: reply.hasInvalidResponse || result.hasInvalidResponse, hasMismatchedResponse: reply.hasMismatchedResponse || result.hasMismatchedResponse, elapsedMs: performance.now() - startedMs }
    if (pin !== undefined && result.outcome === 'not-run') result.outcome = 'unknown'
    if (reply.outcome === 'answered' && !reply.hasInvalidResponse) return result
    if (reply.outcome === 'unknown' && reply.reason !== undefined && request.method !== 'GET') return result
    if (attempt + 1 < attempts) await new Promise(resolve => setTimeout(resolve, retryMs))
  }
  return result
}

async function sendLookUp (service: string, options: SendAsCallerOptions, instanceIndex: number): Promise<CallerLookUpResponse | undefined> {
  const address = options.instances[Math.floor(instanceIndex) % options.instances.length]
  try {
    const response = await options.agent.request({ origin: `http://${address}`, method: 'GET', path: `/v1/services/${service}/entries?client=${options.client}`, signal: AbortSignal.timeout(lookUpTimeoutMs) })
    const body = await response.body.json()
    return response.statusCode === 200 ? body as CallerLookUpResponse : undefined
  } catch {
    return undefined
  }
}

async function sendOnce (request: CallerRequest, call: SendAsCallerOptions & { address: string, pin: string }): Promise<AttemptResult> {
  const attemptMs = call.attemptMs ?? defaultAttemptMs
  const headers: Record<string, string> = { 'x-order': request.order, 'bilberry-deadline-ms': String(attemptMs) }
  if (request.key !== undefined) Object.assign(headers, { 'idempotency-key': request.key, 'bilberry-pin': call.pin })
  let isAnswered = false
  try {
    const response = await call.agent.request({
      origin: `http://${call.address}`, method: request.method, path: `/services/${request.service}${request.path}`, headers, body: request.body ?? null, signal: AbortSignal.timeout(attemptMs)
    })
    const outcome = String(response.headers['bilberry-outcome']) as CallerResult['outcome']
    isAnswered = outcome === 'answered'
    const text = await response.body.text()
    const isMismatched = isAnswered && !isMatchingResponse(request, text)
    const reason = response.headers['bilberry-reason']
    return { outcome, hasInvalidResponse: isMismatched, hasMismatchedResponse: isMismatched, reason: reason === undefined ? undefined : String(reason), safe: outcome === 'not-run', retryMs: Number(response.headers['bilberry-retry-after-ms'] ?? defaultRetryMs) }
  } catch (error) {
    const isRefused = (error as { code?: string }).code === 'ECONNREFUSED'
    return { outcome: isRefused ? 'not-run' : 'unknown', hasInvalidResponse: isAnswered, hasMismatchedResponse: false, reason: undefined, safe: isRefused, retryMs: defaultRetryMs }
  }
}

function isMatchingResponse (request: CallerRequest, text: string): boolean {
  try {
    const response = JSON.parse(text) as { order: string, bytes: number, sha256: string }
    const digest = createHash('sha256').update(request.body ?? '').digest('hex')
    return response.order === request.order && response.bytes === (request.body?.length ?? 0) && response.sha256 === digest
  } catch {
    return false
  }
}
