import type { ServiceRequest } from '@bilberryworks/steering'
import test from 'ava'
import { Readable } from 'node:stream'
import { buffer } from 'node:stream/consumers'
import { RefusalReason, RequestClass } from '@bilberryworks/steering'
import { ok } from 'neverthrow'
import { createLinkRateLimiter } from './link_rate_limiter.ts'
import { createRequestPacer } from './pace_requests.ts'

const bitsPerSecond = 8_000_000
const getNowMs = (): number => performance.now()

function createRateLimiter (): ReturnType<typeof createLinkRateLimiter> {
  return createLinkRateLimiter({ localRegion: 'north', getLinkBitsPerSecond: () => bitsPerSecond, countSenders: () => 1, getNowMs })
}

function createRequest (bytes: number, originRegion?: string): ServiceRequest {
  return {
    requestId: 'r', service: 's', method: 'PUT', path: '/', headers: {}, body: Readable.from([Buffer.alloc(bytes)]), contentLength: bytes, callerKey: 'c', idempotencyKey: undefined, pin: undefined, deadlineMs: undefined, hops: 0, originRegion, signal: new AbortController().signal
  }
}

test('paces and counts a request body to another region', async t => {
  await using rateLimiter = createRateLimiter()
  const pacer = createRequestPacer(rateLimiter, { region: 'north', getNowMs })
  const outgoing = { request: createRequest(1_000), requestClass: RequestClass.Upload, deadlineAtMs: getNowMs() + 10_000 }
  const paced = pacer.paceRequest('south', outgoing)._unsafeUnwrap()
  t.is((await buffer(paced.body)).length, 1_000)
  t.is(rateLimiter.getSentBytes('south'), 1_000)
})

test('returns a request within the region unchanged', async t => {
  await using rateLimiter = createRateLimiter()
  const outgoing = { request: createRequest(1_000), requestClass: RequestClass.Upload, deadlineAtMs: getNowMs() + 10_000 }
  const paced = createRequestPacer(rateLimiter, { region: 'north', getNowMs }).paceRequest('north', outgoing)._unsafeUnwrap()
  t.is(paced, outgoing.request)
})

test('refuses a body that the link cannot transfer before the deadline', async t => {
  await using rateLimiter = createRateLimiter()
  const outgoing = { request: createRequest(10_000_000), requestClass: RequestClass.Upload, deadlineAtMs: getNowMs() + 100 }
  const refusal = createRequestPacer(rateLimiter, { region: 'north', getNowMs }).paceRequest('south', outgoing)._unsafeUnwrapErr()
  t.is(refusal.reason, RefusalReason.LinkBudget)
  t.true(refusal.retryAfterMs! > 0)
})

test('paces responses to another region only', async t => {
  await using rateLimiter = createRateLimiter()
  const pacer = createRequestPacer(rateLimiter, { region: 'north', getNowMs })
  const handle = pacer.paceResponses(async () => ok({ status: 200, headers: {}, body: Readable.from([Buffer.alloc(500)]) }))
  for (const [origin, sent] of [['south', 500], ['north', 500], [undefined, 500]] as const) {
    const response = (await handle(createRequest(0, origin)))._unsafeUnwrap()
    t.is((await buffer(response.body)).length, 500)
    t.is(rateLimiter.getSentBytes('south'), sent)
  }
})

test('passes on the error of a response body that is cut off', async t => {
  await using rateLimiter = createRateLimiter()
  const body = Readable.from((async function * () {
    yield Buffer.alloc(100)
    throw new Error('cut')
  })())
  const response = (await createRequestPacer(rateLimiter, { region: 'north', getNowMs }).paceResponses(async () => ok({ status: 200, headers: {}, body }))(createRequest(0, 'south')))._unsafeUnwrap()
  await t.throwsAsync(buffer(response.body))
})
