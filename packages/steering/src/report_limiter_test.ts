import test from 'ava'
import { createReportLimiter } from './report_limiter.ts'

test('reports the first event of each kind, and later ones once an interval with their number', t => {
  const limiter = createReportLimiter({ intervalMs: 1_000 })
  t.is(limiter.takeReport('a', 0), 1)
  for (let nowMs = 1; nowMs < 1_000; nowMs++) t.is(limiter.takeReport('a', nowMs), undefined)
  t.is(limiter.takeReport('b', 999), 1)
  t.is(limiter.takeReport('a', 1_000), 1_000)
  t.is(limiter.takeReport('a', 5_000), 1)
})
