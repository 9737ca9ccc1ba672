import type { Pin } from './pin.ts'
import test from 'ava'
import fc from 'fast-check'
import { createIdempotencyStore } from './idempotency_store.ts'
import { checkPin, formatPin, parsePin, pinRememberedEpochs, PinStatus, pinUsableEpochs } from './pin.ts'
import { createRetryBudget } from './retry_budget.ts'

const seed = 20_261_203
const self = { instance: 'a', incarnation: 'i', epoch: 10 }

function createPin (epoch: number, nonce = 'n'): Pin {
  return { instance: 'a', incarnation: 'i', epoch, nonce }
}

test('judges pins', t => {
  const cases: Array<[Pin, PinStatus]> = [
    [createPin(10), PinStatus.Current],
    [createPin(10 - pinUsableEpochs), PinStatus.Current],
    [createPin(10 - pinUsableEpochs - 1), PinStatus.Expired],
    [createPin(11), PinStatus.Future],
    [{ ...createPin(10), incarnation: 'old' }, PinStatus.OtherIncarnation],
    [{ ...createPin(10), instance: 'b' }, PinStatus.OtherInstance]
  ]
  for (const [pin, standing] of cases) t.is(checkPin(pin, self), standing, formatPin(pin))
})

test('parses only whole pins', t => {
  for (const text of ['', 'a', 'a.b.c', 'a.b.1.', 'a.b.-1.n', 'a.b.1.n.x', 'a.b.1.n/', 'a.b.1e3.n', `a.b.1.${'n'.repeat(300)}`]) t.true(parsePin(text).isErr(), text)
  fc.assert(fc.property(fc.string(), text => {
    const pin = parsePin(text)
    return pin.isErr() || formatPin(pin.value) === text || Number(text.split('.')[2]) === pin.value.epoch
  }), { seed })
})

test('remembers a key as long as its pin lets a new key run', t => {
  t.notThrows(() => fc.assert(fc.property(fc.nat(20), fc.nat(20), (pinEpoch, later) => {
    const memory = createIdempotencyStore<number>({ maxKeys: 10, maxResultBytes: 10 })
    const scoped = { pin: createPin(pinEpoch), key: 'k' }
    memory.remember(scoped, 1)
    memory.expire(pinEpoch + later)
    const usable = checkPin(scoped.pin, { ...self, epoch: pinEpoch + later }) === PinStatus.Current
    return memory.find(scoped) === 1 ? later <= pinRememberedEpochs : !usable
  }), { seed }))
})

test('bounds keys and bytes and keeps scopes apart', t => {
  const memory = createIdempotencyStore<number>({ maxKeys: 2, maxResultBytes: 10 })
  const first = { pin: createPin(1, 'x'), key: 'k' }
  const second = { pin: createPin(1, 'y'), key: 'k' }
  t.true(memory.remember(first, 1) && memory.remember(second, 2))
  t.false(memory.remember({ pin: createPin(2), key: 'k' }, 3))
  t.deepEqual([memory.find(first), memory.find(second)], [1, 2])
  t.true(memory.reserveBytes(first, 8))
  t.false(memory.reserveBytes(second, 3))
  memory.remove(first)
  t.is(memory.sumBytes(), 0)
  t.is(memory.count(), 1)
  memory.expire(100)
  t.is(memory.count(), 0)
})

test('bounds retries to a share of first attempts', t => {
  const budget = createRetryBudget({ share: 0.1, maxSaved: 5 })
  let taken = 0
  for (let attempt = 0; attempt < 1_000; attempt++) {
    budget.recordAttempt()
    if (budget.take()) taken++
  }
  t.true(taken <= 105 && taken >= 100, String(taken))
})
