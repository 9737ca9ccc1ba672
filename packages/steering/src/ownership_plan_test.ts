import type { InstanceRecord } from './inventory.ts'
import type { OwnershipRow } from './target_ownership.ts'
import type { PlanOwnershipChangeOptions } from './ownership_plan.ts'
import test from 'ava'
import { chooseOwner } from './target_ownership.ts'
import { planOwnershipChange } from './ownership_plan.ts'
import { LifecycleState } from './inventory.ts'

function createRecord (instance: string, failureDomain = 'd', state = LifecycleState.Live): InstanceRecord {
  return { instance, incarnation: 'x', failureDomain, region: 'r', callerAddress: '', peerAddress: '', state, sequence: 1, pinEpoch: 0 }
}

function plan (self: InstanceRecord, overrides: Partial<PlanOwnershipChangeOptions>): OwnershipRow | undefined {
  return planOwnershipChange({
    self,
    domain: { failureDomain: 'd', region: 'r' },
    row: undefined,
    instances: [self],
    mustRelease: false,
    canActAsFallback: true,
    busy: {},
    isOwnTarget: (target, assignment) => chooseOwner(target, assignment.feeders) === self.instance,
    isSilent: () => false,
    isUnlisted: () => false,
    ...overrides
  })?.row
}

/** Applies the changes of all instances until the row is stable. */
function settle (instances: InstanceRecord[], start?: OwnershipRow): OwnershipRow | undefined {
  let row = start
  for (let round = 0; round < 100; round++) {
    let hasChanged = false
    for (const self of instances) {
      const next = plan(self, { row, instances })
      hasChanged ||= next !== undefined
      row = next ?? row
    }
    if (!hasChanged) return row
  }
  throw new Error('Ownership row still changes after 100 rounds')
}

test('bounds the number of owners of a large failure domain', t => {
  const instances = Array.from({ length: 55 }, (_, index) => createRecord(`n${index}`))
  const row = settle(instances)!
  t.is(row.assignment.feeders.length, 8)
  t.deepEqual(Object.keys(row.parties).sort(), row.assignment.feeders)
})

test('keeps a leaving owner until another owner has joined', t => {
  const leaving = createRecord('a', 'd', LifecycleState.Leaving)
  const row = settle([createRecord('a')])!
  t.deepEqual(plan(leaving, { row })?.assignment.feeders ?? row.assignment.feeders, ['a'])
  const joined = plan(createRecord('b', 'e'), { row, instances: [leaving, createRecord('b', 'e')] })!
  t.deepEqual(joined.assignment.feeders, ['a', 'b'])
  t.deepEqual(plan(leaving, { row: joined, instances: [leaving, createRecord('b', 'e')] })!.assignment.feeders, ['b'])
})

test('lets only a candidate declare an owner silent', t => {
  const row = settle([createRecord('a'), createRecord('b', 'e')])!
  const declare = (name: string): boolean | undefined => plan(createRecord(name, 'e'), { row, instances: [createRecord(name, 'e')], isSilent: () => true })?.parties['a']?.silent
  t.true(declare('b'))
  t.not(declare('c'), true)
})

test('requires an owner declared silent to acknowledge the assignment before it owns targets again', t => {
  const instances = [createRecord('a'), createRecord('b', 'e')]
  const row = plan(instances[1]!, { row: settle(instances)!, instances: [instances[1]!], isSilent: () => true })!
  const acknowledged = plan(instances[0]!, { row, instances, busy: { t: 2 } })!
  t.deepEqual(acknowledged.assignment.feeders.includes('a'), false)
  t.deepEqual(acknowledged.parties['a'], { assignment: acknowledged.assignment, busy: { t: 2 }, silent: false })
})
