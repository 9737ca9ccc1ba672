import type { PeerClient } from '@bilberryworks/instances'
import type { Platform, PlatformFailureKind } from '@bilberryworks/platform'
import type { HandleRequest, InstanceRecord, Refusal, ServiceResponse, ServiceRequest } from '@bilberryworks/steering'
import type { Result } from 'neverthrow'
import type { KeyedRun } from './keyed_request_handler.ts'
import test from 'ava'
import { text } from 'node:stream/consumers'
import { Readable } from 'node:stream'
import { PlatformFailureKind as FailureKind } from '@bilberryworks/platform'
import { createIdempotencyStore, createNotRunRefusal, createUnknownRefusal, pinEpochMs, RefusalReason } from '@bilberryworks/steering'
import { err, ok } from 'neverthrow'
import { createPinStore } from './pin_store.ts'
import { createKeyedRequestHandler } from './keyed_request_handler.ts'

/** Creates two instances that share a platform table, can forward requests to each other and use a target that counts its runs. */
function createFixture (options: { maxKeys?: number, responseBytes?: number } = {}) {
  const rows = new Map<string, unknown>()
  const state = { runs: 0, nowMs: 0, epoch: 0, storeFailure: undefined as PlatformFailureKind | undefined, lostInsertReplies: 0, cutsOffResponse: false, refusal: undefined as Refusal | undefined, targetRelease: Promise.resolve() }
  const handlers = new Map<string, HandleRequest>()
  const platform = {
    async writeRows ([write]: Array<{ key: string, value: unknown }>) {
      if (state.storeFailure !== undefined) return err({ kind: state.storeFailure, detail: '' })
      if (rows.has(write!.key)) return err({ kind: FailureKind.Conflict, detail: '' })
      rows.set(write!.key, write!.value)
      return state.lostInsertReplies-- > 0 ? err({ kind: FailureKind.Unknown, detail: '' }) : ok(undefined)
    },
    async readRow (_: string, key: string) {
      if (state.storeFailure !== undefined) return err({ kind: state.storeFailure, detail: '' })
      return ok(rows.has(key) ? { key, version: 1, value: rows.get(key) } : undefined)
    }
  } as unknown as Platform
  const peers = {
    async forward (peer: InstanceRecord, request: ServiceRequest) {
      const handler = handlers.get(peer.instance)
      if (handler === undefined) return err({ isUnsent: true, refusal: createNotRunRefusal(RefusalReason.PeerUnreachable, '') })
      return (await handler({ ...request, hops: 1 })).mapErr(refusal => ({ isUnsent: false, refusal }))
    }
  } as unknown as PeerClient

  async function runOnTarget (request: ServiceRequest): Promise<Result<ServiceResponse, Refusal>> {
    if (state.refusal !== undefined) return err(state.refusal)
    const run = ++state.runs
    const received = await text(request.body)
    await state.targetRelease
    const body = Readable.from((async function * () {
      yield Buffer.from(`run ${run} of ${received}${'x'.repeat(options.responseBytes ?? 0)}`)
      if (state.cutsOffResponse) throw new Error('Response truncated')
    })())
    return ok({ status: 200, headers: {}, body })
  }

  function startInstance (instance: string, incarnation = 'first'): void {
    const getNowMs = (): number => state.nowMs
    handlers.set(instance, createKeyedRequestHandler({
      instance,
      incarnation,
      getPinEpoch: () => state.epoch,
      store: createIdempotencyStore<KeyedRun>({ maxKeys: options.maxKeys ?? 100, maxResultBytes: 1_000_000 }),
      pinStore: createPinStore({ platform, createPin: () => ({ instance, incarnation, epoch: state.epoch, nonce: `nonce-${rows.size}` }), getNowMs }),
      handleRequest: runOnTarget,
      peers,
      listInstances: () => ['a', 'b'].map(name => ({ instance: name }) as InstanceRecord),
      markInstanceUnreachable: () => {},
      chooseDeadlineMs: request => request.deadlineMs ?? 1_000,
      getNowMs
    }))
  }

  /** Sends a request; returns the response body, or the outcome and reason of a refusal. */
  async function send (instance: string, change: Partial<ServiceRequest> = {}, body = 'order'): Promise<string> {
    const request: ServiceRequest = {
      requestId: 'r', service: 's', method: 'POST', path: '/orders', headers: {}, body: Readable.from([Buffer.from(body)]), contentLength: body.length, callerKey: 'c', idempotencyKey: 'k', pin: 'a.first.0.n', deadlineMs: undefined, hops: 0, signal: new AbortController().signal, ...change
    }
    const result = await handlers.get(instance)!(request)
    if (result.isErr()) return `${result.error.outcome} ${result.error.reason}`
    return text(result.value.body).catch(() => 'cut')
  }
  startInstance('a')
  startInstance('b')
  return { state, handlers, startInstance, send }
}

const authorized = { pin: undefined, headers: { authorization: 'Bearer one' } }
const firstResponse = 'run 1 of order'

test('returns the same complete response to duplicates at any instance', async t => {
  const { state, send } = createFixture()
  t.deepEqual([await send('a'), await send('a'), await send('b')], [firstResponse, firstResponse, firstResponse])
  t.is(state.runs, 1)
})

test('makes duplicates wait for the end of the first request', async t => {
  const { state, send } = createFixture()
  let releaseTarget = (): void => {}
  state.targetRelease = new Promise(resolve => { releaseTarget = resolve })
  const sent = [send('a'), send('a'), send('b')]
  t.is(await send('a', { deadlineMs: 20 }), 'unknown target_timeout')
  releaseTarget()
  t.deepEqual(await Promise.all(sent), [firstResponse, firstResponse, firstResponse])
  t.is(state.runs, 1)
})

test('runs the same key once in each scope', async t => {
  const { send } = createFixture()
  const outcomes = [await send('a'), await send('a', { pin: 'a.first.0.m' }), await send('a', authorized), await send('b', { ...authorized, headers: { authorization: 'Bearer two' } })]
  t.deepEqual(outcomes, [1, 2, 3, 4].map(run => `run ${run} of order`))
})

const refusals: Array<[string, Partial<ServiceRequest>, string, string?]> = [
  ['different path', { path: '/other' }, 'not-run key_reused'],
  ['different method', { method: 'PUT' }, 'not-run key_reused'],
  ['different service', { service: 't' }, 'not-run key_reused'],
  ['different body', {}, 'not-run key_reused', 'Order'],
  ['key without pin and authorization', { pin: undefined }, 'not-run key_scope_missing'],
  ['malformed pin', { pin: 'a.first.0' }, 'not-run bad_pin'],
  ['pin of a future epoch', { pin: 'a.first.9.n' }, 'not-run bad_pin'],
  ['pin of an earlier incarnation', { pin: 'a.zeroth.0.n' }, 'unknown pinned_instance_gone'],
  ['pin of an unknown instance', { pin: 'z.first.0.n' }, 'unknown pinned_instance_gone'],
  ['pin of another instance on a forwarded request', { pin: 'b.first.0.n', hops: 1 }, 'unknown pinned_instance_gone']
]
for (const [title, change, expected, body] of refusals) {
  test(`refuses a second request: ${title}`, async t => {
    const { state, send } = createFixture()
    await send('a')
    t.is(await send('a', change, body), expected)
    t.is(state.runs, 1)
  })
}

test('does not run a key again after the process that stored it has ended', async t => {
  const { state, handlers, startInstance, send } = createFixture()
  await send('a')
  await send('b', { ...authorized, idempotencyKey: 'row' })
  startInstance('a', 'second')
  t.is(await send('a'), 'unknown pinned_instance_gone')
  t.is(await send('b'), 'unknown pinned_instance_gone')
  handlers.delete('a')
  t.is(await send('b'), 'unknown pinned_instance_gone')
  startInstance('b', 'second')
  t.is(await send('b', { ...authorized, idempotencyKey: 'row' }), 'unknown pinned_instance_gone')
  t.is(state.runs, 2)
})

test('does not run a new key with an expired pin', async t => {
  const { state, send } = createFixture()
  await send('a')
  state.epoch = 3
  t.is(await send('a'), firstResponse)
  t.is(await send('a', { idempotencyKey: 'new' }), 'unknown pin_expired')
  state.epoch = 4
  t.is(await send('a'), 'unknown pin_expired')
  t.is(state.runs, 1)
  t.true(pinEpochMs > 0)
})

const storeFaults: Array<[string, Partial<{ storeFailure: PlatformFailureKind, lostInsertReplies: number }>, string, number]> = [
  ['is unavailable', { storeFailure: FailureKind.Unavailable }, 'unknown store_unavailable', 0],
  ['is silent and confirms no write', { storeFailure: FailureKind.Unknown }, 'unknown store_unavailable', 0],
  ['loses one reply', { lostInsertReplies: 1 }, firstResponse, 1]
]
for (const [title, fault, expected, runs] of storeFaults) {
  test(`runs an unpinned key at most once when the pin store ${title}`, async t => {
    const { state, send } = createFixture()
    Object.assign(state, fault)
    t.is(await send('a', authorized), expected)
    t.is(state.runs, runs)
    Object.assign(state, { storeFailure: undefined, lostInsertReplies: 0 })
    t.is(await send('b', authorized), firstResponse)
    state.storeFailure = FailureKind.Unavailable
    t.is(await send(runs === 1 ? 'a' : 'b', authorized), firstResponse)
    t.is(state.runs, 1)
  })
}

test('removes a key whose request did not run and keeps one whose request may have run', async t => {
  const { state, send } = createFixture()
  state.refusal = createNotRunRefusal(RefusalReason.Overloaded, '')
  t.is(await send('a'), 'not-run overloaded')
  state.refusal = createUnknownRefusal(RefusalReason.TargetLost, '')
  t.is(await send('a'), 'unknown target_lost')
  state.refusal = undefined
  t.is(await send('a'), 'unknown target_lost')
  t.is(state.runs, 0)
})

test('refuses new keys when the store is full', async t => {
  const { state, send } = createFixture({ maxKeys: 1 })
  t.deepEqual([await send('a'), await send('a', { idempotencyKey: 'l' }), await send('a')], [firstResponse, 'not-run key_memory_full', firstResponse])
  t.is(state.runs, 1)
})

test('reports an unknown outcome to duplicates after a truncated or too large response', async t => {
  const large = createFixture({ responseBytes: 70_000 })
  t.is((await large.send('a')).length, firstResponse.length + 70_000)
  t.is(await large.send('a'), 'unknown result_not_retained')
  const cut = createFixture()
  cut.state.cutsOffResponse = true
  t.is(await cut.send('a'), 'cut')
  t.is(await cut.send('a'), 'unknown target_lost')
  t.is(large.state.runs + cut.state.runs, 2)
})

test('retains the response when the caller disconnects', async t => {
  const { handlers, send } = createFixture()
  const result = await handlers.get('a')!({ ...createRequest(), body: Readable.from([Buffer.from('order')]) })
  result._unsafeUnwrap().body.destroy()
  t.is(await send('a'), firstResponse)
})

function createRequest (): Omit<ServiceRequest, 'body'> {
  return { requestId: 'r', service: 's', method: 'POST', path: '/orders', headers: {}, contentLength: 5, callerKey: 'c', idempotencyKey: 'k', pin: 'a.first.0.n', deadlineMs: undefined, hops: 0, signal: new AbortController().signal }
}
