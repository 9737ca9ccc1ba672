import type { TestEntry, TestSite } from './test_site.ts'
import { createServer, get } from 'node:http'
import { setTimeout as wait } from 'node:timers/promises'
import test from 'ava'
import { closeListener, listenOnLoopback } from './listeners.ts'
import { StoreFault } from './site_store.ts'
import { createTestSite, waitUntil } from './test_site.ts'

const callIntervalMs = 20

async function startEntry (site: TestSite, targets: number): Promise<TestEntry> {
  const entry = await site.startEntry(0)
  await waitUntil(async () => (await site.call(entry)).status === 200)
  await waitUntil(() => entry.readLog().filter(line => line['event'] === 'target').length === targets)
  return entry
}

/** Sends calls for different objects until a time, and waits for their responses. */
async function sendCallsUntil (site: TestSite, entry: TestEntry, endMs: number): Promise<void> {
  const calls: Array<Promise<unknown>> = []
  while (performance.now() < endMs) {
    calls.push(site.call(entry, { affinityKey: String(calls.length) }))
    await wait(callIntervalMs)
  }
  await Promise.all(calls)
}

test('sends nothing to a leaving target from the stability window after the connections to the store went silent', async t => {
  await using site = await createTestSite()
  site.writeConfig()
  const leaving = await site.openTarget('t1')
  await site.openTarget('t2')
  const entry = await startEntry(site, 2)
  // Any change ends the open long polls, so that the next ones are silenced at their start.
  leaving.register()
  await wait(entry.settings.bounds.drainMs)
  leaving.register()
  await wait(100)
  entry.storeEndpoint.setFault(StoreFault.Unreachable)
  entry.storeEndpoint.setFault(StoreFault.None)
  const silencedAtMs = performance.now()
  leaving.register({ state: 'draining' })
  const { stableMs } = entry.settings.bounds
  await sendCallsUntil(site, entry, silencedAtMs + stableMs + 1_500)
  t.true(leaving.runs.length > 0)
  t.is(leaving.runs.filter(run => run.startedAtMs > silencedAtMs + stableMs).length, 0)
})

test('sends nothing to a target after passing on its report of leaving, although its registration says otherwise', async t => {
  await using site = await createTestSite()
  site.writeConfig()
  const leaving = await site.openTarget('t1')
  await site.openTarget('t2')
  const entry = await startEntry(site, 2)
  leaving.setResponseFields({ 'Server-Leaving': '1' })
  await sendCallsUntil(site, entry, performance.now() + 500)
  const runs = leaving.runs.length
  leaving.register({ cold_left: '0ms' })
  await sendCallsUntil(site, entry, performance.now() + 1_500)
  t.true(runs > 0)
  t.is(leaving.runs.length, runs)
  t.is(entry.readLog().filter(line => line['event'] === 'target_leaving').length, 1)
})

test('a starting instance sends nothing to a removed target that a slow peer still has', async t => {
  await using site = await createTestSite()
  site.writeConfig()
  const removed = await site.openTarget('t1')
  await site.openTarget('t2')
  const peer = await startEntry(site, 2)
  peer.storeEndpoint.setFault(StoreFault.Unreachable)
  site.store.removeRow('servers', 't1')
  const seed = createServer((message, response) => {
    // The response of the store arrives first.
    setTimeout(() => get({ ...peer.settings.listen.peers, path: message.url!, agent: false }, reply => reply.pipe(response)), 500)
  })
  const seedAddress = await listenOnLoopback(seed)
  const starting = await site.startEntry(1, [seedAddress])
  await waitUntil(() => starting.readLog().filter(line => line['event'] === 'table_from_peer').length === 2)
  const runs = removed.runs.length
  await sendCallsUntil(site, starting, performance.now() + 500)
  t.is(removed.runs.length, runs)
  await closeListener(seed)
})

test('logs that a known target is leaving', async t => {
  await using site = await createTestSite()
  site.writeConfig()
  const target = await site.openTarget('t1')
  const entry = await startEntry(site, 1)
  target.register({ state: 'draining' })
  t.true(await waitUntil(() => entry.readLog().some(line => line['event'] === 'target' && line['leaving'] === true)))
})

test('tells a peer that a target reports leaving', async t => {
  await using site = await createTestSite()
  site.writeConfig()
  const leaving = await site.openTarget('t1')
  const entry = await startEntry(site, 1)
  const peer = await site.startEntry(1, [entry.settings.listen.peers])
  await waitUntil(() => peer.readLog().some(line => line['event'] === 'target'))
  leaving.setResponseFields({ 'Server-Leaving': '1' })
  await site.call(entry)
  t.true(await waitUntil(() => peer.readLog().some(line => line['event'] === 'target_leaving' && line['peer'] === entry.settings.instance)))
})
