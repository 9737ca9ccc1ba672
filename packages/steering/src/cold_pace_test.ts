import test from 'ava'
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
    for (let target = 0; target < 50; target++) {
      const senders = names.filter(name => isColdSender(name, names, { targetId: `t${target}`, pace })).length
      t.true(senders >= 1)
      t.true(senders <= Math.max(1, pace.perSecond))
      // Two disjoint sets of senders, as with different lists of live instances, together keep to the limit.
      t.true(2 * senders * Math.ceil(1_000 / minColdIntervalMs) <= pace.mostInSecond)
    }
  })
}

test('spreads the senders of several cold targets over all instances', t => {
  const names = Array.from({ length: 7 }, (_, index) => `entry-${index}`)
  const pace = { perSecond: 2.4, mostInSecond: 8.6 }
  const senders = new Set<string>()
  for (let target = 0; target < 50; target++) for (const name of names) if (isColdSender(name, names, { targetId: `t${target}`, pace })) senders.add(name)
  t.is(senders.size, 7)
})
