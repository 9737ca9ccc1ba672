import type { TestEntry, TestSite } from './test_site.ts'
import type { SiteTarget } from './site_target.ts'
import { setTimeout as wait } from 'node:timers/promises'
import test from 'ava'
import { createTestSite, waitUntil } from './test_site.ts'

const windowMs = 4_000
const callIntervalMs = 50
const objects = 40

/** Counts the most requests that started to run within any window, from the given time on. */
function countMostInWindow (target: SiteTarget, fromMs: number): number {
  const times = target.runs.map(run => run.startedAtMs).filter(timeMs => timeMs >= fromMs)
  return Math.max(0, ...times.map((startMs, index) => times.slice(index).filter(timeMs => timeMs < startMs + windowMs).length))
}

/** Sends calls for different objects to all instances in turn, and counts the responses that are not successful. */
async function sendCalls (site: TestSite, entries: TestEntry[], durationMs: number): Promise<{ calls: number, failed: number }> {
  const calls: Array<Promise<{ status: number | undefined }>> = []
  const endMs = performance.now() + durationMs
  while (performance.now() < endMs) {
    calls.push(site.call(entries[calls.length % entries.length]!, { affinityKey: String(calls.length % objects) }))
    await wait(callIntervalMs)
  }
  const responses = await Promise.all(calls)
  return { calls: calls.length, failed: responses.filter(response => response.status !== 200).length }
}

test('sends a target no more than the rate that it names, in the sum over instances', async t => {
  await using site = await createTestSite()
  site.writeConfig()
  const limited = await site.openTarget('t1')
  await site.openTarget('t2')
  await site.openTarget('t3')
  const entries = [await site.startEntry(0), await site.startEntry(1)]
  for (const entry of entries) await waitUntil(async () => (await site.call(entry)).status === 200)
  const perSecond = 1.2
  limited.setResponseFields({ 'Server-Limit': String(perSecond) })
  const namedAtMs = performance.now()
  const { stableMs } = entries[0]!.settings.bounds
  const { calls, failed } = await sendCalls(site, entries, stableMs + 2 * windowMs)
  const most = countMostInWindow(limited, namedAtMs + stableMs)
  t.true(most <= 1.5 * perSecond * windowMs / 1_000 + 5, `${most} requests in ${windowMs} ms`)
  t.true(most > 0)
  t.true(failed <= calls / 50, `${failed} of ${calls} failed`)

  limited.setResponseFields({})
  const liftedAtMs = performance.now()
  await sendCalls(site, entries, 2 * windowMs)
  t.true(countMostInWindow(limited, liftedAtMs) > 1.5 * perSecond * windowMs / 1_000 + 5)
})
