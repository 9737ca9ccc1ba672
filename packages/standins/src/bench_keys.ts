/**
 * Measures what it costs to remember idempotency keys, and compares the ways to do so.
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

const memoryKeys = 20_000
const answerBytes = 200
const wayRequests = 30
const instance = 'entry'
const incarnation = 'first'

/** A keeper with a target that answers at once. */
interface Bench extends AsyncDisposable {
  handleRequest: HandleRequest
  door: StoreEndpoint
}

async function startBench (): Promise<Bench> {
  const store = createSiteStore()
  const door = await store.openEndpoint()
  const platform = createStorePlatform(door.url)
  const getNowMs = (): number => performance.now()
  const { handleRequest } = createIdempotencyHandler({
    instance,
    incarnation,
    platform,
    peers: {} as PeerClient,
    view: createClusterView({ instanceTimeoutMs: 1_000, getNowMs }),
    async handleRequest (request) {
      await text(request.body)
      return ok({ status: 200, headers: { 'content-type': 'application/json' }, body: Readable.from([Buffer.alloc(answerBytes)]) })
    },
    getNowMs
  })
  return {
    handleRequest,
    door,
    async [Symbol.asyncDispose] () {
      await platform[Symbol.asyncDispose]()
      await store[Symbol.asyncDispose]()
    }
  }
}

async function sendOrder (bench: Bench, scope: Partial<ServiceRequest>): Promise<boolean> {
  const result = await bench.handleRequest({
    requestId: randomUUID(), service: 's', method: 'POST', path: '/orders', headers: {}, body: Readable.from([Buffer.from('order')]), contentLength: 5, callerKey: '192.0.2.1', idempotencyKey: randomUUID(), pin: undefined, deadlineMs: undefined, hops: 0, signal: new AbortController().signal, ...scope
  })
  if (result.isErr()) return false
  await text(result.value.body)
  return true
}

function createPinned (): Partial<ServiceRequest> {
  return { pin: `${instance}.${incarnation}.0.${randomUUID()}` }
}

/**
 * Measures the memory that remembered keys take.
 *
 * @returns Rows of a table
 */
export async function measureKeyMemory (): Promise<object[]> {
  await using bench = await startBench()
  setFlagsFromString('--expose-gc')
  const collectGarbage = runInNewContext('gc') as () => void
  const readMemory = (): number => {
    collectGarbage()
    collectGarbage()
    const { heapUsed, arrayBuffers } = process.memoryUsage()
    return heapUsed + arrayBuffers
  }
  for (let count = 0; count < 1_000; count++) await sendOrder(bench, createPinned())
  const before = readMemory()
  for (let count = 0; count < memoryKeys; count++) await sendOrder(bench, createPinned())
  const bytes = readMemory() - before
  await sendOrder(bench, createPinned())
  return [{ keys: memoryKeys, answerBytes, kibPerThousandKeys: bytes / memoryKeys * 1000 / 1024 }]
}

/**
 * Compares a pin with a row per key: time before the answer, and answers while the store is out.
 *
 * @returns Rows of a table
 */
export async function measureKeyWays (): Promise<object[]> {
  const rows: object[] = []
  for (const [name, deployment] of Object.entries(deployments)) {
    for (const [place, oneWayMs] of [['store in the region', deployment.domainLatencyMs], ['store in another region', deployment.regionLatencyMs]] as const) {
      await using bench = await startBench()
      bench.door.faults.delayMs = 2 * oneWayMs
      for (const [way, createScope] of [['pin', createPinned], ['row per key', createAuthorized]] as const) {
        rows.push({ deployment: name, place, way, ...await measureWay(bench, createScope) })
      }
    }
  }
  return rows
}

function createAuthorized (): Partial<ServiceRequest> {
  return { headers: { authorization: 'Bearer one' } }
}

async function measureWay (bench: Bench, createScope: () => Partial<ServiceRequest>): Promise<object> {
  const times: number[] = []
  for (let count = 0; count < wayRequests; count++) {
    const startedMs = performance.now()
    await sendOrder(bench, createScope())
    times.push(performance.now() - startedMs)
  }
  times.sort((a, b) => a - b)
  bench.door.setFault(StoreFault.Busy)
  let answeredInOutage = 0
  for (let count = 0; count < wayRequests; count++) {
    if (await sendOrder(bench, createScope())) answeredInOutage++
  }
  bench.door.setFault(StoreFault.None)
  return { p50Ms: times[wayRequests >> 1], maxMs: times.at(-1), answeredInOutage: `${answeredInOutage} of ${wayRequests}` }
}
