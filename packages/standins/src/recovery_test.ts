import test from 'ava'
import { runRecoveries } from './bench_capacity_control.ts'

const waitLimitPolls = 60
const maxBytesPerExchange = 25_000

test('a fleet is current again after replacement, partition and outage', async t => {
  const recoveries = await runRecoveries({ nodes: 60, services: 10, targets: 20, pollMs: 400, waitLimitPolls })
  t.deepEqual(recoveries.map(recovery => recovery.recovering), [60, 6, 6, 1])
  for (const recovery of recoveries) {
    t.true(Number.isFinite(recovery.polls), `${recovery.name}: not current after ${waitLimitPolls} polls`)
    t.true(recovery.exchangeKilobytes * 1_000 <= recovery.exchanges * maxBytesPerExchange, `${recovery.name}: ${recovery.exchangeKilobytes} kB in ${recovery.exchanges} exchanges`)
  }
})
