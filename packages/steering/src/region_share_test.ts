import type { RegionRoom } from './region_share.ts'
import test from 'ava'
import fc from 'fast-check'
import { computeRegionShare, createRegionShare, isServedInRegion, rankByRegion } from './region_share.ts'
import { createTargetRegistry } from './target_registry.ts'

const seed = 20261204
const toRooms = (rooms: Record<string, [slots: number, demand: number]>): Map<string, RegionRoom> => new Map(Object.entries(rooms).map(([region, [slots, demand]]) => [region, { targets: Math.ceil(slots / 3), slots, demand }]))

const cases: Array<[string, Record<string, [number, number]>, number]> = [
  ['keeps all objects of a region with room for them', { a: [100, 40], b: [100, 0], c: [100, 0] }, 1],
  ['keeps what half of the slots serve while other regions are less loaded', { a: [100, 100], b: [500, 100], c: [500, 100] }, 0.5],
  ['keeps what loads the region like the others when all are busy', { a: [100, 300], b: [500, 300], c: [500, 300] }, 900 / 1_100 / 3],
  ['keeps all objects when all regions are overloaded alike', { a: [100, 900], b: [100, 900] }, 1],
  ['keeps the part of its slots before there is any demand', { a: [10, 0], b: [45, 0], c: [45, 0] }, 0.3],
  ['keeps none in a region without targets', { a: [0, 10], b: [10, 10] }, 0]
]
for (const [title, rooms, expected] of cases) {
  test(`region share: ${title}`, t => t.true(Math.abs(computeRegionShare('a', toRooms(rooms)) - expected) < 1e-9, String(computeRegionShare('a', toRooms(rooms)))))
}

test('loads no region above the others by its own callers once half of its slots are in use', t => {
  const amount = fc.integer({ min: 1, max: 500 })
  fc.assert(fc.property(fc.array(fc.tuple(amount, amount), { minLength: 2, maxLength: 5 }), list => {
    const rooms = toRooms(Object.fromEntries(list.map((room, index) => [String(index), room])))
    const [slots, demand] = [0, 1].map(position => list.reduce((sum, room) => sum + room[position]!, 0)) as [number, number]
    return [...rooms].every(([region, room]) => {
      const share = computeRegionShare(region, rooms)
      return share >= 0 && share <= 1 && share * room.demand <= Math.max(0.5 * room.slots, room.slots * demand / slots) + 1e-6
    })
  }), { seed, numRuns: 500 })
  t.pass()
})

test('moves at most 4 % of the objects per second, and none for a small difference', t => {
  const share = createRegionShare('a')
  share.advance(toRooms({ a: [100, 0], b: [100, 0] }), 0)
  t.is(share.get(), 1)
  share.advance(toRooms({ a: [100, 104], b: [100, 90] }), 250)
  t.is(share.get(), 1)
  const crowded = toRooms({ a: [100, 400], b: [100, 0] })
  let before = share.get()!
  for (let nowMs = 500; nowMs <= 20_000; nowMs += 250) {
    share.advance(crowded, nowMs)
    t.true(before - share.get()! <= 0.04 * 0.25 + 1e-9)
    before = share.get()!
  }
  t.is(share.get(), 0.5)
})

test('chooses targets in all regions alike while the region has few of them', t => {
  const share = createRegionShare('a')
  const advance = (targets: number, nowMs: number): number | undefined => {
    share.advance(new Map([['a', { targets, slots: 3 * targets, demand: 1 }], ['b', { targets: 90, slots: 270, demand: 1 }]]), nowMs)
    return share.get()
  }
  t.deepEqual([19, 20, 12, 10, 9, 19, 20].map((targets, index) => advance(targets, index) !== undefined), [false, true, true, true, false, false, true])
})

test('puts the targets of the region that serves the object first, and keeps their ranks', t => {
  const registry = createTargetRegistry()
  const ranked = ['a', 'b', 'a', 'b'].map((region, index) => registry.register({ id: `t${index}`, service: 's', address: { host: '10.0.0.1', port: 1 }, failureDomain: region, slots: 3, leaving: false, coldLeftMs: 0, startedAtMs: 1 }, { region, nowMs: 0 }))
  const list = (isOwnFirst: boolean): string[] => rankByRegion(ranked, { region: 'a', isOwnFirst }).map(entry => entry.target.id)
  t.deepEqual(list(true), ['t0', 't2', 't1', 't3'])
  t.deepEqual(list(false), ['t1', 't3', 't0', 't2'])
})

test('a smaller share moves only objects that the region served before', t => {
  const keys = Array.from({ length: 1_000 }, (_, index) => `k${index}`)
  const count = keys.filter(key => isServedInRegion(key, 0.3)).length
  t.true(Math.abs(count - 300) < 60, String(count))
  t.true(keys.every(key => isServedInRegion(key, 0.6) || !isServedInRegion(key, 0.3)))
  t.true(keys.every(key => isServedInRegion(key, 1) && !isServedInRegion(key, 0)))
})
