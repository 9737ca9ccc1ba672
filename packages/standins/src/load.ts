/**
 * Sends mixed requests to a running deployment and compares the records of the callers with those of the targets.
 *
 * @module
 */
import type { CallerRequest, CallerResult } from './caller.ts'
import type { Cluster } from './cluster.ts'
import type { Deployment } from './deployments.ts'
import { randomBytes, randomUUID } from 'node:crypto'
import { Agent } from 'undici'
import { sendAsCaller } from './caller.ts'

const uploadBytes = 64 * 1024
const orderBytes = 200

/** Options of {@linkcode runLoad}. */
export interface RunLoadOptions {
  /** Deployment that the cluster runs. */
  deployment: Deployment
  /** Promise that stops the load when it settles; requests that have started still run to their end. */
  until: Promise<unknown>
  /** Number of concurrent callers, each of which sends one request after another; 8 by default. */
  callers?: number
  /** Time limit of an attempt, in milliseconds; 3 s by default. */
  attemptMs?: number
}

/** Counts over all requests of a load. */
export interface LoadReport {
  /** Requests sent. */
  requests: number
  /** Requests answered. */
  answered: number
  /** Requests whose last outcome was `not-run`. */
  notRun: number
  /** Requests whose last outcome was `unknown`: the caller cannot tell whether they ran. */
  unknown: number
  /** Requests with a truncated or wrong response in any attempt. */
  broken: number
  /** Requests with a response that was received to its end, but did not match the request. */
  wrong: number
  /** Requests with an idempotency key that targets ran more than once. */
  ranTwice: number
  /** Requests with an idempotency key whose last outcome was `not-run`, but that a target ran. */
  untrueRefusals: number
  /** Number of requests that were not answered, by outcome and reason. */
  reasons: Record<string, number>
}

/**
 * Sends a mix of reads, orders and uploads until stopped; orders and uploads have idempotency keys.
 *
 * @param cluster The running deployment
 * @param options Duration and concurrency of the load
 * @returns Counts from the records of callers and targets
 */
export async function runLoad (cluster: Cluster, options: RunLoadOptions): Promise<LoadReport> {
  const sent: Array<{ request: CallerRequest, result: CallerResult }> = []
  let nextIndex = 0
  const stopController = new AbortController()
  const stop = (): void => stopController.abort()
  options.until.then(stop, stop)

  /** Sends requests as one caller, from a separate address, because the look-up distributes callers by address. */
  async function sendRequests (caller: number): Promise<void> {
    const client = `127.0.1.${caller + 1}`
    const agent = new Agent({ connect: { localAddress: client } })
    while (!stopController.signal.aborted) {
      const index = nextIndex++
      const request = createRequest(options.deployment, index)
      const instances = cluster.instances.map(instance => instance.child.ready.callers)
      const result = await sendAsCaller(request, { agent, instances, client, attemptMs: options.attemptMs ?? 3_000, attempts: 6 })
      sent.push({ request, result })
    }
    await agent.destroy()
  }
  await Promise.all(Array.from({ length: options.callers ?? 8 }, (_, caller) => sendRequests(caller)))
  return createReport(sent, await countRuns(cluster))
}

function createRequest (deployment: Deployment, index: number): CallerRequest {
  const [orderService, uploadService] = deployment.services
  const order = randomUUID()
  switch (index % 8) {
    case 0: return { service: orderService.name, method: 'GET', path: `/menus/${index}`, order, body: undefined, key: undefined }
    case 1: return { service: uploadService.name, method: 'PUT', path: `/uploads/${index}`, order, body: randomBytes(uploadBytes), key: order }
    default: return { service: orderService.name, method: 'POST', path: '/orders', order, body: randomBytes(orderBytes), key: order }
  }
}

async function countRuns (cluster: Cluster): Promise<Map<string, number>> {
  const counts = new Map<string, number>()
  for (const run of await cluster.collectRuns()) counts.set(run.order, (counts.get(run.order) ?? 0) + 1)
  return counts
}

function createReport (sent: Array<{ request: CallerRequest, result: CallerResult }>, runs: Map<string, number>): LoadReport {
  const count = (isCounted: (result: CallerResult) => boolean): number => sent.filter(({ result }) => isCounted(result)).length
  const keyed = sent.filter(({ request }) => request.key !== undefined)
  const reasons: Record<string, number> = {}
  for (const { result: { outcome, reason = 'no reason' } } of sent) {
    if (outcome !== 'answered') reasons[`${outcome} ${reason}`] = (reasons[`${outcome} ${reason}`] ?? 0) + 1
  }
  return {
    requests: sent.length,
    answered: count(result => result.outcome === 'answered'),
    notRun: count(result => result.outcome === 'not-run'),
    unknown: count(result => result.outcome === 'unknown'),
    broken: count(result => result.hasInvalidResponse),
    wrong: count(result => result.hasMismatchedResponse),
    ranTwice: keyed.filter(({ request }) => (runs.get(request.order) ?? 0) > 1).length,
    untrueRefusals: keyed.filter(({ request, result }) => result.outcome === 'not-run' && runs.has(request.order)).length,
    reasons
  }
}
