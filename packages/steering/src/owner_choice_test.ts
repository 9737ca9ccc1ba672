import type { OwnerState, RankOwners } from './owner_choice.ts'
import test from 'ava'
import {
  computeOwnerLoad, rankOwnersAtRandom, rankOwnersByCaller, rankOwnersByLoad, rankOwnersByTwoChoices, rankOwnersLocalFirst,
  reportLifetimeMs
} from './owner_choice.ts'

const feeder: OwnerState = {
  instance: 'a', slots: 10, ownInFlight: 0, reportedLoad: undefined, reportAgeMs: 0, isLocal: false, isNear: false
}
const options = { callerKey: '192.0.2.7', getRandom: () => 0.5 }

const loads: Array<[string, Partial<OwnerState>, number]> = [
  ['own count without a report', { ownInFlight: 5 }, 0.5],
  ['fresh report above the own count', { ownInFlight: 5, reportedLoad: 10 }, 1],
  ['report below the own count is a lie or old', { ownInFlight: 5, reportedLoad: 0 }, 0.5],
  ['half the lifetime', { ownInFlight: 5, reportedLoad: 10, reportAgeMs: reportLifetimeMs / 2 }, 0.75],
  ['report that has aged out', { ownInFlight: 5, reportedLoad: 1000, reportAgeMs: 10_000 }, 0.5]
]
for (const [name, state, expected] of loads) {
  test(`computes load: ${name}`, t => t.is(computeOwnerLoad({ ...feeder, ...state }), expected))
}

const ranks: Array<[string, RankOwners]> = [
  ['caller', rankOwnersByCaller], ['random', rankOwnersAtRandom], ['load', rankOwnersByLoad],
  ['two choices', rankOwnersByTwoChoices], ['local first', rankOwnersLocalFirst]
]
for (const [name, rank] of ranks) {
  test(`ranks by ${name}: each feeder with slots once`, t => {
    const feeders = [feeder, { ...feeder, instance: 'b' }, { ...feeder, instance: 'c', slots: 0 }]
    t.deepEqual(rank(feeders, options).map(each => each.instance).sort(), ['a', 'b'])
    t.deepEqual(rank([], options), [])
    t.deepEqual(rank([feeder], options), [feeder])
  })
}

test('ranks by load: the free one first', t => {
  const busy = { ...feeder, ownInFlight: 9 }
  const free = { ...feeder, instance: 'b', ownInFlight: 1 }
  for (const rank of [rankOwnersByLoad, rankOwnersByTwoChoices, rankOwnersLocalFirst]) t.is(rank([busy, free], options)[0], free)
})

test('ranks local first only while it has free slots', t => {
  const local = { ...feeder, isLocal: true, ownInFlight: 7 }
  const other = { ...feeder, instance: 'b', ownInFlight: 1 }
  t.is(rankOwnersLocalFirst([other, local], options)[0], local)
  t.is(rankOwnersLocalFirst([other, { ...local, ownInFlight: 8 }], options)[0], other)
})
