import type { WaitingRequest } from './waiting_requests.ts'
import test from 'ava'
import { createWaitingRequests } from './waiting_requests.ts'

function createRequest (attemptId: string, priority: number, arrivedAtMs: number): WaitingRequest {
  return { attemptId, priority, arrivedAtMs, expiresAtMs: arrivedAtMs + 500 }
}

test('serves the higher priority first, unless a lower one has waited for much longer', t => {
  const waiting = createWaitingRequests()
  waiting.add(createRequest('old-low', 2, 0))
  waiting.add(createRequest('low', 2, 900))
  waiting.add(createRequest('high', 1, 1_000))
  const order = waiting.takePlaced(request => request.attemptId).map(({ placed }) => placed)
  t.deepEqual(order, ['old-low', 'high', 'low'])
})

test('keeps requests that no target can take', t => {
  const waiting = createWaitingRequests()
  for (const [index, id] of ['a', 'b', 'c'].entries()) waiting.add(createRequest(id, 1, index))
  t.deepEqual(waiting.takePlaced(request => request.attemptId === 'b' ? 'target' : undefined).map(({ request }) => request.attemptId), ['b'])
  t.is(waiting.count(), 2)
  t.true(waiting.remove('a'))
  t.false(waiting.remove('a'))
  t.deepEqual(waiting.takePlaced(() => true).map(({ request }) => request.attemptId), ['c'])
})

test('expires a waiting request at its expiry time', t => {
  const waiting = createWaitingRequests()
  waiting.add(createRequest('a', 1, 0))
  waiting.add(createRequest('b', 1, 100))
  t.deepEqual(waiting.takeExpired(499), [])
  t.deepEqual(waiting.takeExpired(500).map(request => request.attemptId), ['a'])
})
