import test from 'ava'
import fc from 'fast-check'
import { minColdIntervalMs, isColdSender } from './cold_pace.ts'

const cases = [
  { instances: 7, perSecond: 2.4, mostInSecond: 8.6 },
  { instances: 29, perSecond: 2.4, mostInSecond: 8.6 },
  { instances: 7, perSecond: 9, mostInSecond: 18.5 },
  { instances: 300, perSecond: 0.5, mostInSecond: 5.75 }
]
for (const { instances, ...pace } of cases) {
  test(`${instances} instances together keep to the limit of a cold target of ${pace.perSecond} requests per second`, t => {
    const names = Array.from({ length: instances }, (_, index) => `entry-${index}`)
    const all = names.map(instance => ({ instance, isLive: true }))
    for (let target = 0; target < 50; target++) {
      const senders = names.filter(name => isColdSender(name, all, { targetId: `t${target}`, pace })).length
      t.true(senders >= 1)
      t.true(senders <= Math.max(1, pace.perSecond))
      // Two disjoint sets of senders, as with different lists of live instances, together keep to the limit.
      t.true(2 * senders * Math.ceil(1_000 / minColdIntervalMs) <= pace.mostInSecond)
    }
  })
}

test('spreads the senders of several cold targets over all instances', t => {
  const names = Array.from({ length: 7 }, (_, index) => `entry-${index}`)
  const all = names.map(instance => ({ instance, isLive: true }))
  const pace = { perSecond: 2.4, mostInSecond: 8.6 }
  const senders = new Set<string>()
  for (let target = 0; target < 50; target++) for (const name of names) if (isColdSender(name, all, { targetId: `t${target}`, pace })) senders.add(name)
  t.is(senders.size, 7)
})

test('instances that each take others for live keep to the limit of a cold target together', t => {
  const seed = 20261205
  t.log(`seed ${seed}`)
  t.notThrows(() => fc.assert(fc.property(fc.constantFrom(...cases), fc.integer({ min: 0, max: 1_000 }), fc.infiniteStream(fc.boolean()), ({ instances, ...pace }, target, lives) => {
    const names = Array.from({ length: instances }, (_, index) => `entry-${index}`)
    const senders = names.filter(name => isColdSender(name, names.map(instance => ({ instance, isLive: lives.next().value! })), { targetId: `t${target}`, pace }))
    return senders.length <= pace.mostInSecond
  }), { seed, numRuns: 300 }))
})

test('an instance that hears of no other is a sender of few cold targets', t => {
  const names = Array.from({ length: 29 }, (_, index) => `entry-${index}`)
  const pace = { perSecond: 2.4, mostInSecond: 11.6 }
  for (let target = 0; target < 50; target++) {
    const senders = names.filter(name => isColdSender(name, names.map(instance => ({ instance, isLive: instance === name })), { targetId: `t${target}`, pace }))
    t.is(senders.length, 10)
  }
})
