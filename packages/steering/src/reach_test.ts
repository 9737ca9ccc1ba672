import type { Reach } from './reach.ts'
import type { RegisteredTarget } from './target_registry.ts'
import test from 'ava'
import { createReach, isReturnExpected } from './reach.ts'
import { createTargetRegistry } from './target_registry.ts'

function createTargets (counts: Record<string, number>): RegisteredTarget[] {
  const registry = createTargetRegistry()
  return Object.entries(counts).flatMap(([failureDomain, count]) => Array.from({ length: count }, (_, index) => registry.register({
    id: `${failureDomain}${index}`, service: 's', address: { host: '10.0.0.1', port: index + 1 }, failureDomain, slots: 3, leaving: false, coldLeftMs: 0, startedAtMs: 1
  }, { region: 'r', nowMs: 0 })))
}

/** Runs the checks that a reach asks for until it asks for none, and returns the keys of the groups that are lost then. */
function runChecks (reach: Reach, { targets, isUp, nowMs }: { targets: RegisteredTarget[], isUp: (id: string) => boolean, nowMs: number }): string[] {
  for (;;) {
    const { checks } = reach.advance(targets, nowMs)
    if (checks.length === 0) return reach.listLost()
    for (const entry of checks) {
      if (isUp(entry.target.id)) reach.recordEstablished(entry, nowMs)
      else reach.recordConnectFailure(entry, nowMs)
    }
  }
}

for (const [title, down, lost] of [
  ['one target is down', ['a0'], []],
  ['all targets but one of a failure domain are down', ['a0', 'a1', 'a2'], []],
  ['a failure domain is down', ['a0', 'a1', 'a2', 'a3'], ['s/a']],
  ['all targets are out of reach', ['a0', 'a1', 'a2', 'a3', 'b0', 'b1', 'c0'], ['s/a', 's/b', 's/c']]
] as const) {
  test(`groups out of reach after a failed connection when ${title}`, t => {
    const reach = createReach()
    const targets = createTargets({ a: 4, b: 2, c: 1 })
    reach.advance(targets, 0)
    reach.recordConnectFailure(targets[0]!, 1_000)
    const isUp = (id: string): boolean => !(down as readonly string[]).includes(id)
    t.deepEqual(runChecks(reach, { targets, isUp, nowMs: 1_000 }), [...lost])
  })
}

test('silence of all targets leads to checks, which find a path that hangs', t => {
  const reach = createReach()
  const targets = createTargets({ a: 3, b: 3 })
  for (const entry of targets) reach.recordResponse(entry, 500)
  reach.recordSilence(1_000)
  t.deepEqual(runChecks(reach, { targets, isUp: () => false, nowMs: 1_000 }), ['s/a', 's/b'])
  t.true(reach.isStalled(targets[0]!, 1_000))
})

test('a sample of three targets decides on all groups that are silent', t => {
  const reach = createReach()
  const targets = createTargets({ a: 3, b: 3, c: 3, d: 3, e: 3 })
  reach.advance(targets, 0)
  reach.recordSilence(1_000)
  const { checks } = reach.advance(targets, 1_000)
  t.is(checks.length, 3)
  t.is(new Set(checks.map(({ target }) => target.failureDomain)).size, 3)
  // A group that responds meanwhile is not silent.
  reach.recordResponse(targets.at(-1)!, 1_100)
  for (const entry of checks) reach.recordConnectFailure(entry, 1_200)
  reach.advance(targets, 1_200)
  t.deepEqual(reach.listLost(), ['s/a', 's/b', 's/c', 's/d'])
})

test('silence of targets that accept connections makes none of them lost', t => {
  const reach = createReach()
  const targets = createTargets({ a: 3, b: 3 })
  reach.recordSilence(1_000)
  t.deepEqual(runChecks(reach, { targets, isUp: () => true, nowMs: 1_000 }), [])
})

test('a lost group is reached again after two connections in a row', t => {
  const reach = createReach()
  const targets = createTargets({ a: 3 })
  reach.recordConnectFailure(targets[0]!, 0)
  runChecks(reach, { targets, isUp: () => false, nowMs: 0 })
  t.is(reach.advance(targets, 400).checks.length, 0)
  const [first] = reach.advance(targets, 500).checks
  reach.recordEstablished(first!, 510)
  const [second] = reach.advance(targets, 510).checks
  t.is(second, first)
  reach.recordConnectFailure(second!, 520)
  t.deepEqual(reach.listLost(), ['s/a'])
  t.deepEqual(runChecks(reach, { targets, isUp: () => true, nowMs: 3_000 }), [])
})

test('a lost group is checked at least every two seconds', t => {
  const reach = createReach()
  const targets = createTargets({ a: 3 })
  reach.recordConnectFailure(targets[0]!, 0)
  runChecks(reach, { targets, isUp: () => false, nowMs: 0 })
  const checkedAtMs: number[] = []
  for (let nowMs = 0; nowMs <= 20_000; nowMs += 50) {
    const { checks } = reach.advance(targets, nowMs)
    if (checks.length > 0) checkedAtMs.push(nowMs)
    for (const entry of checks) reach.recordConnectFailure(entry, nowMs)
  }
  const pausesMs = checkedAtMs.slice(1).map((atMs, index) => atMs - checkedAtMs[index]!)
  t.true(Math.max(...pausesMs) <= 2_050)
  t.true(checkedAtMs.length <= 14)
})

test('open connections of a lost group count as working only while they carry responses', t => {
  const reach = createReach()
  const targets = createTargets({ a: 3 })
  const entry = targets[0]!
  reach.recordConnectFailure(entry, 0)
  runChecks(reach, { targets, isUp: () => false, nowMs: 0 })
  reach.recordResponse(entry, 100)
  t.false(reach.isOpenWorking(entry))
  reach.recordResponse(entry, 200)
  t.true(reach.isOpenWorking(entry))
  reach.recordLoss(entry, 300)
  t.false(reach.isOpenWorking(entry))
})

test('an established connection names the targets that are down by themselves', t => {
  const reach = createReach()
  const targets = createTargets({ a: 4 })
  reach.recordConnectFailure(targets[0]!, 0)
  t.deepEqual(reach.recordEstablished(targets[1]!, 10), ['a0'])
})

test('a request waits for the end of an outage that has lasted no longer than it may wait', t => {
  t.true(isReturnExpected(2_000, 2_000))
  t.false(isReturnExpected(2_001, 2_000))
})

test('a group without targets is forgotten', t => {
  const reach = createReach()
  const targets = createTargets({ a: 2, b: 2 })
  reach.recordConnectFailure(targets[0]!, 0)
  runChecks(reach, { targets, isUp: () => false, nowMs: 0 })
  reach.advance(targets.slice(2), 10)
  t.deepEqual(reach.listLost().includes('s/a'), false)
})
