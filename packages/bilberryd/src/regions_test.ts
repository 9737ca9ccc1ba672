import type { AcceptedDocument, InstanceRecord, TargetRecord } from '@bilberryworks/steering'
import type { RegionChooser } from './regions.ts'
import type { ClusterView } from './cluster_view.ts'
import test from 'ava'
import { computeMovedShare, LifecycleState, Objective, RefusalReason } from '@bilberryworks/steering'
import { createRegionChooser } from './regions.ts'

const regionNames = ['a', 'b', 'c']
const cap = 0.1
const stepMs = 10_000

/** A chooser over three regions of 20 slots each, with a clock and live regions that the test sets. */
class Fixture {
  nowMs = 0
  live = new Set(regionNames)
  leaving = new Set<string>()
  slots: Record<string, number> = { a: 20, b: 20, c: 20 }
  chooser: RegionChooser
  constructor () {
    const document = { regionWeights: { a: 1, b: 1, c: 1 }, shiftCap: cap, shiftStepMs: stepMs, objective: Objective.Headroom }
    const view = {
      getDocument: (service: string) => service === 's' ? { revision: 1, document } as unknown as AcceptedDocument : undefined,
      getShift: () => undefined,
      listInstances: () => [...this.live].map(region => ({ instance: region, region }) as InstanceRecord),
      listTargets: () => regionNames.map(region => {
        return { target: region, region, slots: this.slots[region], state: this.leaving.has(region) ? LifecycleState.Leaving : LifecycleState.Live } as TargetRecord
      })
    }
    this.chooser = createRegionChooser({ view: view as unknown as ClusterView, getNowMs: () => this.nowMs })
    this.chooser.getWeights('s')
  }

  /** Chooses a region for 300 callers; returns the number of refusals by reason. */
  countRefusals (): Record<string, number> {
    const counts: Record<string, number> = {}
    for (let index = 0; index < 300; index++) {
      const result = this.chooser.chooseRegion('s', `caller-${index}`)
      if (result.isErr()) counts[result.error.reason] = (counts[result.error.reason] ?? 0) + 1
    }
    return counts
  }
}

const outages: Array<[string, (fixture: Fixture) => void]> = [
  ['its instances have no heartbeat', fixture => fixture.live.delete('a')],
  ['its targets are leaving', fixture => fixture.leaving.add('a')]
]
for (const [name, startOutage] of outages) {
  test(`moves callers out of an unusable region exactly as fast as the shift cap permits: ${name}`, t => {
    const fixture = new Fixture()
    startOutage(fixture)
    const history: Array<{ atMs: number, weights: Record<string, number> }> = []
    let settledAtMs: number | undefined
    for (fixture.nowMs = 1_000; fixture.nowMs <= 60_000; fixture.nowMs += 250) {
      const weights = fixture.chooser.getWeights('s')
      history.push({ atMs: fixture.nowMs, weights })
      if ((weights['a'] ?? 0) < 1e-9) settledAtMs ??= fixture.nowMs
      for (const past of history) {
        if (fixture.nowMs - past.atMs < stepMs) t.true(computeMovedShare(past.weights, weights) <= cap + 1e-9)
      }
    }
    t.is(settledAtMs, 1_000 + 3 * stepMs)
  })
}

test('refuses callers kept in an unusable region by the shift cap, with a retry at the next move', t => {
  const fixture = new Fixture()
  fixture.live.delete('a')
  fixture.nowMs = 1_000
  const refusals = fixture.countRefusals()
  t.deepEqual(Object.keys(refusals), [RefusalReason.ShiftCap])
  t.true(refusals[RefusalReason.ShiftCap]! > 30 && refusals[RefusalReason.ShiftCap]! < 110)
  fixture.nowMs = 4_000
  const result = Array.from({ length: 300 }, (_, index) => fixture.chooser.chooseRegion('s', `caller-${index}`)).find(each => each.isErr())
  t.is(result?._unsafeUnwrapErr().retryAfterMs, 7_000)
})

test('refuses with no_usable_target when no region is usable', t => {
  const fixture = new Fixture()
  fixture.live.clear()
  fixture.nowMs = 1_000
  t.deepEqual(fixture.countRefusals(), { [RefusalReason.NoUsableTarget]: 300 })
})

test('shifts load away from an overloaded region within the shift cap', t => {
  const fixture = new Fixture()
  fixture.slots['a'] = 5
  for (fixture.nowMs = 1_000; fixture.nowMs <= 5_000; fixture.nowMs += 100) {
    for (const region of regionNames) {
      for (let index = 0; index < 10; index++) fixture.chooser.recordOutcome('s', region, region === 'a' && index < 5)
    }
    fixture.chooser.getWeights('s')
  }
  const weights = fixture.chooser.getWeights('s')
  t.true(weights['a']! < 0.25 && weights['a']! >= 1 / 3 - cap - 1e-9, JSON.stringify(weights))
})

test('permits a change of weights only if the known demand fits the capacity', t => {
  const fixture = new Fixture()
  const change = { from: { a: 0.4, b: 0.3, c: 0.3 }, to: { a: 0.3, b: 0.4, c: 0.3 } }
  t.true(fixture.chooser.hasCapacity('s', change), 'no region is known to be full')
  for (fixture.nowMs = 1_000; fixture.nowMs <= 5_000; fixture.nowMs += 100) {
    for (const region of regionNames) {
      for (let index = 0; index < 10; index++) fixture.chooser.recordOutcome('s', region, index < 5)
    }
  }
  t.false(fixture.chooser.hasCapacity('s', change), 'each region refuses half of its requests')
  fixture.live.delete('b')
  fixture.nowMs += 20_000
  t.false(fixture.chooser.hasCapacity('s', change), 'the region with the higher weight has no usable target')
  t.false(fixture.chooser.hasCapacity('unknown', change))
})
