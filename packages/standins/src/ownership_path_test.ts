import type { Cluster } from './cluster.ts'
import test from 'ava'
import { startCluster } from './cluster.ts'
import { DeploymentName, deployments } from './deployments.ts'
import { runLoad } from './load.ts'
import { StoreFault } from './site_store.ts'

const seed = Number(process.env['BILBERRY_SEED'] ?? 5)
const serviceMs = 150
const callers = 48
const deployment = deployments[DeploymentName.Kutiyka]

async function waitMs (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}

const faults: Array<[string, (cluster: Cluster) => Promise<void>]> = [
  ['instance suspended until declared failed, then resumed', async cluster => {
    const { process: suspended } = cluster.instances[seed % 7]!.child
    suspended.kill('SIGSTOP')
    await waitMs(14_000)
    suspended.kill('SIGCONT')
    await waitMs(3_000)
  }],
  ['two instances stopped and restarted', async cluster => {
    const indexes = [seed % 7, (seed + 3) % 7]
    await Promise.all(indexes.map(index => cluster.instances[index]!.child.stop('SIGTERM')))
    await Promise.all(indexes.map(index => cluster.restartInstance(index)))
    await waitMs(2_000)
  }],
  ['platform outage', async cluster => {
    await cluster.setPlatformFaults({ fault: StoreFault.Busy })
    await waitMs(8_000)
    await cluster.setPlatformFaults({ fault: StoreFault.None })
    await waitMs(1_000)
  }]
]
for (const [name, fault] of faults) {
  test.serial(`runs no more requests at a target than it has slots: ${name}`, async t => {
    await using cluster = await startCluster(deployment)
    for (const target of cluster.targets) cluster.setBehaviour(target.target, { serviceMs, shed: false })
    const report = await runLoad(cluster, { deployment, callers, until: fault(cluster) })
    const slots = new Map(cluster.targets.map(target => [target.target, target.slots]))
    const runs = await cluster.collectRuns()
    const maxSlotExcess = Math.max(...runs.map(run => run.busySlots - slots.get(run.target)!))
    t.log(`seed ${seed}: ${JSON.stringify({ runs: runs.length, fullest: maxSlotExcess, answered: report.answered, notRun: report.notRun, unknown: report.unknown })}`)
    t.true(maxSlotExcess <= 0, `${maxSlotExcess} requests above the slots of a target`)
    t.is(maxSlotExcess, 0, 'the load fills all slots of a target')
    t.is(report.ranTwice, 0)
  })
}
