import type { ServiceRequest, TargetRecord } from '@bilberryworks/steering'
import type { TargetClient, TargetRequest } from '@bilberryworks/targets'
import type { CreateDispatchOptions } from './dispatch.ts'
import type { SlotRequest } from './slot_pool.ts'
import test from 'ava'
import { Readable } from 'node:stream'
import { text } from 'node:stream/consumers'
import { RequestClass } from '@bilberryworks/steering'
import { TargetFailureKind } from '@bilberryworks/targets'
import { err, ok } from 'neverthrow'
import { createDispatch } from './dispatch.ts'
import { createSlotPool } from './slot_pool.ts'

const { ConnectFailed, Lost, Refused, RefusedLocally, TimedOut } = TargetFailureKind
/** Behaviour of a target in one attempt. */
type Behaviour = TargetFailureKind | 'answer' | 'cut' | 'read, then refuse'

/** Behaviour of a target whose caller disconnects while the request runs. */
type BehaviourOnDisconnect = typeof Lost | typeof Refused

/** Creates a dispatch function with one target of two slots; it applies the behaviours in order and responds to all later requests. */
function createFixture (behaviours: Behaviour[], options: Partial<CreateDispatchOptions> = {}) {
  const record = { target: 't', service: 's', slots: 2 } as TargetRecord
  const state = { sent: 0, runs: 0, cancelled: 0, done: true, targets: [record], onSend: () => {} }
  const slotPool = createSlotPool({ listOwnedTargets: () => state.targets, getNowMs: () => performance.now() })

  async function runAttempt (request: TargetRequest) {
    state.sent++
    state.onSend()
    const behaviour = behaviours.shift() ?? 'answer'
    if (behaviour === 'read, then refuse') await text(request.body)
    if (behaviour === 'answer' || behaviour === 'cut' || behaviour === Lost || behaviour === TimedOut) state.runs++
    if (behaviour !== 'answer' && behaviour !== 'cut') return err({ kind: behaviour === 'read, then refuse' ? Refused : behaviour, detail: '', leaving: false })
    const body = Readable.from((async function * () {
      yield Buffer.from('answer')
      if (behaviour === 'cut') throw new Error('Response truncated')
    })())
    return ok({ status: 200, headers: {}, body, leaving: false })
  }
  const targets = {
    send: (_: TargetRecord, request: TargetRequest) => runAttempt(request),
    async cancel () {
      state.cancelled++
      return state.done
    }
  } as unknown as TargetClient
  const dispatch = createDispatch({ slotPool, targets, markTargetLeaving: () => {}, countRetry: () => {}, getNowMs: () => performance.now(), ...options })

  async function send (change: Partial<SlotRequest> = {}, requestChange: Partial<ServiceRequest> = {}): Promise<string> {
    const request = { requestId: String(Math.random()), service: 's', method: 'POST', body: Readable.from([Buffer.from('order')]), contentLength: 5, signal: new AbortController().signal, ...requestChange } as ServiceRequest
    const result = await dispatch({ request, requestClass: RequestClass.AtMostOnce, priority: 0, deadlineAtMs: performance.now() + 200, ...change })
    if (result.isErr()) return `${result.error.outcome} ${result.error.reason}`
    return text(result.value.body).catch(() => 'cut')
  }
  return { state, slotPool, send, [Symbol.asyncDispose]: () => slotPool[Symbol.asyncDispose]() }
}

const lookUpRequest = { requestClass: RequestClass.LookUp }
const getRequest = { method: 'GET' }
const abortedSignal = AbortSignal.abort()
const cases: Array<[string, Behaviour[], { change?: () => Partial<SlotRequest>, request?: Partial<ServiceRequest>, options?: Partial<CreateDispatchOptions> }, string, number, number]> = [
  ['retries a non-idempotent request after a failed connection', [ConnectFailed], {}, 'answer', 2, 1],
  ['retries a non-idempotent request that the target refused unread', [Refused], {}, 'answer', 2, 1],
  ['does not retry a refused request whose body was read', ['read, then refuse'], {}, 'not-run target_refused', 1, 0],
  ['does not retry a non-idempotent request after a lost connection', [Lost], {}, 'unknown target_lost', 1, 1],
  ['does not retry a non-idempotent request that timed out', [TimedOut], {}, 'unknown target_timeout', 1, 1],
  ['retries a look-up after a lost connection', [Lost], { change: () => lookUpRequest, request: getRequest }, 'answer', 2, 2],
  ['does not retry a look-up with an idempotency key after a lost connection', [Lost], { change: () => lookUpRequest, request: { ...getRequest, idempotencyKey: 'k' } }, 'unknown target_lost', 1, 1],
  ['reports a look-up that may have run as unknown when its retries are refused', [Lost, Refused, Refused], { change: () => lookUpRequest, request: getRequest }, 'unknown target_lost', 3, 1],
  ['refuses after 3 failed connections', [ConnectFailed, ConnectFailed, ConnectFailed], {}, 'not-run target_unreachable', 3, 0],
  ['retries a non-idempotent request whose connection this host refused', [RefusedLocally], {}, 'answer', 2, 1],
  ['refuses after this host refused 3 connections', [RefusedLocally, RefusedLocally, RefusedLocally], {}, 'not-run target_unreachable', 3, 0],
  ['refuses after 3 refusals by targets', [Refused, Refused, Refused], {}, 'not-run target_refused', 3, 0],
  ['refuses when the deadline passed while the process was paused', [], { options: { getNowMs: () => performance.now() + 1_000 } }, 'not-run deadline_passed', 0, 0],
  ['refuses when the caller has disconnected', [], { request: { signal: abortedSignal } }, 'not-run caller_gone', 0, 0],
  ['refuses when the lease has expired', [], { options: { checkDispatch: () => false } }, 'not-run lease_lapsed', 0, 0],
  ['fails the response body when the target truncates it', ['cut'], {}, 'cut', 1, 1]
]
for (const [title, behaviours, { change, request, options }, expected, sent, runs] of cases) {
  test(`dispatch: ${title}`, async t => {
    await using fixture = createFixture(behaviours, options)
    t.is(await fixture.send(change?.(), request), expected)
    t.deepEqual([fixture.state.sent, fixture.state.runs], [sent, runs])
    await new Promise(resolve => setTimeout(resolve, 10))
    t.is(fixture.slotPool.countInFlight(), 0)
  })
}

const disconnects: Array<[string, BehaviourOnDisconnect, Partial<ServiceRequest>, string]> = [
  ['reports a request whose caller disconnects after the dispatch as unknown', Lost, {}, 'unknown caller_gone'],
  ['reports the loss of the target of a keyed request whose caller has disconnected', Lost, { idempotencyKey: 'k' }, 'unknown target_lost'],
  ['reports a request that the target refused after its caller disconnected as not run', Refused, {}, 'not-run target_refused']
]
for (const [title, behaviour, request, expected] of disconnects) {
  test(`dispatch: ${title}`, async t => {
    await using fixture = createFixture([behaviour])
    const controller = new AbortController()
    fixture.state.onSend = () => controller.abort()
    t.is(await fixture.send({}, { ...request, signal: controller.signal }), expected)
    t.is(fixture.state.sent, 1)
  })
}

test('refuses a request when no target is usable', async t => {
  await using fixture = createFixture([])
  fixture.state.targets = []
  t.is(await fixture.send(), 'not-run no_usable_target')
  t.is(fixture.state.sent, 0)
})

test('limits retries to the retry budget', async t => {
  await using fixture = createFixture(Array.from({ length: 200 }, () => Refused))
  let outcomes: string[] = []
  for (let index = 0; index < 50; index++) outcomes = [...outcomes, await fixture.send()]
  t.is(outcomes.at(-1), 'not-run retry_budget')
  t.true(fixture.state.sent <= 50 + 10 + 5, String(fixture.state.sent))
  t.is(fixture.state.runs, 0)
})

test('holds the slot of a lost request until its end is confirmed or its deadline passes', async t => {
  await using fixture = createFixture([Lost])
  fixture.state.done = false
  t.is(await fixture.send(), 'unknown target_lost')
  t.is(fixture.slotPool.countInFlight(), 1)
  await new Promise(resolve => setTimeout(resolve, 260))
  t.is(fixture.slotPool.countInFlight(), 0)
  t.is(fixture.state.cancelled, 1)
})
