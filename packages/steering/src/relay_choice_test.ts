import type { ChooseRelayOptions, RelayCandidate } from './relay_choice.ts'
import test from 'ava'
import { allGroupsUnreached, chooseRelay, isAnyReached, isRelayAdmitted } from './relay_choice.ts'

const groups = ['s/a', 's/b']

function createCandidate (instance: string, overrides: Partial<RelayCandidate> = {}): RelayCandidate {
  return { instance, region: 'north', isReady: true, unreached: [], ...overrides }
}

function choose (candidates: RelayCandidate[], options: Partial<ChooseRelayOptions> = {}): string | undefined {
  return chooseRelay(candidates, { groups, region: 'north', homeRegions: [], isExcluded: () => false, countInFlight: () => 0, getRandom: () => 0.5, ...options })?.instance
}

for (const [title, candidates, options, expected] of [
  ['prefers an instance in its own region', [createCandidate('far', { region: 'south' }), createCandidate('near')], {}, 'near'],
  ['prefers the instance with the fewest requests in flight', [createCandidate('x'), createCandidate('y')], { countInFlight: (name: string) => name === 'x' ? 2 : 1 }, 'y'],
  ['skips an instance that reaches none of the groups', [createCandidate('x', { unreached: groups }), createCandidate('y', { region: 'south', unreached: ['s/a'] })], {}, 'y'],
  ['skips an instance that reaches no target', [createCandidate('x', { unreached: [allGroupsUnreached] })], {}, undefined],
  ['skips an instance that stops', [createCandidate('x', { isReady: false })], {}, undefined],
  ['skips an instance that was tried', [createCandidate('x'), createCandidate('y')], { isExcluded: (name: string) => name === 'x' }, 'y'],
  ['stays in the home regions', [createCandidate('x'), createCandidate('y', { region: 'south' })], { homeRegions: ['south'] }, 'y'],
  ['finds none outside the home regions', [createCandidate('x')], { homeRegions: ['south'] }, undefined]
] as const) {
  test(`the choice of a relay ${title}`, t => {
    t.is(choose([...candidates], options as Partial<ChooseRelayOptions>), expected)
  })
}

test('the requests of an instance spread evenly over its relays', t => {
  const candidates = ['x', 'y', 'z'].map(name => createCandidate(name))
  const inFlight = new Map<string, number>()
  for (let count = 0; count < 30; count++) {
    const name = choose(candidates, { countInFlight: instance => inFlight.get(instance) ?? 0, getRandom: () => (count * 7 % 10) / 10 })!
    inFlight.set(name, (inFlight.get(name) ?? 0) + 1)
  }
  t.deepEqual([...inFlight.values()], [10, 10, 10])
})

test('an instance without any group to reach reaches none', t => {
  t.false(isAnyReached([], []))
})

for (const [title, load, expected] of [
  ['is accepted while no request waits', { waiting: 0, own: 0, fromOrigin: 40, relayed: 40 }, true],
  ['is accepted up to the share of own callers', { waiting: 3, own: 10, fromOrigin: 9, relayed: 30 }, true],
  ['is refused beyond the share of own callers', { waiting: 3, own: 10, fromOrigin: 10, relayed: 30 }, false],
  ['is accepted up to a minimum where there are no own callers', { waiting: 3, own: 0, fromOrigin: 3, relayed: 3 }, true],
  ['is refused at the limit', { waiting: 0, own: 0, fromOrigin: 1, relayed: 50 }, false]
] as const) {
  test(`a relayed request ${title}`, t => {
    t.is(isRelayAdmitted({ ...load, maxRelayed: 50 }), expected)
  })
}
