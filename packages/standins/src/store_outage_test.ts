import type { TestEntry, TestSite } from './test_site.ts'
import { setTimeout as wait } from 'node:timers/promises'
import test from 'ava'
import { StoreFault } from './site_store.ts'
import { createTestSite, waitUntil } from './test_site.ts'

const pollMs = 10

async function startWithConfig (site: TestSite): Promise<TestEntry> {
  site.writeConfig()
  await site.openTarget('t1')
  const entry = await site.startEntry(0)
  await waitUntil(async () => (await site.call(entry)).status === 200)
  return entry
}

function countEvents (entry: TestEntry, event: string): number {
  return entry.readLog().filter(line => line['event'] === event).length
}

/** Writes a configuration and returns the time until it is in force, in milliseconds, up to the given limit. */
async function measureTimeToConfig (site: TestSite, entry: TestEntry, limitMs: number): Promise<number> {
  const version = site.writeConfig()
  const startedMs = performance.now()
  const isInForce = (): boolean => entry.readLog().some(line => line['event'] === 'config_in_force' && line['version'] === version)
  while (!isInForce() && performance.now() - startedMs < limitMs) await wait(pollMs)
  return performance.now() - startedMs
}

test('has a new configuration in force within the stability window of an outage that silenced a retry', async t => {
  await using site = await createTestSite()
  const entry = await startWithConfig(site)
  const { stableMs } = entry.settings.bounds
  entry.storeEndpoint.setFault(StoreFault.Unreachable)
  // By then each call from before the outage has timed out and has been retried.
  while (countEvents(entry, 'store_call_failed') < 2) await wait(pollMs)
  await wait(200)
  entry.storeEndpoint.setFault(StoreFault.None)
  t.true(await measureTimeToConfig(site, entry, stableMs) < stableMs)
})

test('has a new configuration in force within the stability window of a short outage that silenced the open calls', async t => {
  await using site = await createTestSite()
  const entry = await startWithConfig(site)
  const { stableMs } = entry.settings.bounds
  // The next long poll opens as soon as a change has arrived.
  await measureTimeToConfig(site, entry, stableMs)
  await wait(50)
  entry.storeEndpoint.setFault(StoreFault.Unreachable)
  await wait(100)
  entry.storeEndpoint.setFault(StoreFault.None)
  t.true(await measureTimeToConfig(site, entry, stableMs) < stableMs)
})
