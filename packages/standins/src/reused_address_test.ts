import { setTimeout as wait } from 'node:timers/promises'
import test from 'ava'
import { createTestSite, waitUntil } from './test_site.ts'

const calls = 60
const callIntervalMs = 20
/** Requests that may reach the address before it is known to be another target's, and to see whether it still is. */
const maxMisdirected = 6

test('serves callers of a target whose address another target has taken, and sends it little more', async t => {
  await using site = await createTestSite()
  site.writeConfig()
  const targets = [await site.openTarget('t1'), await site.openTarget('t2'), await site.openTarget('t3')]
  const entry = await site.startEntry(0)
  await waitUntil(async () => (await site.call(entry)).status === 200)
  t.true(await waitUntil(() => entry.readLog().filter(line => line['event'] === 'target').length === targets.length))
  // The row of a target that ended without notice stays for some heartbeats, and leads to the target that started at its address.
  targets[0]!.register({ address: targets[1]!.address })
  const before = targets[1]!.misdirectedMs.length
  const responses = []
  for (let call = 0; call < calls; call++) {
    responses.push(site.call(entry, { affinityKey: String(call % 20), path: '/unsafe/x', method: 'POST', body: 'x' }))
    await wait(callIntervalMs)
  }
  const statuses = (await Promise.all(responses)).map(response => response.status)
  t.deepEqual(statuses.filter(status => status !== 200), [])
  const misdirected = targets[1]!.misdirectedMs.length - before
  t.true(misdirected <= maxMisdirected, `${misdirected} requests were sent to the address of another target`)
})
