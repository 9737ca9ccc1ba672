import type { InstanceRecord } from '@bilberryworks/steering'
import test from 'ava'
import { createOwnerLoads, formatSlotLoad, parseSlotLoad } from './owner_loads.ts'

const createLoads = (getNowMs: () => number): ReturnType<typeof createOwnerLoads> => {
  return createOwnerLoads({ instance: 'self', failureDomain: 'd', getOwnLoad: () => ({ slots: 6, busy: 2, queued: 1 }), getNowMs })
}
const createCandidate = (instance: string, failureDomain = 'e') => ({ record: { instance, failureDomain } as InstanceRecord, slots: 9 })

const headers: Array<[string, boolean]> = [['9,3,0', true], ['9,3', false], ['', false], ['9,-3,0', false], ['9,3,0,1', false], ['1e3,0,0', false]]
for (const [text, isValid] of headers) {
  test(`parses a load header, or rejects it if malformed: "${text}"`, t => {
    const load = parseSlotLoad(text)
    t.is(load !== undefined, isValid)
    if (load !== undefined) t.is(formatSlotLoad(load), text)
  })
}

test('counts the end of a request once, and applies reported loads', t => {
  let nowMs = 0
  const loads = createLoads(() => nowMs)
  const describe = () => loads.describeOwners('s', [createCandidate('a')])[0]!
  const finish = loads.start('s', 'a')
  loads.start('s', 'a')
  loads.record('s', 'a', '4,3,2')
  loads.record('s', 'a', 'malformed')
  t.like(describe(), { forwardedInFlight: 2, reportedLoad: 5, slots: 4, reportAgeMs: 0 })
  finish()
  finish()
  nowMs = 1_500
  t.like(describe(), { forwardedInFlight: 1, reportedLoad: 5, slots: 9, reportAgeMs: 1_500 })
  t.is(loads.describeOwners('other', [createCandidate('a')])[0]!.reportedLoad, undefined)
})

test('describes the load of the local owner without a report', t => {
  const [own, near] = createLoads(() => 0).describeOwners('s', [createCandidate('self', 'd'), createCandidate('b', 'd')])
  t.like(own, { isLocal: true, slots: 6, reportedLoad: 3 })
  t.like(near, { isLocal: false, isInSameFailureDomain: true, slots: 9, reportedLoad: undefined })
})

test('sums the reports of a region once each owner has reported', t => {
  let nowMs = 0
  const loads = createLoads(() => nowMs)
  t.is(loads.sumReports('s', []), undefined)
  t.is(loads.sumReports('s', ['self', 'a']), undefined)
  loads.record('s', 'a', '4,3,2')
  nowMs = 700
  t.deepEqual(loads.sumReports('s', ['self', 'a']), { slots: 10, busy: 5, ageMs: 700 })
})
