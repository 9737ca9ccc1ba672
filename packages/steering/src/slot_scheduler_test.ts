import type { TargetRecord } from './inventory.ts'
import type { Slot } from './slot_scheduler.ts'
import test from 'ava'
import fc from 'fast-check'
import { TargetSignal } from './circuit.ts'
import { LifecycleState } from './inventory.ts'
import { RequestClass } from './outcomes.ts'
import { createSlotScheduler } from './slot_scheduler.ts'
import { createWarmUps, warmUpMs } from './slow_start.ts'

const seed = 20260612

function createTarget (target: string, slots = 3): TargetRecord {
  return { target, service: 's', address: '', failureDomain: 'f', region: 'r', slots, maxConnections: 330, state: LifecycleState.Live }
}

/** A scheduler with a manual clock and random source, and a record of its grants and refusals. */
class Fixture {
  nowMs = 0
  listedTargets: TargetRecord[] = [createTarget('a'), createTarget('b')]
  heldSlots: Slot[] = []
  arrived = 0
  settled = new Map<string, string>()
  warmUps = createWarmUps()
  random = 0.5
  scheduler = createSlotScheduler({
    listOwnedTargets: () => this.listedTargets,
    getLimits: () => ({ maxQueued: 8, waitShare: 0.5 }),
    warmUps: this.warmUps,
    getNowMs: () => this.nowMs,
    getRandom: () => this.random
  })

  arrive (requestClass = RequestClass.LookUp, deadlineMs = 2_000): string {
    const requestId = `r${this.arrived++}`
    const item = { requestId, callerKey: `c${this.arrived % 3}`, requestClass, priority: 0, deadlineAtMs: this.nowMs + deadlineMs }
    this.scheduler.submit('s', item, result => {
      if (this.settled.has(requestId)) throw new Error(`Request "${requestId}" was settled twice`)
      this.settled.set(requestId, result.isOk() ? 'granted' : result.error.reason)
      if (result.isOk()) this.heldSlots.push(result.value)
    })
    return requestId
  }

  finish (signal?: TargetSignal): void {
    const slot = this.heldSlots.shift()
    if (signal !== undefined) slot?.recordFailure(signal)
    slot?.release()
    slot?.release()
  }

  countHeld (target: string): number {
    return this.heldSlots.filter(slot => slot.target.target === target).length
  }
}

type Step = (fixture: Fixture) => void
const classes = Object.values(RequestClass)
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  { weight: 8, arbitrary: fc.tuple(fc.constantFrom(...classes), fc.integer({ min: 0, max: 3_000 })).map(([each, deadlineMs]): Step => fixture => { fixture.arrive(each, deadlineMs) }) },
  { weight: 3, arbitrary: fc.constantFrom(undefined, ...Object.values(TargetSignal)).map((signal): Step => fixture => fixture.finish(signal)) },
  fc.subarray(['a', 'b', 'c']).chain(names => fc.integer({ min: 0, max: 3 }).map((slots): Step => fixture => {
    fixture.listedTargets = names.map(name => createTarget(name, slots))
    fixture.warmUps.observe('s', fixture.listedTargets, fixture.nowMs)
  })),
  fc.integer({ min: 0, max: 2_000 }).map((ms): Step => fixture => { fixture.nowMs += ms }),
  fc.integer({ min: 0, max: 20 }).map((index): Step => fixture => {
    if (fixture.scheduler.remove('s', `r${index}`)) fixture.settled.set(`r${index}`, 'removed')
  }),
  fc.integer({ min: 0, max: 9 }).map((busy): Step => fixture => fixture.scheduler.recordLoad('a', busy)),
  fc.constant<Step>(fixture => fixture.scheduler.advance())
)

test('never grants more slots than the targets have, and settles each request once', t => {
  fc.assert(fc.property(fc.array(stepArbitrary, { maxLength: 120 }), steps => {
    const fixture = new Fixture()
    for (const step of steps) {
      const before = new Map(['a', 'b', 'c'].map(name => [name, fixture.countHeld(name)]))
      step(fixture)
      for (const [name, held] of before) {
        const now = fixture.countHeld(name)
        const slots = fixture.listedTargets.find(target => target.target === name)?.slots ?? 0
        if (now > Math.max(held, slots)) return false
      }
      if (fixture.scheduler.countInFlight() !== fixture.heldSlots.length) return false
      if (fixture.scheduler.countQueued() + fixture.settled.size !== fixture.arrived) return false
      if (fixture.scheduler.countQueued() > 8) return false
    }
    fixture.nowMs += 10_000
    fixture.scheduler.advance()
    return fixture.scheduler.countQueued() === 0 && fixture.settled.size === fixture.arrived
  }), { seed, numRuns: 1_000 })
  t.pass()
})

test('grants a released slot to the next waiting request immediately', t => {
  const fixture = new Fixture()
  for (let index = 0; index < 7; index++) fixture.arrive()
  t.is(fixture.heldSlots.length, 6)
  fixture.nowMs = 20
  fixture.finish()
  t.is(fixture.heldSlots.length, 6)
  t.is(fixture.scheduler.countQueued(), 0)
})

test('opens a circuit after consecutive failures, probes with a look-up, then warms up', t => {
  const fixture = new Fixture()
  fixture.listedTargets = [createTarget('a')]
  for (let index = 0; index < 3; index++) {
    fixture.arrive()
    fixture.finish(TargetSignal.ConnectFailed)
  }
  const refused = fixture.arrive()
  t.is(fixture.settled.get(refused), 'overloaded')
  fixture.nowMs = 400
  const atMostOnce = fixture.arrive(RequestClass.AtMostOnce)
  t.is(fixture.settled.get(atMostOnce), undefined)
  fixture.arrive()
  fixture.arrive()
  t.is(fixture.heldSlots.length, 1)
  t.is(fixture.settled.get(atMostOnce), undefined)
  fixture.finish()
  t.is(fixture.heldSlots.length, 1, 'a recovered target starts with one slot')
  t.is(fixture.settled.get(atMostOnce), 'granted')
  fixture.nowMs += warmUpMs
  fixture.scheduler.advance()
  t.is(fixture.scheduler.getLoad('s').slots, 3)
})

test('warms up an added target, but not those of the first list', t => {
  const fixture = new Fixture()
  fixture.warmUps.observe('s', fixture.listedTargets, 0)
  t.is(fixture.scheduler.getLoad('s').slots, 6)
  fixture.listedTargets = [...fixture.listedTargets, createTarget('c')]
  fixture.warmUps.observe('s', fixture.listedTargets, 0)
  t.is(fixture.scheduler.getLoad('s').slots, 7)
  fixture.nowMs = warmUpMs / 2
  t.is(fixture.scheduler.getLoad('s').slots, 8)
})

const reports: Array<[string, (fixture: Fixture) => void, number]> = [
  ['idle report changes nothing', fixture => fixture.scheduler.recordLoad('a', 0), 3],
  ['report of a full target leaves one slot', fixture => fixture.scheduler.recordLoad('a', 3), 1],
  ['own requests are not counted twice', fixture => { fixture.heldSlots.length = 0; fixture.arrive(); fixture.scheduler.recordLoad('a', fixture.scheduler.getBusySlots('a')) }, 3],
  ['report at half its lifetime counts half', fixture => { fixture.scheduler.recordLoad('a', 2); fixture.nowMs += 1_500 }, 2],
  ['ignores an expired report', fixture => { fixture.scheduler.recordLoad('a', 3); fixture.nowMs += 10_000 }, 3],
  ['refusal by the target removes one slot', fixture => { fixture.arrive(); fixture.finish(TargetSignal.Refused) }, 2],
  ['trusts a report less when the target still responds to requests', fixture => {
    for (let index = 0; index < 6; index++) {
      fixture.scheduler.recordLoad('a', 9)
      fixture.arrive()
      fixture.nowMs += 10
      fixture.finish()
    }
  }, 2]
]
for (const [name, act, slots] of reports) {
  test(`limits slots by load reports: ${name}`, t => {
    const fixture = new Fixture()
    fixture.listedTargets = [createTarget('a')]
    t.is(fixture.scheduler.getLoad('s').slots, 3)
    act(fixture)
    t.is(fixture.scheduler.getLoad('s').slots, slots)
  })
}

test('reserves slots from uploads after a request of another class has arrived', t => {
  const fixture = new Fixture()
  for (let index = 0; index < 6; index++) fixture.arrive(RequestClass.Upload, 60_000)
  t.is(fixture.heldSlots.length, 6)
  while (fixture.heldSlots.length > 0) fixture.finish()
  fixture.arrive(RequestClass.AtMostOnce)
  fixture.finish()
  for (let index = 0; index < 6; index++) fixture.arrive(RequestClass.Upload, 60_000)
  t.is(fixture.heldSlots.length, 5)
})
