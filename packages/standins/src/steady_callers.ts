/**
 * Simulated callers that send requests at a constant interval, each from a separate address.
 *
 * @module
 */
import { Agent } from 'undici'

/** Options of {@linkcode sendSteadily}. */
export interface SendSteadilyOptions {
  /** `host:port` of the instances; each caller always uses the same one. */
  instances: string[]
  /** Name of the service. */
  service: string
  /** Number of callers. */
  callers: number
  /** Time between the starts of two requests of a caller, in milliseconds; longer if a response takes longer. */
  intervalMs: number
  /** Time during which the callers send requests, in milliseconds. */
  durationMs: number
}

/** Result of all callers. */
export interface SteadyResult {
  /** Number of requests by outcome; `broken` counts requests with a missing or truncated response. */
  outcomes: Record<string, number>
}

/**
 * Sends GET requests from all callers; the header `X-Order` of each request names its caller.
 *
 * @param options Callers and timing
 * @returns Number of requests by outcome
 */
export async function sendSteadily (options: SendSteadilyOptions): Promise<SteadyResult> {
  const result: SteadyResult = { outcomes: {} }
  const endMs = performance.now() + options.durationMs
  await Promise.all(Array.from({ length: options.callers }, (_, index) => runCaller(index, { ...options, endMs, result })))
  return result
}

async function runCaller (index: number, run: SendSteadilyOptions & { endMs: number, result: SteadyResult }): Promise<void> {
  const agent = new Agent({ connections: 1, localAddress: `127.9.${index >> 8}.${(index & 255) + 1}` })
  const origin = `http://${run.instances[index % run.instances.length]}`
  await waitMs(run.intervalMs * (index / run.callers))
  while (performance.now() < run.endMs) {
    const startedMs = performance.now()
    const outcome = await sendOne(agent, { origin, path: `/services/${run.service}/queue`, caller: `caller-${index}` })
    run.result.outcomes[outcome] = (run.result.outcomes[outcome] ?? 0) + 1
    await waitMs(Math.max(0, startedMs + run.intervalMs - performance.now()))
  }
  await agent.destroy()
}

async function sendOne (agent: Agent, request: { origin: string, path: string, caller: string }): Promise<string> {
  try {
    const response = await agent.request({ origin: request.origin, path: request.path, method: 'GET', headers: { 'x-order': request.caller } })
    await response.body.dump()
    return String(response.headers['bilberry-outcome'])
  } catch {
    return 'broken'
  }
}

async function waitMs (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}
