import test from 'ava'
import { startCluster } from './cluster.ts'
import { DeploymentName, deployments } from './deployments.ts'
import { sendLargeUpload } from './large_upload.ts'
import { measureMemoryRise } from './process_usage.ts'

const bytes = 256 * 1024 * 1024
const maxRiseBytes = 64 * 1024 * 1024

test('streams a large upload at constant memory, byte for byte', async t => {
  await using cluster = await startCluster(deployments[DeploymentName.Trwsio])
  const pids = cluster.instances.map(instance => instance.child.process.pid!)
  const address = cluster.instances[0]!.child.ready.callers
  const { riseBytes, result } = await measureMemoryRise(pids, () => sendLargeUpload({ address, service: 'storfa-lluniau', bytes }))
  t.log(`rise ${Math.round(riseBytes / 1024 / 1024)} MiB`)
  t.deepEqual(result, { outcome: 'answered', reason: undefined, same: true })
  t.true(riseBytes < maxRiseBytes, String(riseBytes))
})
