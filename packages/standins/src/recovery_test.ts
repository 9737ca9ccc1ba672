import test from 'ava'
import { runRecoveries } from './bench_capacity_control.ts'

const waitLimitPolls = 60
const maxBytesPerExchange = 25_000

test('brings all instances up to date after a replacement, a partition and an outage', async t => {
  const recoveries = await runRecoveries({ nodes: 60, services: 10, targets: 20, pollMs: 400, waitLimitPolls })
  t.deepEqual(recoveries.map(recovery => recovery.recovering), [60, 6, 6, 1])
  for (const recovery of recoveries) {
    t.true(Number.isFinite(recovery.polls), `${recovery.name}: not up to date after ${waitLimitPolls} polls`)
    t.true(recovery.exchangeKilobytes * 1_000 <= recovery.exchanges * maxBytesPerExchange, `${recovery.name}: ${recovery.exchangeKilobytes} kB in ${recovery.exchanges} exchanges`)
  }
})
