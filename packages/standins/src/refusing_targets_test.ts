import test from 'ava'
import { TargetFault } from './site_target.ts'
import { createTestSite, waitUntil } from './test_site.ts'

/** Time within which a caller that was refused at random is to be back, in seconds. */
const soonSeconds = 0.1

for (const [title, fault, isSoon] of [['soon if the target that refused it has room', TargetFault.ShedWithRoom, true], ['later if the target is full', TargetFault.Shed, false]] as const) {
  test(`tells a caller to come back ${title}`, async t => {
    await using site = await createTestSite()
    site.writeConfig({ max_attempts: 1 })
    const target = await site.openTarget('t1')
    const entry = await site.startEntry(0)
    t.true(await waitUntil(async () => (await site.call(entry)).status === 200))
    target.addFaults(Array.from({ length: 3 }, () => fault))
    const responses = []
    for (let call = 0; call < 3; call++) responses.push(await site.call(entry, { path: '/unsafe/x', method: 'POST', body: 'x', affinityKey: '1' }))
    t.true(responses.every(({ status }) => status === 503))
    const seconds = responses.map(({ headers }) => Number(headers['retry-after']))
    t.true(seconds.every(each => each > 0 && each <= soonSeconds) === isSoon, seconds.join(', '))
  })
}
