import { setTimeout as wait } from 'node:timers/promises'
import test from 'ava'
import { createCleanupStack } from '@bilberryworks/steering'
import { ownProcessToken, startOwnProcess } from './own_process.ts'
import { createSiteStore } from './site_store.ts'
import { waitUntil } from './test_site.ts'

test('output whose reader has gone ends no instance of the own interface, and the lost lines are counted', async t => {
  await using cleanup = createCleanupStack()
  const store = cleanup.add(createSiteStore())
  const { url } = await store.openEndpoint()
  const { child, addresses } = cleanup.add(await startOwnProcess({ platformUrl: url }))
  const readMetrics = async (): Promise<string> => await (await fetch(`http://${addresses.operators}/metrics`, { headers: { Authorization: `Bearer ${ownProcessToken}` } })).text()
  t.regex(await readMetrics(), /^bilberry_log_lines_lost_total 0$/m)
  child.stdout!.destroy()
  child.stderr!.destroy()
  for (let repeat = 0; repeat < 5; repeat++) {
    child.kill('SIGHUP')
    await wait(50)
  }
  t.true(await waitUntil(async () => /^bilberry_log_lines_lost_total [1-9]/m.test(await readMetrics())))
  t.deepEqual([child.exitCode, child.signalCode], [null, null])
})
