import { setTimeout as wait } from 'node:timers/promises'
import test from 'ava'
import { FaultyBytes, openFaultyTarget } from './faulty_senders.ts'
import { createTargetRow } from './target_rows.ts'
import { createTestSite, testSiteService, waitUntil } from './test_site.ts'

/** Malformed responses after which a target gets no more requests but probes. */
const failureThreshold = 3
/** Probes that a target may get in the time of the test, which has several requests for each of them. */
const maxProbes = 4
const durationMs = 3_000
/** Time in which the target must have been chosen three times; a slow one is chosen less often. */
const maxWarmUpMs = 20_000
const callers = 4
const pauseMs = 20

for (const [title, bytes] of [['header fields', FaultyBytes.HeaderFields], ['trailers behind a long body', FaultyBytes.Trailers], ['bytes that are no response', FaultyBytes.Junk]] as const) {
  test(`a target that sends ${title} without end gets no more requests after three such responses, but for probes`, async t => {
    await using site = await createTestSite()
    site.writeConfig({ timeout: '4000ms', max_attempts: 1 })
    await using faulty = await openFaultyTarget(bytes)
    site.store.writeRow('servers', 'faulty', createTargetRow({ service: testSiteService, address: faulty.address, failureDomain: 'a-1', slots: 6 }))
    for (const id of ['good-1', 'good-2']) await site.openTarget(id)
    const entry = await site.startEntry(0)
    await waitUntil(async () => (await site.call(entry, { path: '/none' })).status === 404)
    let endMs = performance.now() + maxWarmUpMs
    const statuses: Array<number | undefined> = []
    await Promise.all(Array.from({ length: callers }, async (_, caller) => {
      for (let index = 0; performance.now() < endMs; index++) {
        const { status, isComplete } = await site.call(entry, { path: '/unsafe/x', method: 'POST', body: 'b', id: `call-${caller}-${index}`, timeLeftMs: 4_000 })
        statuses.push(isComplete ? status : undefined)
        if (statuses.filter(earlier => earlier !== 200).length === failureThreshold) endMs = Math.min(endMs, performance.now() + durationMs)
        await wait(pauseMs)
      }
    }))
    const failed = statuses.filter(status => status !== 200).length
    t.log(`${faulty.countRequests()} requests reached the target, ${failed} of ${statuses.length} failed`)
    t.true(faulty.countRequests() >= failureThreshold)
    // Requests that were in flight when the third response failed are no probes.
    t.true(faulty.countRequests() <= failureThreshold + callers + maxProbes, `${faulty.countRequests()}`)
    t.is(failed, faulty.countRequests())
    const lines = entry.readLog().filter(line => line['event'] === 'request_ended' && line['outcome'] === 'unknown')
    t.is(lines.length, failed)
    t.true(lines.every(line => /^call-/.test(String(line['id'])) && /bytes/.test(String(line['detail'])) && JSON.stringify(line['sends']).includes('faulty')), JSON.stringify(lines[0]))
  })
}
