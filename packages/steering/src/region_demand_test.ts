import test from 'ava'
import { createRegionDemand } from './region_demand.ts'

const report = { slots: 20, busy: 12, ageMs: 0 }
const cases: Array<[string, { sent: number, refused: number, report: typeof report | undefined, nowMs?: number }, number]> = [
  ['no requests and no report', { sent: 0, refused: 0, report: undefined }, 0],
  ['report without refusals', { sent: 100, refused: 0, report }, 12],
  ['expired report without refusals', { sent: 100, refused: 0, report: { ...report, ageMs: 11_000 } }, 0],
  ['half refused, without a report', { sent: 100, refused: 50, report: undefined }, 40],
  ['half refused despite an idle report', { sent: 100, refused: 50, report: { ...report, busy: 0 } }, 40],
  ['bounded when all are refused', { sent: 100, refused: 100, report: undefined }, 200],
  ['ignores a single refusal', { sent: 1, refused: 1, report: undefined }, 0],
  ['forgets old refusals', { sent: 100, refused: 50, report: undefined, nowMs: 60_000 }, 0]
]
for (const [name, each, expected] of cases) {
  test(`computes demand: ${name}`, t => {
    const demand = createRegionDemand()
    for (let index = 0; index < each.sent; index++) demand.record('a', index < each.refused, 0)
    const demands = demand.computeDemands({ a: { capacity: 20, report: each.report } }, each.nowMs ?? 0)
    t.is(Math.round(demands['a']!), expected)
  })
}

test('assumes the demand per request of the other regions for a region without report or refusals', t => {
  const demand = createRegionDemand()
  for (let index = 0; index < 100; index++) {
    demand.record('a', index < 50, 0)
    if (index < 50) demand.record('b', false, 0)
  }
  t.deepEqual(demand.computeDemands({ a: { capacity: 20, report: undefined }, b: { capacity: 20, report: undefined } }, 0), { a: 40, b: 20 })
})
