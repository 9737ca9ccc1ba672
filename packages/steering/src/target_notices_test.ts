import test from 'ava'
import { createTargetNotices, noticeLifetimeMs } from './target_notices.ts'

test('tells of a report of a target for a limited time, and of the latest ones only', t => {
  const notices = createTargetNotices()
  notices.record('leaving', { id: 'a', startedAtMs: 7 }, 0)
  notices.record('rateEnded', { id: 'b', startedAtMs: 8 }, 5_000)
  t.deepEqual(notices.list(noticeLifetimeMs - 1), { leaving: { a: 7 }, rateEnded: { b: 8 } })
  t.deepEqual(notices.list(noticeLifetimeMs), { leaving: {}, rateEnded: { b: 8 } })
  for (let index = 0; index < 100; index++) notices.record('leaving', { id: `t${index}`, startedAtMs: 1 }, 20_000)
  const { leaving } = notices.list(20_000)
  t.true(Object.keys(leaving).length < 100)
  t.is(leaving['t99'], 1)
})
