import type { TestEntry, TestSite } from './test_site.ts'
import type { SiteTarget } from './site_target.ts'
import { setTimeout as wait } from 'node:timers/promises'
import test from 'ava'
import { createTestSite, waitUntil } from './test_site.ts'

const crashPath = '/safe/crash'
const targets = 6
const repeatIntervalMs = 120
const returnMs = 1_500
/** Retries that may reach targets once all instances have had the stability window to learn of the third crash. */
const maxLateRetries = 3

/** Registers a new target some time after each one that has ended, until the test is done. */
async function openReplacements (site: TestSite, opened: SiteTarget[], isDone: () => boolean): Promise<void> {
  const replaced = new Set<SiteTarget>()
  const returns: Array<Promise<void>> = []
  while (!isDone()) {
    for (const target of opened.filter(other => !replaced.has(other) && other.runs.some(run => run.call.endsWith(crashPath)))) {
      replaced.add(target)
      const id = `r${replaced.size}`
      returns.push(wait(returnMs).then(async () => { opened.push(await site.openTarget(id, { crashPath, processingMs: 30 })) }))
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
    const opened: SiteTarget[] = []
    for (let index = 0; index < targets; index++) opened.push(await site.openTarget(`t${index}`, { crashPath, processingMs: 30 }))
    const entries: TestEntry[] = []
    for (const index of [0, 1, 2]) entries.push(await site.startEntry(index, entries.slice(0, 1).map(entry => entry.settings.listen.peers)))
    for (const entry of entries) await waitUntil(async () => (await site.call(entry)).status === 200)
    const { stableMs } = entries[0]!.settings.bounds
    const endMs = performance.now() + stableMs + 6_000
    const isDone = (): boolean => performance.now() >= endMs
    const replacement = openReplacements(site, opened, isDone)
    const repeats: Array<Promise<{ status: number | undefined }>> = []
    const others: Array<Promise<{ status: number | undefined, afterMs: number }>> = []
    for (let count = 0; !isDone(); count++) {
      repeats.push(site.call(entries[count % entries.length]!, request))
      others.push(site.call(entries[(count + 1) % entries.length]!, { path: `/safe/${count}`, affinityKey: String(count % 40) }).then(({ status }) => ({ status, afterMs: performance.now() })))
      await wait(repeatIntervalMs)
    }
    await replacement
    const crashes = opened.flatMap(target => target.runs.filter(run => run.call.endsWith(crashPath)).map(run => run.startedAtMs)).toSorted((a, b) => a - b)
    const late = crashes.filter(timeMs => timeMs > crashes[2]! + stableMs)
    t.true(late.length <= maxLateRetries, `${late.length} retries reached targets after the stability window, ${crashes.length} targets ended in all`)
    const last = (await Promise.all(repeats)).at(-1)!
    t.is(last.status, 503)
    const served = (await Promise.all(others)).filter(({ afterMs }) => afterMs > endMs - 3_000)
    t.true(served.every(({ status }) => status === 200), `${served.filter(({ status }) => status !== 200).length} of ${served.length} other requests were not served at the end`)
  })
}
