import test from 'ava'
import { rankByRendezvous } from './rendezvous.ts'
import { computeMovedShare } from './weight_ramp.ts'

const callers = Array.from({ length: 10_000 }, (_, index) => `caller-${index}`)

test('ranks every name of positive weight once', t => {
  t.deepEqual(rankByRendezvous('x', { a: 1, b: 2, c: 0 }).sort(), ['a', 'b'])
})

test('moves only as many callers as the weights change, and only to the region that gains weight', t => {
  const before = { a: 0.5, b: 0.5 }
  const after = { a: 0.4, b: 0.6 }
  const moved = callers.filter(caller => rankByRendezvous(caller, before)[0] !== rankByRendezvous(caller, after)[0])
  t.true(moved.every(caller => rankByRendezvous(caller, after)[0] === 'b'))
  t.true(Math.abs(moved.length / callers.length - 0.1) < 0.01, `moved ${moved.length}`)
})

/** Computes six standard deviations of a binomial count, which chance exceeds less than once in 10^8 cases. */
function computeTolerance (share: number, count: number): number {
  return 6 * Math.sqrt(count * share * (1 - share)) + 1
}

const changes: Array<[name: string, before: Record<string, number>, after: Record<string, number>]> = [
  ['1 % of two regions', { a: 0.5, b: 0.5 }, { a: 0.49, b: 0.51 }],
  ['10 % of three regions', { a: 0.4, b: 0.3, c: 0.3 }, { a: 0.3, b: 0.35, c: 0.35 }],
  ['region added', { a: 0.5, b: 0.5 }, { a: 0.45, b: 0.45, c: 0.1 }],
  ['region removed', { a: 0.8, b: 0.1, c: 0.1 }, { a: 0.85, b: 0.15 }],
  ['uneven weights', { a: 0.9, b: 0.07, c: 0.03 }, { a: 0.8, b: 0.12, c: 0.08 }],
  ['two regions swapped', { a: 0.7, b: 0.3 }, { a: 0.3, b: 0.7 }]
]

for (const [name, before, after] of changes) {
  test(`distributes callers by weight and moves the computed share: ${name}`, t => {
    const count = 40_000
    const chooseRegion = (caller: string, weights: Record<string, number>): string => rankByRendezvous(caller, weights)[0] ?? ''
    const moves = Array.from({ length: count }, (_, index) => {
      const caller = `10.${index >> 16}.${(index >> 8) & 255}.${index & 255}`
      return { from: chooseRegion(caller, before), to: chooseRegion(caller, after) }
    })
    const share = computeMovedShare(before, after)
    const moved = moves.filter(({ from, to }) => from !== to)
    t.true(Math.abs(moved.length - share * count) <= computeTolerance(share, count), `moved ${moved.length} of ${share * count}`)
    for (const [region, weight] of Object.entries(after)) {
      const callersInRegion = moves.filter(({ to }) => to === region).length
      t.true(Math.abs(callersInRegion - weight * count) <= computeTolerance(weight, count), `${region} has ${callersInRegion} of ${weight * count}`)
    }
    t.log(`moved ${moved.length} of ${count}, expected ${Math.round(share * count)}`)
  })
}
