import type { RegisteredTarget } from './target_registry.ts'
import type { TargetSpeeds } from './target_speed.ts'
import test from 'ava'
import fc from 'fast-check'
import { createTargetRegistry } from './target_registry.ts'
import { selectTarget } from './target_selection.ts'
import { createTargetSpeeds } from './target_speed.ts'

const usualMs = 100
const slowMs = 1_000
const instances = 7

function createTargets (count: number): RegisteredTarget[] {
  const registry = createTargetRegistry()
  return Array.from({ length: count }, (_, index) => registry.register({ id: `t${index}`, service: 's', address: { host: '10.0.0.1', port: index + 1 }, failureDomain: 'a', slots: 3, leaving: false, coldLeftMs: 0, startedAtMs: 1 }, { region: 'r', nowMs: 0 }))
}

/** Records responses for an object that the target has handled before. */
function record (speeds: TargetSpeeds, entry: RegisteredTarget, { elapsedMs, count = 1, kind = 'k' }: { elapsedMs: number, count?: number, kind?: string }): void {
  for (let index = 0; index < count; index++) speeds.recordResponse(entry, { kind, objectKey: undefined, elapsedMs })
}

function createUsualSpeeds (targets: RegisteredTarget[]): TargetSpeeds {
  const speeds = createTargetSpeeds()
  for (let round = 0; round < 20; round++) for (const entry of targets) record(speeds, entry, { elapsedMs: usualMs })
  return speeds
}

test('avoids a target after two slow responses, but for a request now and then', t => {
  const targets = createTargets(6)
  const speeds = createUsualSpeeds(targets)
  const [slow] = targets as [RegisteredTarget]
  slow.lastRequestAtMs = 0
  const isAvoided = (nowMs: number): boolean => speeds.isAvoided(slow, { listTargets: () => targets, getInstanceCount: () => instances, nowMs })
  record(speeds, slow, { elapsedMs: slowMs, count: 1 })
  t.false(isAvoided(10))
  record(speeds, slow, { elapsedMs: slowMs, count: 1 })
  t.true(isAvoided(10))
  t.true(isAvoided(900))
  t.false(isAvoided(10_000))
})

test('sends requests to a target again after two responses in the usual time', t => {
  const targets = createTargets(6)
  const speeds = createUsualSpeeds(targets)
  record(speeds, targets[0]!, { elapsedMs: slowMs, count: 20 })
  record(speeds, targets[0]!, { elapsedMs: usualMs, count: 2 })
  targets[0]!.lastRequestAtMs = 0
  t.false(speeds.isAvoided(targets[0]!, { listTargets: () => targets, getInstanceCount: () => instances, nowMs: 1 }))
})

test('avoids none if all targets are slow, or half of them', t => {
  for (const slowCount of [6, 3]) {
    const targets = createTargets(6)
    const speeds = createUsualSpeeds(targets)
    for (const entry of targets.slice(0, slowCount)) {
      record(speeds, entry, { elapsedMs: slowMs, count: 5 })
      entry.lastRequestAtMs = 0
    }
    t.deepEqual(targets.filter(entry => speeds.isAvoided(entry, { listTargets: () => targets, getInstanceCount: () => instances, nowMs: 1 })), [])
  }
})

test('a first request for an object does not count as slow', t => {
  const targets = createTargets(6)
  const speeds = createUsualSpeeds(targets)
  for (let object = 0; object < 100; object++) speeds.recordResponse(targets[0]!, { kind: 'k', objectKey: `o${object}`, elapsedMs: slowMs })
  targets[0]!.lastRequestAtMs = 0
  t.false(speeds.isAvoided(targets[0]!, { listTargets: () => targets, getInstanceCount: () => instances, nowMs: 1 }))
})

test('a kind of request that takes longer at all targets does not count as slow', t => {
  const targets = createTargets(6)
  const speeds = createUsualSpeeds(targets)
  for (const entry of targets) record(speeds, entry, { elapsedMs: 10 * usualMs, count: 10, kind: 'long' })
  targets[0]!.lastRequestAtMs = 0
  t.false(speeds.isAvoided(targets[0]!, { listTargets: () => targets, getInstanceCount: () => instances, nowMs: 1 }))
})

test('requests that end without a response make a target slow, however soon their callers leave', t => {
  const targets = createTargets(6)
  const speeds = createUsualSpeeds(targets)
  const [slow, left] = targets as [RegisteredTarget, RegisteredTarget]
  for (let index = 0; index < 5; index++) {
    speeds.recordTimeout(slow, { kind: 'k', objectKey: 'o', elapsedMs: 1_000 })
    speeds.recordTimeout(left, { kind: 'k', objectKey: 'o', elapsedMs: usualMs })
  }
  for (const entry of [slow, left]) entry.lastRequestAtMs = 0
  t.true(speeds.isAvoided(slow, { listTargets: () => targets, getInstanceCount: () => instances, nowMs: 1 }))
  t.false(speeds.isAvoided(left, { listTargets: () => targets, getInstanceCount: () => instances, nowMs: 1 }))
})

test('selects an avoided target if no other one is usable, whatever the response times', t => {
  fc.assert(fc.property(fc.array(fc.tuple(fc.nat(5), fc.oneof(fc.double({ min: 0, max: 1e9, noNaN: true }), fc.constant(0)))), fc.nat(5), (responses, usable) => {
    const targets = createTargets(6)
    const speeds = createTargetSpeeds()
    for (const [index, elapsedMs] of responses) {
      record(speeds, targets[index]!, { elapsedMs })
      speeds.recordTimeout(targets[index]!, { kind: 'k', objectKey: undefined, elapsedMs })
    }
    const selected = selectTarget({ attemptId: 'x', service: 's', objectKey: 'o', homeRegions: [], tried: new Set() }, {
      ranked: targets, region: 'r', nowMs: 1, isUsable: entry => entry === targets[usable], isAvoided: entry => speeds.isAvoided(entry, { listTargets: () => targets, getInstanceCount: () => instances, nowMs: 1 })
    })
    return selected === targets[usable]
  }), { seed: 20261204, numRuns: 500 })
  t.pass()
})
