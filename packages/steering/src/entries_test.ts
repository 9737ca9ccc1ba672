import type { InstanceRecord } from './inventory.ts'
import test from 'ava'
import { chooseEntries, createEntryDirectory } from './entries.ts'
import { LifecycleState } from './inventory.ts'

function createRecord (index: number, overrides: Partial<InstanceRecord>): InstanceRecord {
  const base = { instance: `entry-${index}`, incarnation: 'x', failureDomain: '', region: '', callerAddress: '', peerAddress: '' }
  return { ...base, state: LifecycleState.Live, sequence: 1, pinEpoch: 0, ...overrides }
}

const domains = ['sofia-a', 'sofia-b', 'varna-a', 'varna-b', 'plovdiv-a', 'plovdiv-b']
const records = Array.from({ length: 24 }, (_, index) => {
  const failureDomain = domains[index % domains.length]!
  return createRecord(index, { failureDomain, region: failureDomain.slice(0, -2) })
})
const callers = Array.from({ length: 4_000 }, (_, index) => `10.0.${index >> 8}.${index & 255}`)
const directory = createEntryDirectory(records)

function choose (callerKey: string, options: { sites?: string[], regionWeights?: Record<string, number>, maxEntries?: number } = {}): InstanceRecord[] {
  return chooseEntries({ callerKey, directory, regionWeights: { sofia: 0.6, varna: 0.4 }, localRegion: 'plovdiv', ...options })
}

test('chooses the first region by the weights in force whatever the site order', t => {
  const sites = ['plovdiv-a', 'varna-b', 'sofia-b']
  const first = callers.map(caller => choose(caller, { sites })[0]!)
  const sofiaShare = first.filter(record => record.region === 'sofia').length / callers.length
  t.true(Math.abs(sofiaShare - 0.6) < 0.03, `share ${sofiaShare}`)
  t.true(first.every(record => record.failureDomain === 'sofia-b' || record.failureDomain === 'varna-b'))
})

test('keeps the first region of a caller when the site order changes', t => {
  for (const caller of callers.slice(0, 500)) {
    t.is(choose(caller, { sites: ['varna', 'sofia'] })[0]!.region, choose(caller, { sites: ['sofia', 'varna'] })[0]!.region)
  }
})

test('ranks failure domains by the site order alone when there are no weights', t => {
  t.deepEqual(choose('10.0.0.1', { regionWeights: {}, sites: ['varna-b', 'sofia'], maxEntries: 24 }).map(record => record.failureDomain).filter((name, index, all) => all.indexOf(name) === index).slice(0, 3), ['varna-b', 'varna-a', 'sofia-a'].map((name, index) => index < 2 ? name : choose('10.0.0.1', { regionWeights: {}, sites: ['sofia'] })[0]!.failureDomain))
})

test('returns instances in two failure domains', t => {
  for (const caller of callers.slice(0, 500)) t.is(new Set(choose(caller).map(record => record.failureDomain)).size, 2)
})

test('spreads the callers of a block over the instances of its nearest failure domain', t => {
  const counts = new Map<string, number>()
  for (const caller of callers) {
    const { instance } = choose(caller, { regionWeights: { sofia: 1 }, sites: ['sofia-a'] })[0]!
    counts.set(instance, (counts.get(instance) ?? 0) + 1)
  }
  t.is(counts.size, 4)
  t.true(Math.max(...counts.values()) < 1.15 * callers.length / 4, JSON.stringify([...counts]))
})

test('returns no leaving instance', t => {
  const leaving = createEntryDirectory(records.map(record => record.failureDomain === 'sofia-a' ? { ...record, state: LifecycleState.Leaving } : record))
  for (const callerKey of callers.slice(0, 200)) {
    const chosen = chooseEntries({ callerKey, directory: leaving, regionWeights: { sofia: 1 }, localRegion: 'sofia', sites: ['sofia-a'] })
    t.true(chosen.length === 3 && chosen.every(record => record.failureDomain !== 'sofia-a'))
  }
})

test('returns no instance when none is live', t => {
  t.deepEqual(chooseEntries({ callerKey: 'x', directory: createEntryDirectory([]), regionWeights: {}, localRegion: 'sofia' }), [])
})
