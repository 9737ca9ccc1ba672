import type { AdmissionItem, AdmissionState } from './admission.ts'
import test from 'ava'
import { createAdmissionQueue } from './admission.ts'
import { RefusalReason, RequestClass } from './outcomes.ts'

const { AtMostOnce, LookUp, Upload } = RequestClass
const state: AdmissionState = { nowMs: 0, slots: 2, freeSlots: 0, getHoldMs: each => each === Upload ? 1_000 : 50 }
let count = 0

function createItem (requestClass: RequestClass, options: Partial<AdmissionItem> = {}): AdmissionItem {
  return { requestId: `r${count++}`, callerKey: 'a', requestClass, priority: 0, deadlineAtMs: 10_000, ...options }
}

const createQueue = (maxQueued = 1_000, random = 0.5): ReturnType<typeof createAdmissionQueue> => {
  return createAdmissionQueue({ getMaxQueued: () => maxQueued, getRandom: () => random })
}

const deadlineCases: Array<[string, { deadlineAtMs: number, queued: number, slots: number, freeSlots: number }, boolean]> = [
  ['admits a request while a slot is free', { deadlineAtMs: 51, queued: 0, slots: 2, freeSlots: 1 }, true],
  ['admits a request with 1 ms left while a slot is free', { deadlineAtMs: 1, queued: 0, slots: 2, freeSlots: 1 }, true],
  ['refuses a request when there are no slots', { deadlineAtMs: 10_000, queued: 0, slots: 0, freeSlots: 0 }, false],
  ['admits a request whose wait and run time fit before its deadline', { deadlineAtMs: 1_000, queued: 18, slots: 2, freeSlots: 0 }, true],
  ['refuses a request whose wait exceeds its share of the remaining time', { deadlineAtMs: 1_000, queued: 20, slots: 2, freeSlots: 0 }, false],
  ['refuses a request whose run would end after its deadline', { deadlineAtMs: 70, queued: 0, slots: 2, freeSlots: 0 }, false]
]
for (const [name, each, admitted] of deadlineCases) {
  test(`admission by deadline: ${name}`, t => {
    const queue = createQueue()
    for (let index = 0; index < each.queued; index++) queue.admit(createItem(LookUp), state)
    const result = queue.admit(createItem(LookUp, { deadlineAtMs: each.deadlineAtMs }), { ...state, ...each })
    t.is(result.isOk(), admitted)
    if (result.isErr()) t.is(result.error.reason, RefusalReason.Overloaded)
  })
}

test('takes requests by class and serves the callers of a class in turn', t => {
  const queue = createQueue()
  const items = [
    createItem(Upload), createItem(LookUp), createItem(LookUp), createItem(LookUp, { callerKey: 'b' }), createItem(AtMostOnce)
  ]
  items.forEach(item => t.true(queue.admit(item, state).isOk()))
  const taken = items.map(() => queue.take(state))
  t.deepEqual(taken, [4, 1, 3, 2, 0].map(index => items[index]))
})

test('gives a waiting upload a sixteenth of the slot time under continuous look-ups', t => {
  const queue = createQueue()
  queue.admit(createItem(Upload, { deadlineAtMs: 100_000 }), state)
  let lookUps = 0
  while (lookUps < 1_000) {
    queue.admit(createItem(LookUp), state)
    if (queue.take(state)?.requestClass === Upload) break
    lookUps++
  }
  t.is(lookUps, 15 * 1_000 / 50)
})

const evictionCases: Array<[string, AdmissionItem[], AdmissionItem, number | undefined]> = [
  ['evicts a request of a class of lower precedence', [createItem(LookUp), createItem(Upload)], createItem(AtMostOnce), 1],
  ['evicts a request of the caller with the most waiting requests', [createItem(LookUp), createItem(LookUp), createItem(LookUp, { callerKey: 'b' })], createItem(LookUp, { callerKey: 'c' }), 1],
  ['refuses a request instead of evicting one of the same caller', [createItem(LookUp), createItem(LookUp)], createItem(LookUp), undefined],
  ['refuses a request instead of evicting one of a class of higher precedence', [createItem(AtMostOnce)], createItem(LookUp), undefined],
  ['evicts a request of lower priority whatever its class', [createItem(AtMostOnce, { priority: 1 })], createItem(LookUp), 0]
]
for (const [name, waiting, arriving, evictedIndex] of evictionCases) {
  test(`full queue: ${name}`, t => {
    const queue = createQueue(waiting.length)
    waiting.forEach(item => t.true(queue.admit(item, state).isOk()))
    const result = queue.admit(arriving, state)
    t.is(result.isOk(), evictedIndex !== undefined)
    t.is(queue.count(), waiting.length)
    if (result.isOk()) t.deepEqual(result.value.map(each => each.item), [waiting[evictedIndex!]])
  })
}

test('spreads the retry delays over the time that the refused requests would take', t => {
  const retryAfter = (refusals: number, random: number): number => {
    const queue = createQueue(0, random)
    let last = 0
    for (let index = 0; index < refusals; index++) last = queue.admit(createItem(LookUp), state)._unsafeUnwrapErr().retryAfterMs!
    return last
  }
  t.is(retryAfter(1, 0.5), 200)
  t.is(retryAfter(400, 0.5), 10_000)
  t.true(retryAfter(400, 0) === 5_000 && retryAfter(400, 0.99) > 14_000)
})

test('sweep removes only the requests that can no longer be served in time', t => {
  const queue = createQueue()
  const items = [500, 500, 10_000].map(deadlineAtMs => createItem(AtMostOnce, { deadlineAtMs }))
  items.forEach(item => t.true(queue.admit(item, state).isOk()))
  t.deepEqual(queue.sweep({ ...state, nowMs: 480 }).map(each => each.item), [items[1]])
  t.is(queue.count(), 2)
  t.is(queue.take({ ...state, nowMs: 500 }), items[2])
  t.deepEqual(queue.collectExpired(state).map(each => each.item), [items[0]])
  t.is(queue.count(), 0)
})

test('sweep removes all requests when there are no slots', t => {
  const queue = createQueue()
  queue.admit(createItem(LookUp), state)
  t.is(queue.sweep({ ...state, slots: 0 }).length, 1)
})
