import test from 'ava'
import fc from 'fast-check'
import { computeMemoryShares, noHeapPressure, updateHeapPressure } from './memory_budget.ts'

const mb = 1_048_576

test('bodies, heap and program together stay within the memory', t => {
  for (const memoryMb of [350, 480, 610]) {
    const { bodyBytes } = computeMemoryShares({ memoryBytes: memoryMb * mb, heapBytes: 144 * mb })
    t.true(bodyBytes + 144 * mb < memoryMb * mb * 0.8)
  }
})

test('idle connections leave a part of the heap to requests, however small it is', t => {
  t.true(computeMemoryShares({ heapBytes: 144 * mb }).maxConnections * 8_192 < 60 * mb)
  t.true(computeMemoryShares({ heapBytes: 60 * mb }).maxConnections > 0)
  t.true(computeMemoryShares({ heapBytes: 40 * mb, memoryBytes: mb }).bodyBytes > 0)
})

test('load is refused from the second sample above the limit, and served again once enough is free', t => {
  const shares = computeMemoryShares({ heapBytes: 148 * mb })
  let pressure = noHeapPressure
  const decisions = [50, 90, 70, 90, 90, 80, 74, 90].map(usedMb => {
    pressure = updateHeapPressure(pressure, usedMb * mb, shares)
    return pressure.isShort
  })
  t.deepEqual(decisions, [false, false, false, false, true, true, false, false])
})

test('a heap below the lower limit is never short', t => {
  const shares = computeMemoryShares({ heapBytes: 148 * mb })
  t.notThrows(() => fc.assert(fc.property(fc.array(fc.nat({ max: 150 }), { minLength: 1 }), samples => {
    const last = samples.reduce((pressure, usedMb) => updateHeapPressure(pressure, usedMb * mb, shares), noHeapPressure)
    return !last.isShort || samples.at(-1)! >= 75
  })))
})
