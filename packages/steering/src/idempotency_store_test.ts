import type { Pin } from './pin.ts'
import test from 'ava'
import fc from 'fast-check'
import { createIdempotencyStore } from './idempotency_store.ts'
import { checkPin, formatPin, parsePin, pinRetainedEpochs, PinStatus, pinUsableEpochs } from './pin.ts'
import { createRetryBudget } from './retry_budget.ts'

const seed = 20_261_203
const self = { instance: 'a', incarnation: 'i', epoch: 10 }

function createPin (epoch: number, nonce = 'n'): Pin {
  return { instance: 'a', incarnation: 'i', epoch, nonce }
}

test('checks pins against instance, incarnation and epoch', t => {
  const cases: Array<[Pin, PinStatus]> = [
    [createPin(10), PinStatus.Current],
    [createPin(10 - pinUsableEpochs), PinStatus.Current],
    [createPin(10 - pinUsableEpochs - 1), PinStatus.Expired],
    [createPin(11), PinStatus.Future],
    [{ ...createPin(10), incarnation: 'old' }, PinStatus.OtherIncarnation],
    [{ ...createPin(10), instance: 'b' }, PinStatus.OtherInstance]
  ]
  for (const [pin, expected] of cases) t.is(checkPin(pin, self), expected, formatPin(pin))
})

test('rejects malformed pins and round-trips valid ones', t => {
  for (const text of ['', 'a', 'a.b.c', 'a.b.1.', 'a.b.-1.n', 'a.b.1.n.x', 'a.b.1.n/', 'a.b.1e3.n', `a.b.1.${'n'.repeat(300)}`]) t.true(parsePin(text).isErr(), text)
  fc.assert(fc.property(fc.string(), text => {
    const pin = parsePin(text)
    return pin.isErr() || formatPin(pin.value) === text || Number(text.split('.')[2]) === pin.value.epoch
  }), { seed })
})

test('retains a key while its pin admits new keys', t => {
  t.notThrows(() => fc.assert(fc.property(fc.nat(20), fc.nat(20), (pinEpoch, elapsedEpochs) => {
    const store = createIdempotencyStore<number>({ maxKeys: 10, maxResultBytes: 10 })
    const scoped = { pin: createPin(pinEpoch), key: 'k' }
    store.add(scoped, 1)
    store.expire(pinEpoch + elapsedEpochs)
    const isUsable = checkPin(scoped.pin, { ...self, epoch: pinEpoch + elapsedEpochs }) === PinStatus.Current
    return store.find(scoped) === 1 ? elapsedEpochs <= pinRetainedEpochs : !isUsable
  }), { seed }))
})

test('bounds keys and result bytes, and separates keys by pin', t => {
  const store = createIdempotencyStore<number>({ maxKeys: 2, maxResultBytes: 10 })
  const first = { pin: createPin(1, 'x'), key: 'k' }
  const second = { pin: createPin(1, 'y'), key: 'k' }
  t.true(store.add(first, 1) && store.add(second, 2))
  t.false(store.add({ pin: createPin(2), key: 'k' }, 3))
  t.deepEqual([store.find(first), store.find(second)], [1, 2])
  t.true(store.reserveBytes(first, 8))
  t.false(store.reserveBytes(second, 3))
  store.remove(first)
  t.is(store.sumBytes(), 0)
  t.is(store.count(), 1)
  store.expire(100)
  t.is(store.count(), 0)
})

test('bounds retries to a share of first attempts', t => {
  const budget = createRetryBudget({ share: 0.1, maxSaved: 5 })
  let retries = 0
  for (let attempt = 0; attempt < 1_000; attempt++) {
    budget.recordAttempt()
    if (budget.take()) retries++
  }
  t.true(retries <= 105 && retries >= 100, String(retries))
})
