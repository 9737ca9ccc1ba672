/**
 * Callers with addresses of their own that each send a request at steady intervals.
 *
 * @module
 */
import { Agent } from 'undici'

/** Options of {@linkcode sendSteadily}. */
export interface SendSteadilyOptions {
  /** `host:port` of the instances; each caller keeps to one. */
  instances: string[]
  /** Name of the service. */
  service: string
  /** Number of callers. */
  callers: number
  /** Time between two requests of a caller, in milliseconds. */
  intervalMs: number
  /** Time for which they send, in milliseconds. */
  durationMs: number
}

/** What the callers saw. */
export interface SteadyResult {
  /** Requests by outcome. */
  outcomes: Record<string, number>
}

/**
 * Lets callers send look-up requests, tagged with the caller's name.
 *
 * @param options The callers
 * @returns The outcomes
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
    const answer = await agent.request({ origin: request.origin, path: request.path, method: 'GET', headers: { 'x-order': request.caller } })
    await answer.body.dump()
    return String(answer.headers['bilberry-outcome'])
  } catch {
    return 'broken'
  }
}

async function waitMs (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}
