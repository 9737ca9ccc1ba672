import type { CallerResponse, TestSite, TestEntry } from './test_site.ts'
import { setTimeout as wait } from 'node:timers/promises'
import test from 'ava'
import { TargetFault } from './site_target.ts'
import { createTestSite, waitUntil } from './test_site.ts'

const pauseSeconds = 3
/** Time within which requests that are on their way may still arrive at a target in its pause, in milliseconds. */
const inTransitMs = 500
const callIntervalMs = 25

async function sendCallsUntil (site: TestSite, entry: TestEntry, endMs: number): Promise<CallerResponse[]> {
  const calls: Array<Promise<CallerResponse>> = []
  while (performance.now() < endMs) {
    calls.push(site.call(entry, { affinityKey: String(calls.length % 10) }))
    await wait(callIntervalMs)
  }
  return await Promise.all(calls)
}

for (const [title, pausing] of [['to others', 1], ['to none, and refuses them at once,', 2]] as const) {
  test(`sends requests ${title} while ${pausing} of 2 targets want none`, async t => {
    await using site = await createTestSite()
    site.writeConfig()
    const targets = [await site.openTarget('t1'), await site.openTarget('t2')]
    const entry = await site.startEntry(0)
    await waitUntil(async () => (await site.call(entry)).status === 200)
    await waitUntil(() => entry.readLog().filter(line => line['event'] === 'target').length === targets.length)
    const paused = targets.slice(0, pausing)
    for (const target of paused) {
      target.setResponseFields({ 'Retry-After': String(pauseSeconds) })
      target.addFaults([TargetFault.Shed])
    }
    const arrivalsBefore = paused.map(target => target.arrivalsMs.length)
    await sendCallsUntil(site, entry, performance.now() + inTransitMs)
    const pausedAtMs = paused.map((target, index) => target.arrivalsMs[arrivalsBefore[index]!]!)
    const lastMs = Math.min(...pausedAtMs) + pauseSeconds * 1_000 - inTransitMs
    const responses = await sendCallsUntil(site, entry, lastMs)
    for (const [index, target] of paused.entries()) {
      const arrivals = target.arrivalsMs.filter(timeMs => timeMs > pausedAtMs[index]! + inTransitMs && timeMs < pausedAtMs[index]! + pauseSeconds * 1_000)
      t.deepEqual(arrivals, [])
    }
    if (pausing < targets.length) t.true(responses.every(response => response.status === 200))
    else {
      t.true(responses.every(response => response.status === 503 && response.elapsedMs < inTransitMs))
      // No caller is asked to come back before the pause has ended.
      t.true(Number(responses[0]!.headers['retry-after']) >= pauseSeconds - 2 * inTransitMs / 1_000)
    }
    await wait(pauseSeconds * 1_000)
    for (const target of targets) target.setResponseFields({})
    t.is((await site.call(entry, { affinityKey: '1' })).status, 200)
  })
}

test('sends nothing to a target that asked for a pause while its registration had expired, and has registered again', async t => {
  await using site = await createTestSite()
  site.writeConfig()
  const target = await site.openTarget('t1', { processingMs: 600 })
  const entry = await site.startEntry(0)
  t.true(await waitUntil(async () => (await site.call(entry)).status === 200))
  const countLines = (event: string): number => entry.readLog().filter(line => line['event'] === event).length
  target.setResponseFields({ 'Retry-After': String(pauseSeconds) })
  target.addFaults([TargetFault.LateShed])
  const refused = site.call(entry)
  t.true(await waitUntil(() => target.arrivalsMs.length === 2))
  site.store.removeRow('servers', 't1')
  t.true(await waitUntil(() => countLines('target_gone') === 1))
  t.is((await refused).status, 503)
  const pausedAtMs = performance.now()
  target.register()
  await sendCallsUntil(site, entry, pausedAtMs + pauseSeconds * 1_000 - inTransitMs)
  t.deepEqual(target.arrivalsMs.filter(timeMs => timeMs > pausedAtMs + inTransitMs), [])
})
