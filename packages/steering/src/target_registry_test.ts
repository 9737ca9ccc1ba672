import type { ServingTarget } from './routing.ts'
import test from 'ava'
import { TargetSignal } from './circuit.ts'
import { advanceProbes, computeHoldMs, computeTargetLoad, createTargetRegistry, dropTargetDoubt, findPauseEndMs, isContactPending, isTargetCold, isTargetLeaving, isTargetSilent, isTargetUsable, listServingTargets, minSilenceMs, recordResponseTime, recordTargetResult, recordTargetLoad, recordTargetDispatch, recordTargetDoubt, recordTargetPause } from './target_registry.ts'

const target: ServingTarget = { id: 't', service: 's', address: { host: '10.0.0.1', port: 1 }, failureDomain: 'a', slots: 3, leaving: false, coldLeftMs: 0, startedAtMs: 1 }
const endOptions = { nowMs: 0, getRandom: () => 0.5, coldForMs: 3_000 }
const registration = { region: 'r', nowMs: 0 }

test('excludes the answered request from the load that a target reports', t => {
  const entry = createTargetRegistry().register(target, registration)
  recordTargetDispatch(entry, 0)
  recordTargetLoad(entry, { running: 1, waiting: 0 }, 0)
  recordTargetResult(entry, TargetSignal.Answered, endOptions)
  t.is(computeTargetLoad(entry, 0), 0)
})

test('adds the reported requests of other instances, weighted by the age of the report', t => {
  const entry = createTargetRegistry().register(target, registration)
  recordTargetDispatch(entry, 0)
  recordTargetDispatch(entry, 0)
  recordTargetLoad(entry, { running: 3, waiting: 2 }, 0)
  recordTargetResult(entry, TargetSignal.Answered, endOptions)
  t.is(computeTargetLoad(entry, 0), 4)
  t.true(computeTargetLoad(entry, 500) < 4)
  t.is(computeTargetLoad(entry, 60_000), 1)
})

test('resets the state of a restarted target and counts it as cold for the stated time', t => {
  const registry = createTargetRegistry()
  const before = registry.register(target, registration)
  recordTargetDispatch(before, 0)
  t.is(registry.register({ ...target, leaving: true }, registration), before)
  const after = registry.register({ ...target, startedAtMs: 2, coldLeftMs: 3_000 }, { region: 'r', nowMs: 100 })
  t.not(after, before)
  t.like(after, { inFlight: 0, coldUntilMs: 3_100 })
  t.deepEqual(registry.list('s'), [after])
  registry.remove('t')
  t.deepEqual(registry.list('s'), [])
})

test('counts a target as cold when it responds after it was unreachable', t => {
  const entry = createTargetRegistry().register(target, registration)
  recordTargetDispatch(entry, 0)
  recordTargetResult(entry, TargetSignal.ConnectFailed, endOptions)
  recordTargetDispatch(entry, 1_000)
  recordTargetResult(entry, TargetSignal.Answered, { ...endOptions, nowMs: 1_000 })
  t.is(entry.coldUntilMs, 4_000)
})

test('a target whose circuit opened during an outage of all may be probed as soon as the outage is over', t => {
  const entry = createTargetRegistry().register(target, registration)
  for (let nowMs = 1_000; nowMs <= 9_000; nowMs += 1_000) {
    recordTargetDispatch(entry, nowMs)
    recordTargetResult(entry, TargetSignal.ConnectFailed, { ...endOptions, nowMs })
  }
  t.false(isTargetUsable(entry, 9_100))
  advanceProbes([entry], { sinceMs: 9_050, nowMs: 9_100 })
  t.false(isTargetUsable(entry, 9_100))
  advanceProbes([entry], { sinceMs: 1_000, nowMs: 9_100 })
  t.true(isTargetUsable(entry, 9_100))
  recordTargetDispatch(entry, 9_100)
  t.false(isTargetUsable(entry, 9_100))
})

test('estimates the hold time from requests in flight when a target becomes slow', t => {
  const entry = createTargetRegistry().register(target, registration)
  t.is(computeHoldMs(entry, 0), undefined)
  recordTargetDispatch(entry, 0)
  t.is(computeHoldMs(entry, 40), 40)
  recordResponseTime(entry, 10)
  recordTargetResult(entry, TargetSignal.Answered, { ...endOptions, nowMs: 50 })
  t.is(computeHoldMs(entry, 500), 10)
  recordTargetDispatch(entry, 1_000)
  t.is(computeHoldMs(entry, 1_005), 10)
  t.is(computeHoldMs(entry, 1_150), 150)
})

test('counts no pause of this process as silence of a target', t => {
  const registry = createTargetRegistry()
  const entry = registry.register(target, registration)
  recordResponseTime(entry, 50)
  const observe = (fromMs: number, toMs: number): void => {
    for (let nowMs = fromMs; nowMs <= toMs; nowMs += 250) registry.observeTime(nowMs)
  }
  observe(0, 1_000)
  recordTargetDispatch(entry, 1_100)
  registry.observeTime(6_000)
  t.false(isTargetSilent(entry, 6_000))
  observe(6_000, 6_000 + minSilenceMs)
  t.true(isTargetSilent(entry, 6_000 + minSilenceMs))
})

test('counts a target that reports leaving as leaving until its registration says otherwise', t => {
  const registry = createTargetRegistry()
  const entry = registry.register(target, registration)
  const revision = registry.getRevision()
  t.true(registry.recordLeaving('t'))
  t.true(registry.getRevision() > revision)
  t.false(registry.recordLeaving('t'))
  registry.register(target, registration)
  t.true(isTargetLeaving(entry))
  registry.register({ ...target, leaving: true }, registration)
  registry.register(target, registration)
  t.false(isTargetLeaving(entry))
  t.false(registry.recordLeaving('unknown'))
})

test('keeps the report of leaving of a target whose registration expired, but not of a restarted one', t => {
  const registry = createTargetRegistry()
  registry.register(target, registration)
  registry.recordLeaving('t')
  registry.remove('t')
  t.true(isTargetLeaving(registry.register(target, registration)))
  registry.remove('t')
  t.false(isTargetLeaving(registry.register({ ...target, startedAtMs: 2 }, registration)))
})

test('sends nothing to a target during the longest pause that it asked for, limited to ten minutes', t => {
  const entry = createTargetRegistry().register(target, registration)
  recordTargetPause(entry, 2_000, 0)
  recordTargetPause(entry, 500, 100)
  t.false(isTargetUsable(entry, 1_999))
  t.true(isTargetUsable(entry, 2_000))
  recordTargetPause(entry, 1e12, 0)
  t.true(isTargetUsable(entry, 600_000))
})

test('finds when the first target that was not tried accepts requests again', t => {
  const registry = createTargetRegistry()
  const entries = ['a', 'b', 'c'].map(id => registry.register({ ...target, id }, registration))
  const [a, b] = entries
  recordTargetPause(a!, 2_000, 0)
  recordTargetPause(b!, 1_000, 0)
  const find = (tried: string[], nowMs: number): number => findPauseEndMs(entries, { tried: new Set(tried), nowMs })
  t.is(find([], 100), -Infinity)
  t.is(find(['c'], 100), 1_000)
  t.is(find(['b', 'c'], 100), 2_000)
  t.is(find(['a', 'b', 'c'], 100), -Infinity)
  t.is(find(['c'], 1_500), -Infinity)
})

test('counts silent targets as capacity only if no other target is usable, and unreachable ones never', t => {
  const registry = createTargetRegistry()
  const [silent, unreachable, idle] = ['a', 'b', 'c'].map(id => registry.register({ ...target, id }, registration))
  recordTargetDispatch(silent!, 0)
  recordResponseTime(silent!, 10)
  recordTargetDispatch(unreachable!, 0)
  recordTargetResult(unreachable!, TargetSignal.ConnectFailed, { ...endOptions, getRandom: () => 1, nowMs: minSilenceMs - 1 })
  t.deepEqual(listServingTargets([silent!, unreachable!, idle!], minSilenceMs), [idle])
  t.deepEqual(listServingTargets([silent!, unreachable!], minSilenceMs), [silent])
  t.deepEqual(listServingTargets([unreachable!], minSilenceMs), [])
})

test('a pause that a removed target asks for holds when the same run registers again', t => {
  const registry = createTargetRegistry()
  const before = registry.register(target, registration)
  registry.remove('t')
  recordTargetPause(before, 3_000, 0)
  t.is(registry.register(target, registration).pausedUntilMs, 3_000)
})

test('a pause that a removed target asks for does not hold for a later run', t => {
  const registry = createTargetRegistry()
  const before = registry.register(target, registration)
  registry.remove('t')
  recordTargetPause(before, 3_000, 0)
  t.is(registry.register({ ...target, startedAtMs: 2 }, registration).pausedUntilMs, -Infinity)
})

test('a target whose registration lapses while it is cold is still cold when the same run registers again', t => {
  const registry = createTargetRegistry()
  recordTargetDispatch(registry.register({ ...target, coldLeftMs: 3_000 }, registration), 500)
  registry.remove('t')
  t.like(registry.register(target, { region: 'r', nowMs: 1_000 }), { coldUntilMs: 3_000, lastColdRequestAtMs: 500 })
  registry.remove('t')
  t.like(registry.register({ ...target, startedAtMs: 2 }, { region: 'r', nowMs: 1_000 }), { coldUntilMs: 1_000, lastColdRequestAtMs: -Infinity })
})

test('a first request to a target after some time without a response is awaited for a second', t => {
  const entry = createTargetRegistry().register(target, registration)
  recordTargetDispatch(entry, 10_000)
  t.true(isContactPending(entry, 10_999))
  t.false(isContactPending(entry, 11_000))
  recordTargetResult(entry, TargetSignal.Answered, { ...endOptions, nowMs: 11_500 })
  recordTargetDispatch(entry, 13_000)
  t.false(isContactPending(entry, 13_000))
  recordTargetResult(entry, TargetSignal.Answered, { ...endOptions, nowMs: 13_100 })
  recordTargetDispatch(entry, 15_101)
  t.true(isContactPending(entry, 15_101))
  recordTargetResult(entry, TargetSignal.Answered, { ...endOptions, nowMs: 15_200 })
  recordTargetDispatch(entry, 15_300)
  t.false(isContactPending(entry, 15_300))
})

test('a doubt makes a target cold for its time, whatever it responds, or until it is dropped', t => {
  const entry = createTargetRegistry().register(target, registration)
  t.true(recordTargetDoubt(entry, 4_000, 1_000))
  recordTargetDispatch(entry, 1_000)
  recordTargetResult(entry, TargetSignal.Answered, { ...endOptions, nowMs: 1_500 })
  t.true(isTargetCold(entry, 3_999))
  t.false(isTargetCold(entry, 4_000))
  recordTargetDoubt(entry, 8_000, 5_000)
  dropTargetDoubt(entry)
  t.false(isTargetCold(entry, 5_000))
})
