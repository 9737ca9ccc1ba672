import type { RegisteredTarget } from './target_registry.ts'
import test from 'ava'
import { selectTarget, rankTargets } from './target_selection.ts'
import { createTargetRegistry, isTargetUnreachable, isTargetUsable, recordTargetResult, recordTargetDispatch, maxSilenceMs, recordResponseTime } from './target_registry.ts'
import { TargetSignal } from './circuit.ts'

const endOptions = { getRandom: () => 0.5, coldForMs: 3_000 }

function createTargets (count: number, slots = 3): RegisteredTarget[] {
  const registry = createTargetRegistry()
  return Array.from({ length: count }, (_, index) => registry.register({
    id: `t${index}`, service: 's', address: { host: '10.0.0.1', port: index + 1 }, failureDomain: 'a', slots, leaving: false, coldLeftMs: 0, startedAtMs: 1
  }, { region: 'r', nowMs: 0 }))
}

const request = { attemptId: 'x', service: 's', objectKey: 'k', homeRegions: [], tried: new Set<string>() }

function choose (ranked: RegisteredTarget[], options: { tried?: Set<string>, nowMs?: number, region?: string } = {}): string | undefined {
  const nowMs = options.nowMs ?? 0
  const routedRequest = { ...request, ...options, tried: options.tried ?? request.tried }
  return selectTarget(routedRequest, { ranked, nowMs, region: options.region ?? 'r', isUsable: entry => isTargetUsable(entry, nowMs) })?.target.id
}

test('fills the first target, then the second, then makes requests wait', t => {
  const ranked = createTargets(10)
  const chosen: Array<string | undefined> = []
  for (let sent = 0; sent < 9; sent++) {
    const id = choose(ranked)
    chosen.push(id)
    const entry = ranked.find(other => other.target.id === id)
    if (entry !== undefined) recordTargetDispatch(entry, 0)
  }
  t.deepEqual(chosen, ['t0', 't0', 't0', 't0', 't1', 't1', 't1', undefined, undefined])
})

test('skips targets that were tried', t => {
  t.is(choose(createTargets(3), { tried: new Set(['t0']) }), 't1')
})

test('skips a target that refuses connections until it may be probed', t => {
  const ranked = createTargets(3)
  recordTargetDispatch(ranked[0]!, 0)
  recordTargetResult(ranked[0]!, TargetSignal.ConnectFailed, { ...endOptions, nowMs: 0 })
  t.is(choose(ranked, { nowMs: 10 }), 't1')
  t.is(choose(ranked, { nowMs: 1_000 }), 't0')
})

test('skips a silent target until it responds', t => {
  const ranked = createTargets(3)
  recordTargetDispatch(ranked[0]!, 0)
  recordTargetDispatch(ranked[0]!, 0)
  t.is(choose(ranked, { nowMs: maxSilenceMs }), 't1')
  recordTargetResult(ranked[0]!, TargetSignal.Answered, { ...endOptions, nowMs: maxSilenceMs })
  t.is(choose(ranked, { nowMs: maxSilenceMs }), 't0')
})

test('skips a target that is silent for longer than requests for cold objects take', t => {
  const ranked = createTargets(3)
  recordResponseTime(ranked[0]!, 300)
  recordTargetDispatch(ranked[0]!, 0)
  t.is(choose(ranked, { nowMs: 1_000 }), 't0')
  t.is(choose(ranked, { nowMs: 1_300 }), 't1')
})

test('counts a target as unreachable when it is silent and refuses connections', t => {
  const [entry] = createTargets(1) as [RegisteredTarget]
  recordResponseTime(entry, 200)
  recordTargetDispatch(entry, 0)
  recordTargetDispatch(entry, 0)
  t.false(isTargetUnreachable(entry, 1_000))
  recordTargetResult(entry, TargetSignal.ConnectFailed, { ...endOptions, nowMs: 500 })
  t.false(isTargetUnreachable(entry, 510))
  t.true(isTargetUnreachable(entry, 1_000))
})

test('selects the least loaded target for a request without an object', t => {
  const ranked = createTargets(3)
  recordTargetDispatch(ranked[0]!, 0)
  recordTargetDispatch(ranked[2]!, 0)
  t.is(selectTarget({ ...request, objectKey: undefined }, { ranked, nowMs: 0, region: 'r', isUsable: () => true })?.target.id, 't1')
})

test('moves few objects when a target is removed', t => {
  const targets = createTargets(20)
  let moved = 0
  for (let key = 0; key < 500; key++) {
    const before = rankTargets(`k${key}`, targets)[0]!
    const after = rankTargets(`k${key}`, targets.slice(1))[0]!
    if (before !== after) moved++
    if (before !== targets[0]) t.is(before, after)
  }
  t.true(moved < 500 * 3 / 20)
})

test('prefers the object\'s target in the local region, and uses no third target', t => {
  const ranked = createTargets(3)
  ranked[1]!.region = 'q'
  ranked[2]!.region = 'p'
  t.is(choose(ranked, { region: 'q' }), 't1')
  t.is(choose(ranked, { region: 'p' }), 't0')
  for (let sent = 0; sent < 4; sent++) recordTargetDispatch(ranked[1]!, 0)
  t.is(choose(ranked, { region: 'q' }), 't0')
})
