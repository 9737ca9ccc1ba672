import test from 'ava'
import { assert, array, constantFrom, integer, property, record } from 'fast-check'
import { createLifeCycle, computeArrivalMs, LifePhase } from './life_cycle.ts'

const graceMs = 6_000
const phases = Object.values(LifePhase)

test('goes through its phases within the grace', t => {
  const life = createLifeCycle({ graceMs })
  t.is(life.getPhase(1_000), LifePhase.Running)
  t.true(life.recordStop(1_000))
  t.deepEqual([1_000, 3_519, 3_520, 6_819, 6_820, 60_000].map(life.getPhase), [LifePhase.Leaving, LifePhase.Leaving, LifePhase.Closing, LifePhase.Closing, LifePhase.Ending, LifePhase.Ending])
})

test('sends on in a stop only what can be completed', t => {
  const life = createLifeCycle({ graceMs })
  t.true(life.isCompletable(1e9, 0))
  life.recordStop(0)
  t.deepEqual([[1_000, 4_000], [1_000, 4_400], [3_800, 0], [3_900, 0], [0, 5_819], [0, 5_820]].map(([expectedMs, nowMs]) => life.isCompletable(expectedMs!, nowMs!)), [true, false, true, false, true, false])
})

test('estimates the arrival of a body', t => {
  t.is(computeArrivalMs({ receivedBytes: 50_000, declaredBytes: 200_000, elapsedMs: 1_000 }), 3_000)
  t.is(computeArrivalMs({ receivedBytes: 200_000, declaredBytes: 200_000, elapsedMs: 1_000 }), 0)
  t.is(computeArrivalMs({ receivedBytes: 0, declaredBytes: 200_000, elapsedMs: 1_000 }), 1_000)
  t.is(computeArrivalMs({ receivedBytes: 50_000, declaredBytes: undefined, elapsedMs: 700 }), 700)
  t.is(computeArrivalMs({ receivedBytes: 190_000, declaredBytes: 200_000, elapsedMs: 190 }), 10)
  t.is(computeArrivalMs({ receivedBytes: 200_000, declaredBytes: 200_000, elapsedMs: 190 }), 0)
})

test('the first bytes of a large body do not make a stop refuse it', t => {
  const life = createLifeCycle({ graceMs })
  life.recordStop(0)
  t.true(life.isCompletable(computeArrivalMs({ receivedBytes: 100_000, declaredBytes: 3_000_000, elapsedMs: 130 }), 230))
})

test('no order of events leads back to an earlier phase or gives a request more time', t => {
  const event = record({ waitMs: integer({ min: 0, max: 3_000 }), kind: constantFrom('stop', 'wait') })
  assert(property(array(event, { maxLength: 30 }), integer({ min: 100, max: 60_000 }), (events, grace) => {
    const life = createLifeCycle({ graceMs: grace })
    let [nowMs, phaseIndex, firstStopMs, endMs] = [0, 0, Infinity, Infinity]
    for (const { waitMs, kind } of events) {
      nowMs += waitMs
      if (kind === 'stop') {
        if (life.recordStop(nowMs) !== (firstStopMs === Infinity)) return false
        firstStopMs = Math.min(firstStopMs, nowMs)
      }
      const index = phases.indexOf(life.getPhase(nowMs))
      const isEnding = phases[index] === LifePhase.Ending
      if (index < phaseIndex || (firstStopMs === Infinity) !== (index === 0) || nowMs + life.getTimeLeftMs(nowMs) > Math.max(nowMs, endMs) + 1e-6) return false
      if (isEnding !== (life.getTimeLeftMs(nowMs) === 0) || (isEnding && life.isCompletable(0, nowMs))) return false
      phaseIndex = index
      if (firstStopMs !== Infinity) endMs = firstStopMs + grace
    }
    return true
  }))
  t.pass()
})
