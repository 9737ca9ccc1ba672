import test from 'ava'
import { createHoldTimes } from './hold_times.ts'
import { RequestClass } from './outcomes.ts'

const cases: Array<[string, number[], number, number]> = [
  ['initial estimate without measurements', [], 25, 25],
  ['initial estimate still counts after one slow request', [1_000], 100, 200],
  ['mean approaches steady measurements', new Array<number>(200).fill(80), 79, 81],
  ['measurements of 0 ms count as the lower limit', new Array<number>(400).fill(0), 0.1, 0.2]
]
for (const [name, holds, minMs, maxMs] of cases) {
  test(`measures hold times: ${name}`, t => {
    const times = createHoldTimes()
    for (const holdMs of holds) times.record(RequestClass.LookUp, holdMs)
    const meanMs = times.getHoldMs(RequestClass.LookUp)
    t.true(meanMs >= minMs && meanMs <= maxMs, `${meanMs} ms`)
  })
}
