import test from 'ava'
import { createTargetNotices, noticeLifetimeMs } from './target_notices.ts'

test('tells of a report of a target for a limited time, and of the latest ones only', t => {
  const notices = createTargetNotices()
  notices.recordLeaving({ id: 'a', startedAtMs: 7 }, 0)
  notices.recordRate({ id: 'b', startedAtMs: 8 }, undefined, 5_000)
  notices.recordRate({ id: 'c', startedAtMs: 9 }, 1.2, 5_000)
  t.deepEqual(notices.list(noticeLifetimeMs - 1), { leaving: { a: 7 }, rates: { b: { startedAtMs: 8, perSecond: null, ageMs: 4_999 }, c: { startedAtMs: 9, perSecond: 1.2, ageMs: 4_999 } } })
  notices.dropRate('c')
  t.deepEqual(notices.list(noticeLifetimeMs), { leaving: {}, rates: { b: { startedAtMs: 8, perSecond: null, ageMs: 5_000 } } })
  for (let index = 0; index < 100; index++) notices.recordLeaving({ id: `t${index}`, startedAtMs: 1 }, 20_000)
  const { leaving } = notices.list(20_000)
  t.true(Object.keys(leaving).length < 100)
  t.is(leaving['t99'], 1)
})
