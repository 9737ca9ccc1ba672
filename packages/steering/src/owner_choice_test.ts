import type { OwnerState, RankOwners } from './owner_choice.ts'
import test from 'ava'
import {
  computeOwnerLoad, rankOwnersAtRandom, rankOwnersByCaller, rankOwnersByLoad, rankOwnersByTwoChoices, rankOwnersLocalFirst,
  ownerReportLifetimeMs
} from './owner_choice.ts'

const owner: OwnerState = {
  instance: 'a', slots: 10, forwardedInFlight: 0, reportedLoad: undefined, reportAgeMs: 0, isLocal: false, isInSameFailureDomain: false
}
const options = { callerKey: '192.0.2.7', getRandom: () => 0.5 }

const loads: Array<[string, Partial<OwnerState>, number]> = [
  ['forwarded requests without a report', { forwardedInFlight: 5 }, 0.5],
  ['fresh report above the forwarded requests', { forwardedInFlight: 5, reportedLoad: 10 }, 1],
  ['ignores a report below the forwarded requests, which is wrong or old', { forwardedInFlight: 5, reportedLoad: 0 }, 0.5],
  ['report at half its lifetime counts half', { forwardedInFlight: 5, reportedLoad: 10, reportAgeMs: ownerReportLifetimeMs / 2 }, 0.75],
  ['ignores an expired report', { forwardedInFlight: 5, reportedLoad: 1000, reportAgeMs: 10_000 }, 0.5]
]
for (const [name, state, expected] of loads) {
  test(`computes the load of an owner: ${name}`, t => t.is(computeOwnerLoad({ ...owner, ...state }), expected))
}

const ranks: Array<[string, RankOwners]> = [
  ['caller', rankOwnersByCaller], ['random', rankOwnersAtRandom], ['load', rankOwnersByLoad],
  ['two choices', rankOwnersByTwoChoices], ['local first', rankOwnersLocalFirst]
]
for (const [name, rank] of ranks) {
  test(`ranks by ${name}: lists each owner with slots once`, t => {
    const owners = [owner, { ...owner, instance: 'b' }, { ...owner, instance: 'c', slots: 0 }]
    t.deepEqual(rank(owners, options).map(each => each.instance).sort(), ['a', 'b'])
    t.deepEqual(rank([], options), [])
    t.deepEqual(rank([owner], options), [owner])
  })
}

test('ranks the least loaded owner first', t => {
  const busy = { ...owner, forwardedInFlight: 9 }
  const free = { ...owner, instance: 'b', forwardedInFlight: 1 }
  for (const rank of [rankOwnersByLoad, rankOwnersByTwoChoices, rankOwnersLocalFirst]) t.is(rank([busy, free], options)[0], free)
})

test('prefers the local owner only below the local load limit', t => {
  const local = { ...owner, isLocal: true, forwardedInFlight: 7 }
  const other = { ...owner, instance: 'b', forwardedInFlight: 1 }
  t.is(rankOwnersLocalFirst([other, local], options)[0], local)
  t.is(rankOwnersLocalFirst([other, { ...local, forwardedInFlight: 8 }], options)[0], other)
})
