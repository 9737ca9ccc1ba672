import test from 'ava'
import fc from 'fast-check'
import { chooseDescriptor, computeCallerConnections, computeDescriptorShares, computeMaxConnections, DescriptorDecision, DescriptorUse, isKeptFromTargets } from './descriptor_budget.ts'

const limitCases: Array<[name: string, limits: Parameters<typeof computeDescriptorShares>[0], total: number]> = [
  ['the configured limit less the files of the platform, if it is the lower one', { configured: 4_100, enforced: 20_000, openOthers: 30 }, 3_900],
  ['the enforced limit less what is open, if it is the lower one', { configured: 4_100, enforced: 1_024, openOthers: 30 }, 994],
  ['the only limit that is known', { enforced: 120, openOthers: 25 }, 95],
  ['a few connections, if the settings state less than the platform reserves for files', { configured: 150, enforced: 20_000, openOthers: 30 }, 16],
  ['no connection, if less is left than is open', { enforced: 20, openOthers: 25 }, 0],
  ['any number without limits', { openOthers: 25 }, Infinity]
]
for (const [name, limits, total] of limitCases) test(`shares are those of ${name}`, t => t.is(computeDescriptorShares(limits).total, total))

test('12 spare descriptors leave some for each purpose', t => {
  const { reserved, refusals, shared, minCallers, minTargets } = computeDescriptorShares({ enforced: 37, openOthers: 25 })
  for (const share of [reserved, refusals, shared, minCallers, minTargets]) t.true(share >= 1)
})

test('shares never exceed the limit', t => {
  t.notThrows(() => fc.assert(fc.property(fc.nat({ max: 100_000 }), fc.nat({ max: 300 }), (enforced, openOthers) => {
    const { total, reserved, refusals, shared, minCallers, minTargets } = computeDescriptorShares({ enforced, openOthers })
    return reserved + refusals + shared === total && minCallers + minTargets <= shared && Math.min(reserved, refusals, shared) >= 0
  })))
})

interface Model { callers: number, idleCallers: number, targets: number, idleTargets: number }

/** Applies a decision to a model; returns whether the connection is opened. */
function applyDecisions (use: DescriptorUse, model: Model, total: number): boolean {
  const shares = computeDescriptorShares({ enforced: total, openOthers: 0 })
  for (;;) {
    const decision = chooseDescriptor(use, shares, { ...model, hasIdleCaller: model.idleCallers > 0, hasIdleTarget: model.idleTargets > 0 })
    if (decision === DescriptorDecision.Refuse) return false
    if (decision === DescriptorDecision.CloseIdleCaller) {
      model.callers--
      model.idleCallers--
    } else if (decision === DescriptorDecision.CloseIdleTarget) {
      model.targets--
      model.idleTargets--
    } else {
      if (use === DescriptorUse.Caller) model.callers++
      else model.targets++
      return true
    }
  }
}

test('any series of connections stays within the shares, and each kind gets what it is guaranteed', t => {
  const step = fc.constantFrom('caller', 'target', 'callerIdle', 'targetIdle', 'callerGone', 'targetGone')
  t.notThrows(() => fc.assert(fc.property(fc.integer({ min: 12, max: 200 }), fc.array(step, { maxLength: 300 }), (total, steps) => {
    const shares = computeDescriptorShares({ enforced: total, openOthers: 0 })
    const model: Model = { callers: 0, idleCallers: 0, targets: 0, idleTargets: 0 }
    for (const each of steps) {
      const before = { ...model }
      if (each === 'caller' && !applyDecisions(DescriptorUse.Caller, model, total) && before.callers < shares.minCallers) return false
      if (each === 'target' && !applyDecisions(DescriptorUse.Target, model, total) && before.targets < shares.minTargets) return false
      if (each === 'callerIdle' && model.idleCallers < model.callers) model.idleCallers++
      if (each === 'targetIdle' && model.idleTargets < model.targets) model.idleTargets++
      if (each === 'callerGone' && model.callers > model.idleCallers) model.callers--
      if (each === 'targetGone' && model.targets > model.idleTargets) model.targets--
      if (model.callers + model.targets > shares.shared) return false
    }
    return true
  })))
})

test('idle connections of callers give way before those to targets, and those before a refusal', t => {
  const shares = computeDescriptorShares({ enforced: 100, openOthers: 0 })
  const full = { callers: shares.shared - shares.minTargets, targets: shares.minTargets }
  t.is(computeMaxConnections(DescriptorUse.Caller, shares, full), full.callers)
  t.is(chooseDescriptor(DescriptorUse.Target, shares, { ...full, hasIdleCaller: true, hasIdleTarget: true }), DescriptorDecision.CloseIdleCaller)
  t.is(chooseDescriptor(DescriptorUse.Target, shares, { ...full, hasIdleCaller: false, hasIdleTarget: true }), DescriptorDecision.CloseIdleTarget)
  t.is(chooseDescriptor(DescriptorUse.Target, shares, { ...full, hasIdleCaller: false, hasIdleTarget: false }), DescriptorDecision.Refuse)
})

test('callers that were open when the limit became lower are kept, and none beyond', t => {
  const shares = computeDescriptorShares({ enforced: 74, openOthers: 25 })
  const limits = (kept: number) => computeCallerConnections(shares, { targets: 6, kept, maxCallers: 6_000 })
  t.deepEqual([limits(30).maxServed, limits(30).maxWithIdle, limits(30).maxYielding], [30, 30, 0])
  t.is(limits(0).maxServed, computeMaxConnections(DescriptorUse.Caller, shares, { callers: 0, targets: 6 }))
})

test('callers that are kept leave descriptors for targets and half of the reserved ones', t => {
  t.notThrows(() => fc.assert(fc.property(fc.integer({ min: 0, max: 5_000 }), fc.nat({ max: 5_000 }), fc.nat({ max: 5_000 }), (enforced, kept, targets) => {
    const shares = computeDescriptorShares({ enforced, openOthers: 0 })
    const { maxServed, maxWithIdle, maxOpen } = computeCallerConnections(shares, { targets, kept, maxCallers: 6_000 })
    const left = shares.total - maxServed - shares.reserved / 2
    return maxWithIdle <= maxServed && maxServed <= Math.max(maxOpen, shares.shared) && left >= Math.floor(Math.min(shares.minTargets, 6)) - 1
  })))
})

test('targets get a few connections beside kept callers, and more while the reserved ones are free', t => {
  const shares = computeDescriptorShares({ enforced: 74, openOthers: 25 })
  t.false(isKeptFromTargets(shares, { callers: 30, targets: 5, all: 37 }))
  t.true(isKeptFromTargets(shares, { callers: 30, targets: 7, all: 37 }))
  t.false(isKeptFromTargets(shares, { callers: 30, targets: 6, all: 36 }))
  t.false(isKeptFromTargets(shares, { callers: 11, targets: 7, all: 40 }))
})

test('any number of callers is served without limits', t => {
  t.is(computeCallerConnections(computeDescriptorShares({ openOthers: 25 }), { targets: 100, kept: 0, maxCallers: 6_000 }).maxServed, 6_000)
})
