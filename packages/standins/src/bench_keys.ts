/**
 * Measures the memory that remembered idempotency keys take, and compares strategies to remember them.
 *
 * @module
 */
import type { PeerClient } from '@bilberryworks/instances'
import type { HandleRequest, ServiceRequest } from '@bilberryworks/steering'
import type { StoreEndpoint } from './site_store.ts'
import { randomUUID } from 'node:crypto'
import { Readable } from 'node:stream'
import { text } from 'node:stream/consumers'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { createStorePlatform } from '@bilberryworks/platform'
import { createIdempotencyHandler, createClusterView } from 'bilberryd'
import { ok } from 'neverthrow'
import { createSiteStore, StoreFault } from './site_store.ts'
import { deployments } from './deployments.ts'

const rememberedKeys = 20_000
const responseBytes = 200
const requestsPerStrategy = 30
const instance = 'entry'
const incarnation = 'first'

/** An idempotency handler in front of a target that responds immediately, and the endpoint of its store. */
interface KeyBench extends AsyncDisposable {
  handleRequest: HandleRequest
  storeEndpoint: StoreEndpoint
}

async function startKeyBench (): Promise<KeyBench> {
  const store = createSiteStore()
  const storeEndpoint = await store.openEndpoint()
  const platform = createStorePlatform(storeEndpoint.url)
  const getNowMs = (): number => performance.now()
  const { handleRequest } = createIdempotencyHandler({
    instance,
    incarnation,
    platform,
    peers: {} as PeerClient,
    view: createClusterView({ instanceTimeoutMs: 1_000, getNowMs }),
    async handleRequest (request) {
      await text(request.body)
      return ok({ status: 200, headers: { 'content-type': 'application/json' }, body: Readable.from([Buffer.alloc(responseBytes)]) })
    },
    getNowMs
  })
  return {
    handleRequest,
    storeEndpoint,
    async [Symbol.asyncDispose] () {
      await platform[Symbol.asyncDispose]()
      await store[Symbol.asyncDispose]()
    }
  }
}

async function sendOrder (bench: KeyBench, scope: Partial<ServiceRequest>): Promise<boolean> {
  const result = await bench.handleRequest({
    requestId: randomUUID(), service: 's', method: 'POST', path: '/orders', headers: {}, body: Readable.from([Buffer.from('order')]), contentLength: 5, callerKey: '192.0.2.1', idempotencyKey: randomUUID(), pin: undefined, deadlineMs: undefined, hops: 0, signal: new AbortController().signal, ...scope
  })
  if (result.isErr()) return false
  await text(result.value.body)
  return true
}

function createPinnedScope (): Partial<ServiceRequest> {
  return { pin: `${instance}.${incarnation}.0.${randomUUID()}` }
}

/**
 * Measures the memory that remembered idempotency keys take.
 *
 * @returns Rows of a table
 */
export async function measureIdempotencyStoreMemory (): Promise<object[]> {
  await using bench = await startKeyBench()
  setFlagsFromString('--expose-gc')
  const collectGarbage = runInNewContext('gc') as () => void
  const readMemoryBytes = (): number => {
    collectGarbage()
    collectGarbage()
    const { heapUsed, arrayBuffers } = process.memoryUsage()
    return heapUsed + arrayBuffers
  }
  for (let count = 0; count < 1_000; count++) await sendOrder(bench, createPinnedScope())
  const before = readMemoryBytes()
  for (let count = 0; count < rememberedKeys; count++) await sendOrder(bench, createPinnedScope())
  const bytes = readMemoryBytes() - before
  await sendOrder(bench, createPinnedScope())
  return [{ keys: rememberedKeys, answerBytes: responseBytes, kibPerThousandKeys: bytes / rememberedKeys * 1000 / 1024 }]
}

/**
 * Compares keys sent with a pin and keys sent without one, whose pins are stored as rows on the platform: response time, and number of requests answered during an outage of the store.
 *
 * @returns Rows of a table
 */
export async function measureKeyStrategies (): Promise<object[]> {
  const rows: object[] = []
  for (const [name, deployment] of Object.entries(deployments)) {
    for (const [storeLocation, oneWayMs] of [['store in the region', deployment.domainLatencyMs], ['store in another region', deployment.regionLatencyMs]] as const) {
      await using bench = await startKeyBench()
      bench.storeEndpoint.faults.delayMs = 2 * oneWayMs
      for (const [strategy, createScope] of [['pin', createPinnedScope], ['row per key', createUnpinnedScope]] as const) {
        rows.push({ deployment: name, place: storeLocation, way: strategy, ...await measureKeyStrategy(bench, createScope) })
      }
    }
  }
  return rows
}

function createUnpinnedScope (): Partial<ServiceRequest> {
  return { headers: { authorization: 'Bearer one' } }
}

async function measureKeyStrategy (bench: KeyBench, createScope: () => Partial<ServiceRequest>): Promise<object> {
  const responseTimesMs: number[] = []
  for (let count = 0; count < requestsPerStrategy; count++) {
    const startedMs = performance.now()
    await sendOrder(bench, createScope())
    responseTimesMs.push(performance.now() - startedMs)
  }
  responseTimesMs.sort((a, b) => a - b)
  bench.storeEndpoint.setFault(StoreFault.Busy)
  let answeredInOutage = 0
  for (let count = 0; count < requestsPerStrategy; count++) {
    if (await sendOrder(bench, createScope())) answeredInOutage++
  }
  bench.storeEndpoint.setFault(StoreFault.None)
  return { p50Ms: responseTimesMs[requestsPerStrategy >> 1], maxMs: responseTimesMs.at(-1), answeredInOutage: `${answeredInOutage} of ${requestsPerStrategy}` }
}
