import test from 'ava'
import { runRecoveries } from './bench_capacity_control.ts'

const nodes = 60
const maxPolls = 20
const maxKilobytesPerNode = 120

test('a fleet is current again after replacement, partition and outage', async t => {
  const recoveries = await runRecoveries({ nodes, services: 10, targets: 20, pollMs: 400 })
  t.deepEqual(recoveries.map(recovery => recovery.recovering), [60, 6, 6, 1])
  for (const recovery of recoveries) {
    t.true(recovery.polls <= maxPolls, `${recovery.name}: ${recovery.polls} polls`)
    t.true(recovery.exchangeKilobytes <= nodes * maxKilobytesPerNode, `${recovery.name}: ${recovery.exchangeKilobytes} kB`)
  }
})
