import type { TestEntry } from './test_site.ts'
import { setTimeout as wait } from 'node:timers/promises'
import test from 'ava'
import { createTestSite, testSiteHost, waitUntil } from './test_site.ts'

function hasLine (entry: TestEntry, fields: Record<string, unknown>): boolean {
  return entry.readLog().some(line => Object.entries(fields).every(([name, value]) => line[name] === value))
}

test('keeps configuration, evacuation, leaving and added targets when the store comes back from an older copy', async t => {
  await using site = await createTestSite()
  site.writeConfig()
  const leaving = await site.openTarget('t1')
  await site.openTarget('t2')
  const evacuated = await site.openTarget('t3', { failureDomain: 'b-1' })
  const entries = [await site.startEntry(0), await site.startEntry(1)]
  for (const entry of entries) t.true(await waitUntil(async () => (await site.call(entry)).status === 200))
  const copy = site.store.copyRows()

  const version = site.writeConfig({}, { added: site.createRoute('safe', { prefix: '/added/' }) })
  leaving.register({ state: 'draining' })
  site.store.writeRow('op', 'evacuate/b-1', {})
  const added = await site.openTarget('t4')
  for (const entry of entries) {
    t.true(await waitUntil(() => hasLine(entry, { event: 'config_in_force', version })))
    t.true(await waitUntil(() => hasLine(entry, { event: 'evacuation', evacuated: true })))
    t.true(await waitUntil(() => hasLine(entry, { event: 'target', target: 't1', leaving: true }) && hasLine(entry, { event: 'target', target: 't4' })))
  }
  site.store.restoreRows(copy)
  for (const entry of entries) t.true(await waitUntil(() => hasLine(entry, { event: 'store_restored', table: 'targets', era: 1 }) && hasLine(entry, { event: 'store_restored', table: 'operator', era: 1 })))
  const starting = await site.startEntry(2, [entries[0]!.settings.listen.peers])
  t.true(await waitUntil(() => hasLine(starting, { event: 'config_in_force', version })))

  const runsBefore = [leaving, evacuated].map(target => target.runs.length)
  const calls = Array.from({ length: 90 }, (_, index) => site.call([...entries, starting][index % 3]!, { path: '/added/x', affinityKey: String(index) }))
  const responses = await Promise.all(calls)
  t.deepEqual([...new Set(responses.map(response => response.status))], [200])
  t.deepEqual([leaving, evacuated].map(target => target.runs.length), runsBefore)
  t.true(added.runs.length > 0)

  // What was lost is written again, apart from the added target, which has ended meanwhile.
  leaving.register({ state: 'draining', seq: 9 })
  site.store.writeRow('op', 'evacuate/b-1', {})
  for (const entry of entries) t.true(await waitUntil(() => hasLine(entry, { event: 'target_gone', target: 't4' })))
  await wait(1_000)
  t.is((await site.call(entries[0]!, { path: '/added/x', headers: { Host: testSiteHost } })).status, 200)
})

test('an instance without a seed that starts after the store came back from an older copy serves by the later configuration and evacuation of its peers', async t => {
  await using site = await createTestSite()
  site.writeConfig()
  await site.openTarget('t1')
  const evacuated = await site.openTarget('t2', { failureDomain: 'b-1' })
  const entries = [await site.startEntry(0), await site.startEntry(1)]
  for (const entry of entries) t.true(await waitUntil(async () => (await site.call(entry)).status === 200))
  const copy = site.store.copyRows()
  const version = site.writeConfig({}, { added: site.createRoute('safe', { prefix: '/added/' }) })
  site.store.writeRow('op', 'evacuate/b-1', {})
  for (const entry of entries) t.true(await waitUntil(() => hasLine(entry, { event: 'config_in_force', version }) && hasLine(entry, { event: 'evacuation', evacuated: true })))
  site.store.restoreRows(copy)
  for (const entry of entries) t.true(await waitUntil(() => hasLine(entry, { event: 'store_restored', table: 'operator', era: 1 })))

  const starting = await site.startEntry(2)
  t.true(await waitUntil(() => hasLine(starting, { event: 'config_in_force', version }) && hasLine(starting, { event: 'evacuation', evacuated: true })))
  t.is((await site.call(starting, { path: '/added/x' })).status, 200)
  const runsBefore = evacuated.runs.length
  for (let index = 0; index < 20; index++) await site.call(starting, { affinityKey: String(index) })
  t.is(evacuated.runs.length, runsBefore)
})
