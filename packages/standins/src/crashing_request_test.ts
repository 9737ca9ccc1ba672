import type { TestEntry, TestSite } from './test_site.ts'
import type { SiteTarget, TargetRun } from './site_target.ts'
import { setTimeout as wait } from 'node:timers/promises'
import test from 'ava'
import { createTestSite, waitUntil } from './test_site.ts'

const crashPath = '/safe/crash'
const targets = 6
const repeatIntervalMs = 120
const returnMs = 1_500
/** Time after which a crash is no longer part of each heartbeat. */
const reportedMs = 11_000
const targetOptions = { crashPath, processingMs: 30 }
/** Retries that may reach targets once all instances have had the stability window to learn of the third crash. */
const maxLateRetries = 3

const isCrashRun = (run: TargetRun): boolean => run.call.endsWith(crashPath)

/** Some time after each target has ended, removes its registration, as the store does, and registers a new target, until the test is done. */
async function openReplacements (site: TestSite, opened: Map<string, SiteTarget>, isDone: () => boolean): Promise<void> {
  const replaced = new Set<string>()
  const returns: Array<Promise<void>> = []
  const openAfter = async (id: string): Promise<void> => {
    await wait(returnMs)
    site.store.removeRow('servers', id)
    opened.set(`after-${id}`, await site.openTarget(`after-${id}`, targetOptions))
  }
  while (!isDone()) {
    for (const [id, target] of opened) {
      if (replaced.has(id) || !target.runs.some(isCrashRun)) continue
      replaced.add(id)
      returns.push(openAfter(id))
    }
    await wait(20)
  }
  await Promise.all(returns)
}

for (const [title, request] of [
  ['without a body', { path: crashPath, affinityKey: '7' }],
  ['with a body', { path: crashPath, method: 'POST', body: 'x'.repeat(40_000) }]
] as const) {
  test(`a request ${title} that crashes its targets stops reaching them, at all instances, while other requests are served`, async t => {
    await using site = await createTestSite()
    site.writeConfig({ max_attempts: 2 })
    const opened = new Map<string, SiteTarget>()
    for (let index = 0; index < targets; index++) opened.set(`t${index}`, await site.openTarget(`t${index}`, targetOptions))
    const entries: TestEntry[] = []
    for (const index of [0, 1, 2]) entries.push(await site.startEntry(index, entries.slice(0, 1).map(entry => entry.settings.listen.peers)))
    for (const entry of entries) await waitUntil(async () => (await site.call(entry)).status === 200)
    const { stableMs } = entries[0]!.settings.bounds
    const endMs = performance.now() + stableMs + 6_000
    const isDone = (): boolean => performance.now() >= endMs
    const replacement = openReplacements(site, opened, isDone)
    const repeats: Array<Promise<{ status: number | undefined }>> = []
    const others: Array<Promise<{ status: number | undefined, body: string, afterMs: number }>> = []
    for (let count = 0; !isDone(); count++) {
      repeats.push(site.call(entries[count % entries.length]!, request))
      others.push(site.call(entries[(count + 1) % entries.length]!, { path: `/safe/${count}`, affinityKey: String(count % 40) }).then(({ status, body }) => ({ status, body, afterMs: performance.now() })))
      await wait(repeatIntervalMs)
    }
    await replacement
    const crashes = [...opened.values()].flatMap(target => target.runs.filter(isCrashRun).map(run => run.startedAtMs)).toSorted((a, b) => a - b)
    const late = crashes.filter(timeMs => timeMs > crashes[2]! + stableMs)
    t.true(late.length <= maxLateRetries, `${late.length} retries reached targets after the stability window, ${crashes.length} targets ended in all`)
    const last = (await Promise.all(repeats)).at(-1)!
    t.is(last.status, 503)
    const unserved = (await Promise.all(others)).filter(({ status, afterMs }) => afterMs > endMs - 3_000 && status !== 200)
    t.deepEqual(unserved.map(({ status, body }) => ({ status, body })), [])
  })
}

test('an instance that restarts learns from its peers which requests crash targets, long after the last crash', async t => {
  await using site = await createTestSite()
  site.writeConfig({ max_attempts: 2 })
  for (let index = 0; index < targets; index++) await site.openTarget(`t${index}`, targetOptions)
  const first = await site.startEntry(0)
  const second = await site.startEntry(1, [first.settings.listen.peers])
  for (const entry of [first, second]) await waitUntil(async () => (await site.call(entry)).status === 200)
  for (const entry of [first, second]) await waitUntil(async () => (await site.call(entry, { path: crashPath })).status === 503)
  await wait(reportedMs)
  await second.running[Symbol.asyncDispose]()
  const restarted = await site.startEntry(1, [first.settings.listen.peers])
  t.true(await waitUntil(() => restarted.readLog().some(line => line['event'] === 'request_quarantined')))
  await waitUntil(async () => (await site.call(restarted)).status === 200)
  t.is((await site.call(restarted, { path: crashPath })).status, 503)
})
