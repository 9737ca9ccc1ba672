import type { ServiceRequest, TargetRecord } from '@bilberryworks/steering'
import type { SlotRequest } from './slot_pool.ts'
import test from 'ava'
import { LifecycleState, RefusalReason, RequestClass } from '@bilberryworks/steering'
import { createSlotPool } from './slot_pool.ts'

const target: TargetRecord = { target: 'a', service: 's', address: '', failureDomain: 'f', region: 'r', slots: 1, maxConnections: 330, state: LifecycleState.Live }

/** A slot pool with one slot and a clock that the test sets. */
class Fixture {
  nowMs = 0
  listCalls = 0
  slotPool = createSlotPool({
    listOwnedTargets: () => {
      this.listCalls++
      return [target]
    },
    getNowMs: () => this.nowMs,
    getRandom: () => 0.5
  })

  createRequest (requestId: string, deadlineMs: number, signal = new AbortController().signal): SlotRequest {
    const request = { requestId, service: 's', callerKey: 'c', signal } as ServiceRequest
    return { request, requestClass: RequestClass.LookUp, priority: 0, deadlineAtMs: this.nowMs + deadlineMs }
  }
}

test('caches the list of owned targets for 10 ms', async t => {
  const fixture = new Fixture()
  for (let index = 0; index < 50; index++) (await fixture.slotPool.reserveSlot(fixture.createRequest(`r${index}`, 1_000)))._unsafeUnwrap().release()
  t.is(fixture.listCalls, 1)
  fixture.nowMs += 10
  await fixture.slotPool.reserveSlot(fixture.createRequest('last', 1_000))
  t.is(fixture.listCalls, 2)
  await fixture.slotPool[Symbol.asyncDispose]()
})

test('refuses a request whose caller disconnects before or during the wait', async t => {
  const fixture = new Fixture()
  const held = await fixture.slotPool.reserveSlot(fixture.createRequest('held', 1_000))
  const disconnection = new AbortController()
  const waiting = fixture.slotPool.reserveSlot(fixture.createRequest('waits', 1_000, disconnection.signal))
  t.is(fixture.slotPool.countQueued(), 1)
  disconnection.abort()
  t.is((await waiting)._unsafeUnwrapErr().reason, RefusalReason.CallerGone)
  t.is((await fixture.slotPool.reserveSlot(fixture.createRequest('late', 1_000, disconnection.signal)))._unsafeUnwrapErr().reason, RefusalReason.CallerGone)
  t.is(fixture.slotPool.countQueued(), 0)
  held._unsafeUnwrap().release()
  t.is(fixture.slotPool.countInFlight(), 0)
  await fixture.slotPool[Symbol.asyncDispose]()
})

test('refuses a queued request by timer when its deadline passes', async t => {
  const fixture = new Fixture()
  await fixture.slotPool.reserveSlot(fixture.createRequest('held', 1_000))
  const waiting = fixture.slotPool.reserveSlot(fixture.createRequest('waits', 500))
  fixture.nowMs = 600
  const refusal = (await waiting)._unsafeUnwrapErr()
  t.is(refusal.reason, RefusalReason.DeadlinePassed)
  t.true(refusal.retryAfterMs! > 0)
  await fixture.slotPool[Symbol.asyncDispose]()
})
